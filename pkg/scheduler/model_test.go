package scheduler

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"
)

// model is a naive reference model of the scheduler: plain lists and maps with
// linear search. It makes no choices; it checks that the rules allow each
// decision of the pool, and applies it.
type model struct {
	t                     *rapid.T
	pool                  *Pool
	refused               map[GlobalID]Descriptor
	evicted               map[GlobalID]bool
	now                   time.Duration
	waiting, flight       []*modelRequest
	classes               [][]uint32
	leaving               []bool
	inFlight              []int
	kindTag, orgTag       map[[3]uint32]int64
	tierVirtual           map[uint8]int64
	kindVirtual           map[[3]uint32]int64
	kindLimit             map[uint32]int
	orgLimit              map[uint32]int
	pendingLowerSheds     []*modelRequest
	grants, sheds         int
	limitShed, lowerSheds int
	claims                int
	told                  []toldRetry
}

// toldRetry is a refused request whose caller was told to return at a time.
type toldRetry struct {
	Descriptor
	at time.Duration
}

type modelRequest struct {
	Descriptor
	retry                  bool
	submitted, latestStart time.Duration
	cost                   int64
	upstream               uint32
	lapse                  time.Duration
	adopted                bool
}

func (r *modelRequest) kindKey() [3]uint32 { return [3]uint32{uint32(r.Tier), r.Kind} }

func (r *modelRequest) orgKey() [3]uint32 { return [3]uint32{uint32(r.Tier), r.Kind, r.Org} }

func (m *model) overlap(a, b uint32) bool {
	for _, u := range m.classes[a] {
		if !m.leaving[u] && slices.Contains(m.classes[b], u) {
			return true
		}
	}
	return false
}

func (m *model) hasFreeSlot(u uint32) bool {
	up := m.pool.upstreams[u]
	return !m.leaving[u] && !up.quarantined && m.inFlight[u] < int(m.pool.limitOf(up)) && !m.pool.prefillBudgetExceeded(up)
}

func (m *model) classHasFreeSlot(class uint32) bool {
	return slices.ContainsFunc(m.classes[class], m.hasFreeSlot)
}

func (m *model) countFlight(match func(*modelRequest) bool) int {
	count := 0
	for _, r := range m.flight {
		if match(r) {
			count++
		}
	}
	return count
}

// atLimit reports whether an operator's in-flight limit blocks a request.
func (m *model) atLimit(r *modelRequest) bool {
	if limit := m.kindLimit[r.Kind]; limit > 0 &&
		m.countFlight(func(o *modelRequest) bool { return o.Kind == r.Kind }) >= limit {
		return true
	}
	limit := m.orgLimit[r.Org]
	return limit > 0 && m.countFlight(func(o *modelRequest) bool { return o.Org == r.Org }) >= limit
}

func (m *model) startable(r *modelRequest) bool { return !m.atLimit(r) && m.classHasFreeSlot(r.Class) }

func (m *model) find(list []*modelRequest, id GlobalID) *modelRequest {
	for _, r := range list {
		if r.ID == id {
			return r
		}
	}
	return nil
}

func (m *model) remove(list *[]*modelRequest, r *modelRequest) {
	i := slices.Index(*list, r)
	*list = slices.Delete(*list, i, i+1)
}

// submitted applies a submission to the model. The latest start is taken from the pool;
// TestLatestStart checks its formula.
func (m *model) submitted(d Descriptor) {
	m.checkEvicted(d)
	r := m.pool.requests.get(d.ID)
	if r == nil || r.state != stateWaiting {
		m.refused[d.ID] = d // a shed decision must follow
		return
	}
	added := &modelRequest{Descriptor: d, submitted: m.now, latestStart: r.latestStart, cost: costOf(d.PromptLength, d.MeanOutput), retry: r.retry}
	m.checkClaim(added)
	anyWaiting := func(same func(*modelRequest) bool) bool { return slices.ContainsFunc(m.waiting, same) }
	if !anyWaiting(func(o *modelRequest) bool { return o.kindKey() == added.kindKey() }) {
		m.kindTag[added.kindKey()] = max(m.kindTag[added.kindKey()], m.tierVirtual[d.Tier])
	}
	if !anyWaiting(func(o *modelRequest) bool { return o.orgKey() == added.orgKey() }) {
		m.orgTag[added.orgKey()] = max(m.orgTag[added.orgKey()], m.kindVirtual[added.kindKey()])
	}
	m.waiting = append(m.waiting, added)
}

// checkEvicted checks that a request is evicted from a full queue only for a new
// one of the same or a higher tier, and only if it is of the lowest tier that waits.
func (m *model) checkEvicted(d Descriptor) {
	for _, r := range slices.Clone(m.waiting) {
		if m.pool.requests.get(r.ID) != nil {
			continue
		}
		if len(m.waiting) < m.pool.config.MaxQueue || r.Tier < d.Tier {
			m.t.Fatalf("%v of tier %d evicted for tier %d with %d waiting", r.ID, r.Tier, d.Tier, len(m.waiting))
		}
		m.checkNoneLower(r)
		m.remove(&m.waiting, r)
		m.evicted[r.ID] = true
	}
}

// step runs Pool.Step and checks every decision.
func (m *model) step() {
	m.lapse()
	m.pendingLowerSheds = nil
	for _, decision := range m.pool.Step(m.now, nil) {
		r := m.find(m.waiting, decision.ID)
		switch {
		case decision.Reason != 0:
			m.checkShed(r, decision)
		case r == nil:
			m.t.Fatalf("grant of %v, which does not wait", decision.ID)
		default:
			m.checkGrant(r, decision.Upstream)
		}
	}
	if len(m.pendingLowerSheds) > 0 {
		m.t.Fatalf("shed %v although no higher tier was shed", m.pendingLowerSheds[0].ID)
	}
	if len(m.refused)+len(m.evicted) > 0 {
		m.t.Fatalf("%d refused submissions were not reported", len(m.refused))
	}
	m.checkAfterStep()
}

// checkClaim checks that only a request of a flow that was told to return about now
// passes the newcomers.
func (m *model) checkClaim(r *modelRequest) {
	if !r.retry {
		return
	}
	m.claims++
	if !slices.ContainsFunc(m.told, func(t toldRetry) bool {
		return t.Tier == r.Tier && t.Kind == r.Kind && t.Org == r.Org && (t.Deadline-r.Deadline).Abs() <= retryDeadlineTolerance &&
			m.now >= t.at-(earlySlots+1)*retrySlotWidth && m.now <= t.at+(lateSlots+1)*retrySlotWidth
	}) {
		m.t.Fatalf("%v claims a booking that nobody was told", r.ID)
	}
}

func (m *model) checkShed(r *modelRequest, d Decision) {
	m.sheds++
	if r != nil && (d.Reason == Overload || d.Reason == Expired) {
		m.told = append(m.told, toldRetry{r.Descriptor, m.now + d.RetryAfter})
	}
	if r == nil && m.evicted[d.ID] {
		delete(m.evicted, d.ID)
		return
	}
	if r == nil {
		m.checkRefused(d)
		return
	}
	switch d.Reason {
	case Expired:
		if r.latestStart >= m.now {
			m.t.Fatalf("expired %v early: latest %v, now %v", r.ID, r.latestStart, m.now)
		}
		m.checkNoneLower(r)
		m.pendingLowerSheds = nil
	case Overload:
		m.lowerSheds++
		m.pendingLowerSheds = append(m.pendingLowerSheds, r)
		m.checkNoneLower(r)
	case LimitInFlight:
		m.limitShed++
		if m.kindLimit[r.Kind] == 0 && m.orgLimit[r.Org] == 0 {
			m.t.Fatalf("%v has no in-flight limit", r.ID)
		}
	case NoUpstream:
	default:
		m.t.Fatalf("waiting request shed with reason %d", d.Reason)
	}
	m.remove(&m.waiting, r)
}

// checkRefused checks a request that was shed when it was submitted.
func (m *model) checkRefused(d Decision) {
	refused, known := m.refused[d.ID]
	if !known {
		m.t.Fatalf("shed of %v, which does not wait", d.ID)
	}
	delete(m.refused, d.ID)
	if d.Reason == Overload {
		m.told = append(m.told, toldRetry{refused, m.now + d.RetryAfter})
		m.checkNoneLower(&modelRequest{Descriptor: refused})
		m.pendingLowerSheds = nil
	}
}

// checkNoneLower checks that no request of a lower tier that shares an upstream
// is kept waiting when a request is shed.
func (m *model) checkNoneLower(shed *modelRequest) {
	for _, r := range m.waiting {
		if r.Tier > shed.Tier && m.overlap(shed.Class, r.Class) {
			m.t.Fatalf("shed %v of tier %d while %v of tier %d waits", shed.ID, shed.Tier, r.ID, r.Tier)
		}
	}
}

func (m *model) checkGrant(r *modelRequest, u uint32) {
	m.grants++
	probe := m.pool.requests.get(r.ID).probe
	if m.leaving[u] || !slices.Contains(m.classes[r.Class], u) {
		m.t.Fatalf("%v granted at %d, which is leaving or not in its class", r.ID, u)
	}
	for _, o := range m.waiting {
		if o.Tier < r.Tier && !m.atLimit(o) && (m.classHasFreeSlot(o.Class) || probe && slices.Contains(m.classes[o.Class], u)) {
			m.t.Fatalf("granted %v of tier %d before %v of tier %d", r.ID, r.Tier, o.ID, o.Tier)
		}
	}
	if !probe {
		m.checkOrder(r, u)
	}
	m.applyGrant(r, u)
}

// checkOrder checks fair queueing over kinds, then organisations, then first in,
// first out.
func (m *model) checkOrder(r *modelRequest, u uint32) {
	if !m.hasFreeSlot(u) || m.atLimit(r) {
		m.t.Fatalf("%v granted above a limit", r.ID)
	}
	for _, o := range m.waiting {
		if o.Tier != r.Tier || !m.startable(o) {
			continue
		}
		if m.kindTag[o.kindKey()] < m.kindTag[r.kindKey()] {
			m.t.Fatalf("kind %d granted before kind %d", r.Kind, o.Kind)
		}
		if o.Kind != r.Kind || o.Class != r.Class {
			continue
		}
		if m.orgTag[o.orgKey()] < m.orgTag[r.orgKey()] {
			m.t.Fatalf("organisation %d granted before %d", r.Org, o.Org)
		}
		older := slices.Index(m.waiting, o) < slices.Index(m.waiting, r)
		if o.Org == r.Org && (o.retry && !r.retry || older && o.retry == r.retry) {
			m.t.Fatalf("%v granted before %v of its flow, which is older or a retry", r.ID, o.ID)
		}
	}
}

func (m *model) applyGrant(r *modelRequest, u uint32) {
	m.remove(&m.waiting, r)
	k, o := r.kindKey(), r.orgKey()
	m.tierVirtual[r.Tier] = max(m.tierVirtual[r.Tier], m.kindTag[k])
	m.kindTag[k] = max(m.kindTag[k], m.tierVirtual[r.Tier]-maxLag) + r.cost*tagUnit
	m.kindVirtual[k] = max(m.kindVirtual[k], m.orgTag[o])
	m.orgTag[o] = max(m.orgTag[o], m.kindVirtual[k]-maxLag) + r.cost*tagUnit
	m.addInFlight(r, u)
}

func (m *model) addInFlight(r *modelRequest, u uint32) {
	r.upstream = u
	r.lapse = max(r.Deadline, m.now) + lapseGrace
	m.inFlight[u]++
	m.flight = append(m.flight, r)
}

func (m *model) removeInFlight(r *modelRequest, trueCost int64) {
	m.remove(&m.flight, r)
	m.inFlight[r.upstream]--
	if r.adopted {
		return // charged by an earlier owner
	}
	m.kindTag[r.kindKey()] += (trueCost - r.cost) * tagUnit
	m.orgTag[r.orgKey()] += (trueCost - r.cost) * tagUnit
}

func (m *model) lapse() {
	for _, r := range slices.Clone(m.flight) {
		if r.lapse <= m.now {
			m.removeInFlight(r, r.cost)
		}
	}
}

func (m *model) checkAfterStep() {
	for _, r := range m.waiting {
		if r.latestStart < m.now {
			m.t.Fatalf("%v waits past its latest start", r.ID)
		}
		if m.startable(r) {
			m.t.Fatalf("%v waits although an upstream has a free slot", r.ID)
		}
	}
	m.checkCounts()
}

func (m *model) checkCounts() {
	summary := m.pool.Summary()
	for u := range m.inFlight {
		if int(summary.Upstreams[u].InFlight) != m.inFlight[u] {
			m.t.Fatalf("upstream %d: %d in flight, want %d", u, summary.Upstreams[u].InFlight, m.inFlight[u])
		}
	}
	var waiting, flight [MaxTiers]uint32
	for _, r := range m.waiting {
		waiting[r.Tier]++
	}
	for _, r := range m.flight {
		flight[r.Tier]++
	}
	for tier := range MaxTiers {
		if got := summary.Tiers[tier]; got.Waiting != waiting[tier] || got.InFlight != flight[tier] {
			m.t.Fatalf("tier %d: %s, want %d waiting and %d in flight", tier, fmt.Sprint(got), waiting[tier], flight[tier])
		}
	}
	if m.pool.requests.count != len(m.waiting)+len(m.flight) {
		m.t.Fatalf("%d requests known, want %d", m.pool.requests.count, len(m.waiting)+len(m.flight))
	}
}
