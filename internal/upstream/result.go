package upstream

import (
	"context"

	"github.com/citrongate/citrongate/pkg/answer"
)

// Status says how a request ended at its upstream.
type Status uint8

// Statuses of a request.
const (
	// NotSent means that no byte was written to the upstream's connection and none
	// will be.
	NotSent Status = iota + 1
	// Complete means that the end marker and the request id were seen.
	Complete
	// Refused means that the upstream refused the request explicitly before running
	// it.
	Refused
	// Broken means that the answer was truncated or invalid and could not be
	// resumed, or that it is not known whether the request ran.
	Broken
	// Mismatched means that the answer carried another request's id.
	Mismatched
	// Deadline means that the deadline passed after the request was sent.
	Deadline
	// Canceled means that the context was canceled after the request was sent,
	// or that the caller did not read the answer.
	Canceled
)

var statusNames = [...]string{"", "not sent", "complete", "not run", "broken", "mismatched", "expired", "canceled"}

// String returns the name for log lines.
func (s Status) String() string { return statusNames[s] }

// Result is the outcome of a request at its upstream.
type Result struct {
	Status Status
	// OutputTokens is the number of tokens received.
	OutputTokens uint32
	// CachedPromptTokens is the number of prompt tokens that the engine reported as
	// found in its prefix cache.
	CachedPromptTokens uint32
	// Detail describes what happened, for the log.
	Detail string
}

// Ran returns what the result tells about whether the upstream ran the request.
func (r Result) Ran() answer.Ran {
	switch r.Status {
	case NotSent, Refused:
		return answer.RanNo
	case Complete:
		return answer.RanYes
	}
	return answer.RanUnknown
}

// failureResult returns the result of a request that failed with err; sent says
// whether any byte of it was written to a connection.
func failureResult(ctx context.Context, sent bool, err error) Result {
	detail := "connection closed"
	if err != nil {
		detail = err.Error()
	}
	switch {
	case !sent:
		return Result{Status: NotSent, Detail: detail}
	case ctx.Err() == context.DeadlineExceeded:
		return Result{Status: Deadline, Detail: "deadline passed"}
	case ctx.Err() != nil:
		return Result{Status: Canceled, Detail: "canceled"}
	}
	return Result{Status: Broken, Detail: detail}
}
