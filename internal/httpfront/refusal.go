package httpfront

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"github.com/citrongate/citrongate/pkg/answer"
	"github.com/citrongate/citrongate/pkg/node"
)

// Refusal is an answer.Refusal that is written to the caller over HTTP.
type Refusal answer.Refusal

// statusCanceled is logged for requests whose caller disconnected; no caller
// receives it.
const statusCanceled = 499

// statuses maps refusal codes to HTTP statuses.
var statuses = map[string]int{
	"unauthenticated":     http.StatusUnauthorized,
	"forbidden":           http.StatusForbidden,
	"bad_request":         http.StatusBadRequest,
	"too_large":           http.StatusRequestEntityTooLarge,
	"unknown_kind":        http.StatusNotFound,
	"unknown_model":       http.StatusNotFound,
	"no_route":            http.StatusNotFound,
	"limit_rate":          http.StatusTooManyRequests,
	"limit_in_flight":     http.StatusTooManyRequests,
	"limit_queue":         http.StatusTooManyRequests,
	"infeasible_deadline": http.StatusUnprocessableEntity,
	"shed_overload":       http.StatusServiceUnavailable,
	"expired_waiting":     http.StatusServiceUnavailable,
	"draining":            http.StatusServiceUnavailable,
	"part_blocked":        http.StatusServiceUnavailable,
	"not_ready":           http.StatusServiceUnavailable,
	"store_unavailable":   http.StatusServiceUnavailable,
	"connect_failed":      http.StatusBadGateway,
	"upstream_refused":    http.StatusBadGateway,
	"upstream_broke":      http.StatusBadGateway,
	"answer_mismatched":   http.StatusBadGateway,
	"ticket_home_gone":    http.StatusBadGateway,
	"ticket_expired":      http.StatusGone,
	"deadline_exceeded":   http.StatusGatewayTimeout,
	"canceled":            statusCanceled,
	"internal":            http.StatusInternalServerError,
}

// Status returns the HTTP status of the refusal's code, or 500 for an unknown code.
func (r Refusal) Status() int {
	if status, ok := statuses[r.Code]; ok {
		return status
	}
	return http.StatusInternalServerError
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code         string `json:"code"`
	Ran          string `json:"ran"`
	Reason       string `json:"reason"`
	Remedy       string `json:"remedy"`
	RetryAfterMs int64  `json:"retry_after_ms"`
	RequestID    string `json:"request_id"`
}

// body returns the JSON error body of the refusal.
func (r Refusal) body(requestID string) []byte {
	text, err := json.Marshal(errorBody{Error: errorDetail{
		Code: r.Code, Ran: string(r.Ran), Reason: r.Reason, Remedy: r.Remedy,
		RetryAfterMs: r.RetryAfter.Milliseconds(), RequestID: requestID,
	}})
	if err != nil {
		return []byte(`{"error":{"code":"internal","ran":"unknown"}}`)
	}
	return text
}

// BadInputBody returns the JSON error body for input that was refused before it
// became a request.
func BadInputBody(problem InputError) []byte {
	r := Refusal{Code: problem.Code, Ran: node.RanNo, Reason: problem.Reason, Remedy: problem.Remedy}
	return r.body("")
}

// writeRefusal writes an error response with the refusal's status, headers and body.
func writeRefusal(w http.ResponseWriter, requestID string, r Refusal) {
	header := w.Header()
	if r.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	if r.Code == "unauthenticated" {
		header.Set("WWW-Authenticate", "Bearer")
	}
	writeErrorBody(w, r.Status(), r.body(requestID))
}

func badRequest(reason, remedy string) *Refusal {
	return &Refusal{Code: "bad_request", Ran: node.RanNo, Reason: reason, Remedy: remedy}
}
