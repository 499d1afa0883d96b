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
	// behindAfter is the age of the copies of the store's state from which others
	// are preferred as owners. Short disturbances move no pool.
	behindAfter = 1500 * time.Millisecond
)

// readReasons names the reads of the store in the counter "refresh", beside the
// questions to other instances and what they confirmed.
var readReasons = [len(refresh.Parts)]string{refresh.Config: "read_config", refresh.Upstreams: "read_upstreams"}

// Copies returns what is known of this instance's copies of the store's state.
func (n *Node) Copies() refresh.Copies { return n.copies.Copies() }

// tickRefresh reads the store's state or asks another instance about it.
func (n *Node) tickRefresh() {
	if n.cfg.RefreshWithin == 0 {
		return
	}
	due := n.copies.Tick(n.now, func(stale bool) uint64 { return n.view.ReaderOf(instancesPerReader, !stale) })
	if due.Ask != 0 {
		n.count("refresh", "asked")
		n.send(due.Ask, &pb.PeerMessage{Body: &pb.PeerMessage_CopyQuery{CopyQuery: &pb.CopyQuery{Sequence: due.Sequence}}})
	}
	n.readStore(due)
	n.noteBehind()
}

func (n *Node) readStore(due refresh.Due) {
	for _, p := range refresh.Parts {
		if due.Read[p] {
			n.count("refresh", readReasons[p])
			n.emit(ReadStore{Part: p})
		}
	}
}

// noteBehind gives up this instance's pools to others while its copies are old.
func (n *Node) noteBehind() {
	oldest, known := n.copies.Oldest()
	if !known {
		oldest = n.cfg.Started
	}
	n.view.SetBehind(n.now-oldest >= behindAfter)
}

// storeRead takes in the end of a read. A reader that finds a change tells all
// others, which then need not wait until they ask.
func (n *Node) storeRead(e StoreRead) {
	changed, due := n.copies.OnRead(n.now, e.Part, e.Started, e.OK, e.Version)
	n.readStore(due)
	n.noteBehind()
	n.updateOwnership()
	if !changed || n.view.ReaderOf(instancesPerReader, true) != 0 {
		return
	}
	n.view.Live(func(m membership.Member) { n.send(m.Incarnation, n.copyState(0)) })
}

func (n *Node) onCopyQuery(from uint64, m *pb.CopyQuery) {
	if n.cfg.RefreshWithin != 0 {
		n.send(from, n.copyState(m.Sequence))
	}
}

// copyState describes this instance's copies.
func (n *Node) copyState(sequence uint32) *pb.PeerMessage {
	ages := n.copies.Ages(n.now)
	return &pb.PeerMessage{Body: &pb.PeerMessage_CopyState{CopyState: &pb.CopyState{
		Sequence: sequence, Config: copyMessage(ages[refresh.Config]), Upstreams: copyMessage(ages[refresh.Upstreams]),
	}}}
}

func copyMessage(c refresh.Copy) *pb.Copy {
	if !c.Known {
		return nil
	}
	return &pb.Copy{Version: c.Version, AgeMs: uint32(c.At/time.Millisecond) + 1}
}

func copyOf(m *pb.Copy) refresh.Copy {
	return refresh.Copy{Version: m.GetVersion(), At: time.Duration(m.GetAgeMs()) * time.Millisecond, Known: m != nil}
}

func (n *Node) onCopyState(m *pb.CopyState) {
	if n.cfg.RefreshWithin == 0 {
		return
	}
	ages := refresh.Copies{refresh.Config: copyOf(m.Config), refresh.Upstreams: copyOf(m.Upstreams)}
	if m.Sequence == 0 {
		n.readStore(n.copies.OnHint(n.now, ages))
		return
	}
	confirmed, due := n.copies.OnAnswer(n.now, m.Sequence, ages)
	for _, p := range refresh.Parts {
		if confirmed[p] {
			n.count("refresh", "confirmed")
			c := n.copies.Copies()[p]
			n.emit(CopyConfirmed{Part: p, Version: c.Version, At: c.At})
		}
	}
	n.readStore(due)
	n.noteBehind()
}
