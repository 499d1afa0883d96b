package gateway

import (
	"context"
	"net/http"

	"github.com/citrongate/citrongate/internal/boottime"
	"github.com/citrongate/citrongate/internal/eventlog"
	"github.com/citrongate/citrongate/internal/forward"
	"github.com/citrongate/citrongate/internal/httpfront"
	"github.com/citrongate/citrongate/pkg/answer"
	"github.com/citrongate/citrongate/pkg/answerbuffer"
	"github.com/citrongate/citrongate/pkg/node"
)

// holdAnswer lets the server hold what the caller has not read of the answer.
func (c *call) holdAnswer() {
	httpfront.HoldAnswer(c.w, httpfront.HeldAnswer{
		Organisation: c.organisationName(),
		Buffered:     func() { c.g.metrics.Count("answer_buffer", "buffered") },
		Waits: func() {
			c.g.metrics.Count("answer_buffer", "held_back")
			c.logAnswerHeldBack()
		},
		Aborted: func() {
			c.g.metrics.Count("answer_buffer", "aborted")
			c.logAnswerAborted()
		},
	})
}

// finishAnswer waits until the caller has been sent an answer that is complete. limited ends at the
// deadline, ctx when the caller's connection closes; abortAtEnd then closes the connection.
func (c *call) finishAnswer(ctx, limited context.Context, d node.Dispatch, result forward.Result) {
	err := httpfront.WaitSent(c.w)
	switch {
	case err == nil:
		if result.Events > 0 {
			c.g.metrics.LongestPause(c.longestGap)
		}
		c.logAnswered(d, result)
	case ctx.Err() == nil && limited.Err() != nil:
		c.g.metrics.Count("answer_buffer", "unread_at_deadline")
		c.logRefused(c.execution.Restrict(answer.Refusal{Code: "deadline_exceeded", Ran: answer.RanYes,
			Reason: "the deadline passed before the caller had read the answer",
			Remedy: "read faster or send a later deadline"}), 0)
	default:
		c.logCallerDisconnected("")
	}
}

func (c *call) logAnswerHeldBack() {
	c.g.log.Write(eventlog.AnswerHeldBack{RequestID: c.head.ID, Organisation: c.organisationName(), Upstream: c.upstream,
		WaitedMs: eventlog.Milliseconds(boottime.Now() - c.arrived), Held: uint64(c.g.answers.Held())})
}

func (c *call) logAnswerAborted() {
	c.g.log.Write(eventlog.AnswerAborted{RequestID: c.head.ID, Organisation: c.organisationName(),
		WaitedMs: eventlog.Milliseconds(boottime.Now() - c.arrived), Held: uint64(c.g.answers.Held())})
}

// sink writes an upstream's answer to the caller's connection.
type sink struct {
	g       *Gateway
	w       http.ResponseWriter
	request *http.Request
	// pieces writes a body whose length is not known; nil otherwise.
	pieces *httpfront.PieceWriter
	// bodyless is true if the answer ends with its head.
	bodyless bool
	// long is true if the pieces of a body of known length go past the server's library, so that
	// they are held by the answer buffer.
	long bool
}

// shortAnswerBytes is the size up to which a body of known length is handed to the server's
// library as a whole. It would keep up to 64 KiB of a longer one, which are not counted.
const shortAnswerBytes = answerbuffer.Minimum

// Start writes status and headers to the caller.
func (s *sink) Start(code int, header http.Header, length int64) error {
	out := s.w.Header()
	for name, values := range s.g.codec.CallerHeader(header) {
		out[name] = values
	}
	if s.g.leaving.Load() {
		out["Connection"] = []string{"close"}
	}
	s.bodyless = !httpfront.WriteHead(s.w, s.request, code, length)
	s.long = s.g.answers != nil && length > shortAnswerBytes
	if length < 0 && !s.bodyless {
		pieces := httpfront.NewPieceWriter(s.w, s.request)
		s.pieces = &pieces
	}
	return nil
}

// Write sends bytes to the caller, at once if the length is unknown.
func (s *sink) Write(p []byte) error {
	if s.bodyless {
		return nil
	}
	if s.pieces != nil {
		return s.pieces.Write(p)
	}
	if s.long {
		return httpfront.WriteBody(s.w, p)
	}
	if _, err := s.w.Write(p); err != nil {
		return err
	}
	return httpfront.WriteFailure(s.w)
}
