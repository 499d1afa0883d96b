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

// maxWholeAnswer bounds an answer that is collected for a caller that did not
// ask for a stream.
const maxWholeAnswer = 4 << 20

// Answer receives the one answer of a request. Its methods are called by one
// goroutine; exactly one of Refuse, Outcome and Done ends the answer.
type Answer interface {
	// Chunk passes on a chunk of a model's answer.
	upstream.Sink
	// Done ends a model's answer that is whole.
	Done() error
	// Outcome answers a call to a plain service.
	Outcome(o *pb.BindingOutcome) error
	// Refuse ends the request without a whole answer, also in the middle of a stream.
	Refuse(r Refusal)
}

// newAnswer returns the answer in the form that the caller asked for.
func newAnswer(w http.ResponseWriter, r *Request) Answer {
	base := plainAnswer{w: w, id: r.CallerID}
	if r.Stream {
		return &streamAnswer{plainAnswer: base}
	}
	return &wholeAnswer{plainAnswer: base, model: r.Model}
}

// plainAnswer writes outcomes and refusals.
type plainAnswer struct {
	w  http.ResponseWriter
	id string
}

// Outcome writes the answer of a plain service as it is.
func (a *plainAnswer) Outcome(o *pb.BindingOutcome) error {
	header := a.w.Header()
	if o.GetContentType() != "" {
		header.Set("Content-Type", o.GetContentType())
	}
	header.Set("Content-Length", strconv.Itoa(len(o.GetBody())))
	a.w.WriteHeader(int(o.GetHttpStatus()))
	if _, err := a.w.Write(o.GetBody()); err != nil {
		return err
	}
	return a.taken()
}

// taken returns an error if the caller's connection does not take the answer.
func (a *plainAnswer) taken() error {
	if c := connectionOf(a.w); c != nil {
		return c.takes()
	}
	return nil
}

// Refuse writes an error answer.
func (a *plainAnswer) Refuse(r Refusal) { writeRefusal(a.w, a.id, r) }

// streamAnswer relays chunks as server-sent events.
type streamAnswer struct {
	plainAnswer
	started bool
	event   bytes.Buffer
}

// Chunk writes one event, with the caller's request id in place of the one
// used with the engine.
func (a *streamAnswer) Chunk(text []byte, c *upstream.Chunk) error {
	a.begin()
	a.event.Reset()
	a.event.WriteString("data: ")
	a.event.Write(replaceID(text, c.ID, a.id))
	a.event.WriteString("\n\n")
	return a.send()
}

// replaceID puts the caller's id in place of the engine's. A JSON string equal
// to the engine's id appears once, since the id is not known to callers.
func replaceID(text []byte, from, to string) []byte {
	return bytes.Replace(text, []byte(strconv.Quote(from)), []byte(strconv.Quote(to)), 1)
}

func (a *streamAnswer) begin() {
	if a.started {
		return
	}
	a.started = true
	a.w.Header().Set("Content-Type", "text/event-stream")
	a.w.Header().Set("Cache-Control", "no-cache")
	a.w.WriteHeader(http.StatusOK)
}

func (a *streamAnswer) send() error {
	if _, err := a.w.Write(a.event.Bytes()); err != nil {
		return err
	}
	if flusher, ok := a.w.(http.Flusher); ok {
		flusher.Flush()
	}
	return a.taken()
}

// Done writes the end marker.
func (a *streamAnswer) Done() error {
	a.begin()
	a.event.Reset()
	a.event.WriteString("data: [DONE]\n\n")
	return a.send()
}

// Refuse ends a stream that has begun with an error event, so that the caller
// can tell it from a whole answer.
func (a *streamAnswer) Refuse(r Refusal) {
	if !a.started {
		a.plainAnswer.Refuse(r)
		return
	}
	a.event.Reset()
	a.event.WriteString("event: error\ndata: ")
	a.event.Write(r.body(a.id))
	a.event.WriteString("\n\n")
	_ = a.send()
}

// wholeAnswer collects chunks into one chat completion.
type wholeAnswer struct {
	plainAnswer
	model  string
	text   strings.Builder
	finish string
	usage  *upstream.Usage
}

var errAnswerTooLong = errors.New("the answer is too long to be collected; ask for a stream")

// Chunk collects the text of a chunk.
func (a *wholeAnswer) Chunk(_ []byte, c *upstream.Chunk) error {
	if c.Usage != nil {
		a.usage = c.Usage
	}
	for i := range c.Choices {
		a.text.WriteString(c.Choices[i].Delta.Content)
		if c.Choices[i].FinishReason != nil {
			a.finish = *c.Choices[i].FinishReason
		}
	}
	if a.text.Len() > maxWholeAnswer {
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

// Done writes the collected answer.
func (a *wholeAnswer) Done() error {
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
