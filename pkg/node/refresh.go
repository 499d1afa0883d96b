package node

import (
	"time"

	"github.com/citrongate/citrongate/pkg/membership"
	"github.com/citrongate/citrongate/pkg/refresh"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

const (
	// instancesPerReader is the number of instances for which one reads the store.
	instancesPerReader = 24
	// staleAfter is the age of this instance's copies of the store's state from
	// which other instances are preferred as owners. Short disturbances move no
	// pool.
	staleAfter = 1500 * time.Millisecond
)

// readReasons are the reasons under which reads of the store are counted in
// "refresh"; queries to other instances and their confirmations have their own.
var readReasons = [len(refresh.Parts)]string{refresh.Config: "read_config", refresh.Upstreams: "read_upstreams"}

// Copies returns what is known of this instance's copies of the store's state.
func (n *Node) Copies() refresh.Copies { return n.refresher.Copies() }

// tickRefresh reads the store's state or asks another instance about it.
func (n *Node) tickRefresh() {
	if n.cfg.RefreshWithin == 0 {
		return
	}
	due := n.refresher.Tick(n.now, func(stale bool) uint64 { return n.view.ReaderOf(instancesPerReader, !stale) })
	if due.QueryPeer != 0 {
		n.count("refresh", "asked")
		n.send(due.QueryPeer, &pb.PeerMessage{Body: &pb.PeerMessage_CopyQuery{CopyQuery: &pb.CopyQuery{Sequence: due.Sequence}}})
	}
	n.emitReads(due)
	n.updateBehind()
}

// emitReads emits the reads of the store that are due.
func (n *Node) emitReads(due refresh.Due) {
	for _, p := range refresh.Parts {
		if due.Read[p] {
			n.count("refresh", readReasons[p])
			n.emit(ReadStore{Part: p})
		}
	}
}

// updateBehind marks this instance as behind while its copies are stale, so that
// its pools move to other instances.
func (n *Node) updateBehind() {
	oldest, known := n.refresher.Oldest()
	if !known {
		oldest = n.cfg.Started
	}
	n.view.SetBehind(n.now-oldest >= staleAfter)
}

// storeRead handles the result of a read. A reader that finds a change tells all
// live instances, which then need not wait for their next query.
func (n *Node) storeRead(e StoreReadDone) {
	changed, due := n.refresher.OnRead(n.now, e.Part, e.Started, e.OK, e.Version)
	n.emitReads(due)
	if e.OK {
		n.view.PlatformAnswered(n.now)
	}
	n.updateBehind()
	n.updateOwnership()
	if !changed || n.view.ReaderOf(instancesPerReader, true) != 0 {
		return
	}
	n.view.EachLive(func(m membership.Member) { n.send(m.Incarnation, n.copyState(0)) })
}

func (n *Node) onCopyQuery(from uint64, m *pb.CopyQuery) {
	if n.cfg.RefreshWithin != 0 {
		n.send(from, n.copyState(m.Sequence))
	}
}

// copyState describes the versions and ages of this instance's copies.
func (n *Node) copyState(sequence uint32) *pb.PeerMessage {
	ages := n.refresher.Ages(n.now)
	return &pb.PeerMessage{Body: &pb.PeerMessage_CopyState{CopyState: &pb.CopyState{
		Sequence: sequence, Config: copyToProto(ages[refresh.Config]), Upstreams: copyToProto(ages[refresh.Upstreams]),
	}}}
}

func copyToProto(c refresh.Copy) *pb.Copy {
	if !c.Known {
		return nil
	}
	return &pb.Copy{Version: c.Version, AgeMs: uint32(c.At/time.Millisecond) + 1}
}

func copyFromProto(m *pb.Copy) refresh.Copy {
	return refresh.Copy{Version: m.GetVersion(), At: time.Duration(m.GetAgeMs()) * time.Millisecond, Known: m != nil}
}

// onCopyState handles the state of a peer's copies: the answer to a query, or, with
// sequence 0, the announcement of a change.
func (n *Node) onCopyState(m *pb.CopyState) {
	if n.cfg.RefreshWithin == 0 {
		return
	}
	ages := refresh.Copies{refresh.Config: copyFromProto(m.Config), refresh.Upstreams: copyFromProto(m.Upstreams)}
	if m.Sequence == 0 {
		n.emitReads(n.refresher.OnAnnouncement(n.now, ages))
		return
	}
	confirmed, due := n.refresher.OnAnswer(n.now, m.Sequence, ages)
	for _, p := range refresh.Parts {
		if confirmed[p] {
			n.count("refresh", "confirmed")
			c := n.refresher.Copies()[p]
			n.emit(CopyConfirmed{Part: p, Version: c.Version, At: c.At})
		}
	}
	n.emitReads(due)
	n.updateBehind()
}
