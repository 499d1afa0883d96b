package node

import (
	"slices"
	"time"

	"github.com/citrongate/citrongate/pkg/binding"
	"github.com/citrongate/citrongate/pkg/dispatch"
	"github.com/citrongate/citrongate/pkg/membership"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// forwardedBit marks ids that this node chose for calls forwarded to it.
const forwardedBit dispatch.ID = 1 << 63

// forwardResendInterval is the time after which an unanswered forward is sent again;
// the home answers a repetition from its record.
const forwardResendInterval = time.Second

// call is a non-idempotent call known to this instance.
type call struct {
	keyType binding.KeyType
	// origin and sequence name the instance that forwarded the call and its id
	// there; 0 if a caller of this instance sent it.
	origin, sequence uint64
	// runs is true if the binding decided that this call runs.
	runs    bool
	outcome *pb.BindingOutcome
}

// forward is a call that this instance forwarded to its home.
type forward struct {
	id       dispatch.ID
	home     uint64
	message  *pb.BindingCall
	deadline time.Duration
	resendAt time.Duration
}

type originKey struct{ origin, sequence uint64 }

// callSet holds the non-idempotent calls in progress.
type callSet struct {
	byID     map[dispatch.ID]*call
	byOrigin map[originKey]dispatch.ID
	// forwards are in order of submission.
	forwards []*forward
	refused  refusedForwards
}

func newCallSet() callSet {
	return callSet{byID: map[dispatch.ID]*call{}, byOrigin: map[originKey]dispatch.ID{}}
}

// submitCall binds a non-idempotent call to its home. hops is 1 if another
// instance forwarded it.
func (n *Node) submitCall(id dispatch.ID, r *request, hops int) {
	keyType, home := binding.Classify(r.IdempotencyKey)
	c := n.calls.byID[id]
	if c == nil {
		c = &call{}
		n.calls.byID[id] = c
	}
	c.keyType = keyType
	if keyType == binding.KeyTicket && home != n.self {
		n.forward(id, r, home, hops)
		return
	}
	bound := binding.Call{Organisation: r.Organisation, Kind: r.Kind, Key: r.IdempotencyKey, Body: r.Body, Deadline: r.deadline}
	switch {
	case keyType == binding.KeyMalformed:
		n.refuseRequest(id, dispatch.Refusal{Code: "bad_request", Ran: dispatch.RanNo,
			Reason: "the kind needs a valid Idempotency-Key", Remedy: "send a key of the form <ticket>.<suffix>"})
	case keyType == binding.KeyTicket:
		n.applyVerdict(id, n.home.Submit(n.now, binding.Waiter(id), bound), hops)
	case n.cfg.Mutations.SkipClaim:
		n.applyVerdict(id, binding.Decision{Verdict: binding.Run}, hops)
	default:
		n.applyVerdict(id, n.claims.Submit(n.now, n.unixSeconds(), binding.Waiter(id), bound), hops)
	}
}

// applyVerdict applies the binding's verdict on a call.
func (n *Node) applyVerdict(id dispatch.ID, d binding.Decision, hops int) {
	c, r := n.calls.byID[id], n.requests[id]
	if c == nil || r == nil {
		return
	}
	switch d.Verdict {
	case binding.Run:
		c.runs = true
		if c.origin != 0 {
			n.emit(RunForwarded{ID: RequestID(id), Call: forwardMessage(r, c.sequence, n.self, n.now)})
		}
		n.enqueue(id, r)
	case binding.Reply:
		n.replyRecorded(id, d.Outcome)
	case binding.Refuse:
		n.refuseRequest(id, d.Refusal)
	case binding.Forward:
		n.forward(id, r, d.Holder, hops)
	}
}

// endCall removes a call, however it ended, answers it, and passes its outcome to
// the binding if it was to run.
func (n *Node) endCall(id dispatch.ID, refusal dispatch.Refusal, silent bool) {
	c := n.calls.byID[id]
	delete(n.calls.byID, id)
	if c.origin != 0 {
		delete(n.calls.byOrigin, originKey{c.origin, c.sequence})
	}
	if c.runs && refusal.Code == "" && c.outcome == nil {
		// The answer was complete, but the adapter could not record it.
		c.outcome = &pb.BindingOutcome{HttpStatus: 200, BodyOmitted: true}
	}
	// A call that was allowed to run proves that no other call with its key ran.
	refusal.KeyChecked = refusal.KeyChecked || c.runs
	n.answerCall(id, c, refusal, silent)
	if !c.runs {
		return
	}
	if refusal.Ran == dispatch.RanNo && refusal.Code != "" {
		n.applyDecided(n.reportNotRun(c, id, refusal))
		return
	}
	n.applyDecided(n.recordOutcome(c, id, refusal))
}

// reportNotRun tells the binding that a call that was to run did not run.
func (n *Node) reportNotRun(c *call, id dispatch.ID, refusal binding.Refusal) []binding.WaiterDecision {
	if c.keyType == binding.KeyTicket {
		return n.home.NotRun(n.now, binding.Waiter(id), refusal)
	}
	return n.claims.NotRun(n.now, binding.Waiter(id), refusal)
}

// recordOutcome tells the binding that a call ran, or may have run.
func (n *Node) recordOutcome(c *call, id dispatch.ID, refusal binding.Refusal) []binding.WaiterDecision {
	if c.keyType == binding.KeyTicket {
		return n.home.Finish(n.now, binding.Waiter(id), c.outcome, refusal)
	}
	return n.claims.Finish(n.now, binding.Waiter(id), c.outcome, refusal)
}

// applyDecided applies the verdicts on calls that waited for a claim or for
// another call of the same key.
func (n *Node) applyDecided(decided []binding.WaiterDecision) {
	for _, d := range decided {
		n.applyVerdict(dispatch.ID(d.Waiter), d.Decision, 0)
	}
}

// answerCall answers the caller, or the instance that forwarded the call. The
// complete answer of a local call has already been relayed by the adapter.
func (n *Node) answerCall(id dispatch.ID, c *call, refusal dispatch.Refusal, silent bool) {
	if c.origin != 0 {
		reply := &pb.BindingReply{Sequence: c.sequence, Outcome: c.outcome}
		if refusal.Code != "" {
			if r := n.requests[id]; r != nil && refusal.Ran == dispatch.RanNo {
				n.calls.refused.add(originKey{c.origin, c.sequence}, refusal, r.deadline)
			}
			reply.Outcome = nil
			reply.Code, reply.Ran, reply.Reason = refusal.Code, string(refusal.Ran), refusal.Reason
			reply.KeyChecked = refusal.KeyChecked
		}
		n.send(c.origin, &pb.PeerMessage{Body: &pb.PeerMessage_BindingReply{BindingReply: reply}})
		return
	}
	if refusal.Code != "" && !silent {
		n.emitRefuse(id, refusal)
	}
}

// replyRecorded answers a call with the recorded outcome of its key.
func (n *Node) replyRecorded(id dispatch.ID, outcome *pb.BindingOutcome) {
	c := n.calls.byID[id]
	if c.origin == 0 {
		n.emit(ReplyRecorded{ID: RequestID(id), Outcome: outcome})
	}
	c.outcome = outcome
	n.endRequest(id, dispatch.Refusal{}, true)
}

// abandonCall ends a call without a dispatch record whose caller disconnected.
func (n *Node) abandonCall(id dispatch.ID) {
	c := n.calls.byID[id]
	if c == nil || c.runs {
		return
	}
	n.home.Withdraw(binding.Waiter(id))
	n.claims.Withdraw(n.now, binding.Waiter(id))
	n.calls.forwards = slices.DeleteFunc(n.calls.forwards, func(f *forward) bool { return f.id == id })
	n.endRequest(id, dispatch.Refusal{Code: "canceled", Ran: dispatch.RanUnknown}, true)
}

// applyClaimOutput applies the output of the claim state machine and reports
// whether there was any.
func (n *Node) applyClaimOutput() bool {
	calls, decided := n.claims.TakeOutputs()
	n.submitCalls(calls)
	n.applyDecided(decided)
	return len(calls)+len(decided) > 0
}

// homeUnavailable refuses a call whose home cannot answer it. It is unknown whether
// an earlier attempt ran.
func homeUnavailable(reason string) dispatch.Refusal {
	return dispatch.Refusal{Code: "ticket_home_gone", Ran: dispatch.RanUnknown, Reason: reason,
		Remedy: "check whether the call took effect before sending it under a new key"}
}

// forward sends a call to the only instance that may answer it.
func (n *Node) forward(id dispatch.ID, r *request, home uint64, hops int) {
	if hops > 0 {
		n.refuseRequest(id, homeUnavailable("this instance is not the home of the key"))
		return
	}
	if m, known := n.view.Find(home); !known || m.State == membership.Dead {
		n.refuseRequest(id, homeUnavailable("the instance that owns the key cannot be reached any more"))
		return
	}
	f := &forward{id: id, home: home, deadline: r.deadline, resendAt: n.now + forwardResendInterval,
		message: forwardMessage(r, uint64(id), home, n.now)}
	n.calls.forwards = append(n.calls.forwards, f)
	n.sendForward(f)
}

func forwardMessage(r *request, sequence, home uint64, now time.Duration) *pb.BindingCall {
	return &pb.BindingCall{Sequence: sequence, Organisation: r.Organisation, Kind: r.Kind, Key: r.IdempotencyKey,
		Body: r.Body, ContentType: r.ContentType, RemainingMs: milliseconds(r.deadline - now), Labels: r.Labels, Home: home}
}

func (n *Node) sendForward(f *forward) {
	f.message.RemainingMs = milliseconds(f.deadline - n.now)
	n.send(f.home, &pb.PeerMessage{Body: &pb.PeerMessage_BindingCall{BindingCall: f.message}})
}

// tickCalls repeats forwards and ends those whose home is dead or whose deadline
// has passed.
func (n *Node) tickCalls() {
	for _, f := range slices.Clone(n.calls.forwards) {
		m, known := n.view.Find(f.home)
		switch {
		case !known || m.State == membership.Dead:
			n.endForward(f, homeUnavailable("the instance that owns the key cannot be reached any more"))
		case n.now >= f.deadline:
			n.endForward(f, dispatch.Refusal{Code: "deadline_exceeded", Ran: dispatch.RanUnknown,
				Reason: "the instance that owns the key did not answer in time", Remedy: "send the call again under the same key"})
		case n.now >= f.resendAt:
			f.resendAt = n.now + forwardResendInterval
			n.sendForward(f)
		}
	}
	n.expireWaitingCalls()
	n.calls.refused.sweep(n.now)
}

// expireWaitingCalls ends calls that wait for another call of the same key, or for a
// claim, beyond their own deadline.
func (n *Node) expireWaitingCalls() {
	var expired []dispatch.ID
	for id, c := range n.calls.byID {
		if r := n.requests[id]; r != nil && !c.runs && n.now >= r.deadline {
			expired = append(expired, id)
		}
	}
	slices.Sort(expired)
	for _, id := range expired {
		n.home.Withdraw(binding.Waiter(id))
		n.claims.Withdraw(n.now, binding.Waiter(id))
		n.refuseRequest(id, dispatch.Refusal{Code: "deadline_exceeded", Ran: dispatch.RanUnknown,
			Reason: "the deadline passed while another call of the same key was in progress",
			Remedy: "send the call again under the same key"})
	}
}

func (n *Node) endForward(f *forward, refusal dispatch.Refusal) {
	n.calls.forwards = slices.DeleteFunc(n.calls.forwards, func(other *forward) bool { return other == f })
	n.refuseRequest(f.id, refusal)
}

// onBindingCall runs or answers a call that another instance forwarded.
func (n *Node) onBindingCall(from uint64, m *pb.BindingCall) {
	if m.Home != n.self {
		n.replyRefusal(from, m.Sequence, homeUnavailable("another process has taken the address of the key's home"))
		return
	}
	key := originKey{from, m.Sequence}
	if n.calls.byOrigin[key] != 0 {
		return
	}
	if refused, ok := n.calls.refused.byOrigin[key]; ok {
		n.replyRefusal(from, m.Sequence, refused.refusal)
		return
	}
	if n.calls.refused.full() {
		n.replyRefusal(from, m.Sequence, dispatch.Refusal{Code: "limit_in_flight", Ran: dispatch.RanUnknown,
			Reason: "the home of the key refused too many forwarded calls recently", Remedy: "send the call again under the same key later"})
		return
	}
	if refusal := n.checkAdmission(); refusal.Code != "" && refusal.Code != "draining" {
		// A drained home still answers for keys that it ran.
		refusal.Ran = dispatch.RanUnknown
		n.replyRefusal(from, m.Sequence, refusal)
		return
	}
	n.lastForwardedID++
	id := forwardedBit | n.lastForwardedID
	n.calls.byOrigin[key] = id
	n.calls.byID[id] = &call{origin: from, sequence: m.Sequence}
	r := &request{deadline: n.now + time.Duration(m.RemainingMs)*time.Millisecond, SubmitRequest: SubmitRequest{
		ID: RequestID(id), Organisation: m.Organisation, Kind: m.Kind, Labels: m.Labels,
		IdempotencyKey: m.Key, Body: m.Body, ContentType: m.ContentType}}
	n.requests[id] = r
	n.submitCall(id, r, 1)
}

func (n *Node) replyRefusal(to, sequence uint64, r dispatch.Refusal) {
	n.send(to, &pb.PeerMessage{Body: &pb.PeerMessage_BindingReply{BindingReply: &pb.BindingReply{
		Sequence: sequence, Code: r.Code, Ran: string(r.Ran), Reason: r.Reason, KeyChecked: r.KeyChecked}}})
}

// onBindingReply ends a forwarded call with the home's answer.
func (n *Node) onBindingReply(from uint64, m *pb.BindingReply) {
	i := slices.IndexFunc(n.calls.forwards, func(f *forward) bool {
		return f.home == from && uint64(f.id) == m.Sequence
	})
	if i < 0 {
		return
	}
	f := n.calls.forwards[i]
	n.calls.forwards = slices.Delete(n.calls.forwards, i, i+1)
	if m.Code == "" {
		n.replyRecorded(f.id, m.Outcome)
		return
	}
	n.refuseRequest(f.id, dispatch.Refusal{Code: m.Code, Ran: dispatch.Ran(m.Ran), Reason: m.Reason, KeyChecked: m.KeyChecked,
		Remedy: "see the reason; send the call again under the same key if it did not run"})
}
