package node

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/citrongate/citrongate/internal/fixedseed"

	"github.com/citrongate/citrongate/pkg/scheduler"
)

// TestLedgerDigests guards against an incremental digest that differs from the
// items, which would make owners request a Sync constantly, or never.
func TestLedgerDigests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLedger()
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			id := scheduler.GlobalID{Entry: rapid.Uint64Range(1, 3).Draw(t, "entry"), Sequence: rapid.Uint64Range(1, 6).Draw(t, "sequence")}
			it := l.get(id)
			switch rapid.IntRange(0, 2).Draw(t, "operation") {
			case 0:
				if it == nil {
					l.add(&item{descriptor: scheduler.Descriptor{ID: id, Attempt: rapid.Uint32Range(1, 3).Draw(t, "attempt")}})
				}
			case 1:
				l.remove(id)
			case 2:
				if it != nil && !it.granted {
					l.grant(0, it, 0)
				}
			}
		}
		want := map[uint64]entryDigest{}
		for id, it := range l.items {
			d := want[id.Entry]
			want[id.Entry] = entryDigest{d.count + 1, d.hash ^ it.hash()}
		}
		require.Equal(t, want, l.digests)
		for entry := uint64(1); entry <= 3; entry++ {
			ids := l.idsOf(entry)
			require.Len(t, ids, int(want[entry].count))
			for _, id := range ids {
				require.NotNil(t, l.get(id))
			}
		}
	})
}
