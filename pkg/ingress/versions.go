package ingress

import (
	"maps"
	"slices"
	"time"

	"github.com/citrongate/citrongate/pkg/rollout"
)

const (
	// maxExcluded bounds the versions of a service that are remembered as not to be used. One
	// is added for each order that was not completed.
	maxExcluded = 64
	// maxUnseen bounds the time for which an order that is read for the first time can have
	// been in the store: the store is read, or asked about at a peer, more often than that. After
	// an outage of the store it may have been there for longer, or for no time at all.
	maxUnseen = time.Second
	// maxWithoutOrder bounds the services that are remembered although they have no order.
	maxWithoutOrder = 256
)

// versions tracks through successive listings which versions of each service may be used. An
// order that is completed leaves its version as the only one. The version of an order that is
// reverted, withdrawn or replaced before that is not used until another order names it; if it
// had all new requests already, others may know the order as completed, and it is used where
// no other version is left. While an order can not be read, only versions that were in use
// before it are used. Without any order, every version is used.
type versions struct{ services map[string]*serviceVersions }

// serviceVersions is what is known of the versions of one service.
type serviceVersions struct {
	// rollout is the order in force, if ordered.
	rollout Rollout
	ordered bool
	// since is the earliest time at which the order can have been given.
	since time.Duration
	// only is the version that a completed order left as the only one, if completed.
	only      string
	completed bool
	// excluded are the versions not to be used, oldest first. proven is the one of an order
	// that was withdrawn during the shift; empty if there is none.
	excluded []string
	proven   string
	// refused is set while the order can not be read. kept are then the versions in use before
	// it; empty if that is not known.
	refused bool
	kept    map[string]bool
	// changedAt is when the service last had an order.
	changedAt time.Duration
}

// observe updates the versions from the orders of a listing. before is the time of the listing
// before it, from which inUse holds for each service the versions that were used.
func (v *versions) observe(now, before time.Duration, l *Listing, inUse map[string]map[string]bool) {
	listed := map[string]bool{}
	for _, r := range l.Orders.Rollouts {
		listed[r.Order.Service] = true
		v.service(r.Order.Service).accept(now, max(before, now-maxUnseen), r)
	}
	for _, r := range l.Orders.Refused {
		listed[r.Service] = true
		v.service(r.Service).refuse(now, r, l.Upstreams, inUse[r.Service])
	}
	for name, s := range v.services {
		if !listed[name] {
			s.withdraw()
		}
	}
	v.limit()
}

func (v *versions) service(name string) *serviceVersions {
	s := v.services[name]
	if s == nil {
		s = &serviceVersions{}
		v.services[name] = s
	}
	return s
}

// limit forgets the services that have been without an order for longest beyond
// maxWithoutOrder.
func (v *versions) limit() {
	var idle []string
	for _, name := range slices.Sorted(maps.Keys(v.services)) {
		if s := v.services[name]; !s.ordered && !s.refused {
			idle = append(idle, name)
		}
	}
	slices.SortStableFunc(idle, func(a, b string) int { return int(v.services[a].changedAt - v.services[b].changedAt) })
	for _, name := range idle[:max(0, len(idle)-maxWithoutOrder)] {
		delete(v.services, name)
	}
}

// accept puts an order in force. A final phase that is known stays, unless the store has
// another one. since is when an order that was not known can have been given.
func (s *serviceVersions) accept(now, since time.Duration, r Rollout) {
	s.changedAt, s.refused, s.kept = now, false, nil
	if s.ordered && s.rollout.Order.ID == r.Order.ID {
		if s.rollout.phase().Final() && !r.phase().Final() {
			r.Record.Order, r.Record.Phase = r.Order.ID, s.rollout.Record.Phase
		}
		s.rollout = r
	} else {
		s.withdraw()
		s.rollout, s.ordered, s.since, s.proven = r, true, since, ""
		s.excluded = slices.DeleteFunc(s.excluded, func(version string) bool { return version == r.Order.Version })
	}
	s.apply(r.phase())
}

// apply puts a final phase of the order in force.
func (s *serviceVersions) apply(phase rollout.Phase) {
	switch version := s.rollout.Order.Version; phase {
	case rollout.Completed:
		s.only, s.completed, s.excluded = version, true, nil
	case rollout.Reverted:
		s.exclude(version)
	}
}

// end puts the end of an order in force that is not read from the store. A completion, which
// is reported only once it is stored, replaces a revert that was not. It returns false if
// another order is in force or its end is known.
func (v *versions) end(service string, order uint64, phase rollout.Phase) bool {
	s := v.services[service]
	if s == nil || !s.ordered || s.rollout.Order.ID != order || !phase.Final() {
		return false
	}
	if known := s.rollout.phase(); known == phase || known == rollout.Completed {
		return false
	}
	s.rollout.Record.Order, s.rollout.Record.Phase = order, phase
	s.apply(phase)
	return true
}

// withdraw ends the order in force, whose version is not used unless it was completed.
func (s *serviceVersions) withdraw() {
	if s.ordered && s.rollout.phase() != rollout.Completed {
		s.exclude(s.rollout.Order.Version)
	}
	if s.ordered && s.rollout.phase() == rollout.Shifting {
		s.proven = s.rollout.Order.Version
	}
	s.rollout, s.ordered, s.refused, s.kept = Rollout{}, false, false, nil
}

// refuse keeps the traffic of a service, whose order can not be read, where it is.
func (s *serviceVersions) refuse(now time.Duration, r RefusedOrder, upstreams []Upstream, inUse map[string]bool) {
	if !s.refused {
		replaced, ordered := s.rollout.Order.Version, s.ordered
		s.withdraw()
		s.refused, s.kept = true, maps.Clone(inUse)
		if ordered && s.isExcluded(replaced) {
			delete(s.kept, replaced)
		}
	}
	s.changedAt = now
	if len(s.kept) == 0 {
		s.kept = otherVersions(upstreams, r)
	}
	for i := range upstreams {
		if u := &upstreams[i]; u.Service == r.Service && len(s.kept) > 0 && !s.kept[u.Version] {
			s.exclude(u.Version)
		}
	}
}

// otherVersions returns the listed versions of a service other than the one that an order
// names which can not be read; none if that version is not known.
func otherVersions(upstreams []Upstream, r RefusedOrder) map[string]bool {
	others := map[string]bool{}
	for i := range upstreams {
		if u := &upstreams[i]; u.Service == r.Service && r.Version != "" && u.Version != r.Version {
			others[u.Version] = true
		}
	}
	return others
}

func (s *serviceVersions) isExcluded(version string) bool {
	return slices.Contains(s.excluded, version)
}

// exclude takes a version out of use, unless a completed order left it as the only one.
func (s *serviceVersions) exclude(version string) {
	if s.isExcluded(version) || s.completed && version == s.only {
		return
	}
	s.excluded = append(s.excluded, version)
	s.excluded = s.excluded[max(0, len(s.excluded)-maxExcluded):]
}

// usable reports whether upstreams of a version may be used.
func (s *serviceVersions) usable(version string) bool {
	switch {
	case s.isExcluded(version):
		return false
	case !s.completed || version == s.only:
		return true
	}
	return s.ordered && version == s.rollout.Order.Version
}

// inUse returns those upstreams of a list that may be used.
func (v *versions) inUse(list []Upstream) (used []Upstream) {
	usable := func(u *Upstream) bool { s := v.services[u.Service]; return s == nil || s.usable(u.Version) }
	served := map[string]bool{}
	for i := range list {
		if u := &list[i]; usable(u) && !u.Leaving {
			served[u.Service] = true
		}
	}
	for i := range list {
		u := &list[i]
		s := v.services[u.Service]
		if usable(u) || !served[u.Service] && s.proven != "" && u.Version == s.proven {
			used = append(used, *u)
		}
	}
	return used
}

// rollouts returns the orders in force, by service, with the upstreams that they concern.
func (v *versions) rollouts(upstreams []Upstream) (all []ServiceRollout) {
	for _, name := range slices.Sorted(maps.Keys(v.services)) {
		s := v.services[name]
		if !s.ordered {
			continue
		}
		r := ServiceRollout{Rollout: s.rollout, Since: s.since}
		for i := range upstreams {
			u := &upstreams[i]
			switch {
			case u.Service != name:
			case u.Version == s.rollout.Order.Version:
				r.Target = append(r.Target, u.Name())
			case s.usable(u.Version) || s.rollout.phase() == rollout.Completed:
				r.Current = append(r.Current, u.Name())
			}
		}
		all = append(all, r)
	}
	return all
}
