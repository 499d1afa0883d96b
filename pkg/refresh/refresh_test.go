package refresh_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/pkg/refresh"
)

const (
	bound    = 2 * time.Second
	interval = bound / 5
	ms       = time.Millisecond
)

func readsItself(bool) uint64 { return 0 }
func peerReader(bool) uint64  { return 7 }

// newWithCopies returns a refresher that read both parts at the given time.
func newWithCopies(at time.Duration) *refresh.Refresher {
	r := refresh.New(bound)
	r.Tick(at, readsItself)
	for _, p := range refresh.Parts {
		r.OnRead(at+10*ms, p, at, true, 1)
	}
	return r
}

func ages(version uint64, age time.Duration) (c refresh.Copies) {
	for p := range c {
		c[p] = refresh.Copy{Version: version, At: age, Known: true}
	}
	return c
}

// TestReader guards against overlapping reads of a part, and against a reader that
// stops reading after a failed or lost read.
func TestReader(t *testing.T) {
	r := refresh.New(bound)
	require.True(t, r.Tick(0, readsItself).Reads())
	require.False(t, r.Tick(interval, readsItself).Reads(), "the reads are in progress")
	for _, p := range refresh.Parts {
		changed, _ := r.OnRead(interval, p, 0, false, 0)
		require.False(t, changed)
	}
	require.True(t, r.Tick(interval+ms, readsItself).Reads())
	changed, _ := r.OnRead(interval+9*ms, refresh.Config, interval+ms, true, 4)
	require.True(t, changed)
	due := r.Tick(3*interval, readsItself)
	require.True(t, due.Read[refresh.Config])
	require.False(t, due.Read[refresh.Upstreams], "the read of upstreams is still in progress")
	require.True(t, r.Tick(interval+ms+5*time.Second, readsItself).Read[refresh.Upstreams])
}

// TestFollowerAsks guards against reading the store although a reader knows that the
// copy is current, and against confirming the copy as of a later time than the
// reader's read.
func TestFollowerAsks(t *testing.T) {
	r := newWithCopies(0)
	due := r.Tick(interval, peerReader)
	require.Equal(t, uint64(7), due.QueryPeer)
	require.False(t, due.Reads())
	confirmed, due := r.OnAnswer(interval+20*ms, due.Sequence, ages(1, 100*ms))
	require.False(t, due.Reads())
	require.True(t, confirmed[refresh.Config] && confirmed[refresh.Upstreams])
	at, known := r.Oldest()
	require.True(t, known)
	require.Equal(t, interval-100*ms, at, "counted from the start of the query")
	require.Zero(t, r.Tick(interval+30*ms, peerReader))
	require.Equal(t, uint64(7), r.Tick(2*interval, peerReader).QueryPeer)
}

// TestFollowerReads guards against copies that become stale because a reader does not
// respond, has no recent knowledge itself, or has a different version.
func TestFollowerReads(t *testing.T) {
	for name, answer := range map[string]refresh.Copies{
		"other version": ages(2, 0), "old knowledge": ages(1, time.Second), "nothing known": {},
	} {
		r := newWithCopies(0)
		asked := r.Tick(2*interval, peerReader)
		_, due := r.OnAnswer(2*interval+120*ms, asked.Sequence, answer)
		require.True(t, due.Read[refresh.Config] && due.Read[refresh.Upstreams], name)
	}
	r := newWithCopies(0)
	r.Tick(interval, peerReader)
	require.False(t, r.Tick(interval+140*ms, peerReader).Reads())
	require.True(t, r.Tick(interval+150*ms, peerReader).Reads(), "no response came in time")
}

// TestLateAnswer guards against accepting a response to an earlier query, and against
// counting a response that a paused process reads late as fresher than it is.
func TestLateAnswer(t *testing.T) {
	r := newWithCopies(0)
	first := r.Tick(interval, peerReader)
	r.Tick(interval+150*ms, peerReader)
	second := r.Tick(2*interval, peerReader)
	confirmed, due := r.OnAnswer(2*interval+5*ms, first.Sequence, ages(1, 0))
	require.Zero(t, confirmed)
	require.Zero(t, due)
	// The process was paused for a minute after the response had arrived.
	confirmed, _ = r.OnAnswer(time.Minute, second.Sequence, ages(1, 0))
	require.True(t, confirmed[refresh.Config])
	at, _ := r.Oldest()
	require.Equal(t, 2*interval, at)
}

// TestHint guards against detecting a change only at the next query, against a hint
// that confirms a copy, and against missing a change that is reported during a read
// that started before it.
func TestHint(t *testing.T) {
	r := newWithCopies(0)
	require.Zero(t, r.OnAnnouncement(100*ms, ages(1, 0)))
	at, _ := r.Oldest()
	require.Zero(t, at)
	require.True(t, r.OnAnnouncement(110*ms, ages(2, 0)).Read[refresh.Config])
	require.False(t, r.OnAnnouncement(120*ms, ages(3, 0)).Reads(), "a read is in progress")
	_, due := r.OnRead(130*ms, refresh.Config, 110*ms, true, 2)
	require.True(t, due.Read[refresh.Config])
	changed, due := r.OnRead(140*ms, refresh.Config, 130*ms, true, 3)
	require.True(t, changed)
	require.Zero(t, due)
}

// TestOlderRead guards against a read that ends after a later one and makes the copy
// look older.
func TestOlderRead(t *testing.T) {
	r := newWithCopies(time.Second)
	changed, _ := r.OnRead(2*time.Second, refresh.Config, 500*ms, true, 1)
	require.False(t, changed)
	require.Equal(t, time.Second, r.Copies()[refresh.Config].At)
}

// TestStaleReader guards against a reader that does not query a peer although its
// reads fail.
func TestStaleReader(t *testing.T) {
	r := newWithCopies(0)
	stale := func(stale bool) uint64 {
		if stale {
			return 7
		}
		return 0
	}
	require.True(t, r.Tick(interval, stale).Reads())
	require.Zero(t, r.Tick(2*interval, stale).QueryPeer)
	require.Equal(t, uint64(7), r.Tick(bound/2, stale).QueryPeer)
}

// TestLateRead guards against a read that ends late and replaces a newer copy: its
// version is the older one.
func TestLateRead(t *testing.T) {
	r := newWithCopies(0)
	changed, _ := r.OnRead(interval+10*ms, refresh.Config, interval, true, 2)
	require.True(t, changed)
	changed, _ = r.OnRead(interval+20*ms, refresh.Config, interval-ms, true, 1)
	require.False(t, changed)
	require.Equal(t, refresh.Copy{Version: 2, At: interval, Known: true}, r.Copies()[refresh.Config])
}

// TestManyChangesFewReads guards against one read by each instance for every change of
// the upstreams: many changes that follow each other cost few reads, and the last of
// them is read within two intervals.
func TestManyChangesFewReads(t *testing.T) {
	r := newWithCopies(0)
	reads, current, readAt := 0, uint64(1), time.Duration(0)
	step := func(now time.Duration, due refresh.Due) {
		if due.Read[refresh.Upstreams] {
			reads++
			readAt = now
			_, again := r.OnRead(now+ms, refresh.Upstreams, now, true, current)
			require.False(t, again.Reads())
		}
	}
	end := interval
	for ; end < 5*interval; end += 20 * ms {
		current++
		announced := ages(1, 0)
		announced[refresh.Upstreams].Version = current
		step(end, r.OnAnnouncement(end, announced))
	}
	require.LessOrEqual(t, reads, 5)
	changed := end
	for now := end; now <= changed+2*interval; now += 20 * ms {
		step(now, r.Tick(now, func(bool) uint64 { return 0 }))
	}
	require.Equal(t, current, r.Copies()[refresh.Upstreams].Version)
	require.LessOrEqual(t, readAt-changed, 2*interval)
}
