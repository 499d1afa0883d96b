// Package client calls the caller API and the administration API of entry
// instances. It retries a call only if the call cannot run twice as a result, or
// if the caller states that this does no harm.
package client

import (
	"fmt"
	"strings"

	"github.com/joomcode/errorx"
)

var (
	namespace = errorx.NewNamespace("client")
	// NotReached is the type of errors for requests that no instance answered.
	NotReached = namespace.NewType("not_reached")
	// Conflict is the type of errors for a change that conflicts with a newer one,
	// such as an object that no longer has the expected version.
	Conflict = namespace.NewType("conflict")
	// Failed is the type of all other errors, in particular those that an instance
	// answered.
	Failed = namespace.NewType("failed")
)

// Refusal is the error in an answer of the caller API.
type Refusal struct {
	Code string `json:"code"`
	// Ran tells whether the call ran at an upstream: "no", "yes" or "unknown".
	Ran          string `json:"ran"`
	Reason       string `json:"reason"`
	Remedy       string `json:"remedy"`
	RetryAfterMs int64  `json:"retry_after_ms"`
	RequestID    string `json:"request_id"`
}

// String returns the refusal on one line.
func (r Refusal) String() string {
	text := fmt.Sprintf("%s (ran: %s)", r.Code, r.Ran)
	if r.Reason != "" {
		text += ": " + r.Reason
	}
	if r.Remedy != "" {
		text += "; remedy: " + r.Remedy
	}
	return text
}

// refusalBody is the body of an answer that carries a refusal.
type refusalBody struct {
	Error *Refusal `json:"error"`
}

// AdminError is the error in an answer of the administration API.
type AdminError struct {
	Code     string   `json:"code"`
	Reason   string   `json:"reason"`
	Remedy   string   `json:"remedy"`
	Problems []string `json:"problems"`
}

// String returns the error with each problem on a line of its own.
func (e AdminError) String() string {
	text := e.Code
	if e.Reason != "" {
		text += ": " + e.Reason
	}
	for _, problem := range e.Problems {
		text += "\n  " + problem
	}
	if e.Remedy != "" {
		text += "\nremedy: " + e.Remedy
	}
	return strings.TrimSpace(text)
}
