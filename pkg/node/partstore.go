package node

import (
	"maps"
	"slices"
	"time"

	"github.com/citrongate/citrongate/pkg/membership"
	"github.com/citrongate/citrongate/pkg/poison"
)

const (
	// partReadInterval is the time between reads of the stored records by an instance
	// that reads the store for others, and partReadRetry that between reads by one that
	// has not read them yet.
	partReadInterval = 5 * time.Second
	partReadRetry    = time.Second
	// partWriteRetry is the time between attempts to write a record.
	partWriteRetry = 2 * time.Second
	// partAlertTime is how long after a broken answer an instance that seems to be cut off,
	// or a reader that misses a member, reads the current records and not older ones.
	partAlertTime = 30 * time.Second
)

// partStore is what an instance knows of the records of parts in the store.
type partStore struct {
	// known is true once they were read.
	known bool
	// nextCheck is when this instance looks next whether to read them, nextRead when a
	// reader of the store does so again.
	nextCheck, nextRead time.Duration
	// nextExchange is when records are sent to another instance next; exchanges counts
	// how often they were.
	nextExchange time.Duration
	exchanges    uint64
	// brokeAt is when an answer to a request of this instance broke last; 0 if never.
	brokeAt time.Duration
	// unwritten holds the records to be written, with the time of the next attempt,
	// writing those with a write in progress.
	unwritten map[poison.Key]time.Duration
	writing   map[poison.Key]bool
	// absent holds the records that the store lacked in the newest read.
	absent map[poison.Key]bool
}

func newPartStore() partStore {
	return partStore{unwritten: map[poison.Key]time.Duration{}, writing: map[poison.Key]bool{}, absent: map[poison.Key]bool{}}
}

// write has the record of a part written.
func (s *partStore) write(key poison.Key) { s.unwritten[key] = 0 }

// tickPartStore reads and writes the stored records that are due. All instances read them
// once; afterwards those that read the store for others do, so that a record of another
// cell or an operator's change is found.
func (n *Node) tickPartStore() {
	s := &n.partStore
	if n.cfg.RefreshWithin == 0 {
		return
	}
	if n.now >= s.nextCheck {
		s.nextCheck = n.now + partReadRetry
		n.readPartsIfDue()
	}
	for _, key := range slices.SortedFunc(maps.Keys(s.unwritten), poison.CompareKeys) {
		if s.writing[key] || n.now < s.unwritten[key] {
			continue
		}
		record, ok := n.poison.Record(key)
		if !ok {
			delete(s.unwritten, key)
			continue
		}
		s.writing[key] = true
		delete(s.unwritten, key)
		record.Until, record.Ends = max(0, record.Until-n.now), nil
		n.emit(WritePartRecord{Record: record})
	}
}

// readPartsIfDue reads the stored records if this instance has not read them yet, seems to be
// cut off from the others, or is due to read them for others. While answers break and a member
// is not heard from, it is due at each look: that member may have blocked a part.
func (n *Node) readPartsIfDue() {
	s := &n.partStore
	cutOff := n.cutOff()
	broke := s.brokeAt > 0 && n.now-s.brokeAt < partAlertTime
	alert := broke && (cutOff || n.reportsMissing())
	due := (alert || n.now >= s.nextRead) && n.view.ReaderOf(instancesPerReader, true) == 0
	if s.known && !cutOff && !due {
		return
	}
	n.emit(ReadPartRecords{Current: alert || !s.known})
}

// cutOff reports whether this instance seems to be cut off from the others, so that blocks
// arrive through the store only.
func (n *Node) cutOff() bool {
	alive, others := 0, 0
	for _, m := range n.view.Members() {
		if m.Incarnation == n.self || m.Leaving {
			continue
		}
		others++
		if m.State == membership.Alive {
			alive++
		}
	}
	return alive*2 < others
}

// partRecordWritten has a record written again if the write failed.
func (n *Node) partRecordWritten(e PartRecordWritten) {
	s := &n.partStore
	delete(s.writing, e.Key)
	if _, newer := s.unwritten[e.Key]; !e.OK && !newer {
		s.unwritten[e.Key] = n.now + partWriteRetry
	}
}

// partRecordsRead merges the stored records, and has those written that the store lacks in
// two reads in a row: the instance that decided them may have ended before it wrote them.
func (n *Node) partRecordsRead(e PartRecordsRead) {
	if !e.OK {
		return
	}
	s := &n.partStore
	s.known, s.nextRead = true, n.now+partReadInterval
	stored := map[poison.Key]poison.Record{}
	for _, record := range e.Records {
		stored[record.Key] = record
		if _, held := n.poison.Record(record.Key); !held && record.State == poison.Lifted {
			n.emit(DeletePartRecord{Key: record.Key})
			continue
		}
		record.Until += n.now
		n.mergePart(record)
	}
	for _, key := range e.Lifts {
		n.poison.Lift(n.now, key)
	}
	absent := map[poison.Key]bool{}
	for _, record := range n.poison.Records() {
		if !record.Kept() || !poison.Newer(record, stored[record.Key]) {
			continue
		}
		absent[record.Key] = true
		if s.absent[record.Key] {
			s.write(record.Key)
		}
	}
	s.absent = absent
}
