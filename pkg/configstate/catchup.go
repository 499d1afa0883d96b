package configstate

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/citrongate/citrongate/pkg/store"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// ReadHead reads the head from the store, unless a read is in progress, and
// loads its segments if it is newer than the set in force.
func (m *Machine) ReadHead(now time.Duration) {
	if m.readingHead {
		return
	}
	m.readingHead = true
	op := store.Op{Kind: store.Get, Key: headKey}
	m.call(op, store.PriorityConfigRead, store.ReasonConfigCatchUp, func(now time.Duration, r store.Result) {
		if r.Status != store.OK {
			m.readingHead = false
			return
		}
		head, ok := m.parseHead(r.Value)
		if !ok {
			m.readingHead = false
			return
		}
		m.load(head, store.PriorityConfigRead, store.ReasonConfigCatchUp, func(time.Duration, bool) {
			m.readingHead = false
		})
	})
}

// load reads the segments that a head names and this instance lacks, and brings
// the set into force once all of them have been read. done receives whether the
// set in force is then at least as new as the head.
func (m *Machine) load(head *pb.ConfigHead, p store.Priority, reason store.Reason, done func(now time.Duration, ok bool)) {
	if head.GetRevision() <= m.current.Revision {
		done(0, true)
		return
	}
	got := m.currentSegments
	missing := 0
	complete := true
	finish := func(now time.Duration) {
		if missing == 0 {
			done(now, complete && m.install(head, got))
		}
	}
	for i, revision := range head.SegmentRevisions {
		if revision == got[i].GetRevision() {
			continue
		}
		if revision == 0 {
			got[i] = nil
			continue
		}
		missing++
		op := store.Op{Kind: store.Get, Key: segmentKey(i, revision)}
		m.call(op, p, reason, func(now time.Duration, r store.Result) {
			missing--
			segment := &pb.ConfigSegment{}
			if r.Status == store.OK && proto.Unmarshal(r.Value, segment) == nil {
				got[i] = segment
			} else {
				complete = false
			}
			finish(now)
		})
	}
	if missing == 0 {
		finish(0)
	}
}

// pullSession is a catch-up from one peer. It may need several pulls, since each
// push is bounded in size.
type pullSession struct {
	peer   uint64
	active bool
	sentAt time.Duration
	// got holds the segments in force and those received so far.
	got segments
	// needsFull marks segments to request in full, since a delta for them could
	// not be applied.
	needsFull [SegmentCount]bool
}

// OnPeerRevision tells the machine which revision a peer has in force, and
// pulls from the peer if it is newer.
func (m *Machine) OnPeerRevision(now time.Duration, peer, revision uint64) {
	if revision <= m.current.Revision {
		return
	}
	if m.pull.active && now-m.pull.sentAt < m.cfg.PullTimeout {
		return
	}
	m.pull = pullSession{peer: peer, active: true, got: m.currentSegments}
	m.sendPull(now)
}

// sendPull asks the peer for newer segments. For a segment that is needed in
// full it names revision 0, for which the peer sends no delta.
func (m *Machine) sendPull(now time.Duration) {
	m.pull.sentAt = now
	message := &pb.ConfigPull{SegmentRevisions: m.pull.got.revisions(), AcceptsDeltas: true}
	for i, needsFull := range m.pull.needsFull {
		if needsFull {
			message.SegmentRevisions[i] = 0
		}
	}
	m.out.Pulls = append(m.out.Pulls, Pull{Peer: m.pull.peer, Message: message})
}

// OnPull answers a peer's pull; nil if the peer lacks nothing. A segment is sent
// as a delta if that is less than half its size. The answer may contain only
// some of the segments that the peer lacks; the peer then pulls again.
func (m *Machine) OnPull(p *pb.ConfigPull) *pb.ConfigPush {
	peerRevisions := p.GetSegmentRevisions()
	if len(peerRevisions) != SegmentCount || m.current.Revision == 0 {
		return nil
	}
	push := &pb.ConfigPush{Head: &pb.ConfigHead{
		Revision:         m.current.Revision,
		SegmentRevisions: m.currentSegments.revisions(),
	}}
	bytes := 0
	for i, segment := range m.currentSegments {
		if segment.GetRevision() <= peerRevisions[i] {
			continue
		}
		size := proto.Size(segment)
		var delta *pb.ConfigDelta
		if p.GetAcceptsDeltas() && peerRevisions[i] > 0 {
			if delta = deltaSince(segment, peerRevisions[i]); 2*proto.Size(delta) < size {
				size = proto.Size(delta)
			} else {
				delta = nil
			}
		}
		if bytes > 0 && bytes+size > m.cfg.MaxPushBytes {
			break
		}
		bytes += size
		if delta != nil {
			push.Deltas = append(push.Deltas, delta)
		} else {
			push.Segments = append(push.Segments, segment)
		}
	}
	if bytes == 0 {
		return nil
	}
	return push
}

// OnPush handles the segments and deltas that a peer sent. Once a newer set is
// complete, it comes into force; otherwise the missing segments are pulled.
func (m *Machine) OnPush(now time.Duration, peer uint64, p *pb.ConfigPush) {
	if !validHead(p.GetHead()) || p.Head.Revision <= m.current.Revision {
		return
	}
	if !m.pull.active || m.pull.peer != peer {
		m.pull = pullSession{peer: peer, active: true, got: m.currentSegments}
	}
	progress := m.pull.addReceived(p)
	if m.pull.got.matches(p.Head) {
		m.pull.active = false
		m.install(p.Head, m.pull.got)
		return
	}
	if progress {
		m.sendPull(now)
	}
}

// addReceived stores newer segments, applies deltas and reports whether the push
// contained anything usable.
func (s *pullSession) addReceived(p *pb.ConfigPush) bool {
	progress := false
	for _, segment := range p.GetSegments() {
		i := segment.GetIndex()
		if i < SegmentCount && segment.GetRevision() > s.got[i].GetRevision() {
			s.got[i], s.needsFull[i] = segment, false
			progress = true
		}
	}
	for _, delta := range p.GetDeltas() {
		i := delta.GetIndex()
		if i >= SegmentCount || s.needsFull[i] || delta.GetBaseRevision() != s.got[i].GetRevision() || delta.GetRevision() <= delta.GetBaseRevision() {
			continue
		}
		progress = true
		if segment := applyDelta(s.got[i], delta); segment != nil {
			s.got[i] = segment
		} else {
			s.needsFull[i] = true
		}
	}
	return progress
}
