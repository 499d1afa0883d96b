package membership

import (
	"slices"
	"time"

	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// successorDelay is how long a new incarnation of a leaving upstream must have
// been listed before it is used. A stale list may show an older incarnation for
// a moment, which must not undo the leave.
const successorDelay = 3 * time.Second

// upstreamRecord holds the known incarnations of one upstream name.
type upstreamRecord struct {
	// leaving holds the incarnations seen leaving, oldest first.
	leaving []string
	// successor is another incarnation, listed after a leave since
	// successorSince; confirmed is true once it is used.
	successor      string
	successorSince time.Duration
	confirmed      bool
}

// upstreamRecords holds the upstreams that were ever seen leaving.
type upstreamRecords struct {
	records map[string]*upstreamRecord
	names   []string
	version uint64
}

// maxLeavingIncarnations bounds the remembered leaving incarnations per name.
const maxLeavingIncarnations = 16

func newUpstreamRecords() upstreamRecords {
	return upstreamRecords{records: map[string]*upstreamRecord{}}
}

// UpstreamLeaving reports whether the upstream may receive no new work.
func (v *View) UpstreamLeaving(name string) bool {
	r, ok := v.leaving.records[name]
	return ok && !r.confirmed && !v.cfg.IgnoreLeaving
}

// UpstreamsVersion changes whenever UpstreamLeaving may have changed.
func (v *View) UpstreamsVersion() uint64 { return v.leaving.version }

// updates describes all leaving upstreams, for an instance that joins.
func (u *upstreamRecords) updates() []*pb.MemberUpdate {
	var updates []*pb.MemberUpdate
	for _, name := range u.names {
		r := u.records[name]
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

// applyUpstreamEntry applies one listed upstream and returns the updates to
// announce. They include an incarnation that is listed as live and said itself that it
// is leaving: instances that have not heard of that learn it from the next announcement.
func (v *View) applyUpstreamEntry(now time.Duration, entry Listed) []*pb.MemberUpdate {
	if entry.Leaving {
		v.markUpstreamLeaving(entry.Name, entry.Incarnation)
		return []*pb.MemberUpdate{upstreamUpdate(entry.Name, entry.Incarnation, true)}
	}
	v.recordListedUpstream(now, entry.Name, entry.Incarnation)
	r, ok := v.leaving.records[entry.Name]
	if !ok {
		return nil
	}
	leaving := slices.Contains(r.leaving, entry.Incarnation)
	if leaving && r.confirmed {
		return nil // a stale entry of an incarnation that was replaced
	}
	return []*pb.MemberUpdate{upstreamUpdate(entry.Name, entry.Incarnation, leaving)}
}

func (v *View) applyUpstream(now time.Duration, u *pb.MemberUpdate) {
	switch u.State {
	case pb.MemberState_MEMBER_STATE_LEAVING:
		v.markUpstreamLeaving(u.Upstream, u.UpstreamIncarnation)
	case pb.MemberState_MEMBER_STATE_ALIVE:
		v.recordListedUpstream(now, u.Upstream, u.UpstreamIncarnation)
	}
}

// OnUpstreamLeaves records that an upstream said itself that it is leaving, and tells the
// other instances.
func (v *View) OnUpstreamLeaves(name, incarnation string) {
	versionBefore := v.leaving.version
	v.markUpstreamLeaving(name, incarnation)
	if v.leaving.version != versionBefore {
		v.broadcast(upstreamUpdate(name, incarnation, true))
	}
}

// markUpstreamLeaving records that an incarnation of an upstream is leaving.
func (v *View) markUpstreamLeaving(name, incarnation string) {
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
		// A stale entry of an incarnation older than the confirmed successor.
		r.addLeaving(incarnation)
		return
	}
	r.addLeaving(incarnation)
	r.successor, r.confirmed = "", false
	v.leaving.version++
	v.gossip.add(upstreamUpdate(name, incarnation, true), v.LiveCount())
}

func (r *upstreamRecord) addLeaving(incarnation string) {
	r.leaving = append(r.leaving, incarnation)
	if len(r.leaving) > maxLeavingIncarnations {
		r.leaving = r.leaving[1:]
	}
}

// recordListedUpstream applies a list entry that shows an incarnation as live,
// and confirms a successor that has been listed for successorDelay.
func (v *View) recordListedUpstream(now time.Duration, name, incarnation string) {
	r, ok := v.leaving.records[name]
	if !ok || r.confirmed || slices.Contains(r.leaving, incarnation) {
		return
	}
	if r.successor != incarnation {
		r.successor, r.successorSince = incarnation, now
		return
	}
	if now-r.successorSince >= successorDelay {
		r.confirmed = true
		v.leaving.version++
	}
}
