package configstate

import (
	"time"

	"github.com/citrongate/citrongate/pkg/store"
)

const (
	// keepRevisions is how many revisions an unnamed segment is kept for, so
	// that an instance that reads an older head still finds its segments.
	keepRevisions = 16
	// cleanupEvery is the number of revisions between two clean-ups.
	cleanupEvery = 16
	// maxDeletes bounds the deletions of one clean-up.
	maxDeletes = 64
)

// cleanup deletes segments that no recent head names.
type cleanup struct {
	running      bool
	lastRevision uint64
}

// startCleanup lists the segments and deletes old ones, unless that was done recently.
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

func (m *Machine) deleteSegments(entries []store.Entry) {
	deletes := 0
	for _, e := range entries {
		index, revision, ok := parseSegmentKey(e.Key)
		if !ok || index < 0 || index >= SegmentCount || deletes == maxDeletes {
			continue
		}
		// A segment that a head newer than ours names is newer than our revision.
		if m.held[index].GetRevision() == revision || revision+keepRevisions > m.current.Revision {
			continue
		}
		deletes++
		op := store.Op{Kind: store.Delete, Key: e.Key, Version: e.Version}
		m.call(op, store.PriorityCleanup, store.ReasonConfigCleanup, func(time.Duration, store.Result) {})
	}
}
