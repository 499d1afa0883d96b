// Package answer defines how a request that has no answer of its upstream ends
// for its caller. The packages that decide on requests share it.
package answer

import "time"

// Ran says whether a refused request ran.
type Ran string

// Values of Ran.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Refusal is why a request ends without an answer.
type Refusal struct {
	// Code is one of the refusal codes of the design, section 3.
	Code           string
	Ran            Ran
	Reason, Remedy string
	// RetryAfter is when a repetition makes sense; 0 if that is not known.
	RetryAfter time.Duration
	// KeyChecked is true if Ran holds for all calls with the same idempotency
	// key so far, and not only for the refused one.
	KeyChecked bool
}
