// Package adminapi is the edge to operators: objects with versions, apply,
// status, explain, drain, health checks and metrics. It checks who may ask for
// a change; the configuration decides whether it is valid and accepted.
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

// MaxBodyBytes bounds a request; a file with all objects of a large fleet fits.
const MaxBodyBytes = 16 << 20

// Change is a change of one or more objects; see node.ApplyChange.
type Change struct {
	Puts        []*pb.Object
	Deletes     []*pb.ObjectMeta
	Conditional bool
	DryRun      bool
}

// ChangeResult is the answer to a change; see node.ChangeDone.
type ChangeResult struct {
	Accepted bool
	Revision uint64
	Code     string
	Problems []string
}

// Backend carries out what operators ask for.
type Backend interface {
	// Apply returns ok false if the change could not be handed over in time.
	Apply(ctx context.Context, change Change) (result ChangeResult, ok bool)
	// Set is the configuration in force, or nil.
	Set() *configstate.Set
	Status(ctx context.Context) (adminwire.Status, bool)
	Explain(ctx context.Context, r routing.Request) (adminwire.Explanation, bool)
	// Order returns ok false if the result is not known in time.
	Order(ctx context.Context, order adminwire.Order) (status node.OrderStatus, ok bool)
	// Drain starts a planned stop.
	Drain()
	// NotReady says why callers should not be sent here; empty if ready.
	NotReady() string
}

// API is the administration API.
type API struct {
	backend   Backend
	operators atomic.Pointer[Operators]
	mux       *http.ServeMux
	log       zerolog.Logger
}

// New returns the API; metrics answers scrapes.
func New(backend Backend, metrics http.Handler, log zerolog.Logger) *API {
	a := &API{backend: backend, mux: http.NewServeMux(), log: log}
	a.operators.Store(NewOperators(nil, ""))
	a.mux.Handle("GET /metrics", metrics)
	a.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { writeText(w, http.StatusOK, "ok") })
	a.mux.HandleFunc("GET /readyz", a.readyz)
	a.mux.HandleFunc("GET /admin/v1/objects", a.guarded(a.listObjects))
	a.mux.HandleFunc("GET /admin/v1/objects/{kind}/{name}", a.guarded(a.getObject))
	a.mux.HandleFunc("PUT /admin/v1/objects/{kind}/{name}", a.guarded(a.putObject))
	a.mux.HandleFunc("DELETE /admin/v1/objects/{kind}/{name}", a.guarded(a.deleteObject))
	a.mux.HandleFunc("POST /admin/v1/apply", a.guarded(a.apply))
	a.mux.HandleFunc("GET /admin/v1/status", a.guarded(a.status))
	a.mux.HandleFunc("GET /admin/v1/explain", a.guarded(a.explain))
	a.mux.HandleFunc("POST /admin/v1/orders", a.guarded(a.order))
	a.mux.HandleFunc("POST /admin/v1/drain", a.guarded(a.drain))
	return a
}

// SetOperators swaps the operators for those of another revision.
func (a *API) SetOperators(o *Operators) { a.operators.Store(o) }

// ServeHTTP answers one request.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, pattern := a.mux.Handler(r); pattern == "" {
		(&apiError{status: http.StatusNotFound, Code: "not_found", Reason: "there is no such address or method", Remedy: "see section 13 of docs/design.md"}).write(w)
		return
	}
	a.mux.ServeHTTP(w, r)
}

// guarded runs a handler for an authenticated operator.
func (a *API) guarded(handle func(http.ResponseWriter, *http.Request, operator) *apiError) http.HandlerFunc {
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

func (a *API) readyz(w http.ResponseWriter, _ *http.Request) {
	if reason := a.backend.NotReady(); reason != "" {
		writeText(w, http.StatusServiceUnavailable, reason)
		return
	}
	writeText(w, http.StatusOK, "ok")
}

// apiError is an error answer.
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

var errBusy = &apiError{status: http.StatusServiceUnavailable, Code: "outcome_unknown",
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

// encodeObject returns an object as JSON with the field names of the schema.
func encodeObject(object *pb.Object) (json.RawMessage, error) {
	return protojson.MarshalOptions{UseProtoNames: true}.Marshal(object)
}
