package gateway

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/citrongate/citrongate/internal/boottime"
	"github.com/citrongate/citrongate/internal/httpfront"
	"github.com/citrongate/citrongate/pkg/answer"
	"github.com/citrongate/citrongate/pkg/ingress"
	"github.com/citrongate/citrongate/pkg/node"
)

const (
	// defaultTimeout bounds a request with neither a route timeout nor a deadline.
	defaultTimeout = 30 * time.Second
	// notReadyRetryAfter is the Retry-After while this instance cannot authorise
	// requests.
	notReadyRetryAfter = 300 * time.Millisecond
)

// callers is the HTTP handler of the caller address.
type callers struct{ g *Gateway }

// ServeHTTP answers one request of a caller.
func (c callers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g := c.g
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	if g.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	arrived := boottime.Now()
	admitted, refusal := g.admit(r, arrived)
	if refusal != nil {
		g.refuseNotAdmitted(w, r, *refusal)
		return
	}
	g.serveAdmitted(w, admitted)
}

// admittedRequest is a caller's request with its route, organisation and
// service, as found in the configuration at its arrival.
type admittedRequest struct {
	head         RequestHead
	http         *http.Request
	body         []byte
	snapshot     *snapshot
	route        *ingress.Route
	organisation *ingress.Organisation
	service      string
	// arrived and deadline are boot times.
	arrived, deadline time.Duration
}

// admit checks a request against the configuration in force: its headers, route,
// key and size. The node checks the quota.
func (g *Gateway) admit(r *http.Request, arrived time.Duration) (*admittedRequest, *answer.Refusal) {
	head, err := g.codec.ReadRequest(r.Header)
	if err != nil {
		return nil, &answer.Refusal{Code: "bad_request", Ran: answer.RanNo, Reason: err.Error(), Remedy: "correct the header"}
	}
	current := g.config.current.Load()
	if current == nil {
		return nil, g.notReadyRefusal("no configuration has been read yet")
	}
	j := &admittedRequest{head: head, http: r, snapshot: current, arrived: arrived}
	if refusal := g.authorise(j); refusal != nil {
		return nil, refusal
	}
	j.service = j.route.PickBackend(rand.Float64())
	if j.service == "" {
		return nil, &answer.Refusal{Code: "no_route", Ran: answer.RanNo, Reason: "the route has no service with a weight",
			Remedy: "have an operator correct the route", RetryAfter: time.Second}
	}
	if j.body, err = io.ReadAll(r.Body); err != nil {
		return nil, &answer.Refusal{Code: "bad_request", Ran: answer.RanNo, Reason: "the body can not be read: " + err.Error(), Remedy: "send the complete body"}
	}
	if limit := current.table.Config().Limits.BodyBytes; limit > 0 && len(j.body) > limit {
		return nil, &answer.Refusal{Code: "too_large", Ran: answer.RanNo, Reason: fmt.Sprintf("the body is larger than %d bytes", limit), Remedy: "send a smaller body"}
	}
	j.deadline = arrived + j.timeLimit()
	return j, g.checkPlannedStop(j)
}

// notReadyRefusal is the refusal of a request that this instance cannot authorise
// for now.
func (g *Gateway) notReadyRefusal(reason string) *answer.Refusal {
	return &answer.Refusal{Code: "not_ready", Ran: answer.RanNo, Reason: reason, Remedy: "retry at another instance", RetryAfter: notReadyRetryAfter}
}

// authorise finds the route and the organisation of a request and checks its key.
func (g *Gateway) authorise(j *admittedRequest) *answer.Refusal {
	path, _, _ := strings.Cut(j.http.RequestURI, "?")
	decision := j.snapshot.table.Admit(boottime.Now(), g.config.confirmed(), g.bounds, j.http.Host, path, j.head.Key)
	j.route, j.organisation = decision.Route, decision.Organisation
	switch decision.Verdict {
	case ingress.RouteUnconfirmed:
		return g.notReadyRefusal("the configuration has not been confirmed recently, and it has no route for the request")
	case ingress.RevocationUnconfirmed:
		return g.notReadyRefusal(revocationUnconfirmed)
	case ingress.KeyUnconfirmed:
		return g.notReadyRefusal("the configuration has not been confirmed recently, and it does not have the key")
	case ingress.NoRoute:
		return &answer.Refusal{Code: "unknown_kind", Ran: answer.RanNo, Reason: "no route matches host and path", Remedy: "use a host and path that an operator has set up"}
	case ingress.NoKey:
		return &answer.Refusal{Code: "unauthenticated", Ran: answer.RanNo, Reason: "the key is not known", Remedy: "check the key or ask an operator for a new one"}
	}
	return nil
}

// revocationUnconfirmed is the reason to refuse requests with keys while this
// instance may not have read the revocation of a key.
const revocationUnconfirmed = "the configuration has not been confirmed within the time for revocations"

// timeLimit is the time from arrival to deadline: the shorter of the route's
// timeout and the time that the caller gave.
func (j *admittedRequest) timeLimit() time.Duration {
	limit := j.route.Timeout
	if j.head.HasDeadline && (limit <= 0 || j.head.Remaining < limit) {
		limit = j.head.Remaining
	}
	if limit <= 0 && !j.head.HasDeadline {
		limit = defaultTimeout
	}
	return limit
}

// organisationName is the organisation's name in logs, and the one to which the
// node counts the request.
func (j *admittedRequest) organisationName() string {
	if j.organisation == nil {
		return ingress.NoOrganisation
	}
	return j.organisation.Name
}

// quotaCost is what the request counts against its organisation's quota.
func (j *admittedRequest) quotaCost() float64 {
	switch {
	case j.organisation == nil:
		return 0
	case !j.organisation.QuotaInTokens:
		return 1
	case j.head.HasTokens:
		return float64(j.head.PromptTokens) + float64(j.head.OutputTokens)
	}
	return float64(j.organisation.PlainTokens)
}

// submission builds the message that submits the request to the node.
func (j *admittedRequest) submission(id node.RequestID, now time.Duration) node.SubmitRequest {
	s := node.SubmitRequest{
		ID: id, Organisation: j.organisationName(), QuotaCost: j.quotaCost(), Kind: ingress.KindName(j.route, ingress.PriorityOf(j.route, j.organisation)),
		Labels:    map[string]string{ingress.LabelService: j.service},
		Remaining: j.deadline - now, Prefix: j.head.Prefix, Shared: j.head.Shared, Parts: j.head.Parts,
		MaxSends: uint32(j.route.MaxSends), Repeatable: j.route.Repeatable(),
		StartWithin: j.route.StartWithin(),
	}
	if engine := j.snapshot.engines[j.service]; engine != nil && j.route.ModelCall {
		s.Model = ingress.AnyModel
		s.PromptTokens = max(1, j.head.PromptTokens)
		s.MaxOutputTokens = eventsForTokens(j.head.OutputTokens, engine)
	}
	return s
}

// eventsForTokens is the number of stream events that contain that many tokens.
// The node counts the output of a gateway's streams in events, since events, not
// tokens, are what a gateway can count.
func eventsForTokens(tokens uint32, engine *ingress.Service) uint32 {
	perEvent := uint32(max(1, engine.TokensPerEvent))
	return max(1, (tokens+perEvent-1)/perEvent)
}

// refuseNotAdmitted answers a request that was not submitted.
func (g *Gateway) refuseNotAdmitted(w http.ResponseWriter, r *http.Request, refusal answer.Refusal) {
	g.metrics.Count("refusals", refusal.Code)
	g.logNotAdmitted(r, refusal)
	g.writeRefusal(w, refusal)
}

// writeRefusal writes a refusal as an HTTP error. It sets Retry-After only if the
// request has not run.
func (g *Gateway) writeRefusal(w http.ResponseWriter, refusal answer.Refusal) {
	status := refusalStatus(refusal)
	if refusal.RetryAfter > 0 && refusal.Ran == answer.RanNo {
		g.codec.SetRetryAfter(w.Header(), refusal.RetryAfter)
	}
	httpfront.WriteError(w, status, httpfront.Refusal(refusal))
}

// refusalStatus maps a refusal to an HTTP status. 429 and 503 promise that the
// request has not run, so they are used only where that is known.
func refusalStatus(r answer.Refusal) int {
	switch {
	case r.Ran != answer.RanNo && r.Code == "deadline_exceeded":
		return http.StatusGatewayTimeout
	case r.Ran != answer.RanNo:
		return http.StatusBadGateway
	}
	switch r.Code {
	case "bad_request":
		return http.StatusBadRequest
	case "too_large":
		return http.StatusRequestEntityTooLarge
	case "unauthenticated":
		return http.StatusUnauthorized
	case "unknown_kind":
		return http.StatusNotFound
	case "limit_rate":
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}
