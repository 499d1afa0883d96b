package node

import (
	"slices"
	"time"

	"github.com/citrongate/citrongate/pkg/routing"
	"github.com/citrongate/citrongate/pkg/scheduler"
)

// Timing of a hosted pool.
const (
	// syncTimeout bounds how long a new owner waits for the entries' reports.
	syncTimeout = 500 * time.Millisecond
	// syncBlockTime bounds how long a new owner decides nothing at all while it
	// waits for reports. Entries answer within a few milliseconds; a grant
	// before that could go to a lower tier than that of the requests they report.
	syncBlockTime = 30 * time.Millisecond
	// firstAuditAge is the age at which an entry is asked about a request that
	// it has not mentioned; the interval doubles with each audit. Audits find
	// permits whose release was lost.
	firstAuditAge = 5 * time.Second
	// auditSilence is the time without an agreeing digest of an entry after
	// which its requests are audited. Digests are due every
	// inFlightDigestInterval; audits of entries whose digests agree moved 38 KB/s
	// per node in a cell of the target size.
	auditSilence = inFlightDigestInterval + 2*time.Second
	// auditInterval is the least time between two audits of one entry.
	auditInterval = time.Second
)

// hostedPool is a pool that this instance schedules: one that it owns, or the
// local fixed-share pool of an owner that cannot be reached.
type hostedPool struct {
	id    routing.PoolID
	local bool
	sched *scheduler.Pool
	def   *routing.Pool
	// upstreams maps names to indices of def.Upstreams.
	upstreams map[string]uint32
	ledger    ledger
	dirty     bool
	// limitDivisor divides the limits of a local pool; 0 if not set.
	limitDivisor int

	// syncing is true until the entries in awaited have reported, or syncUntil.
	// Nothing is decided until blockedUntil.
	syncing      bool
	syncUntil    time.Duration
	blockedUntil time.Duration
	awaited      []uint64
	// postponed lists the requests whose shed is withheld until syncing ends.
	postponed []scheduler.GlobalID
	// topologyOutdated is true if the definition changed while decisions were
	// blocked.
	topologyOutdated bool
	// askedAt is when an entry was last asked for its requests.
	askedAt map[uint64]time.Duration
	// agreedAt is when a digest of an entry last agreed with the ledger.
	agreedAt map[uint64]time.Duration
	// members holds the part of each upstream in an order, nil if none has any; rollouts are
	// these orders.
	members  []rolloutMember
	rollouts []*serviceRollout
	// onEnd is called when a permit ends, before it is released. returned is true if its entry
	// returned it without a dispatch.
	onEnd func(it *item, c scheduler.Completion, returned bool)
}

func (n *Node) newHostedPool(def *routing.Pool, local bool) *hostedPool {
	h := &hostedPool{
		id: def.ID, local: local,
		ledger:   newLedger(),
		askedAt:  map[uint64]time.Duration{},
		agreedAt: map[uint64]time.Duration{},
		sched: scheduler.New(scheduler.Config{
			TargetTTFT: n.cfg.TargetTTFT, TargetInterToken: n.cfg.TargetInterToken, PromptSlowdown: n.cfg.PromptSlowdown,
			MaxQueue: n.cfg.MaxQueue, Seed: n.seed ^ uint64(def.ID), LimitDivisor: 1,
		}),
	}
	h.onEnd = func(it *item, c scheduler.Completion, returned bool) { n.noteRolloutEnd(h, it, c, returned) }
	n.setTopology(h, def)
	return h
}

// setTopology gives a pool its upstreams and classes; classes are matched by id.
func (n *Node) setTopology(h *hostedPool, def *routing.Pool) {
	topology := scheduler.Topology{
		Kinds: n.kinds.flowLimit,
		Orgs:  n.orgs.flowLimit,
	}
	h.upstreams = make(map[string]uint32, len(def.Upstreams))
	for i, u := range def.Upstreams {
		h.upstreams[u.Name] = uint32(i)
		topology.Upstreams = append(topology.Upstreams, n.schedulerUpstream(u, h.local))
	}
	for _, class := range def.Classes {
		topology.Classes = append(topology.Classes, scheduler.Class{Upstreams: class.Upstreams})
	}
	if h.def != nil {
		for _, class := range h.def.Classes {
			index, ok := def.ClassIndex(class.ID)
			if !ok {
				topology.Remap = append(topology.Remap, -1)
				continue
			}
			topology.Remap = append(topology.Remap, int32(index))
		}
		h.remapIndices(def)
	}
	h.def = def
	h.dirty = true
	n.bindRollouts(h, def)
	h.sched.SetTopology(n.now, topology)
	for _, s := range h.rollouts {
		if s.decider != nil && !h.local {
			n.applyAllowance(s, h)
		}
	}
}

// remapIndices translates the classes of descriptors and the upstreams of permits
// to a new definition. A class that was removed gets an index out of range.
func (h *hostedPool) remapIndices(def *routing.Pool) {
	for _, it := range h.ledger.items {
		class, ok := def.ClassIndex(h.classOf(it))
		if !ok {
			class = uint32(len(def.Classes))
		}
		it.descriptor.Class = class
		if it.granted && it.upstream != noUpstream {
			member := h.memberOf(it)
			it.upstream = h.indexOf(h.def.Upstreams[it.upstream].Name)
			if it.upstream == noUpstream {
				it.member = member
			}
		}
	}
}

// noUpstream is the index of an upstream that left the pool's definition while
// a request was in flight there.
const noUpstream = ^uint32(0)

// indexOf returns the index of an upstream, or noUpstream.
func (h *hostedPool) indexOf(name string) uint32 {
	if index, ok := h.upstreams[name]; ok {
		return index
	}
	return noUpstream
}

func (h *hostedPool) classOf(it *item) routing.ClassID {
	if int(it.descriptor.Class) >= len(h.def.Classes) {
		return 0
	}
	return h.def.Classes[it.descriptor.Class].ID
}

func (n *Node) schedulerUpstream(u routing.Upstream, local bool) scheduler.Upstream {
	closed, group := n.useInPool(u.Name, local)
	return scheduler.Upstream{
		Name: u.Name, Service: u.Spec.GetType() == "service",
		Concurrency: u.Spec.GetConcurrency(), MaxConcurrency: u.Spec.GetMaxConcurrency(), FixedLimit: u.Spec.GetFixedLimit(),
		PrefillTokensPerSecond: u.Spec.GetPrefillTokensPerSecond(),
		DecodePerToken:         time.Duration(u.Spec.GetDecodeMsPerToken() * float64(time.Millisecond)),
		Leaving:                closed || n.view.UpstreamLeaving(u.Name),
		Group:                  group,
	}
}

func (t *flowTable) flowLimit(i uint32) scheduler.FlowLimit {
	if int(i) >= len(t.specs) {
		return scheduler.FlowLimit{}
	}
	return scheduler.FlowLimit{Weight: t.weights[i], InFlight: t.specs[i].GetInFlight(), Queued: t.specs[i].GetQueued()}
}

// submit queues a descriptor. A repeated submission of a granted attempt means
// that its grant was lost; repeated is then true.
func (h *hostedPool) submit(now time.Duration, d scheduler.Descriptor) (repeated bool) {
	h.dirty = true
	if it := h.ledger.get(d.ID); it != nil {
		switch {
		case d.Attempt < it.descriptor.Attempt:
			return false
		case d.Attempt == it.descriptor.Attempt:
			return it.granted
		}
		// The release may have been lost, so that the request may have been sent.
		it.endUnknown = true
		h.drop(now, d.ID, scheduler.Unused)
	}
	h.ledger.add(&item{descriptor: d, since: now, auditAt: now + firstAuditAge})
	h.sched.Submit(now, d)
	return false
}

// drop ends an item: a waiting one is withdrawn, a permit is released.
func (h *hostedPool) drop(now time.Duration, id scheduler.GlobalID, outcome scheduler.Outcome) {
	h.release(now, scheduler.Completion{ID: id, Outcome: outcome}, false)
}

// release ends an item; returned is as in onEnd.
func (h *hostedPool) release(now time.Duration, c scheduler.Completion, returned bool) {
	it := h.ledger.get(c.ID)
	if it == nil {
		return
	}
	h.dirty = true
	h.onEnd(it, c, returned)
	h.ledger.remove(c.ID)
	if it.granted {
		h.sched.Release(now, c)
		return
	}
	h.sched.Withdraw(now, c.ID)
}

// adopt takes over the permit of a request that an entry reports as in flight.
func (h *hostedPool) adopt(now time.Duration, f scheduler.InFlight) {
	if it := h.ledger.get(f.Descriptor.ID); it != nil {
		if it.granted {
			return
		}
		h.drop(now, f.Descriptor.ID, scheduler.Unused)
	}
	h.dirty = true
	it := &item{descriptor: f.Descriptor, granted: true, upstream: f.Upstream, since: now, sentAt: now - f.Age, auditAt: now + firstAuditAge}
	if f.OutputTokens > 0 {
		it.firstTokenAt = now
	}
	h.ledger.add(it)
	h.sched.Adopt(now, f)
}

// poolKey identifies a hosted pool.
type poolKey struct {
	id    routing.PoolID
	local bool
}

// poolSet holds the hosted pools.
type poolSet struct {
	byKey map[poolKey]*hostedPool
	// list is in order of creation, so that iteration is repeatable.
	list []*hostedPool
}

func newPoolSet() poolSet { return poolSet{byKey: map[poolKey]*hostedPool{}} }

func (s *poolSet) get(id routing.PoolID, local bool) *hostedPool { return s.byKey[poolKey{id, local}] }

func (s *poolSet) add(h *hostedPool) {
	s.byKey[poolKey{h.id, h.local}] = h
	s.list = append(s.list, h)
}

func (s *poolSet) remove(h *hostedPool) {
	delete(s.byKey, poolKey{h.id, h.local})
	s.list = slices.DeleteFunc(s.list, func(other *hostedPool) bool { return other == h })
}
