package scheduler

import "time"

// Unlimited is the allowance of a group whose upstreams are used like all others.
const Unlimited = -1

// group is a set of upstreams that share an allowance of requests.
type group struct {
	// allowance is the number of requests that may still be granted, or Unlimited.
	allowance int
}

// limited reports whether an allowance bounds the requests that the upstream gets. Such an
// upstream adds nothing to the capacity of its classes, since most of it may never be used.
func (u *upstream) limited() bool { return u.group != nil && u.group.allowance != Unlimited }

// exhausted reports whether the allowance of the upstream's group is used up.
func (u *upstream) exhausted() bool { return u.group != nil && u.group.allowance == 0 }

// SetAllowance sets how many requests may be granted from now on to the upstreams of a
// group; Unlimited removes the bound. A group has an allowance of 0 until this is called,
// and again after a topology without upstreams of the group.
func (p *Pool) SetAllowance(now time.Duration, id uint32, requests int) {
	if id == 0 {
		return
	}
	g := p.groupFor(id)
	before := g.allowance
	g.allowance = max(requests, Unlimited)
	if (before == 0) != (g.allowance == 0) {
		p.refreshGroup(g)
	}
	if (before == Unlimited) != (g.allowance == Unlimited) {
		p.updateOverlaps()
		p.updateCapacities(now)
	}
}

// Allowance returns how many requests may still be granted to the upstreams of a group.
func (p *Pool) Allowance(id uint32) int {
	if g := p.groups[id]; g != nil {
		return g.allowance
	}
	return 0
}

// groupFor returns the group with an id, or nil for 0.
func (p *Pool) groupFor(id uint32) *group {
	if id == 0 {
		return nil
	}
	g := p.groups[id]
	if g == nil {
		g = &group{}
		if p.groups == nil {
			p.groups = map[uint32]*group{}
		}
		p.groups[id] = g
	}
	return g
}

// assignGroups gives the upstreams of a new topology their groups and forgets the others.
func (p *Pool) assignGroups() {
	named := map[uint32]bool{}
	for _, u := range p.upstreams {
		u.group = p.groupFor(u.Group)
		named[u.Group] = true
	}
	for id := range p.groups {
		if !named[id] {
			delete(p.groups, id)
		}
	}
}

// refreshGroup updates which upstreams of a group are free.
func (p *Pool) refreshGroup(g *group) {
	for _, u := range p.upstreams {
		if u.group == g {
			p.refreshFree(u)
		}
	}
}

// useAllowance takes one unit of the allowance of a granted request's upstream.
func (p *Pool) useAllowance(r *request, u *upstream) {
	if !u.limited() || u.exhausted() {
		return
	}
	r.group = u.group
	if r.group.allowance--; r.group.allowance == 0 {
		p.refreshGroup(r.group)
	}
}

// returnAllowance gives back the unit of a permit that was not used.
func (p *Pool) returnAllowance(r *request) {
	g := r.group
	if g == nil || g.allowance == Unlimited {
		return
	}
	r.group = nil
	if g.allowance++; g.allowance == 1 {
		p.refreshGroup(g)
	}
}

// quarantineShare returns how many of the upstreams that are not limited there are, and how
// many of them are in quarantine. The others cannot take over their work.
func (p *Pool) quarantineShare() (quarantined, total int) {
	if len(p.groups) == 0 {
		return p.quarantined, len(p.upstreams)
	}
	for _, u := range p.upstreams {
		if u.limited() {
			continue
		}
		total++
		if u.quarantined {
			quarantined++
		}
	}
	return quarantined, total
}

// onlyLimited reports whether every upstream of a class that accepts requests is limited.
func (p *Pool) onlyLimited(c *class) bool {
	if len(p.groups) == 0 {
		return false
	}
	for _, index := range c.upstreams {
		if u := p.upstreams[index]; !u.Leaving && !u.limited() {
			return false
		}
	}
	return true
}
