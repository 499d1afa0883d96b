package configstate

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/citrongate/citrongate/pkg/store"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// ReadHead reads the head from the store, unless a read is in progress, and
// catches up if it is newer than the set in force.
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
// the set into force once all of them are there. done receives whether the set
// in force is at least as new as the head.
func (m *Machine) load(head *pb.ConfigHead, p store.Priority, reason store.Reason, done func(now time.Duration, ok bool)) {
	if head.GetRevision() <= m.current.Revision {
		done(0, true)
		return
	}
	got := m.held
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

// pullSession is a catch-up from one peer, which may take several pushes.
type pullSession struct {
	peer   uint64
	active bool
	sentAt time.Duration
	// got holds the segments in force and those received so far.
	got segments
	// whole marks segments that a delta did not bring up to date.
	whole [SegmentCount]bool
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
	m.pull = pullSession{peer: peer, active: true, got: m.held}
	m.sendPull(now)
}

func (m *Machine) sendPull(now time.Duration) {
	m.pull.sentAt = now
	message := &pb.ConfigPull{SegmentRevisions: m.pull.got.revisions(), AcceptsDeltas: true}
	for i, whole := range m.pull.whole {
		if whole {
			message.SegmentRevisions[i] = 0
		}
	}
	m.out.Pulls = append(m.out.Pulls, Pull{Peer: m.pull.peer, Message: message})
}

// OnPull answers a peer's pull; nil if the peer lacks nothing. The answer may
// hold only some of the segments; the peer then pulls again.
func (m *Machine) OnPull(p *pb.ConfigPull) *pb.ConfigPush {
	theirs := p.GetSegmentRevisions()
	if len(theirs) != SegmentCount || m.current.Revision == 0 {
		return nil
	}
	push := &pb.ConfigPush{Head: &pb.ConfigHead{
		Revision:         m.current.Revision,
		SegmentRevisions: m.held.revisions(),
	}}
	bytes := 0
	for i, segment := range m.held {
		if segment.GetRevision() <= theirs[i] {
			continue
		}
		size := proto.Size(segment)
		var delta *pb.ConfigDelta
		if p.GetAcceptsDeltas() && theirs[i] > 0 {
			if delta = deltaSince(segment, theirs[i]); 2*proto.Size(delta) < size {
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

// OnPush takes the segments that a peer sent. Segments that complete a newer
// set bring it into force; otherwise the missing ones are pulled.
func (m *Machine) OnPush(now time.Duration, peer uint64, p *pb.ConfigPush) {
	if !validHead(p.GetHead()) || p.Head.Revision <= m.current.Revision {
		return
	}
	if !m.pull.active || m.pull.peer != peer {
		m.pull = pullSession{peer: peer, active: true, got: m.held}
	}
	progress := m.pull.take(p)
	if m.pull.got.matches(p.Head) {
		m.pull.active = false
		m.install(p.Head, m.pull.got)
		return
	}
	if progress {
		m.sendPull(now)
	}
}

// take stores newer segments and reports whether there were any.
func (s *pullSession) take(p *pb.ConfigPush) bool {
	progress := false
	for _, segment := range p.GetSegments() {
		i := segment.GetIndex()
		if i < SegmentCount && segment.GetRevision() > s.got[i].GetRevision() {
			s.got[i], s.whole[i] = segment, false
			progress = true
		}
	}
	for _, delta := range p.GetDeltas() {
		i := delta.GetIndex()
		if i >= SegmentCount || s.whole[i] || delta.GetBaseRevision() != s.got[i].GetRevision() || delta.GetRevision() <= delta.GetBaseRevision() {
			continue
		}
		progress = true
		if segment := applyDelta(s.got[i], delta); segment != nil {
			s.got[i] = segment
		} else {
			s.whole[i] = true
		}
	}
	return progress
}
