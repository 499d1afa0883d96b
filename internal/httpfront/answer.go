package httpfront

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/citrongate/citrongate/internal/upstream"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// maxCollectedBytes bounds, in bytes, the text that is collected in memory for a
// caller that did not ask for a stream.
const maxCollectedBytes = 4 << 20

// Answer writes the response of one request. Its methods are called by one
// goroutine; exactly one of Refuse, Outcome and Done ends the response.
type Answer interface {
	// Sink provides Chunk, which takes one chunk of a model's answer.
	upstream.ChunkSink
	// Done ends a model's answer that is complete.
	Done() error
	// Outcome writes the answer of a plain service and ends the response.
	Outcome(o *pb.BindingOutcome) error
	// Refuse ends the request without a complete answer. It may also be called in
	// the middle of a stream.
	Refuse(r Refusal)
}

// newAnswer returns an Answer that streams if the caller asked for a stream and
// otherwise collects the chunks into one response.
func newAnswer(w http.ResponseWriter, call *http.Request, r *Request) Answer {
	base := baseAnswer{w: w, call: call, id: r.CallerID}
	if r.Stream {
		return &streamAnswer{baseAnswer: base, pieces: NewPieceWriter(w, call)}
	}
	return &collectedAnswer{baseAnswer: base, model: r.Model}
}

// baseAnswer writes outcomes and refusals; both other answers embed it.
type baseAnswer struct {
	w    http.ResponseWriter
	call *http.Request
	id   string
}

// Outcome writes the status, content type and body of the outcome unchanged.
func (a *baseAnswer) Outcome(o *pb.BindingOutcome) error {
	header := a.w.Header()
	if o.GetContentType() != "" {
		header.Set("Content-Type", o.GetContentType())
	}
	if WriteHead(a.w, a.call, int(o.GetHttpStatus()), int64(len(o.GetBody()))) {
		if _, err := a.w.Write(o.GetBody()); err != nil {
			return err
		}
	}
	return WriteFailure(a.w)
}

// Refuse writes the refusal as an error response.
func (a *baseAnswer) Refuse(r Refusal) { writeRefusal(a.w, a.id, r) }

// streamAnswer relays each chunk as a server-sent event.
type streamAnswer struct {
	baseAnswer
	pieces  PieceWriter
	started bool
	event   bytes.Buffer
}

// Chunk writes one event and replaces the request id that the engine was given
// by the caller's.
func (a *streamAnswer) Chunk(text []byte, c *upstream.Chunk) error {
	a.writeHeader()
	a.event.Reset()
	a.event.WriteString("data: ")
	a.event.Write(replaceID(text, c.ID, a.id))
	a.event.WriteString("\n\n")
	return a.writeEvent()
}

// replaceID replaces the engine's request id by the caller's. Only the first
// JSON string equal to the engine's id is replaced: callers do not know that id,
// so their text does not contain it.
func replaceID(text []byte, from, to string) []byte {
	return bytes.Replace(text, []byte(strconv.Quote(from)), []byte(strconv.Quote(to)), 1)
}

// writeHeader writes the response header before the first event.
func (a *streamAnswer) writeHeader() {
	if a.started {
		return
	}
	a.started = true
	a.w.Header().Set("Content-Type", "text/event-stream")
	a.w.Header().Set("Cache-Control", "no-cache")
	a.w.WriteHeader(http.StatusOK)
}

// writeEvent sends the buffered event.
func (a *streamAnswer) writeEvent() error { return a.pieces.Write(a.event.Bytes()) }

// Done writes the end marker of the stream.
func (a *streamAnswer) Done() error {
	a.writeHeader()
	a.event.Reset()
	a.event.WriteString("data: [DONE]\n\n")
	return a.writeEvent()
}

// Refuse writes an error response, or an error event if the stream has begun, so
// that the caller can tell the truncated stream from a complete answer.
func (a *streamAnswer) Refuse(r Refusal) {
	if !a.started {
		a.baseAnswer.Refuse(r)
		return
	}
	a.event.Reset()
	a.event.WriteString("event: error\ndata: ")
	a.event.Write(r.body(a.id))
	a.event.WriteString("\n\n")
	_ = a.writeEvent()
}

// collectedAnswer collects the chunks of a model's answer into one chat completion.
type collectedAnswer struct {
	baseAnswer
	model  string
	text   strings.Builder
	finish string
	usage  *upstream.Usage
}

var errAnswerTooLong = errors.New("the answer is too long to be collected; ask for a stream")

// Chunk appends the text of a chunk and keeps its finish reason and usage.
func (a *collectedAnswer) Chunk(_ []byte, c *upstream.Chunk) error {
	if c.Usage != nil {
		a.usage = c.Usage
	}
	for i := range c.Choices {
		a.text.WriteString(c.Choices[i].Delta.Content)
		if c.Choices[i].FinishReason != nil {
			a.finish = *c.Choices[i].FinishReason
		}
	}
	if a.text.Len() > maxCollectedBytes {
		return errAnswerTooLong
	}
	return nil
}

type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   *upstream.Usage    `json:"usage,omitempty"`
}

type completionChoice struct {
	Index        int               `json:"index"`
	Message      completionMessage `json:"message"`
	FinishReason string            `json:"finish_reason"`
}

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Done writes the collected chat completion.
func (a *collectedAnswer) Done() error {
	text, err := json.Marshal(completion{
		ID: a.id, Object: "chat.completion", Created: time.Now().Unix(), Model: a.model,
		Choices: []completionChoice{{Message: completionMessage{Role: "assistant", Content: a.text.String()}, FinishReason: a.finish}},
		Usage:   a.usage,
	})
	if err != nil {
		return err
	}
	return a.Outcome(&pb.BindingOutcome{HttpStatus: http.StatusOK, ContentType: "application/json", Body: text})
}
