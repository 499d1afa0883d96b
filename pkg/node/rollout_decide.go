package node

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/citrongate/citrongate/pkg/membership"
	"github.com/citrongate/citrongate/pkg/rollout"
	"github.com/citrongate/citrongate/pkg/scheduler"
)

const (
	// reportRepeat is the time after which an instance that has not answered is asked again.
	reportRepeat = 400 * time.Millisecond
)

// rolloutDecision is what the owner of a service's pool keeps of its order. The zero value is
// that of an instance which does not own the pool.
type rolloutDecision struct {
	decider *rollout.Rollout
	plan    rollout.Plan
	// dirty is true if something happened since the last step; wake is when the next is due.
	dirty bool
	wake  time.Duration
	// applied is true once a plan was carried out. open then holds the upstreams of the version
	// that are in use, and currentOpen is true if the current version gets new requests.
	applied     bool
	open        map[string]bool
	currentOpen bool
	// unsent is a write that waits for the result of an earlier decider's write.
	unsent *rollout.Record
	// writer is the decider whose write is in progress; nil if none is. It stays after the
	// decision was given up, so that at most one write is in progress.
	writer *rollout.Rollout
	// lastWriteFailed is true if the newest write may be in effect although it failed.
	lastWriteFailed bool
	// announcedAt is when the end of the order was last told to all instances; 0 if it was not.
	announcedAt   time.Duration
	inFlightCheck inFlightCheck
	// held holds the requests at the version by the instance that holds them.
	held map[uint64]*heldRequests
}

// inFlightCheck asks all live instances for their requests in flight, some of which this
// instance may not know of: they were granted by another owner or by a local pool.
type inFlightCheck struct {
	// awaited holds the instances that have not answered; startedAt is 0 if there was no check
	// since a request was in flight at the current version.
	awaited            map[uint64]bool
	startedAt, askedAt time.Duration
}

// stepRollouts carries out the plans that are due, and reports whether pools must decide again.
func (n *Node) stepRollouts() (changed bool) {
	r := &n.rollouts
	if r.changed {
		r.changed = false
		r.unfinished = slices.DeleteFunc(slices.Clone(r.services), func(service string) bool {
			s := r.byService[service]
			return s.stored() && s.decider == nil
		})
	}
	for _, service := range r.unfinished {
		changed = n.stepRollout(r.byService[service]) || changed
	}
	return changed
}

// stored reports whether the store is known to hold the end of the order.
func (s *serviceRollout) stored() bool {
	return s.phase == rollout.Completed || s.record.Order == s.order.ID && s.record.Phase.Final()
}

// stepRollout starts or gives up deciding on an order, as this instance now does or not, and carries
// out its plan if one is due.
func (n *Node) stepRollout(s *serviceRollout) (changed bool) {
	h, decides := n.decidesOn(s)
	if !decides {
		if s.decider != nil {
			s.stopDeciding()
			n.rollouts.changed = true
			n.refreshRolloutPools(s)
		}
		return false
	}
	if s.decider == nil {
		n.startDeciding(s)
	}
	if !s.dirty && n.now < s.wake {
		return false
	}
	if n.awaitsReports(s, h) {
		return false
	}
	s.decider.SetUpstreams(n.now, n.countUpstreams(s, h))
	plan := s.decider.Step(n.now)
	s.dirty, s.wake = false, s.decider.NextWake(n.now)
	return n.applyPlan(s, h, plan)
}

// decidesOn reports whether this instance decides on an order: it owns the service's pool or,
// for a service without upstreams, ranks first for its name. h is nil without a pool.
func (n *Node) decidesOn(s *serviceRollout) (h *hostedPool, decides bool) {
	if n.set == nil || !n.view.Trusted() || s.stored() && !(s.decider != nil && s.dirty) {
		return nil, false
	}
	for _, names := range [][]string{s.current, s.target} {
		for _, name := range names {
			if pool, known := n.poolOf[name]; known {
				h = n.pools.get(pool, false)
				return h, h != nil
			}
		}
	}
	return nil, n.view.Owner(xxhash.Sum64String(s.order.Service)) == n.self
}

// startDeciding starts from the newest record known here.
func (n *Node) startDeciding(s *serviceRollout) {
	record := s.record
	if record.Order != s.order.ID {
		record = rollout.Record{Revision: record.Revision} // nothing of this order is stored
	}
	record.Elapsed = max(record.Elapsed, n.now-s.seenAt)
	s.decider = rollout.New(n.cfg.Rollouts, s.order, record, n.now)
	s.dirty = true
	s.applyCommand(n.now)
	if s.phase == rollout.Reverted {
		s.decider.Command(n.now, rollout.Revert) // told by an owner that may not have stored it
	}
}

// stopDeciding gives up the decision. A write in progress stays known.
func (s *serviceRollout) stopDeciding() {
	s.rolloutDecision = rolloutDecision{writer: s.writer}
}

// restartDeciders gives up all decisions after a pause, in which another owner may have decided.
// The pause would count as the latency of what was in flight.
func (n *Node) restartDeciders() {
	for _, s := range n.rollouts.byService {
		s.stopDeciding()
	}
	for _, h := range n.pools.list {
		for _, it := range h.ledger.items {
			if it.granted {
				it.sentAt, it.tokenReported = 0, true
			}
		}
	}
}

// applyCommand passes the operator's newest command on.
func (s *serviceRollout) applyCommand(now time.Duration) {
	if s.command != 0 && s.decider != nil {
		s.decider.Command(now, s.command)
		s.dirty = true
	}
}

// countUpstreams describes the upstreams of a service. Requests that this instance may not know
// of count as one, so that the order is not completed.
func (n *Node) countUpstreams(s *serviceRollout, h *hostedPool) (u rollout.Upstreams) {
	if h == nil {
		return rollout.Upstreams{Current: n.countAccepting(s.current), Target: n.countAccepting(s.target)}
	}
	for index, m := range h.members {
		if m.rollout != s {
			continue
		}
		upstream := &h.def.Upstreams[index]
		accepts, slots := n.accepts(upstream.Name), int(upstream.Spec.GetConcurrency())
		if slots == 0 {
			slots = scheduler.DefaultConcurrency
		}
		if !m.target {
			u.CurrentInFlight += h.sched.InFlight(uint32(index))
		}
		switch {
		case accepts && m.target:
			u.Target, u.TargetSlots = u.Target+1, u.TargetSlots+slots
		case accepts:
			u.Current, u.CurrentSlots = u.Current+1, u.CurrentSlots+slots
		}
	}
	if u.CurrentInFlight > 0 {
		s.inFlightCheck = inFlightCheck{}
	} else if s.applied && !s.currentOpen && s.plan.Phase == rollout.Shifting && !n.allReported(s, h) {
		u.CurrentInFlight = 1
	}
	return u
}

// accepts reports whether an upstream takes requests as far as an order is not concerned.
func (n *Node) accepts(upstream string) bool {
	return !n.view.UpstreamLeaving(upstream) && !n.rollouts.disabled[upstream]
}

func (n *Node) countAccepting(upstreams []string) (count int) {
	for _, name := range upstreams {
		if n.accepts(name) {
			count++
		}
	}
	return count
}

// allReported reports whether all live instances have said, since the current version was closed
// and the last request known to be in flight there ended, what they have in flight.
func (n *Node) allReported(s *serviceRollout, h *hostedPool) bool {
	c := &s.inFlightCheck
	if c.startedAt == 0 {
		*c = inFlightCheck{awaited: map[uint64]bool{}, startedAt: n.now, askedAt: n.now}
		n.view.EachLive(func(m membership.Member) { c.awaited[m.Incarnation] = true })
		n.requestReports(c, h)
	}
	for entry := range c.awaited {
		if m, known := n.view.Find(entry); !known || m.State == membership.Dead {
			delete(c.awaited, entry)
		}
	}
	if len(c.awaited) > 0 && n.now-c.askedAt >= reportRepeat {
		c.askedAt = n.now
		n.requestReports(c, h)
	}
	return len(c.awaited) == 0
}

func (n *Node) requestReports(c *inFlightCheck, h *hostedPool) {
	for _, entry := range slices.Sorted(maps.Keys(c.awaited)) {
		n.requestSync(h, entry)
	}
}

// inFlightReported records that an instance has reported its requests in a pool.
func (n *Node) inFlightReported(h *hostedPool, entry uint64) {
	for _, s := range h.rollouts {
		if s.inFlightCheck.awaited[entry] {
			delete(s.inFlightCheck.awaited, entry)
			s.dirty = true
		}
	}
}

// applyPlan carries out a plan, and reports whether the pool must decide again.
func (n *Node) applyPlan(s *serviceRollout, h *hostedPool, plan rollout.Plan) (changed bool) {
	s.plan = plan
	open := n.chooseTargets(s, plan.TargetUpstreams)
	// While no upstream of the version accepts requests, the current ones go on.
	currentOpen := plan.CurrentOpen || len(open) == 0
	moved := !s.applied || currentOpen != s.currentOpen || !maps.Equal(open, s.open)
	s.applied, s.open, s.currentOpen = true, open, currentOpen
	if plan.Phase != s.phase && (!s.phase.Final() || plan.Phase == rollout.Completed) {
		changed = true
		n.changePhase(s, plan.Phase, plan.Reason, true)
	} else if moved {
		changed = true
		n.refreshRolloutPools(s)
	}
	if h != nil {
		changed = n.applyAllowance(s, h) || changed
	}
	if plan.Write != nil {
		s.unsent = plan.Write
	}
	n.sendWrite(s)
	if s.phase.Final() && (s.announcedAt == 0 || n.now-s.announcedAt >= endedRepeatInterval) {
		n.announceEnd(s)
	}
	return changed
}

// sendWrite sends the write that is due, unless another one is in progress.
func (n *Node) sendWrite(s *serviceRollout) {
	if s.unsent != nil && s.writer == nil {
		s.writer = s.decider
		n.emit(WriteRollout{Service: s.order.Service, Record: *s.unsent})
		s.unsent = nil
	}
}

// applyAllowance tells the scheduler how many requests the version may get, and reports whether
// there are more than before.
func (n *Node) applyAllowance(s *serviceRollout, h *hostedPool) bool {
	allowance := s.plan.Allowance
	if allowance < 0 {
		allowance = scheduler.Unlimited
	}
	before := h.sched.Allowance(s.group)
	if before == allowance {
		return false
	}
	h.sched.SetAllowance(n.now, s.group, allowance)
	if before == scheduler.Unlimited || allowance != scheduler.Unlimited && allowance < before {
		return false
	}
	h.dirty = true
	return true
}

// chooseTargets returns the upstreams of the version to use; limit -1 stands for all. Those in
// use stay. Others follow in an order that all instances share, so that a successor goes on with
// the same ones.
func (n *Node) chooseTargets(s *serviceRollout, limit int) map[string]bool {
	var accepting []string
	for _, name := range s.target {
		if n.accepts(name) {
			accepting = append(accepting, name)
		}
	}
	if limit < 0 || limit > len(accepting) {
		limit = len(accepting)
	}
	rank := func(name string) uint64 { return xxhash.Sum64String(name) }
	slices.SortFunc(accepting, func(a, b string) int {
		switch {
		case s.open[a] != s.open[b] && s.open[a], s.open[a] == s.open[b] && rank(a) < rank(b):
			return -1
		case a == b:
			return 0
		}
		return 1
	})
	open := map[string]bool{}
	for _, name := range accepting[:limit] {
		open[name] = true
	}
	return open
}

// refreshRolloutPools gives the pools of a service their upstreams again.
func (n *Node) refreshRolloutPools(s *serviceRollout) {
	for _, h := range n.pools.list {
		if h.hasRollout(s) {
			n.refreshTopology(h)
		}
	}
}

// rolloutWritten handles the result of a write.
func (n *Node) rolloutWritten(e RolloutWritten) {
	s := n.rollouts.byService[e.Service]
	if s == nil || s.writer == nil {
		return
	}
	own := s.writer == s.decider
	s.writer = nil
	s.lastWriteFailed = e.Result.Outcome == rollout.Failed
	s.dirty = true
	if !own {
		if !s.lastWriteFailed {
			s.learnRecord(n.now, e.Result.Record)
		}
		n.sendWrite(s)
		return
	}
	s.decider.Stored(n.now, e.Result)
	if !s.lastWriteFailed {
		s.record = e.Result.Record
	}
}

// learnRecord takes over a record of the store that this instance did not write just now. The
// decider learns of a newer one as of a conflict, unless the result of its own write is to come
// or it has to repeat that.
func (s *serviceRollout) learnRecord(now time.Duration, record rollout.Record) {
	newer := record.Revision > s.record.Revision
	s.record = record
	if newer && s.decider != nil && s.writer == nil && s.unsent == nil && !s.lastWriteFailed {
		s.decider.Stored(now, rollout.WriteResult{Outcome: rollout.Conflict, Record: record})
		s.dirty = true
	}
}
