package node

import (
	"time"

	"github.com/joomcode/errorx"

	"github.com/citrongate/citrongate/pkg/dispatch"
	"github.com/citrongate/citrongate/pkg/routing"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// fallbackDeadline is used where neither caller, kind nor tier names one.
const fallbackDeadline = 30 * time.Second

// defaultMaxOutput is used where neither caller nor kind bounds the output.
const defaultMaxOutput = 4096

// request is the node's record of a request; the dispatch table has one of its own.
type request struct {
	SubmitRequest
	deadline time.Duration
}

func (r *request) route() routing.Request {
	return routing.Request{Kind: r.Kind, Organisation: r.Organisation, Model: r.Model, Labels: r.Labels}
}

// submit registers a new request and starts it, or refuses it. A request with an
// invalid id or the id of a request in progress is ignored.
func (n *Node) submit(e SubmitRequest) {
	id := dispatch.ID(e.ID)
	if id == 0 || id&forwardedBit != 0 || n.requests[id] != nil {
		return
	}
	r := &request{SubmitRequest: e, deadline: n.now + n.remaining(&e)}
	if refusal := n.checkAdmission(); refusal.Code != "" {
		n.refuseUnregistered(id, n.refusalForKey(r, refusal))
		return
	}
	if refusal := n.refusalOfParts(r); refusal.Code != "" {
		n.refuseUnregistered(id, refusal)
		return
	}
	n.requests[id] = r
	if n.nonIdempotent(e.Kind) {
		n.submitCall(id, r, 0)
		return
	}
	if n.chargeQuota(id, r) {
		n.enqueue(id, r)
	}
}

// checkAdmission returns a refusal if the instance takes no new requests.
func (n *Node) checkAdmission() dispatch.Refusal {
	if n.drain.closed {
		return dispatch.Refusal{Code: "draining", Ran: dispatch.RanNo, Reason: "this instance is stopping",
			Remedy: "retry at another instance of the discovery answer"}
	}
	if reason := n.startingReason(); reason != "" {
		return dispatch.Refusal{Code: "not_ready", Ran: dispatch.RanNo, Reason: reason,
			Remedy: "retry at another instance", RetryAfter: time.Second}
	}
	return dispatch.Refusal{}
}

// enqueue resolves the route of a request and submits it to the dispatch table.
func (n *Node) enqueue(id dispatch.ID, r *request) {
	target, err := n.routes.Resolve(r.route())
	if err != nil {
		n.refuseRequest(id, resolveRefusal(err))
		return
	}
	mean, high := n.outputPredictor.predict(n, r)
	n.updateTableOwner(target.Pool)
	n.table.Submit(n.now, dispatch.Request{
		ID: id, Kind: r.Kind, Organisation: r.Organisation,
		Pool: uint64(target.Pool), Class: uint64(target.Class), Tier: target.Tier,
		PromptLength: r.PromptTokens, MeanOutput: mean, HighOutput: high,
		Prefix: r.Prefix, Shared: r.Shared, Parts: r.Parts, Deadline: r.deadline,
		KeepRunning: n.nonIdempotent(r.Kind),
		MaxSends:    r.MaxSends, Repeatable: r.Repeatable, StartBy: startBy(n.now, r.StartWithin),
	}, n.kinds.limits(r.Kind), n.orgs.limits(r.Organisation))
}

// startBy returns the time by which a request must start to be useful; 0 if only
// the deadline counts.
func startBy(now, within time.Duration) time.Duration {
	if within <= 0 {
		return 0
	}
	return now + within
}

// resolveRefusal translates an error of routing into a refusal.
func resolveRefusal(err error) dispatch.Refusal {
	refusal := dispatch.Refusal{Code: "internal", Ran: dispatch.RanNo, Reason: err.Error(), Remedy: "report this to an operator"}
	switch {
	case errorx.IsOfType(err, routing.ErrUnknownKind):
		refusal.Code, refusal.Remedy = "unknown_kind", "use a request kind that an operator has created"
	case errorx.IsOfType(err, routing.ErrUnknownOrganisation):
		refusal.Code, refusal.Remedy = "forbidden", "ask an operator to create the organisation"
	case errorx.IsOfType(err, routing.ErrForbidden):
		refusal.Code, refusal.Remedy = "forbidden", "ask an operator to allow the kind for the organisation"
	case errorx.IsOfType(err, routing.ErrUnknownModel):
		refusal.Code, refusal.Remedy = "unknown_model", "use a model that an upstream serves"
	case errorx.IsOfType(err, routing.ErrNoRoute):
		refusal.Code, refusal.Remedy = "no_route", "run citrongate explain with this kind, organisation and labels"
	}
	return refusal
}

// remaining returns the time until the deadline of a new request.
func (n *Node) remaining(e *SubmitRequest) time.Duration {
	remaining := e.Remaining
	if n.set != nil && remaining <= 0 {
		kind := n.set.Kinds[e.Kind].GetRequestKind()
		milliseconds := kind.GetDefaultDeadlineMs()
		if milliseconds == 0 {
			milliseconds = n.set.Tiers[kind.GetTier()].GetTier().GetDefaultDeadlineMs()
		}
		remaining = time.Duration(milliseconds) * time.Millisecond
	}
	if remaining <= 0 {
		remaining = fallbackDeadline
	}
	return min(remaining, n.cfg.MaxDeadline)
}

func (n *Node) nonIdempotent(kind string) bool {
	return n.set != nil && n.set.Kinds[kind].GetRequestKind().GetNonIdempotent()
}

// refuseRequest ends a request that has no dispatch record.
func (n *Node) refuseRequest(id dispatch.ID, refusal dispatch.Refusal) {
	n.count("refusals", refusal.Code)
	n.endRequest(id, refusal, false)
}

// refuseUnregistered refuses a request that was not registered.
func (n *Node) refuseUnregistered(id dispatch.ID, r dispatch.Refusal) {
	n.count("refusals", r.Code)
	n.emitRefuse(id, r)
}

// refusalForKey turns the refusal of one call into one that is true for all
// attempts under its idempotency key. A caller that may have sent the key before
// must not conclude from the refusal of a repetition that an earlier attempt did
// not run.
func (n *Node) refusalForKey(r *request, refusal dispatch.Refusal) dispatch.Refusal {
	if r == nil || r.IdempotencyKey == "" || refusal.KeyChecked || refusal.Ran != dispatch.RanNo {
		return refusal
	}
	if r.FirstAttempt || n.cfg.Mutations.TreatRetriesAsFirst {
		return refusal
	}
	refusal.Ran = dispatch.RanUnknown
	refusal.Reason += "; an earlier attempt under the same key may have run"
	return refusal
}

func (n *Node) emitRefuse(id dispatch.ID, r dispatch.Refusal) {
	r = n.refusalForKey(n.requests[id], r)
	n.emit(Refuse{ID: RequestID(id), Refusal: r})
}

// callerDisconnected cancels the request of a caller that disconnected.
func (n *Node) callerDisconnected(id dispatch.ID) {
	if n.table.Record(id) != nil {
		n.table.Cancel(n.now, id)
		return
	}
	n.abandonCall(id)
	if r := n.requests[id]; r != nil && r.QuotaCost > 0 {
		delete(n.requests, id) // it was waiting for quota
	}
}

var dispatchResults = map[UpstreamResult]dispatch.Result{
	ResultComplete:       dispatch.AnswerComplete,
	ResultRefused:        dispatch.UpstreamRefused,
	ResultBroken:         dispatch.AnswerBroken,
	ResultFailed:         dispatch.UpstreamFailed,
	ResultFailureRelayed: dispatch.FailureRelayed,
	ResultMismatched:     dispatch.AnswerMismatched,
	ResultExpired:        dispatch.DeadlinePassed,
}

// upstreamDone ends a dispatch with the result that the adapter reports.
func (n *Node) upstreamDone(e UpstreamDone) {
	id := dispatch.ID(e.ID)
	r := n.requests[id]
	if r != nil && e.Result == ResultComplete {
		n.outputPredictor.observe(n, r, e.OutputTokens)
	}
	n.noteOwnResult(e)
	if call := n.calls.byID[id]; call != nil {
		call.outcome = e.Outcome
	}
	n.table.ReportLoad(id, e.SlowdownPercent)
	n.table.ReportSlots(id, e.Slots)
	if e.NoRepeat {
		n.table.ForbidRepeat(id)
	}
	n.table.Finish(n.now, id, dispatchResults[e.Result], e.OutputTokens, e.CachedPromptTokens)
}

// endRequest removes a request and answers its caller. A refusal with an empty
// code means that the answer was complete and the adapter has relayed it.
func (n *Node) endRequest(id dispatch.ID, refusal dispatch.Refusal, silent bool) {
	if n.calls.byID[id] != nil {
		n.endCall(id, refusal, silent)
	} else if refusal.Code != "" && !silent {
		n.emitRefuse(id, refusal)
	}
	delete(n.requests, id)
}

// addressOf returns the address of an upstream, or empty if it is not known.
func (n *Node) addressOf(upstream string) string {
	if n.set == nil {
		return ""
	}
	if known := n.set.Upstreams[upstream].GetUpstream(); known != nil {
		return known.GetAddress()
	}
	return n.learnedAddresses[upstream]
}

// configured reports whether an upstream is in the configuration, or its address was learned
// from an owner whose configuration has it.
func (n *Node) configured(upstream string) bool {
	if n.set != nil && n.set.Upstreams[upstream] != nil {
		return true
	}
	_, learned := n.learnedAddresses[upstream]
	return learned
}

// flowTable interns the names of kinds or organisations and holds their limits.
type flowTable struct {
	index map[string]uint32
	names []string
	specs []*pb.Limits
	// weights are parallel to names.
	weights []float64
}

func newFlowTable() flowTable { return flowTable{index: map[string]uint32{}} }

func (t *flowTable) intern(name string) uint32 {
	if i, ok := t.index[name]; ok {
		return i
	}
	i := uint32(len(t.names))
	t.index[name] = i
	t.names = append(t.names, name)
	t.specs = append(t.specs, nil)
	t.weights = append(t.weights, 0)
	return i
}

// set puts the weight and the limits of a flow in force.
func (t *flowTable) set(name string, weight float64, limits *pb.Limits) {
	i := t.intern(name)
	t.specs[i], t.weights[i] = limits, weight
}

// clearLimits removes the weights and limits of all flows; their numbers stay.
func (t *flowTable) clearLimits() {
	for i := range t.specs {
		t.specs[i], t.weights[i] = nil, 0
	}
}

// limits returns the limits of a flow; the entry enforces its share of them.
func (t *flowTable) limits(name string) dispatch.Limits {
	i, ok := t.index[name]
	if !ok {
		return dispatch.Limits{}
	}
	l := t.specs[i]
	return dispatch.Limits{RequestsPerSecond: l.GetRequestsPerSecond(), Burst: l.GetBurst(),
		InFlight: l.GetInFlight(), Queued: l.GetQueued()}
}
