package httpfront

import (
	"fmt"
	"net/http"

	"github.com/citrongate/citrongate/internal/eventlog"
)

// InputError describes why input was refused before it became a request.
type InputError struct {
	Status int
	// Code is one of the refusal codes of the caller API.
	Code string
	// Fault names what is malformed about a request, as the label of a counter; empty for
	// other problems.
	Fault  string
	Reason string
	Remedy string
}

// RefusedInput counts and logs input that was refused before it became a request.
type RefusedInput struct {
	// Count adds one to the counter of an event and its reason.
	Count func(name, reason string)
	Log   *eventlog.Logger
}

// Body counts a problem and returns the body of the error response to it.
func (r RefusedInput) Body(problem InputError) []byte {
	r.Count("refusals", problem.Code)
	if problem.Fault != "" {
		r.Count("malformed_requests", problem.Fault)
		r.Log.Write(eventlog.MalformedRequest{Fault: problem.Fault, Detail: problem.Reason})
	}
	return BadInputBody(problem)
}

func malformed(reason string) InputError {
	return InputError{
		Status: http.StatusBadRequest, Code: "bad_request", Fault: "other",
		Reason: "the request is not valid HTTP/1.1: " + reason,
		Remedy: "send one valid HTTP/1.1 request with one Content-Length or chunked encoding",
	}
}

func headerTooLarge(limit int) InputError {
	return InputError{
		Status: http.StatusRequestHeaderFieldsTooLarge, Code: "too_large",
		Reason: fmt.Sprintf("the header block is larger than %d bytes", limit),
		Remedy: "send fewer or shorter headers",
	}
}

func bodyTooLarge(limit int) InputError {
	return InputError{
		Status: http.StatusRequestEntityTooLarge, Code: "too_large",
		Reason: fmt.Sprintf("the body is larger than %d bytes", limit),
		Remedy: "shorten the body or ask the operator to raise max_body_bytes",
	}
}

func bodyBufferFull(limit int64) InputError {
	return InputError{
		Status: http.StatusServiceUnavailable, Code: "shed_overload",
		Reason: fmt.Sprintf("this instance already buffers max_buffered_bytes = %d bytes of request bodies", limit),
		Remedy: "retry at another instance of the discovery answer",
	}
}

func tooManyConnections(limit int) InputError {
	return InputError{
		Status: http.StatusServiceUnavailable, Code: "limit_in_flight",
		Reason: fmt.Sprintf("this instance already has max_connections = %d connections", limit),
		Remedy: "use another instance of the discovery answer",
	}
}

func stopping() InputError {
	return InputError{
		Status: http.StatusServiceUnavailable, Code: "draining",
		Reason: "this instance has stopped; the request was not run",
		Remedy: "retry at another instance of the discovery answer",
	}
}
