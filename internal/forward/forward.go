// Package forward is the HTTP client for upstreams that receive requests as
// callers sent them. It sends one request on one connection, checks that the
// answer belongs to it and is complete, and relays it. It never sends a request
// twice; whether a request is sent again is decided by its user.
package forward

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/citrongate/citrongate/pkg/answer"
)

// Status says how an exchange ended.
type Status uint8

// Statuses of an exchange.
const (
	// NotSent means that no byte of the request was written to a connection.
	NotSent Status = iota + 1
	// NotRun means that the upstream states that it did not run the request.
	NotRun
	// Complete means that a complete answer was relayed.
	Complete
	// Broken means that no answer arrived, or that it was truncated or cannot be
	// relayed.
	Broken
	// Failed means that the upstream answered with a failure of its own, which is
	// withheld in CallerAnswer.Failure since the request may be sent again.
	Failed
	// Mismatched means that the answer received does not belong to this request or
	// is not the upstream's own.
	Mismatched
	// Expired means that the deadline passed during the exchange.
	Expired
	// Canceled means that the caller disconnected or does not read the answer.
	Canceled
)

// String returns the status in lower case, as in the log.
func (s Status) String() string {
	if int(s) < len(statusNames) {
		return statusNames[s]
	}
	return "unknown"
}

var statusNames = [...]string{"unknown", "not sent", "not run", "complete", "broken", "failed", "mismatched", "expired", "canceled"}

// Result is how an exchange ended.
type Result struct {
	Status Status
	// Code is the upstream's HTTP status; 0 if there was no answer.
	Code int
	// Events is the number of complete events relayed, over all exchanges of the
	// request.
	Events uint32
	// Unsent is true if no byte of the request was written to a connection.
	Unsent bool
	// UpstreamFull is true if the request was not sent since the upstream has not answered
	// others with as many bytes as it may be sent at the same time. HoldOff is then how long no
	// further request should be sent to it.
	UpstreamFull bool
	HoldOff      time.Duration
	// Detail describes what happened, for the log.
	Detail string
}

// Ran returns what the exchange tells about whether the upstream ran the request.
func (r Result) Ran() answer.Ran {
	switch {
	case r.Unsent || r.Status == NotRun:
		return answer.RanNo
	case r.Status == Complete || r.Status == Failed:
		return answer.RanYes
	}
	return answer.RanUnknown
}

// AnswerHead holds what an exchange needs to know from the headers of an answer.
type AnswerHead struct {
	// RequestID is the id of the request that the answer belongs to; empty if
	// the answer has none.
	RequestID string
	// NotRun is true if the upstream states that it did not run the request.
	NotRun bool
	// Sealed is true if the answer carries the upstream's signature.
	Sealed bool
	// Encoded is true if the body has a content encoding, so that it is not what
	// the upstream's service produced.
	Encoded bool
	// Leaving is true if the upstream says that it takes no new requests.
	Leaving bool
	// HoldOff is how long the upstream wants no further request from this instance; 0 if
	// it does not say. HoldOffInvalid is true if what it says is not used as it is.
	HoldOff        time.Duration
	HoldOffInvalid bool
	// Load is what the upstream says of its load.
	Load LoadReport
	// LoadInvalid is true if what it says could not be read; Load is then empty.
	LoadInvalid bool
}

// LoadReport is what an upstream says of its load when it answers. The zero value
// means that it says nothing.
type LoadReport struct {
	// Running and Waiting are the numbers of requests that it processes and that wait
	// there, Slots the number that it processes at the same time.
	Running, Waiting, Slots uint32
	// SlowdownPercent is how long work takes there now, in percent of the usual time;
	// 0 if it does not say.
	SlowdownPercent uint32
}

// ReadHead reads the headers of an answer.
type ReadHead func(code int, header http.Header) AnswerHead

// Request is one request to an upstream.
type Request struct {
	Address string
	Method  string
	// URI is the request target as the caller sent it.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// ID is the request's id, which the answer must carry.
	ID string
	// Repeatable is true if the request may be sent again after it may have run.
	// A request that is not repeatable uses an idle connection only if that is so
	// recent that the upstream is not about to close it.
	Repeatable bool
	// WithholdFailure withholds a failure of the upstream instead of relaying it.
	WithholdFailure bool
	// Stream is true if the answer is a stream of events.
	Stream bool
	// NumberedEvents is true if each event of the stream must have an id, and the ids
	// are increasing numbers. Anything else breaks the answer.
	NumberedEvents bool
}

// Sink receives the answer for a caller. Its methods are called by one goroutine.
type Sink interface {
	// Start receives status and headers; length is -1 if it is not known. It is
	// called once per caller, also if a stream is continued by another exchange.
	Start(code int, header http.Header, length int64) error
	// Write receives bytes of the body, to be sent to the caller without delay.
	Write(p []byte) error
}

// Progress is notified of the progress of an exchange. Its methods must not block.
type Progress interface {
	// Head reports the head of the upstream's answer to the request, whether or not the
	// answer can be relayed.
	Head(head AnswerHead)
	// FirstEvent reports the first event of a stream. It is not called for other
	// answers.
	FirstEvent()
	// Events reports the number of complete events relayed so far, over all
	// exchanges of the request.
	Events(total uint32)
}

// Failure is an upstream's own answer with a status that says that the request
// failed.
type Failure struct {
	Code   int
	Header http.Header
	Body   []byte
}

// CallerAnswer is the state of the answer to one caller. It is kept over several
// exchanges, so that a broken stream can be continued.
type CallerAnswer struct {
	Sink     Sink
	Progress Progress
	// Failure is the newest failure that was withheld, or nil.
	Failure *Failure
	// Load is the load report of the newest exchange, LoadInvalid as in AnswerHead.
	Load        LoadReport
	LoadInvalid bool
	started     atomic.Bool
	// stream is true if what was relayed is a stream of events.
	stream bool
	events uint32
	// lastEvent is the id of the last complete event that was relayed.
	lastEvent     string
	eventSplitter eventSplitter
}

// Started reports whether any of an answer, such as its headers, has been relayed. It
// may be called by any goroutine.
func (r *CallerAnswer) Started() bool { return r.started.Load() }

// Continuable reports whether another exchange may add to the answer: nothing was
// relayed yet, or events of a stream.
func (r *CallerAnswer) Continuable() bool { return !r.Started() || r.stream }

// LastEvent is the id of the last complete event that was relayed, or empty.
func (r *CallerAnswer) LastEvent() string { return r.lastEvent }

// Events is the number of complete events that were relayed.
func (r *CallerAnswer) Events() uint32 { return r.events }

// Errors of exchanges.
var errCallerDisconnected = errors.New("the caller does not read the answer")

// Options bound the connections of a Client.
type Options struct {
	// DialTimeout bounds the time to open a connection.
	DialTimeout time.Duration
	// MaxIdle bounds the idle connections to one upstream.
	MaxIdle int
	// ReadHead reads the headers of answers.
	ReadHead ReadHead
	// MaxHeadBytes bounds status line and headers of an answer together with the
	// interim answers before it, MaxEventBytes one event of a stream and
	// MaxBodyBytes a whole body. Bytes beyond a bound break the answer; 0 means no
	// bound.
	MaxHeadBytes, MaxEventBytes int
	MaxBodyBytes                int64
	// MaxRequestBytes bounds the bodies that one upstream was sent and has not answered; 0
	// means no bound. RequestWaits, if set, is called when a request waits for this reason.
	MaxRequestBytes int64
	RequestWaits    func(request *Request)
}

// Exchange carries out one exchange. ctx must end when the caller disconnects or at the
// deadline.
func (c *Client) Exchange(ctx context.Context, request *Request, relay *CallerAnswer) Result {
	relay.Load, relay.LoadInvalid = LoadReport{}, false
	release, err := c.requestBytes.acquire(ctx, request.Address, len(request.Body), func() {
		if c.options.RequestWaits != nil {
			c.options.RequestWaits(request)
		}
	})
	if err != nil {
		return noRoomResult(ctx, relay)
	}
	defer release()
	x := exchange{client: c, ctx: ctx, request: request, relay: relay, eventsBefore: relay.events}
	result := x.run()
	result.Events = relay.events
	return result
}

// noRoomResult is the result of a request for which its upstream had no room.
func noRoomResult(ctx context.Context, relay *CallerAnswer) Result {
	result := Result{Status: NotRun, Events: relay.events, Unsent: true, UpstreamFull: true, HoldOff: requestRoomWait,
		Detail: "the upstream has not answered requests with upstream_request_mb of bodies"}
	switch ctx.Err() {
	case nil:
	case context.Canceled:
		result.Status, result.UpstreamFull = Canceled, false
	default:
		result.Status, result.UpstreamFull = Expired, false
	}
	return result
}
