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

func itself(bool) uint64 { return 0 }
func reader(bool) uint64 { return 7 }

// withCopies returns a refresher that read both parts at the given time.
func withCopies(at time.Duration) *refresh.Refresher {
	r := refresh.New(bound)
	r.Tick(at, itself)
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

// TestReader guards against reads that overlap, and against a reader that stops
// after a failed or lost read.
func TestReader(t *testing.T) {
	r := refresh.New(bound)
	require.True(t, r.Tick(0, itself).Reads())
	require.False(t, r.Tick(interval, itself).Reads(), "the reads are in progress")
	for _, p := range refresh.Parts {
		changed, _ := r.OnRead(interval, p, 0, false, 0)
		require.False(t, changed)
	}
	require.True(t, r.Tick(interval+ms, itself).Reads())
	changed, _ := r.OnRead(interval+9*ms, refresh.Config, interval+ms, true, 4)
	require.True(t, changed)
	due := r.Tick(3*interval, itself)
	require.True(t, due.Read[refresh.Config])
	require.False(t, due.Read[refresh.Upstreams], "the read of upstreams hangs")
	require.True(t, r.Tick(interval+ms+5*time.Second, itself).Read[refresh.Upstreams])
}

// TestFollowerAsks guards against reads of the store where a reader knows that
// the copy is the newest, and against a confirmation that is later than the
// store was read.
func TestFollowerAsks(t *testing.T) {
	r := withCopies(0)
	due := r.Tick(interval, reader)
	require.Equal(t, uint64(7), due.Ask)
	require.False(t, due.Reads())
	confirmed, due := r.OnAnswer(interval+20*ms, due.Sequence, ages(1, 100*ms))
	require.False(t, due.Reads())
	require.True(t, confirmed[refresh.Config] && confirmed[refresh.Upstreams])
	at, known := r.Oldest()
	require.True(t, known)
	require.Equal(t, interval-100*ms, at, "by the start of the question")
	require.Zero(t, r.Tick(interval+30*ms, reader))
	require.Equal(t, uint64(7), r.Tick(2*interval, reader).Ask)
}

// TestFollowerReads guards against copies that grow old because a reader does
// not answer, knows nothing new itself, or has another version.
func TestFollowerReads(t *testing.T) {
	for name, answer := range map[string]refresh.Copies{
		"other version": ages(2, 0), "old knowledge": ages(1, time.Second), "nothing known": {},
	} {
		r := withCopies(0)
		asked := r.Tick(2*interval, reader)
		_, due := r.OnAnswer(2*interval+120*ms, asked.Sequence, answer)
		require.True(t, due.Read[refresh.Config] && due.Read[refresh.Upstreams], name)
	}
	r := withCopies(0)
	r.Tick(interval, reader)
	require.False(t, r.Tick(interval+140*ms, reader).Reads())
	require.True(t, r.Tick(interval+150*ms, reader).Reads(), "no answer came")
}

// TestLateAnswer guards against an answer to an earlier question, and against
// one that a stopped process reads late.
func TestLateAnswer(t *testing.T) {
	r := withCopies(0)
	first := r.Tick(interval, reader)
	r.Tick(interval+150*ms, reader)
	second := r.Tick(2*interval, reader)
	confirmed, due := r.OnAnswer(2*interval+5*ms, first.Sequence, ages(1, 0))
	require.Zero(t, confirmed)
	require.Zero(t, due)
	// The process stood still for a minute; the answer had come before.
	confirmed, _ = r.OnAnswer(time.Minute, second.Sequence, ages(1, 0))
	require.True(t, confirmed[refresh.Config])
	at, _ := r.Oldest()
	require.Equal(t, 2*interval, at)
}

// TestHint guards against a change that is found only with the next question,
// against a hint that counts as confirmation, and against a change that comes
// during a read that began before it.
func TestHint(t *testing.T) {
	r := withCopies(0)
	require.Zero(t, r.OnHint(100*ms, ages(1, 0)))
	at, _ := r.Oldest()
	require.Zero(t, at)
	require.True(t, r.OnHint(110*ms, ages(2, 0)).Read[refresh.Config])
	require.False(t, r.OnHint(120*ms, ages(3, 0)).Reads(), "a read is in progress")
	_, due := r.OnRead(130*ms, refresh.Config, 110*ms, true, 2)
	require.True(t, due.Read[refresh.Config])
	changed, due := r.OnRead(140*ms, refresh.Config, 130*ms, true, 3)
	require.True(t, changed)
	require.Zero(t, due)
}

// TestOlderRead guards against a read that was overtaken by a younger one.
func TestOlderRead(t *testing.T) {
	r := withCopies(time.Second)
	changed, _ := r.OnRead(2*time.Second, refresh.Config, 500*ms, true, 1)
	require.False(t, changed)
	require.Equal(t, time.Second, r.Copies()[refresh.Config].At)
}

// TestStaleReader guards against a reader that cannot read and asks nobody.
func TestStaleReader(t *testing.T) {
	r := withCopies(0)
	stale := func(stale bool) uint64 {
		if stale {
			return 7
		}
		return 0
	}
	require.True(t, r.Tick(interval, stale).Reads())
	require.Zero(t, r.Tick(2*interval, stale).Ask)
	require.Equal(t, uint64(7), r.Tick(bound/2, stale).Ask)
}
