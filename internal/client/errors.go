// Package client calls the caller API and the administration API of entry
// instances. It retries a call only where that cannot make it run twice.
package client

import (
	"fmt"
	"strings"

	"github.com/joomcode/errorx"
)

var (
	namespace = errorx.NewNamespace("client")
	// NotReached is the type of errors where no instance answered.
	NotReached = namespace.NewType("not_reached")
	// Conflict is the type of errors where an object has another version.
	Conflict = namespace.NewType("conflict")
	// Failed is the type of all other errors that an instance answered.
	Failed = namespace.NewType("failed")
)

// Refusal is the error body of the caller API.
type Refusal struct {
	Code string `json:"code"`
	// Ran is "no", "yes" or "unknown".
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

type refusalBody struct {
	Error *Refusal `json:"error"`
}

// AdminError is the error body of the administration API.
type AdminError struct {
	Code     string   `json:"code"`
	Reason   string   `json:"reason"`
	Remedy   string   `json:"remedy"`
	Problems []string `json:"problems"`
}

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
