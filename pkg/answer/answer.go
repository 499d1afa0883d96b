// Package answer defines the refusal with which a request ends that gets no answer
// from an upstream. It is shared by the packages that accept, schedule and dispatch
// requests.
package answer

import "time"

// Ran says whether a refused request was run by an upstream.
type Ran string

// Values of Ran.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Refusal says why a request ends without an answer and what the caller can do.
type Refusal struct {
	// Code is one of the refusal codes in section 3 of the design document.
	Code           string
	Ran            Ran
	Reason, Remedy string
	// RetryAfter is the delay after which a retry may succeed; 0 if unknown.
	RetryAfter time.Duration
	// KeyChecked is true if Ran applies to all calls so far with the same
	// idempotency key, and not only to the refused one.
	KeyChecked bool
}
