package membership

import (
	"cmp"
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
	// needed is when the upstream was last listed or configured, or the record changed.
	needed time.Duration
}

// upstreamRecords holds the upstreams that were seen leaving, as long as they are listed or
// configured and for upstreamRetention after that.
type upstreamRecords struct {
	records    map[string]*upstreamRecord
	names      []string
	version    uint64
	nextExpiry time.Duration
}

// maxLeavingIncarnations bounds the remembered leaving incarnations per name.
const maxLeavingIncarnations = 16

const (
	// upstreamRetention is how long an upstream that left is remembered after it was last
	// needed. It is far longer than a list or a configuration lags behind.
	upstreamRetention = time.Hour
	// maxUpstreamRecords bounds the upstreams that are remembered without being configured.
	maxUpstreamRecords = 8192
	// upstreamExpiryInterval is the time between looks for upstreams to forget.
	upstreamExpiryInterval = time.Second
)

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

// ExpireUpstreams forgets upstreams that left. One that is configured is never forgotten,
// since it would be used again; of the others the number and the age are bounded.
func (v *View) ExpireUpstreams(now time.Duration, configured func(name string) bool) {
	u := &v.leaving
	if now < u.nextExpiry {
		return
	}
	u.nextExpiry = now + upstreamExpiryInterval
	var unused []string
	for _, name := range u.names {
		if configured(name) {
			u.records[name].needed = now
		} else {
			unused = append(unused, name)
		}
	}
	slices.SortStableFunc(unused, func(a, b string) int { return cmp.Compare(u.records[a].needed, u.records[b].needed) })
	before := len(u.records)
	for i, name := range unused {
		if len(unused)-i > maxUpstreamRecords || now-u.records[name].needed >= upstreamRetention {
			delete(u.records, name)
		}
	}
	if len(u.records) < before {
		u.names = slices.DeleteFunc(u.names, func(name string) bool { return u.records[name] == nil })
		u.version++
	}
}

// updates describes the leaving upstreams, for an instance that joins. Those that were last
// needed long ago are left out: they would be remembered anew, and so for ever where
// instances join again and again.
func (u *upstreamRecords) updates(now time.Duration) []*pb.MemberUpdate {
	var updates []*pb.MemberUpdate
	for _, name := range u.names {
		r := u.records[name]
		if !r.confirmed && now-r.needed < upstreamRetention/2 {
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
		v.markUpstreamLeaving(now, entry.Name, entry.Incarnation)
		v.leaving.records[entry.Name].needed = now
		return []*pb.MemberUpdate{upstreamUpdate(entry.Name, entry.Incarnation, true)}
	}
	v.recordListedUpstream(now, entry.Name, entry.Incarnation)
	r, ok := v.leaving.records[entry.Name]
	if !ok {
		return nil
	}
	r.needed = now
	leaving := slices.Contains(r.leaving, entry.Incarnation)
	if leaving && r.confirmed {
		return nil // a stale entry of an incarnation that was replaced
	}
	return []*pb.MemberUpdate{upstreamUpdate(entry.Name, entry.Incarnation, leaving)}
}

func (v *View) applyUpstream(now time.Duration, u *pb.MemberUpdate) {
	switch u.State {
	case pb.MemberState_MEMBER_STATE_LEAVING:
		v.markUpstreamLeaving(now, u.Upstream, u.UpstreamIncarnation)
	case pb.MemberState_MEMBER_STATE_ALIVE:
		v.recordListedUpstream(now, u.Upstream, u.UpstreamIncarnation)
	}
}

// OnUpstreamLeaves records that an upstream said itself that it is leaving, and tells the
// other instances.
func (v *View) OnUpstreamLeaves(now time.Duration, name, incarnation string) {
	versionBefore := v.leaving.version
	v.markUpstreamLeaving(now, name, incarnation)
	if v.leaving.version != versionBefore {
		v.broadcast(upstreamUpdate(name, incarnation, true))
	}
}

// markUpstreamLeaving records that an incarnation of an upstream is leaving.
func (v *View) markUpstreamLeaving(now time.Duration, name, incarnation string) {
	r, ok := v.leaving.records[name]
	if !ok {
		r = &upstreamRecord{needed: now}
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
	r.needed = now
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
