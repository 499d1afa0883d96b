// Package forward is the edge to upstreams that receive requests as callers
// sent them. It sends one request on one connection, checks that the answer
// belongs to it and is whole, and relays it. It never sends a request twice and
// decides nothing about repetitions.
package forward

import (
	"context"
	"errors"
	"net/http"
	"time"
)

// Status says how an exchange ended.
type Status uint8

// Statuses of an exchange.
const (
	// NotSent means that no byte was handed to a connection.
	NotSent Status = iota + 1
	// NotRun means that the upstream states that it did not run the request.
	NotRun
	// Complete means that a whole answer was relayed.
	Complete
	// Broken means that the answer did not come, or not whole.
	Broken
	// Failed means that the upstream answered with a failure of its own, which is
	// held back in Relay.Failure since the request may be sent again.
	Failed
	// Mismatched means that what came is not the answer to this request.
	Mismatched
	// Expired means that the time for the exchange passed.
	Expired
	// Canceled means that the caller went away or does not take the answer.
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
	// Events is the number of whole events that were relayed in all.
	Events uint32
	// Detail says in words what happened, for the log.
	Detail string
}

// AnswerHead is what the headers of an answer say.
type AnswerHead struct {
	// RequestID is the id of the request that the answer belongs to; empty if
	// the upstream did not say.
	RequestID string
	// NotRun is true if the upstream states that it did not run the request.
	NotRun bool
	// Sealed is true if the answer carries the upstream's signature.
	Sealed bool
	// Encoded is true if the body is not what the upstream's service produced.
	Encoded bool
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
	// ID is expected back in the answer.
	ID string
	// Repeatable is true if the request may be sent again after it may have
	// run. Others use kept connections only where these are surely open.
	Repeatable bool
	// HoldFailure keeps a failure of the upstream back in place of relaying it.
	HoldFailure bool
	// Stream is true if the answer is a stream of events.
	Stream bool
}

// Sink takes an answer. Its methods are called by one goroutine.
type Sink interface {
	// Start passes on status and headers; length is -1 if it is not known. It is
	// called once per caller, also if a stream is continued by another exchange.
	Start(code int, header http.Header, length int64) error
	// Write passes on bytes of the body at once.
	Write(p []byte) error
}

// Progress learns how an exchange proceeds. Its methods must not block.
type Progress interface {
	// FirstByte reports the first byte of the body, for streams the first event.
	FirstByte()
	// Events reports the whole events relayed so far, over all exchanges.
	Events(total uint32)
}

// Failure is an upstream's own answer that the request failed.
type Failure struct {
	Code   int
	Header http.Header
	Body   []byte
}

// Relay is the caller's side of a request. It lasts over several exchanges, so
// that a stream that broke can be continued.
type Relay struct {
	Sink     Sink
	Progress Progress
	// Failure is the newest failure that was held back, or nil.
	Failure *Failure
	started bool
	events  uint32
	// lastEvent is the id of the last whole event that was relayed.
	lastEvent string
	splitter  splitter
}

// Started reports whether a part of an answer has been passed on.
func (r *Relay) Started() bool { return r.started }

// LastEvent is the id of the last whole event that was passed on, or empty.
func (r *Relay) LastEvent() string { return r.lastEvent }

// Events is the number of whole events that were relayed.
func (r *Relay) Events() uint32 { return r.events }

// Errors of exchanges.
var (
	errCallerGone = errors.New("the caller does not take the answer")
	errOrder      = errors.New("the continued stream does not follow the last event")
)

// Options bound the connections of a Client.
type Options struct {
	// DialTimeout bounds the time to open a connection.
	DialTimeout time.Duration
	// MaxIdle bounds the idle connections to one upstream.
	MaxIdle int
	// ReadHead reads the headers of answers.
	ReadHead ReadHead
}

// Do carries out one exchange. ctx ends with the caller or at the deadline.
func (c *Client) Do(ctx context.Context, request *Request, relay *Relay) Result {
	x := exchange{client: c, ctx: ctx, request: request, relay: relay}
	result := x.run()
	result.Events = relay.events
	return result
}
