package scheduler

import (
	"math/bits"
	"time"
)

// class is a set of eligible upstreams with derived data.
type class struct {
	upstreams []uint32
	// usable is false if every upstream of the class is leaving or was removed.
	usable bool
	// free is the number of upstreams that can take a request now.
	free int
	// waiting counts the waiting requests of all tiers.
	waiting int
	// meetsInterToken is true if a healthy upstream of the class meets the
	// inter-token target even while it prefills a prompt.
	meetsInterToken bool
	// overlaps lists the classes that share a usable upstream with this one,
	// itself included.
	overlaps []overlap
	// capacity is the cost per second that the upstreams can serve.
	capacity float64
	// idle is the best speed of the class with one request in flight. loaded is
	// the mean speed with as many as the limit: under load a request goes to
	// the upstream that has a free slot first, which is not always the best.
	idle, loaded speed
}

type overlap struct {
	class uint32
	// fraction of the other class's upstreams that belong to this class too.
	fraction float64
}

// SetTopology replaces upstreams, classes and limits. Upstreams keep their
// learned state by name. Waiting requests follow Topology.Remap (nil means that
// class numbers are unchanged); those without a class are shed with NoUpstream.
// Requests in flight at a removed upstream keep their permits until they are
// released.
func (p *Pool) SetTopology(now time.Duration, t Topology) {
	p.shedNotAdmitted(now) // the refusals refer to the old classes
	moved := p.dequeueAll()
	old := p.upstreams
	p.topology = t
	p.upstreams = make([]*upstream, len(t.Upstreams))
	for i, config := range t.Upstreams {
		u := findUpstream(old, config.Name)
		if u == nil {
			u = newUpstream(config)
		}
		u.Upstream = config
		u.clampLimit()
		u.index, u.present = i, true
		u.classes = u.classes[:0]
		p.upstreams[i] = u
	}
	for _, u := range old {
		if u.index >= len(p.upstreams) || p.upstreams[u.index] != u {
			p.detach(u)
		}
	}
	p.assignGroups()
	p.hints.remap(old, p.upstreams)
	p.buildClasses()
	for i := range p.tiers {
		p.tiers[i].classQueues = make([]classQueue, len(t.Classes))
		for c := range p.tiers[i].classQueues {
			p.tiers[i].classQueues[c].active = -1
		}
	}
	p.refreshLimits(now)
	p.refreshAllFree()
	p.updateCapacities(now)
	p.requeue(moved, t.Remap)
	p.retries.remap(t.Remap, len(t.Classes))
}

func findUpstream(list []*upstream, name string) *upstream {
	for _, u := range list {
		if u.Name == name {
			return u
		}
	}
	return nil
}

// detach excludes an upstream that is no longer configured from placement.
func (p *Pool) detach(u *upstream) {
	u.present, u.free = false, false
	u.classes = nil
	if u.quarantined {
		u.quarantined = false
		p.quarantined--
	}
}

func (p *Pool) buildClasses() {
	p.classes = make([]class, len(p.topology.Classes))
	for c := range p.classes {
		for _, index := range p.topology.Classes[c].Upstreams {
			if int(index) >= len(p.upstreams) {
				continue
			}
			u := p.upstreams[index]
			p.classes[c].upstreams = append(p.classes[c].upstreams, index)
			u.classes = append(u.classes, uint32(c))
			u.free = false // refreshAllFree counts it again
			p.classes[c].usable = p.classes[c].usable || !u.Leaving
		}
	}
	p.updateOverlaps()
}

// updateOverlaps finds out which classes share upstreams. Limited upstreams count for the
// fraction only where there are no others.
func (p *Pool) updateOverlaps() {
	usable, counted := make([][]uint64, len(p.classes)), make([][]uint64, len(p.classes))
	for c := range p.classes {
		usable[c] = p.upstreamSet(&p.classes[c], func(u *upstream) bool { return !u.Leaving })
		counted[c] = usable[c]
		if len(p.groups) > 0 && !p.onlyLimited(&p.classes[c]) {
			counted[c] = p.upstreamSet(&p.classes[c], func(u *upstream) bool { return !u.Leaving && !u.limited() })
		}
	}
	for c := range p.classes {
		p.classes[c].overlaps = p.classes[c].overlaps[:0]
		for other := range p.classes {
			if shared, _ := intersection(usable[c], usable[other]); shared == 0 {
				continue
			}
			shared, size := intersection(counted[c], counted[other])
			p.classes[c].overlaps = append(p.classes[c].overlaps, overlap{uint32(other), float64(shared) / float64(size)})
		}
	}
}

// upstreamSet returns the accepted upstreams of a class as a set of bits.
func (p *Pool) upstreamSet(c *class, accept func(*upstream) bool) []uint64 {
	set := make([]uint64, (len(p.upstreams)+63)/64)
	for _, index := range c.upstreams {
		if accept(p.upstreams[index]) {
			set[index/64] |= 1 << (index % 64)
		}
	}
	return set
}

// dequeueAll removes all waiting requests from the queues, in order of arrival
// within each tier and class.
func (p *Pool) dequeueAll() []*request {
	var moved []*request
	for i := range p.tiers {
		for c := range p.tiers[i].classQueues {
			for r := p.tiers[i].classQueues[c].head; r != nil; r = p.tiers[i].classQueues[c].head {
				p.dequeue(r)
				moved = append(moved, r)
			}
		}
	}
	// Queues refer to old class numbers, so flows start with none.
	p.eachFlow(func(f *orgFlow) {
		f.queues = f.queues[:0]
		f.kind.queues = f.kind.queues[:0]
	})
	p.eachKindState(func(s *limitState[*kindQueue]) { s.parked = s.parked[:0] })
	return moved
}

func (p *Pool) requeue(moved []*request, remap []int32) {
	for _, r := range moved {
		class, known := remapClass(r.Class, remap, len(p.classes))
		if !known || !p.classes[class].usable {
			p.shedWaiting(r, NoUpstream, 0)
			continue
		}
		r.Class = class
		p.enqueue(r)
	}
}

// remapClass returns the new number of a class, and whether it still exists.
func remapClass(class uint32, remap []int32, classes int) (uint32, bool) {
	index := int64(class)
	if remap != nil {
		index = -1
		if int(class) < len(remap) {
			index = int64(remap[class])
		}
	}
	return uint32(max(index, 0)), index >= 0 && index < int64(classes)
}

// refreshLimits reads the limits and weights of all known flows again.
func (p *Pool) refreshLimits(now time.Duration) {
	p.eachKindState(func(s *limitState[*kindQueue]) {
		s.limit = p.kindLimit(s.id)
		p.unparkKind(now, s)
	})
	for _, s := range p.orgStates.slots {
		if s.value != nil {
			s.value.limit = p.orgLimit(s.key)
			p.unparkOrg(now, s.value)
		}
	}
	p.eachFlow(func(f *orgFlow) {
		f.weight = weightOf(f.state.limit)
		f.kind.weight = weightOf(f.kind.state.limit)
	})
}

func (p *Pool) eachFlow(visit func(*orgFlow)) {
	for _, s := range p.orgFlows.slots {
		if s.value != nil {
			visit(s.value)
		}
	}
}

func (p *Pool) eachKindState(visit func(*limitState[*kindQueue])) {
	for _, s := range p.kindStates.slots {
		if s.value != nil {
			visit(s.value)
		}
	}
}

// intersection returns the number of common members and the size of b.
func intersection(a, b []uint64) (shared, size int) {
	for i := range a {
		shared += bits.OnesCount64(a[i] & b[i])
		size += bits.OnesCount64(b[i])
	}
	return shared, size
}
