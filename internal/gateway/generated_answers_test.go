package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/citrongate/citrongate/internal/fixedseed"
	"github.com/citrongate/citrongate/internal/httpfront"
	"github.com/citrongate/citrongate/internal/testserver"
	"github.com/citrongate/citrongate/pkg/ingress"
)

// soundAnswers are answers with the body "body", by which they are changed.
var soundAnswers = []string{
	answerHead + "Content-Length: 4\r\n\r\nbody",
	answerHead + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	answerHead + "Transfer-Encoding: chunked\r\nTrailer: T\r\n\r\n2\r\nbo\r\n2;e=1\r\ndy\r\n0\r\nT: 1\r\n\r\n",
	answerHead + "\r\nbody",
	"HTTP/1.0 200 OK\r\nId: a\r\nSeal: x\r\n\r\nbody",
	"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + answerHead + "Content-Length: 4\r\n\r\nbody",
}

// soundStreams are answers with the stream "id: 1\ndata: x\n\nid: 2\ndata: y\n\n".
var soundStreams = []string{
	streamHead + "Content-Length: 30\r\n\r\nid: 1\ndata: x\n\nid: 2\ndata: y\n\n",
	streamHead + "Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: x\n\n\r\nf\r\nid: 2\ndata: y\n\n\r\n0\r\n\r\n",
	streamHead + "\r\nid: 1\ndata: x\n\nid: 2\ndata: y\n\n",
}

const streamHead = answerHead + "Content-Type: text/event-stream\r\n"

// changedAnswer draws an answer of which some bytes are changed, and whether its connection is reset
// after it.
func changedAnswer(t *rapid.T, sound []string) (text string, resets bool) {
	text = rapid.SampledFrom(sound).Draw(t, "answer")
	for range rapid.IntRange(0, 3).Draw(t, "changes") {
		at := rapid.IntRange(0, len(text)).Draw(t, "at")
		piece := rapid.SampledFrom([]string{
			"\x00", "\x01", "\r", "\n", "\r\n", "\r\n\r\n", " ", "\t", ":", ";", "0", "1", "5", "-", "+", "a", "\x7f", "\xe4",
			"\r\nX: 1", "\r\nContent-Length: 2", "\r\nTransfer-Encoding: chunked", "\r\nContent-Length : 2", "\r\nConnection: close", "\n\n", "\r\r", ": c\r", "data: z\r",
		}).Draw(t, "piece")
		rest := min(len(text), at+rapid.IntRange(0, 2).Draw(t, "left out"))
		text = text[:at] + piece + text[rest:]
	}
	if rapid.Bool().Draw(t, "cuts") {
		text = text[:rapid.IntRange(0, len(text)).Draw(t, "cut")]
	}
	return text, rapid.Bool().Draw(t, "resets")
}

var (
	statusPattern = regexp.MustCompile(`^HTTP/1\.([0-9]) ([1-5][0-9]{2})( [\t -~\x80-\xff]*)?$`)
	fieldPattern  = regexp.MustCompile(`^([!#$%&'*+.^_|~0-9A-Za-z\x60-]+):[ \t]*([\t -~\x80-\xff]*?)[ \t]*$`)
	chunkPattern  = regexp.MustCompile(`^([0-9A-Fa-f]{1,16})[ \t]*(;[^\r\n]*)?$`) // extensions are ignored, whatever they are
)

// latin1 is a text whose runes are the bytes of another, so that patterns match bytes.
func latin1(text string) string {
	runes := make([]rune, len(text))
	for i := range len(text) {
		runes[i] = rune(text[i])
	}
	return string(runes)
}

// referenceHead reads one head by RFC 9112.
func referenceHead(text string) (status int, minor string, fields map[string][]string, rest string, ok bool) {
	fields = map[string][]string{}
	for first := true; ; first = false {
		line, after, ends := strings.Cut(text, "\n")
		line = latin1(strings.TrimSuffix(line, "\r"))
		text = after
		match := statusPattern.FindStringSubmatch(line)
		field := fieldPattern.FindStringSubmatch(line)
		switch {
		case !ends:
			return 0, "", nil, "", false
		case first && match == nil:
			return 0, "", nil, "", false
		case first:
			status, _ = strconv.Atoi(match[2])
			minor = match[1]
		case line == "":
			return status, minor, fields, text, true
		case field == nil:
			return 0, "", nil, "", false
		default:
			name := strings.ToLower(field[1])
			fields[name] = append(fields[name], field[2])
		}
	}
}

// referenceBody returns the body of an answer that ends with its connection, and whether it is complete. A
// stream is complete only if it does not end inside an event.
func referenceBody(text string, resets bool) (body string, complete bool) {
	status, minor, fields, rest, ok := referenceHead(text)
	for ok && status < 200 && status != http.StatusSwitchingProtocols {
		status, minor, fields, rest, ok = referenceHead(rest)
	}
	coding, lengths := fields["transfer-encoding"], fields["content-length"]
	switch {
	case !ok || status != http.StatusOK || len(coding) > 0 && minor == "0":
		return "", false
	case len(coding) > 0:
		body, complete = referenceChunks(rest)
	case len(lengths) > 0:
		length, err := strconv.ParseUint(lengths[0], 10, 32)
		for _, other := range lengths {
			if err != nil || other != lengths[0] || len(rest) < int(length) {
				return "", false
			}
		}
		body, complete = rest[:length], true
	default:
		body, complete = rest, !resets
	}
	if types := fields["content-type"]; len(types) > 0 && types[0] == "text/event-stream" {
		complete = complete && endsBetweenEvents(body)
	}
	return body, complete
}

// endsBetweenEvents reports whether a stream does not end inside an event.
func endsBetweenEvents(stream string) bool {
	lines := strings.Split(strings.NewReplacer("\r\n", "\n", "\r", "\n").Replace(stream), "\n")
	inside := false
	for _, line := range lines[:len(lines)-1] {
		inside = line != "" && (inside || line[0] != ':')
	}
	return !inside && lines[len(lines)-1] == ""
}

// referenceChunks reads a chunked body with its trailers.
func referenceChunks(text string) (body string, complete bool) {
	for {
		line, rest, ends := strings.Cut(text, "\r\n")
		match := chunkPattern.FindStringSubmatch(latin1(line))
		if !ends || match == nil {
			return "", false
		}
		size, err := strconv.ParseUint(match[1], 16, 32)
		if err != nil || size > 0 && (len(rest) < int(size)+2 || rest[size:size+2] != "\r\n") {
			return "", false
		}
		if size == 0 {
			_, _, _, _, ok := referenceHead("HTTP/1.1 200 OK\r\n" + rest)
			return body, ok
		}
		body, text = body+rest[:size], rest[size+2:]
	}
}

// answersInOneCheck is the number of answers in one check of rapid.
const answersInOneCheck = 5

// TestGeneratedAnswers guards against an answer that reaches its caller as a success although it is none by
// RFC 9112, or with another body than the RFC gives it, and against a sound one that does not arrive. The
// answers are sound ones of which a few bytes are changed, left out or added; the caller's side is read with
// net/http, and a reading of its own tells what the answer is.
func TestGeneratedAnswers(t *testing.T) {
	type script struct {
		text   string
		resets bool
	}
	var next atomic.Pointer[script]
	// closed receives a value when the upstream has closed a connection that it had not announced to
	// close. A request that crosses the close may have run and is rightly answered with a failure.
	closed := make(chan struct{}, 1)
	upstream := testserver.Listen(t, func(c net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		s := next.Load()
		_, _ = io.WriteString(c, s.text)
		if s.resets {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		_ = c.Close()
		closed <- struct{}{}
	})
	for kind, sound := range map[ingress.RouteKind][]string{
		ingress.Idempotent: soundAnswers, ingress.NonIdempotent: soundAnswers, ingress.Stream: soundStreams,
	} {
		front, _ := gatewayWith(t, granting{address: upstream}, &ingress.Route{Kind: kind, MaxSends: 1}, time.Minute,
			func(_ *Gateway, c *httpfront.ServerConfig) { c.MaxConnections = 1000 })
		rapid.Check(t, func(rt *rapid.T) {
			for range answersInOneCheck {
				text, resets := changedAnswer(rt, sound)
				next.Store(&script{text, resets})
				status, got, err := readStatus(t, front, "HTTP/1.1")
				select {
				case <-closed:
				case <-time.After(10 * time.Second):
					require.FailNow(rt, "the request has not reached the upstream", "%q", text)
				}
				want, complete := referenceBody(text, resets)
				message := fmt.Sprintf("%q, resets %v: status %d, body %q, error %v; by the RFC %q, %v", text, resets, status, got, err, want, complete)
				require.NotErrorIs(rt, err, os.ErrDeadlineExceeded, message)
				if status == http.StatusOK && err == nil {
					require.True(rt, complete, message)
					require.Equal(rt, want, got, message)
				}
				if slices.Contains(sound, text) && !resets {
					require.NoError(rt, err, message)
					require.Equal(rt, want, got, message)
				}
			}
		})
	}
}
