package httpfront

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/citrongate/citrongate/internal/eventlog"
	"github.com/citrongate/citrongate/pkg/node"
)

// ErrCallerDisconnected is the cancellation cause of a request's context once the
// caller's connection has closed.
var ErrCallerDisconnected = errors.New("caller closed the connection")

// Backend runs requests.
type Backend interface {
	// Serve runs the request and ends its answer before it returns. The context
	// is canceled with cause ErrCallerDisconnected when the caller's connection closes.
	Serve(ctx context.Context, r *Request, answer Answer)
	// Discover returns the addresses and the ticket for a discovery answer.
	Discover(ctx context.Context) (Discovery, *Refusal)
	// CountRefusal counts a request that the HTTP side refused before it was submitted.
	CountRefusal(code string)
	// NewRequestID returns an id for a request that came without one.
	NewRequestID() string
}

// Discovery is the response body of GET /v1/discovery.
type Discovery struct {
	TTLMs       int64    `json:"ttl_ms"`
	Addresses   []string `json:"addresses"`
	Ticket      string   `json:"ticket"`
	TicketTTLMs int64    `json:"ticket_ttl_ms"`
}

// Handler serves the caller API: chat completions, calls to plain services and
// discovery.
type Handler struct {
	backend     Backend
	access      atomic.Pointer[Access]
	maxDeadline time.Duration
	log         *eventlog.Logger
	// closing makes each response carry Connection: close.
	closing atomic.Bool
}

// NewHandler returns a handler that refuses all requests until SetAccess is called.
func NewHandler(backend Backend, maxDeadline time.Duration, log *eventlog.Logger) *Handler {
	return &Handler{backend: backend, maxDeadline: maxDeadline, log: log}
}

// SetAccess replaces the tokens and request kinds by those of another revision.
func (h *Handler) SetAccess(a *Access) { h.access.Store(a) }

// CloseConnections makes each further response close its connection.
func (h *Handler) CloseConnections() { h.closing.Store(true) }

const callPrefix = "/v1/call/"

// ServeHTTP serves one request of a caller.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	if id == "" {
		id = h.backend.NewRequestID()
	}
	if h.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	if !validID(id) {
		writeRefusal(w, "", *badRequest("X-Request-Id is longer than 200 bytes or contains characters other than letters, digits and -_.:", "send a shorter, plain id"))
		return
	}
	w.Header().Set("X-Request-Id", id)
	if refusal := h.route(w, r, id); refusal != nil {
		refusal.Ran = attemptNotRun(r.Header.Get("Idempotency-Key"), firstAttempt(r.Header))
		h.backend.CountRefusal(refusal.Code)
		h.log.Write(eventlog.RequestRefused{RequestID: id, Path: r.URL.Path, Reason: refusal.Code, Detail: refusal.Reason,
			Ran: string(refusal.Ran), Status: refusal.Status(), RetryAfterMs: eventlog.Milliseconds(refusal.RetryAfter), ConfigAgeMs: -1})
		writeRefusal(w, id, *refusal)
	}
}

// route serves the request, or returns a refusal if it is not submitted.
func (h *Handler) route(w http.ResponseWriter, r *http.Request, id string) *Refusal {
	method := http.MethodPost
	if r.URL.Path == "/v1/discovery" {
		method = http.MethodGet
	}
	knownPath := method == http.MethodGet || r.URL.Path == "/v1/chat/completions" || strings.HasPrefix(r.URL.Path, callPrefix)
	switch {
	case !knownPath:
		return &Refusal{Code: "bad_request", Ran: node.RanNo, Reason: "there is no such path", Remedy: "use /v1/chat/completions, /v1/call/{kind} or /v1/discovery"}
	case r.Method != method:
		return badRequest("the method is not "+method, "use "+method)
	}
	access := h.access.Load()
	if access == nil {
		return &Refusal{Code: "not_ready", Ran: node.RanNo, Reason: "this instance has no configuration yet", Remedy: "retry at another instance", RetryAfter: time.Second}
	}
	org, refusal := access.authenticateCaller(r.Header)
	if refusal != nil {
		return refusal
	}
	if method == http.MethodGet {
		return h.discover(w, r)
	}
	request, refusal := h.parse(access, org, r, id)
	if refusal != nil {
		return refusal
	}
	h.serve(w, r, request)
	return nil
}

// authenticateCaller returns the organisation of the request's bearer token.
func (a *Access) authenticateCaller(header http.Header) (*organisation, *Refusal) {
	token, err := bearerToken(header)
	if err != nil {
		return nil, &Refusal{Code: "unauthenticated", Ran: node.RanNo, Reason: "Authorization: Bearer is missing", Remedy: "send the organisation's token"}
	}
	org := a.authenticate(token)
	if org == nil {
		return nil, &Refusal{Code: "unauthenticated", Ran: node.RanNo, Reason: "the token is not known", Remedy: "check the token or ask an operator for a new one"}
	}
	return org, nil
}

// parse validates a model call or a call to a plain service.
func (h *Handler) parse(access *Access, org *organisation, r *http.Request, id string) (*Request, *Refusal) {
	request := &Request{CallerID: id, Organisation: org.name, Kind: r.Header.Get("Citrongate-Kind")}
	kindFromPath, isCall := strings.CutPrefix(r.URL.Path, callPrefix)
	switch {
	case isCall:
		request.Kind = kindFromPath
	case request.Kind == "":
		request.Kind = defaultKind
	}
	kind, ok := access.kinds[request.Kind]
	if !ok || kind.GetModelCall() == isCall {
		return nil, &Refusal{Code: "unknown_kind", Ran: node.RanNo, Reason: "no request kind for this path is named " + strconv.Quote(truncate(request.Kind)), Remedy: "set Citrongate-Kind to a kind that an operator has created"}
	}
	if !org.allows(request.Kind) {
		return nil, &Refusal{Code: "forbidden", Ran: node.RanNo, Reason: "the organisation may not use this request kind", Remedy: "ask an operator to allow the kind"}
	}
	if refusal := parseHeaders(request, r.Header, h.maxDeadline); refusal != nil {
		return nil, refusal
	}
	request.NonIdempotent = kind.GetNonIdempotent()
	if request.NonIdempotent && request.IdempotencyKey == "" {
		return nil, badRequest("Idempotency-Key is missing", "send a key; form it from the ticket of a discovery answer")
	}
	body, refusal := readBody(r)
	if refusal != nil {
		return nil, refusal
	}
	if !isCall {
		return request, parseChat(request, body, kind.GetMaxOutputTokens())
	}
	request.Body, request.ContentType = body, r.Header.Get("Content-Type")
	return request, nil
}

// truncate truncates a text of the caller to 64 bytes for an error message.
func truncate(text string) string { return text[:min(len(text), 64)] }

// serve runs the request and cancels it when the caller's connection closes.
func (h *Handler) serve(w http.ResponseWriter, r *http.Request, request *Request) {
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	if state := connectionOf(w); state != nil {
		state.setOnDisconnect(func() { cancel(ErrCallerDisconnected) })
		defer state.setOnDisconnect(nil)
	} else {
		stop := context.AfterFunc(r.Context(), func() { cancel(ErrCallerDisconnected) })
		defer stop()
	}
	h.backend.Serve(ctx, request, newAnswer(w, r, request))
}

func (h *Handler) discover(w http.ResponseWriter, r *http.Request) *Refusal {
	discovery, refusal := h.backend.Discover(r.Context())
	if refusal != nil {
		return refusal
	}
	text, err := json.Marshal(discovery)
	if err != nil {
		return &Refusal{Code: "internal", Ran: node.RanNo, Reason: err.Error(), Remedy: "report this error to an operator"}
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = w.Write(text)
	return nil
}
