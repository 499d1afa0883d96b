// Package adminapi serves the operators' HTTP API: versioned objects, apply,
// status, explain, orders, drain, health checks and metrics. It checks whether an
// operator may make a change; the configuration decides whether the change is
// valid and accepted.
package adminapi

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync/atomic"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/citrongate/citrongate/internal/adminwire"
	"github.com/citrongate/citrongate/pkg/configstate"
	"github.com/citrongate/citrongate/pkg/node"
	"github.com/citrongate/citrongate/pkg/routing"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// MaxBodyBytes bounds a request body. It is large enough for a file with all
// objects of a large fleet.
const MaxBodyBytes = 16 << 20

// Change is a change of one or more objects; see node.ApplyChange.
type Change struct {
	Puts        []*pb.Object
	Deletes     []*pb.ObjectMeta
	Conditional bool
	DryRun      bool
}

// ChangeResult is the result of a change; see node.ChangeDone.
type ChangeResult struct {
	Accepted bool
	Revision uint64
	Code     string
	Problems []string
}

// Backend carries out the requests of operators.
type Backend interface {
	// Apply makes a change; ok is false if the change could not be handed over or
	// its result is not known in time.
	Apply(ctx context.Context, change Change) (result ChangeResult, ok bool)
	// Set returns the configuration in force, or nil.
	Set() *configstate.Set
	Status(ctx context.Context) (adminwire.Status, bool)
	Explain(ctx context.Context, r routing.Request) (adminwire.Explanation, bool)
	// Order gives an order to an upstream; ok is false if the result is not known
	// in time.
	Order(ctx context.Context, order adminwire.Order) (status node.OrderStatus, ok bool)
	// Drain starts a planned stop.
	Drain()
	// NotReady returns why callers should not be sent to this instance, or an empty
	// text if it is ready.
	NotReady() string
}

// API serves the administration API.
type API struct {
	backend   Backend
	operators atomic.Pointer[Operators]
	mux       *http.ServeMux
	log       zerolog.Logger
}

// New returns the API; metrics serves the scrapes of /metrics.
func New(backend Backend, metrics http.Handler, log zerolog.Logger) *API {
	a := &API{backend: backend, mux: http.NewServeMux(), log: log}
	a.operators.Store(NewOperators(nil, ""))
	a.mux.Handle("GET /metrics", metrics)
	a.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { writeText(w, http.StatusOK, "ok") })
	a.mux.HandleFunc("GET /readyz", a.readyz)
	a.mux.HandleFunc("GET /admin/v1/objects", a.authenticated(a.listObjects))
	a.mux.HandleFunc("GET /admin/v1/objects/{kind}/{name}", a.authenticated(a.getObject))
	a.mux.HandleFunc("PUT /admin/v1/objects/{kind}/{name}", a.authenticated(a.putObject))
	a.mux.HandleFunc("DELETE /admin/v1/objects/{kind}/{name}", a.authenticated(a.deleteObject))
	a.mux.HandleFunc("POST /admin/v1/apply", a.authenticated(a.apply))
	a.mux.HandleFunc("GET /admin/v1/status", a.authenticated(a.status))
	a.mux.HandleFunc("GET /admin/v1/explain", a.authenticated(a.explain))
	a.mux.HandleFunc("POST /admin/v1/orders", a.authenticated(a.order))
	a.mux.HandleFunc("POST /admin/v1/drain", a.authenticated(a.drain))
	return a
}

// SetOperators replaces the operators by those of another revision.
func (a *API) SetOperators(o *Operators) { a.operators.Store(o) }

// ServeHTTP serves one request of an operator or a monitoring system.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, pattern := a.mux.Handler(r); pattern == "" {
		(&apiError{status: http.StatusNotFound, Code: "not_found", Reason: "there is no such path or method", Remedy: "see section 13 of docs/design.md"}).write(w)
		return
	}
	a.mux.ServeHTTP(w, r)
}

// authenticated returns a handler that authenticates the operator, calls handle, and
// logs and writes the error, if any.
func (a *API) authenticated(handle func(http.ResponseWriter, *http.Request, operator) *apiError) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		op, problem := a.operators.Load().authenticate(r.Header)
		if problem == nil {
			problem = handle(w, r, op)
		}
		if problem != nil {
			a.log.Info().Str("operator", op.name).Str("path", r.URL.Path).Str("reason", problem.Code).Str("detail", problem.Reason).Msg("operator request refused")
			problem.write(w)
		}
	}
}

// readyz answers 200 if callers may be sent to this instance, and otherwise 503 with
// the reason.
func (a *API) readyz(w http.ResponseWriter, _ *http.Request) {
	if reason := a.backend.NotReady(); reason != "" {
		writeText(w, http.StatusServiceUnavailable, reason)
		return
	}
	writeText(w, http.StatusOK, "ok")
}

// apiError is an error response.
type apiError struct {
	status   int
	Code     string   `json:"code"`
	Reason   string   `json:"reason"`
	Remedy   string   `json:"remedy"`
	Problems []string `json:"problems,omitempty"`
}

func (e *apiError) write(w http.ResponseWriter) {
	writeJSON(w, e.status, struct {
		Error *apiError `json:"error"`
	}{e})
}

func invalid(reason, remedy string) *apiError {
	return &apiError{status: http.StatusBadRequest, Code: "invalid", Reason: reason, Remedy: remedy}
}

// errNoReply is returned if the backend did not answer in time; a change may still
// take effect.
var errNoReply = &apiError{status: http.StatusServiceUnavailable, Code: "outcome_unknown",
	Reason: "this instance did not answer in time", Remedy: "read the objects back before repeating a change"}

func writeJSON(w http.ResponseWriter, status int, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		writeText(w, http.StatusInternalServerError, err.Error())
		return
	}
	writeBytes(w, status, "application/json", text)
}

func writeText(w http.ResponseWriter, status int, text string) {
	writeBytes(w, status, "text/plain; charset=utf-8", []byte(text+"\n"))
}

func writeBytes(w http.ResponseWriter, status int, contentType string, text []byte) {
	w.Header().Set("Content-Type", contentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

// encodeObject returns an object as JSON with the field names of the proto schema.
func encodeObject(object *pb.Object) (json.RawMessage, error) {
	return protojson.MarshalOptions{UseProtoNames: true}.Marshal(object)
}
