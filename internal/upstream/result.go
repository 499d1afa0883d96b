package upstream

import "context"

// Status says how a request ended at its upstream.
type Status uint8

// Statuses of a request.
const (
	// NotSent means that no byte reached the upstream's connection and none will.
	NotSent Status = iota + 1
	// Complete means that the end marker and the request id were seen.
	Complete
	// Refused means that the upstream refused explicitly before it started.
	Refused
	// Broken means that the answer was cut and could not be resumed.
	Broken
	// Mismatched means that the answer carried another request's id.
	Mismatched
	// Deadline means that the deadline passed after the request was sent.
	Deadline
	// Canceled means that the context was canceled after the request was sent,
	// or that the caller could not take the answer.
	Canceled
)

var statusNames = [...]string{"", "not sent", "complete", "not run", "broken", "mismatched", "expired", "canceled"}

// String returns the name for log lines.
func (s Status) String() string { return statusNames[s] }

// Result is the end of a request.
type Result struct {
	Status Status
	// OutputTokens is the number of tokens received.
	OutputTokens uint32
	// CachedPromptTokens is the prefix-cache hit that the engine reported.
	CachedPromptTokens uint32
	// Detail is a short text for the log.
	Detail string
}

// failure returns the result of a request that failed with err; sent says
// whether a byte of it was handed to a connection.
func failure(ctx context.Context, sent bool, err error) Result {
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
