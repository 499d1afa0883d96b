package node

import (
	"maps"
	"slices"
	"time"

	"github.com/citrongate/citrongate/pkg/configstate"
	"github.com/citrongate/citrongate/pkg/membership"
	"github.com/citrongate/citrongate/pkg/rollout"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// Rollouts.
//
// An order moves the traffic of a service to upstreams of another version. The owner of the
// service's pool decides on it (rollout_decide.go): it alone grants requests to a version that
// is not proven, and sees how every request ends. All instances know the orders from the store
// and check each permit against them. Local pools leave out the version until the order is
// completed.

const (
	// maxUnreadEnds bounds the ends of orders that other instances told of and that this one has
	// not read yet; further ones are read from the store.
	maxUnreadEnds = 256
	// maxDisabledVersions bounds the versions that are kept out of use after their order is gone.
	maxDisabledVersions = 1024
	// endedRepeatInterval is the time between messages on the end of an order, until it is stored.
	endedRepeatInterval = time.Second
)

// Labels of upstreams by which versions are recognised that no order names any more.
const (
	serviceLabel = "service"
	versionLabel = "version"
)

// serviceVersion is a version of a service.
type serviceVersion struct{ service, version string }

// disabledVersion is a version whose order was withdrawn or replaced before it was completed.
type disabledVersion struct {
	serviceVersion
	// proven is true if it had all new requests already. Other instances may have completed it
	// before the order was withdrawn, so that it is used where no other version is left.
	proven bool
}

// rolloutSet holds the orders that this instance knows.
type rolloutSet struct {
	byService map[string]*serviceRollout
	// services lists the keys of byService in order, unfinished those of orders whose end is not
	// stored or not reported yet, as of the last time that changed was set. Finished orders stay
	// in the store, so that there may be one for each service.
	services, unfinished []string
	changed              bool
	// members holds the part of each upstream that an order names; disabled holds the upstreams
	// of versions that no order names any more.
	members          map[string]rolloutMember
	disabled         map[string]bool
	disabledVersions []disabledVersion
	// unreadEnds holds the ends of orders that were told before they were read, by service.
	unreadEnds map[string]orderEnd
	// lastGroup is the last group of upstreams that was given to an order.
	lastGroup uint32
}

// orderEnd is the end of an order.
type orderEnd struct {
	order uint64
	phase rollout.Phase
}

// rolloutMember is the part of an upstream in an order; the zero value if it has none.
type rolloutMember struct {
	rollout *serviceRollout
	// target is true for upstreams of the ordered version.
	target bool
}

// serviceRollout is the order of one service.
type serviceRollout struct {
	order rollout.Order
	// seenAt is when the order was first seen here, less the age that it may have had then.
	seenAt time.Duration
	// record is the newest record known of the order, command the operator's newest command.
	record  rollout.Record
	command rollout.Command
	// current and target name the upstreams, sorted.
	current, target []string
	// phase is the newest phase known here.
	phase rollout.Phase
	// group is the scheduler's group of the version's upstreams.
	group uint32
	rolloutDecision
}

func newRolloutSet() rolloutSet {
	return rolloutSet{
		byService: map[string]*serviceRollout{}, members: map[string]rolloutMember{},
		unreadEnds: map[string]orderEnd{},
	}
}

// useRollouts takes over the orders that were read together with a configuration set.
func (n *Node) useRollouts(orders []RolloutOrder, set *configstate.Set) {
	if !n.cfg.Rollouts.Enabled() {
		return
	}
	read := map[string]bool{}
	for i := range orders {
		o := &orders[i]
		service := o.Order.Service
		read[service] = true
		s := n.rollouts.byService[service]
		if s == nil || s.order.ID != o.Order.ID {
			n.abandonRollout(s, "another order for the service replaced it")
			s = n.newRollout(o)
		}
		n.rolloutRead(s, o)
	}
	for service, s := range n.rollouts.byService {
		if !read[service] {
			n.abandonRollout(s, "the order was withdrawn")
			delete(n.rollouts.byService, service)
		}
	}
	n.rollouts.services = slices.Sorted(maps.Keys(n.rollouts.byService))
	n.rollouts.changed = true
	n.rollouts.assignMembers(set)
}

func (n *Node) newRollout(o *RolloutOrder) *serviceRollout {
	n.rollouts.lastGroup++
	s := &serviceRollout{order: o.Order, seenAt: n.now - o.Age, group: n.rollouts.lastGroup}
	n.rollouts.byService[o.Order.Service] = s
	return s
}

// rolloutRead takes over an order as read from the store. A reading may be older than what this
// instance knows already.
func (n *Node) rolloutRead(s *serviceRollout, o *RolloutOrder) {
	s.order = o.Order
	s.current, s.target = slices.Sorted(slices.Values(o.Current)), slices.Sorted(slices.Values(o.Target))
	s.dirty = true
	if o.Command != s.command {
		s.command = o.Command
		s.applyCommand(n.now)
	}
	if o.Record.Revision >= s.record.Revision {
		s.learnRecord(n.now, o.Record)
	}
	if o.Record.Order == s.order.ID && (s.decider == nil || o.Record.Phase.Final()) {
		n.learnPhase(s, o.Record.Phase)
	}
	if end, known := n.rollouts.unreadEnds[s.order.Service]; known && end.order == s.order.ID {
		delete(n.rollouts.unreadEnds, s.order.Service)
		n.learnEnd(s, end.phase)
	}
}

// assignMembers finds out which upstreams orders name, and which have a disabled version.
func (r *rolloutSet) assignMembers(set *configstate.Set) {
	r.members, r.disabled = map[string]rolloutMember{}, nil
	for _, service := range r.services {
		s := r.byService[service]
		for _, name := range s.current {
			r.members[name] = rolloutMember{rollout: s}
		}
		for _, name := range s.target {
			r.members[name] = rolloutMember{rollout: s, target: true}
		}
		r.disabledVersions = slices.DeleteFunc(r.disabledVersions, func(d disabledVersion) bool {
			return d.serviceVersion == serviceVersion{service, s.order.Version}
		})
	}
	for _, d := range r.disabledVersions {
		var names []string
		others := 0
		for name, object := range set.Upstreams {
			switch labels := object.GetMeta().GetLabels(); {
			case labels[serviceLabel] != d.service:
			case labels[versionLabel] == d.version:
				names = append(names, name)
			default:
				others++
			}
		}
		if d.proven && others == 0 {
			continue
		}
		for _, name := range names {
			if r.disabled == nil {
				r.disabled = map[string]bool{}
			}
			r.disabled[name] = true
		}
	}
}

// abandonRollout handles an order that is no longer in the store. Unless it was completed, its
// version stays out of use until another order names it.
func (n *Node) abandonRollout(s *serviceRollout, reason string) {
	if s == nil {
		return
	}
	if s.phase != rollout.Completed {
		r := &n.rollouts
		r.disabledVersions = append(r.disabledVersions, disabledVersion{
			serviceVersion{s.order.Service, s.order.Version}, s.phase == rollout.Shifting})
		if len(r.disabledVersions) > maxDisabledVersions {
			r.disabledVersions = r.disabledVersions[1:]
		}
	}
	if !s.phase.Final() {
		n.changePhase(s, rollout.Reverted, reason, s.decider != nil)
	}
	s.stopDeciding()
}

// learnPhase takes over a phase that the store holds or another instance told of. Phases never
// go back; Completed replaces a revert that was not stored.
func (n *Node) learnPhase(s *serviceRollout, phase rollout.Phase) {
	if phase > s.phase && s.phase != rollout.Completed || phase == rollout.Completed && s.phase != phase {
		n.changePhase(s, phase, "", false)
	}
}

// learnEnd takes over the end of an order that another instance told of.
func (n *Node) learnEnd(s *serviceRollout, phase rollout.Phase) {
	switch {
	case phase == rollout.Completed:
		// It is told only after the store has it.
		s.record.Order, s.record.Phase = s.order.ID, phase
		n.rollouts.changed = true
		s.stopDeciding()
	case phase != rollout.Reverted:
		return
	case s.decider != nil:
		s.decider.Command(n.now, rollout.Revert)
		s.dirty = true
	}
	n.learnPhase(s, phase)
}

// changePhase puts a phase in force and reports it.
func (n *Node) changePhase(s *serviceRollout, phase rollout.Phase, reason string, here bool) {
	s.phase = phase
	n.rollouts.changed = true
	n.count("rollouts", phase.String())
	change := RolloutChanged{Service: s.order.Service, Order: s.order.ID, Phase: phase, Reason: reason, Here: here}
	if s.decider != nil {
		change.Status = s.decider.Status()
	}
	n.emit(change)
	n.refreshRolloutPools(s)
}

// announceEnd tells all live instances how an order ended.
func (n *Node) announceEnd(s *serviceRollout) {
	s.announcedAt = n.now
	n.view.EachLive(func(m membership.Member) { n.sendEnd(m.Incarnation, s) })
}

// sendEnd tells one instance how an order ended; any phase but Completed is sent as a revert.
func (n *Node) sendEnd(to uint64, s *serviceRollout) {
	phase := pb.RolloutPhase_ROLLOUT_PHASE_REVERTED
	if s.phase == rollout.Completed {
		phase = pb.RolloutPhase_ROLLOUT_PHASE_COMPLETED
	}
	n.send(to, &pb.PeerMessage{Body: &pb.PeerMessage_RolloutState{RolloutState: &pb.RolloutState{
		Service: s.order.Service, Order: s.order.ID, Phase: phase}}})
}

// onRolloutState takes over the end of an order.
func (n *Node) onRolloutState(m *pb.RolloutState) {
	end := orderEnd{m.Order, rollout.Reverted}
	switch m.Phase {
	case pb.RolloutPhase_ROLLOUT_PHASE_COMPLETED:
		end.phase = rollout.Completed
	case pb.RolloutPhase_ROLLOUT_PHASE_REVERTED:
	default:
		return
	}
	s := n.rollouts.byService[m.Service]
	if s != nil && s.order.ID == m.Order {
		n.learnEnd(s, end.phase)
		return
	}
	if !n.cfg.Rollouts.Enabled() {
		return
	}
	if _, known := n.rollouts.unreadEnds[m.Service]; known || len(n.rollouts.unreadEnds) < maxUnreadEnds {
		n.rollouts.unreadEnds[m.Service] = end
	}
}

// rolloutForbids reports whether an upstream must get no request from any instance.
func (n *Node) rolloutForbids(upstream string) bool {
	if n.rollouts.disabled[upstream] {
		return true
	}
	m := n.rollouts.members[upstream]
	if m.rollout == nil {
		return false
	}
	phase := m.rollout.phase
	return phase == rollout.Reverted && m.target || phase == rollout.Completed && !m.target
}

// notifyOwner tells an owner that granted an upstream which must not be used how its order
// ended. It may have missed the message and be unable to read the store. An upstream may also
// be forbidden for an earlier order, which says nothing about one that has not ended.
func (n *Node) notifyOwner(owner uint64, upstream string) {
	m := n.rollouts.members[upstream]
	if m.rollout != nil && m.rollout.phase.Final() && n.rolloutForbids(upstream) {
		n.sendEnd(owner, m.rollout)
	}
}

// useInPool returns how a pool uses an upstream: not at all if closed, else within the allowance
// of a group unless that is 0.
func (n *Node) useInPool(upstream string, local bool) (closed bool, group uint32) {
	if n.rolloutForbids(upstream) {
		return true, 0
	}
	m := n.rollouts.members[upstream]
	switch s := m.rollout; {
	case s == nil || s.phase.Final():
		return false, 0
	case local || s.decider == nil:
		return m.target, 0
	case m.target:
		return !s.open[upstream], s.group
	default:
		return !s.currentOpen, 0
	}
}

// Rollouts describes the orders that this instance decides on, by service.
func (n *Node) Rollouts() map[string]rollout.Status {
	statuses := map[string]rollout.Status{}
	for service, s := range n.rollouts.byService {
		if s.decider != nil {
			statuses[service] = s.decider.Status()
		}
	}
	return statuses
}
