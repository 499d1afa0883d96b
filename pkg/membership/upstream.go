package membership

import (
	"slices"
	"time"

	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// successorTime is how long a new incarnation of a leaving upstream must have
// been listed before it is used. A list that goes backwards may show an older
// incarnation for a moment, which must not undo the leave.
const successorTime = 3 * time.Second

// upstreamRecord is what is known of the incarnations of one upstream name.
type upstreamRecord struct {
	// leaving holds the incarnations seen leaving, oldest first.
	leaving []string
	// successor is another incarnation listed after a leave, since first.
	successor string
	first     time.Duration
	confirmed bool
}

// upstreamBook holds the upstreams that were seen leaving at any time.
type upstreamBook struct {
	records map[string]*upstreamRecord
	names   []string
	version uint64
}

// leavingKept bounds the remembered leaving incarnations per name.
const leavingKept = 16

func newUpstreamBook() upstreamBook {
	return upstreamBook{records: map[string]*upstreamRecord{}}
}

// UpstreamLeaving reports whether the upstream may receive no new work.
func (v *View) UpstreamLeaving(name string) bool {
	r, ok := v.leaving.records[name]
	return ok && !r.confirmed && !v.cfg.IgnoreLeaving
}

// UpstreamsVersion changes whenever UpstreamLeaving may have changed.
func (v *View) UpstreamsVersion() uint64 { return v.leaving.version }

// updates describes all leaving upstreams, for an instance that joins.
func (b *upstreamBook) updates() []*pb.MemberUpdate {
	var updates []*pb.MemberUpdate
	for _, name := range b.names {
		r := b.records[name]
		if !r.confirmed {
			updates = append(updates, upstreamUpdate(name, r.leaving[len(r.leaving)-1], true))
		}
	}
	return updates
}

func upstreamUpdate(name, incarnation string, leaving bool) *pb.MemberUpdate {
	update := &pb.MemberUpdate{Upstream: name, UpstreamIncarnation: incarnation, State: pb.MemberState_MEMBER_STATE_ALIVE}
	if leaving {
		update.State = pb.MemberState_MEMBER_STATE_LEAVING
	}
	return update
}

// listUpstream applies one listed upstream and returns what to announce.
func (v *View) listUpstream(now time.Duration, line Listed) []*pb.MemberUpdate {
	if line.Leaving {
		v.upstreamLeaves(line.Name, line.Incarnation)
		return []*pb.MemberUpdate{upstreamUpdate(line.Name, line.Incarnation, true)}
	}
	v.upstreamListed(now, line.Name, line.Incarnation)
	r, ok := v.leaving.records[line.Name]
	if !ok || slices.Contains(r.leaving, line.Incarnation) {
		return nil
	}
	return []*pb.MemberUpdate{upstreamUpdate(line.Name, line.Incarnation, false)}
}

func (v *View) applyUpstream(now time.Duration, u *pb.MemberUpdate) {
	switch u.State {
	case pb.MemberState_MEMBER_STATE_LEAVING:
		v.upstreamLeaves(u.Upstream, u.UpstreamIncarnation)
	case pb.MemberState_MEMBER_STATE_ALIVE:
		v.upstreamListed(now, u.Upstream, u.UpstreamIncarnation)
	}
}

func (v *View) upstreamLeaves(name, incarnation string) {
	r, ok := v.leaving.records[name]
	if !ok {
		r = &upstreamRecord{}
		v.leaving.records[name] = r
		v.leaving.names = append(v.leaving.names, name)
	}
	if slices.Contains(r.leaving, incarnation) {
		return
	}
	if r.confirmed && r.successor != incarnation {
		// A late line of an incarnation older than the confirmed successor.
		r.remember(incarnation)
		return
	}
	r.remember(incarnation)
	r.successor, r.confirmed = "", false
	v.leaving.version++
	v.gossip.add(upstreamUpdate(name, incarnation, true), v.LiveCount())
}

func (r *upstreamRecord) remember(incarnation string) {
	r.leaving = append(r.leaving, incarnation)
	if len(r.leaving) > leavingKept {
		r.leaving = r.leaving[1:]
	}
}

// upstreamListed applies a line that shows an incarnation as live.
func (v *View) upstreamListed(now time.Duration, name, incarnation string) {
	r, ok := v.leaving.records[name]
	if !ok || r.confirmed || slices.Contains(r.leaving, incarnation) {
		return
	}
	if r.successor != incarnation {
		r.successor, r.first = incarnation, now
		return
	}
	if now-r.first >= successorTime {
		r.confirmed = true
		v.leaving.version++
	}
}
