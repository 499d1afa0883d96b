package httpfront

import (
	"errors"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	"github.com/lesismal/nbio/nbhttp"
)

// processor wraps nbhttp's processor and receives the parser's callbacks first.
// It checks the header before nbhttp buffers a body. Only the goroutine that
// reads the connection uses it.
type processor struct {
	nbhttp.Processor
	*connection
	scanner requestScanner
	input   inputState
	// bodyBytes counts the body bytes of the request that is being received, as far
	// as the parser has passed them on.
	bodyBytes int64
	// unparsed bounds the bytes of a body, and of the framing of its chunks, that the
	// parser holds since it can not pass them on yet.
	unparsed int64
	// passedOn is true if the parser passed body bytes on in the current read.
	passedOn bool
}

// inputState describes the request that is being received.
type inputState struct {
	// inHeader is true until the end of the header block.
	inHeader bool
	// startedInRead is true if the request started in the current read.
	startedInRead bool
	// headerBytes counts the parsed bytes of the header block.
	headerBytes int
	// rawBytes counts the bytes of reads that ended inside the header block, except
	// the read in which the request started. It bounds a header line that the
	// parser has not reported yet.
	rawBytes int
	// hasExpect is true if the request has an Expect header.
	hasExpect bool
	// problem is the first reason to refuse the input, or nil.
	problem *InputError
}

// OnMethod resets the input state for a new request and starts its timer.
func (c *processor) OnMethod(parser *nbhttp.Parser, method string) {
	c.mu.Lock()
	if !c.awaitingRequest {
		c.awaitingRequest = true
		c.timer.Reset(c.server.config.ReadTimeout)
	}
	c.mu.Unlock()
	_ = c.Conn.SetReadDeadline(time.Time{})
	c.input = inputState{inHeader: true, startedInRead: true, headerBytes: len(method), problem: c.input.problem}
	c.Processor.OnMethod(parser, method)
}

// OnURL counts the request target as part of the header block.
func (c *processor) OnURL(parser *nbhttp.Parser, target string) error {
	c.countHeader(len(target))
	return c.Processor.OnURL(parser, target)
}

// OnHeader counts header bytes, records that the caller awaits an interim answer, and removes the
// white space around a value, of which nbhttp keeps some.
func (c *processor) OnHeader(parser *nbhttp.Parser, key, value string) {
	c.countHeader(len(key) + len(value) + len(": \r\n"))
	if strings.EqualFold(key, "Expect") {
		c.input.hasExpect = true
	}
	c.Processor.OnHeader(parser, key, strings.Trim(value, " \t"))
}

// countHeader adds to the size of the header block and enforces MaxHeaderBytes.
func (c *processor) countHeader(n int) {
	c.input.headerBytes += n
	if c.input.headerBytes > c.server.config.MaxHeaderBytes {
		c.input.reject(headerTooLarge(c.server.config.MaxHeaderBytes))
	}
}

// OnContentLength ends the header block; length is -1 if the body is chunked or absent.
func (c *processor) OnContentLength(parser *nbhttp.Parser, length int) {
	c.input.inHeader = false
	switch {
	case length > c.server.config.MaxBodyBytes:
		c.input.reject(bodyTooLarge(c.server.config.MaxBodyBytes))
	case c.input.hasExpect && c.input.problem == nil && c.idle():
		c.send([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	c.Processor.OnContentLength(parser, length)
}

// OnComplete passes a complete request on to nbhttp unless its input was refused.
func (c *processor) OnComplete(parser *nbhttp.Parser) {
	c.input.inHeader = true
	c.mu.Lock()
	c.awaitingRequest = false
	c.timer.Stop()
	c.mu.Unlock()
	if c.input.problem != nil {
		return
	}
	c.Processor.OnComplete(parser)
}

// errRefusedInput makes the parser stop at the body of a refused request.
var errRefusedInput = errors.New("request refused")

// OnBody counts and buffers body bytes unless the request is already refused.
func (c *processor) OnBody(parser *nbhttp.Parser, data []byte) error {
	if c.input.problem != nil {
		return errRefusedInput
	}
	c.server.buffered.Add(-c.unparsed)
	c.unparsed, c.passedOn = 0, true
	c.bodyBytes += int64(len(data))
	if c.server.buffered.Add(int64(len(data))) > c.server.config.MaxBufferedBytes {
		c.input.reject(bodyBufferFull(c.server.config.MaxBufferedBytes))
		return errRefusedInput
	}
	return c.Processor.OnBody(parser, data)
}

// reject records the first problem of the input.
func (i *inputState) reject(problem InputError) {
	if i.problem == nil {
		i.problem = &problem
	}
}

// parse passes the bytes of one read to the parser, up to a malformed request, and refuses
// that and input that exceeds a limit.
func (c *processor) parse(parser *nbhttp.Parser, data []byte) {
	c.passedOn = false
	sound, invalid := c.scanner.scan(data)
	err := parser.Parse(data[:sound])
	c.countUnparsed(sound)
	if invalid != nil {
		c.input.reject(c.scanErrorOf(invalid))
	}
	c.checkInput(err, len(data))
}

// countUnparsed counts the bytes of an incomplete body that the parser holds after a
// read of length bytes, as part of the memory for request bodies. nbhttp holds a body,
// or a chunk with its framing, until it is complete.
func (c *processor) countUnparsed(length int) {
	held := int64(0)
	if !c.input.inHeader {
		held = int64(length)
		if !c.passedOn {
			held += c.unparsed
		}
	}
	buffered := c.server.buffered.Add(held - c.unparsed)
	c.unparsed = held
	limits := &c.server.config
	switch {
	case c.bodyBytes+held > int64(limits.MaxBodyBytes+limits.MaxHeaderBytes)+readBufferBytes:
		c.input.reject(bodyTooLarge(limits.MaxBodyBytes))
	case held > 0 && buffered > limits.MaxBufferedBytes:
		c.input.reject(bodyBufferFull(limits.MaxBufferedBytes))
	}
}

// checkInput refuses the connection's input if the last read of length bytes
// exceeded a limit or the parser failed with err.
func (c *processor) checkInput(err error, length int) {
	in := &c.input
	switch {
	case in.inHeader && !in.startedInRead:
		in.rawBytes += length
	case !in.inHeader:
		in.rawBytes = 0
	}
	in.startedInRead = false
	if in.inHeader && in.rawBytes > c.server.config.MaxHeaderBytes {
		in.reject(headerTooLarge(c.server.config.MaxHeaderBytes))
	}
	if err != nil {
		in.reject(c.inputErrorOf(err))
	}
	if in.problem != nil {
		c.refuse(*in.problem)
	}
}

// scanErrorOf converts an error of the scanner into the error for the caller.
func (c *processor) scanErrorOf(err error) InputError {
	switch {
	case errorx.IsOfType(err, errLongHeader):
		return headerTooLarge(c.server.config.MaxHeaderBytes)
	case errorx.IsOfType(err, errLongLine):
		return bodyTooLarge(c.server.config.MaxBodyBytes)
	}
	problem := malformed(errorx.Cast(err).Message())
	_, problem.Fault, _ = strings.Cut(errorx.Cast(err).Type().FullName(), ".")
	return problem
}

// inputErrorOf converts a parser error into the error for the caller.
func (c *processor) inputErrorOf(err error) InputError {
	switch {
	case !errors.Is(err, nbhttp.ErrTooLong):
		return malformed(err.Error())
	case c.input.inHeader:
		return headerTooLarge(c.server.config.MaxHeaderBytes)
	}
	return bodyTooLarge(c.server.config.MaxBodyBytes)
}
