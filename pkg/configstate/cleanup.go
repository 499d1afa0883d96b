package configstate

import (
	"cmp"
	"slices"
	"time"

	"github.com/citrongate/citrongate/pkg/store"
)

const (
	// keepRevisions is the number of revisions for which a segment is kept after
	// it was replaced, so that an instance that reads an older head still finds
	// its segments.
	keepRevisions = 16
	// cleanupEvery is the least number of revisions between two clean-ups.
	cleanupEvery = 16
	// maxDeletes bounds the deletions of one clean-up.
	maxDeletes = 64
)

// cleanup is the state of deleting segments that no recent head names.
type cleanup struct {
	running      bool
	lastRevision uint64
}

// startCleanup lists the segments and deletes obsolete ones, unless a clean-up is
// running or was started less than cleanupEvery revisions ago.
func (m *Machine) startCleanup(now time.Duration) {
	if m.cleanup.running || m.current.Revision < m.cleanup.lastRevision+cleanupEvery {
		return
	}
	m.cleanup = cleanup{running: true, lastRevision: m.current.Revision}
	op := store.Op{Kind: store.List, Key: segmentPrefix}
	m.call(op, store.PriorityCleanup, store.ReasonConfigCleanup, func(_ time.Duration, r store.Result) {
		m.cleanup.running = false
		if r.Status == store.OK {
			m.deleteSegments(r.Entries)
		}
	})
}

// deleteSegments deletes the segments that no head of the last keepRevisions
// revisions names.
func (m *Machine) deleteSegments(entries []store.Entry) {
	var listed [SegmentCount][]segmentEntry
	for _, e := range entries {
		if index, revision, ok := parseSegmentKey(e.Key); ok && index >= 0 && index < SegmentCount {
			listed[index] = append(listed[index], segmentEntry{e, revision})
		}
	}
	deletes := 0
	for index, segments := range listed {
		slices.SortFunc(segments, func(a, b segmentEntry) int { return cmp.Compare(a.revision, b.revision) })
		for i, s := range segments {
			if deletes == maxDeletes || !m.isObsolete(index, segments, i) {
				continue
			}
			deletes++
			op := store.Op{Kind: store.Delete, Key: s.entry.Key, Version: s.entry.Version}
			m.call(op, store.PriorityCleanup, store.ReasonConfigCleanup, func(time.Duration, store.Result) {})
		}
	}
}

type segmentEntry struct {
	entry    store.Entry
	revision uint64
}

// isObsolete reports whether segment i of an index was replaced at least
// keepRevisions ago. A segment above the one in force was either written for a
// change that failed, or belongs to a head that this instance has not seen and
// whose revision is then above its own.
func (m *Machine) isObsolete(index int, segments []segmentEntry, i int) bool {
	named := m.currentSegments[index].GetRevision()
	replacedAt := segments[i].revision
	if segments[i].revision < named {
		if i+1 == len(segments) || segments[i+1].revision > named {
			return false
		}
		replacedAt = segments[i+1].revision
	}
	return segments[i].revision != named && replacedAt+keepRevisions <= m.current.Revision
}
