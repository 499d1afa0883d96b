package poison_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/citrongate/citrongate/internal/fixedseed"
	"github.com/citrongate/citrongate/pkg/poison"
)

const (
	pool   = 1
	bad    = 0xbad
	shared = 7
)

var config = poison.Config{Ends: 3, Trial: time.Minute}

// endsOf records ends of upstreams at the given times, each with one young request.
func endsOf(r *poison.Registry, parts []uint64, times ...time.Duration) {
	for i, at := range times {
		r.UpstreamEnded(at, pool, poison.Ending{Upstream: uint64(at) + uint64(i), At: at, Young: [][]uint64{parts}})
	}
}

func blocked(r *poison.Registry, now time.Duration, parts ...uint64) bool {
	_, _, found := r.Find(now, pool, parts)
	return found
}

// TestEvidence guards against a part that is blocked without enough evidence, or too late: who
// is refused after which ends.
func TestEvidence(t *testing.T) {
	const s = time.Second
	for name, c := range map[string]struct {
		play        func(r *poison.Registry)
		bad, shared bool
	}{
		"two ends":          {func(r *poison.Registry) { endsOf(r, []uint64{bad}, s, 2*s) }, false, false},
		"three ends":        {func(r *poison.Registry) { endsOf(r, []uint64{bad}, s, 2*s, 3*s) }, true, false},
		"many ends at once": {func(r *poison.Registry) { endsOf(r, []uint64{bad}, s, s, s+1, s+2, s+3) }, false, false},
		"answered in between": {func(r *poison.Registry) {
			endsOf(r, []uint64{bad}, s, 2*s)
			r.Answered(2*s, pool, []uint64{bad})
			endsOf(r, []uint64{bad}, 3*s, 4*s)
		}, false, false},
		"answered in another pool": {func(r *poison.Registry) {
			endsOf(r, []uint64{bad}, s, 2*s)
			r.Answered(2*s, 2, []uint64{bad})
			endsOf(r, []uint64{bad}, 3*s)
		}, true, false},
		"beside a part known good": {func(r *poison.Registry) {
			r.Answered(0, pool, []uint64{shared})
			endsOf(r, []uint64{shared, bad}, s, 2*s, 3*s)
		}, true, false},
		"always beside an unknown part": {func(r *poison.Registry) { endsOf(r, []uint64{shared, bad}, s, 2*s, 3*s, 4*s) }, false, false},
		"five ends beside an unknown":   {func(r *poison.Registry) { endsOf(r, []uint64{shared, bad}, s, 2*s, 3*s, 4*s, 5*s) }, false, false},
		"five beside an unknown, answered since": {func(r *poison.Registry) {
			endsOf(r, []uint64{shared, bad}, s, 2*s, 3*s, 4*s, 5*s)
			r.Answered(5*s, pool, []uint64{shared})
		}, true, false},
		"five beside an unknown, answered itself": {func(r *poison.Registry) {
			endsOf(r, []uint64{shared, bad}, s, 2*s, 3*s, 4*s, 5*s)
			r.Answered(5*s, pool, []uint64{bad})
		}, false, true},
		"five beside an unknown, one without": {func(r *poison.Registry) {
			endsOf(r, []uint64{shared, bad}, s, 2*s, 3*s, 4*s, 5*s)
			endsOf(r, []uint64{bad}, 5500*time.Millisecond)
		}, true, false},
		"beside various unknown parts": {func(r *poison.Registry) { endsOf(r, []uint64{shared, bad}, s, 2*s); endsOf(r, []uint64{8, bad}, 3*s) }, true, false},
		"beside a blocked part": {func(r *poison.Registry) {
			endsOf(r, []uint64{bad}, s, 2*s, 3*s)
			endsOf(r, []uint64{shared, bad}, 4*s, 5*s, 6*s)
		}, true, false},
		"upstreams that were alive": {func(r *poison.Registry) {
			endsOf(r, []uint64{bad}, s, 2*s)
			r.UpstreamAlive(2*s, pool, uint64(s))
			endsOf(r, []uint64{bad}, 3*s)
		}, false, false},
		"the same upstream": {func(r *poison.Registry) {
			for at := s; at < 5*s; at += s {
				r.UpstreamEnded(at, pool, poison.Ending{Upstream: 1, At: at, Young: [][]uint64{{bad}}})
			}
		}, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := poison.New(config)
			c.play(r)
			require.Equal(t, c.bad, blocked(r, 6*s, 1, bad))
			require.Equal(t, c.shared, blocked(r, 6*s, shared, 2))
		})
	}
}

// TestDisabled guards against parts that are blocked although no number of ends is set.
func TestDisabled(t *testing.T) {
	r := poison.New(poison.Config{})
	endsOf(r, []uint64{bad}, time.Second, 2*time.Second, 3*time.Second, 4*time.Second)
	require.Empty(t, r.Records())
}

// TestLargestNumberOfEnds guards against a number of ends that is never reached, since a record
// keeps fewer than a part known good, amid other ends, would need.
func TestLargestNumberOfEnds(t *testing.T) {
	const largest = 14
	r := poison.New(poison.Config{Ends: largest, Trial: time.Minute})
	r.Answered(0, pool, []uint64{bad})
	for i := range 40 {
		endsOf(r, []uint64{bad}, time.Duration(i+1)*time.Second)
	}
	require.True(t, blocked(r, time.Minute, bad))
}

// TestTrial guards against a block without end, against a trial by many requests at a time, and
// against a second block that is as short as the first.
func TestTrial(t *testing.T) {
	const s = time.Second
	r := poison.New(config)
	endsOf(r, []uint64{bad}, s, 2*s, 3*s)
	require.Empty(t, r.Tick(62*s))
	require.Len(t, r.Tick(63*s), 1)
	require.False(t, blocked(r, 63*s, bad))
	_, _, refused := r.Try(63*s, pool, []uint64{bad})
	require.False(t, refused)
	_, _, refused = r.Try(63*s+1, pool, []uint64{bad})
	require.True(t, refused)
	endsOf(r, []uint64{bad}, 64*s)
	_, left, refused := r.Find(64*s, pool, []uint64{bad})
	require.True(t, refused)
	require.Equal(t, 2*time.Minute, left)
}

// TestRecordsEnd guards against records that are kept for ever, or for a part that is blocked
// again by a stored record after its trial.
func TestRecordsEnd(t *testing.T) {
	r := poison.New(config)
	endsOf(r, []uint64{bad}, time.Second, 2*time.Second, 3*time.Second)
	stored := r.Records()[0]
	now := time.Duration(0)
	for ; now < 2*time.Hour; now += time.Second {
		r.Tick(now)
		if !blocked(r, now, bad) && now > 10*time.Second && len(r.Records()) > 0 {
			stored.Until = now + time.Minute
			require.False(t, r.Merge(now, stored))
		}
	}
	require.Empty(t, r.Records())
}

// TestWatch guards against an end that is not found, and against one that is found although the
// upstream is alive.
func TestWatch(t *testing.T) {
	const ms = time.Millisecond
	at := func(n int) func() int { return func() int { return n } }
	for name, c := range map[string]struct {
		play func(w *poison.Watch)
		// ends is the number of ends found by 200 ms, by 1.1 s and by the end.
		ends [3]int
	}{
		"all broke":          {func(w *poison.Watch) { w.Broke(0, 1, at(2), nil); w.Broke(ms, 1, at(1), nil) }, [3]int{1, 1, 1}},
		"one of ten":         {func(w *poison.Watch) { w.Broke(0, 1, at(10), nil) }, [3]int{}},
		"two of ten, silent": {func(w *poison.Watch) { w.Broke(0, 1, at(10), nil); w.Broke(0, 1, at(9), nil) }, [3]int{0, 1, 1}},
		"connection refused": {func(w *poison.Watch) { w.Broke(0, 1, at(10), nil); w.Refused(1) }, [3]int{1, 1, 1}},
		"alive afterwards":   {func(w *poison.Watch) { w.Broke(0, 1, at(1), nil); w.Alive(120*ms, 1) }, [3]int{}},
		"sign from before":   {func(w *poison.Watch) { w.Broke(0, 1, at(1), nil); w.Alive(20*ms, 1) }, [3]int{1, 1, 1}},
		"only refused":       {func(w *poison.Watch) { w.Refused(1) }, [3]int{}},
	} {
		t.Run(name, func(t *testing.T) {
			w := &poison.Watch{}
			c.play(w)
			found, step := 0, 0
			for now := time.Duration(0); now <= 4*time.Second; now += 20 * ms {
				found += len(w.Step(now))
				if now == 200*ms || now == 1100*ms || now == 4*time.Second {
					require.Equal(t, c.ends[step], found, "by %v", now)
					step++
				}
			}
		})
	}
}

// TestRegistriesAgree guards against registries that disagree about what is blocked after they
// have exchanged their records, against a part that is blocked although it was answered, and
// against records without bound, for any order of ends, answers and messages.
func TestRegistriesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		registries := []*poison.Registry{poison.New(config), poison.New(config), poison.New(config)}
		parts := rapid.SliceOfN(rapid.Uint64Range(1, 5), 1, 3)
		now := time.Second
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 40_000).Draw(t, "ms")) * time.Millisecond
			r := registries[rapid.IntRange(0, 2).Draw(t, "registry")]
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				young := [][]uint64{parts.Draw(t, "parts"), parts.Draw(t, "parts")}
				r.UpstreamEnded(now, pool, poison.Ending{Upstream: rapid.Uint64Range(1, 50).Draw(t, "upstream"), At: now, Young: young})
			case 2:
				answered := parts.Draw(t, "answered")
				r.Answered(now, pool, answered)
				require.False(t, blocked(r, now, answered...))
			case 3:
				exchange(now, r, registries[rapid.IntRange(0, 2).Draw(t, "to")])
			case 4:
				r.Tick(now)
			}
			require.LessOrEqual(t, len(r.Records()), 5)
		}
		for range 3 {
			for i, r := range registries {
				r.Tick(now)
				exchange(now, r, registries[(i+1)%len(registries)])
			}
		}
		for part := range uint64(6) {
			states := []bool{blocked(registries[0], now, part), blocked(registries[1], now, part), blocked(registries[2], now, part)}
			require.Len(t, slices.Compact(states), 1, "part %d", part)
		}
	})
}

func exchange(now time.Duration, from, to *poison.Registry) {
	for _, record := range from.Records() {
		to.Merge(now, record)
	}
}

// TestManyParts guards against memory without bound, and against a blocked part that is
// forgotten because many others are suspected.
func TestManyParts(t *testing.T) {
	r := poison.New(config)
	endsOf(r, []uint64{bad}, time.Second, 2*time.Second, 3*time.Second)
	for part := range uint64(5000) {
		endsOf(r, []uint64{1000 + part}, 4*time.Second+time.Duration(part)*time.Millisecond)
	}
	require.LessOrEqual(t, len(r.Records()), 512)
	require.True(t, blocked(r, 10*time.Second, bad))
}

// endUnder records the end of an upstream, identified by its time, under requests with the
// given parts.
func endUnder(r *poison.Registry, at time.Duration, young ...[]uint64) {
	r.UpstreamEnded(at, pool, poison.Ending{Upstream: uint64(at), At: at, Young: young})
}

// answer records answered requests, one with each of the parts.
func answer(r *poison.Registry, count int, parts ...uint64) {
	for i := range count {
		r.CountAnswer(0, pool)
		r.Answered(0, pool, []uint64{parts[i%len(parts)]})
	}
}

// TestFewAnswersSeen guards against a sound part that is blocked only because too few requests
// were answered to expect one with the part, as when all upstreams end just after a start.
func TestFewAnswersSeen(t *testing.T) {
	for answers, want := range map[int]bool{5: false, 100: true} {
		r := poison.New(config)
		answer(r, answers, 20, 21, 22, 23)
		endUnder(r, time.Second, []uint64{bad}, []uint64{20})
		endUnder(r, 2*time.Second, []uint64{22})
		endUnder(r, 3*time.Second, []uint64{bad}, []uint64{21})
		endUnder(r, 4*time.Second, []uint64{bad}, []uint64{23})
		require.Equal(t, want, blocked(r, 5*time.Second, bad), "%d answers", answers)
	}
}

// TestAnsweredRivalAmidNoise guards against a part that is blocked although it is under a
// minority of the ends, and a part that was answered is under as many.
func TestAnsweredRivalAmidNoise(t *testing.T) {
	for rivalEnds, want := range map[time.Duration]bool{6: false, 1: true} {
		r := poison.New(config)
		answer(r, 400, shared)
		for i := range time.Duration(6) {
			young := [][]uint64{{bad}}
			if i < rivalEnds {
				young = append(young, []uint64{shared})
			}
			endUnder(r, (3*i+1)*time.Second, young...)
			endUnder(r, (3*i+2)*time.Second, []uint64{30 + uint64(i)})
			endUnder(r, (3*i+3)*time.Second, []uint64{40 + uint64(i)})
		}
		require.Equal(t, want, blocked(r, 20*time.Second, bad), "a rival with %d ends", rivalEnds)
	}
}

// TestNearlyAsManyEnds guards against a part that is blocked although another part that was not
// answered either is under as many ends, two of them at the same time.
func TestNearlyAsManyEnds(t *testing.T) {
	const ms = time.Millisecond
	r := poison.New(config)
	answer(r, 100, 20)
	endUnder(r, 1000*ms, []uint64{shared}, []uint64{bad})
	endUnder(r, 1500*ms, []uint64{bad})
	endUnder(r, 1550*ms, []uint64{shared}, []uint64{bad})
	endUnder(r, 2000*ms, []uint64{shared})
	require.False(t, blocked(r, 3*time.Second, shared))
	require.False(t, blocked(r, 3*time.Second, bad))
}

// TestEndsFoundTogether guards against a sound part that is blocked by the first of many ends
// that are found at once, although it is not under the others.
func TestEndsFoundTogether(t *testing.T) {
	r := poison.New(config)
	answer(r, 200, 20)
	endUnder(r, time.Second, []uint64{shared}, []uint64{20})
	endUnder(r, 2*time.Second, []uint64{shared}, []uint64{20})
	endings := []poison.Ending{{Upstream: 1, At: 3 * time.Second, Young: [][]uint64{{shared}}}}
	for i := range uint64(6) {
		endings = append(endings, poison.Ending{Upstream: 2 + i, At: 3 * time.Second, Young: [][]uint64{{20}}})
	}
	r.UpstreamEnded(3*time.Second, pool, endings...)
	require.False(t, blocked(r, 4*time.Second, shared))
}

// TestRivalWithFewEnds guards against a verdict that waits for further ends since another part,
// under fewer than half of them, ended upstreams at as many times.
func TestRivalWithFewEnds(t *testing.T) {
	const ms = time.Millisecond
	r := poison.New(config)
	answer(r, 200, 20)
	for i := range time.Duration(9) {
		young := [][]uint64{{bad}, {20}}
		if i%3 == 0 {
			young = append(young, []uint64{shared})
		}
		endUnder(r, (1+i/3)*time.Second+i%3*ms, young...)
	}
	require.True(t, blocked(r, 4*time.Second, bad))
	require.False(t, blocked(r, 4*time.Second, shared))
}

// TestEndsWithinASecond guards against a block that comes too late when nearly all upstreams
// end at two times within a second: the ends at one time have one cause, but of two times with
// this many ends a part that is under all of them is the cause.
func TestEndsWithinASecond(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		second time.Duration
		want   bool
	}{"at two times": {400 * ms, true}, "at one time": {5 * ms, false}} {
		r := poison.New(config)
		answer(r, 200, 20, 21, 22)
		for i := range time.Duration(6) {
			at := time.Second + i%3*ms
			if i >= 3 {
				at += c.second
			}
			endUnder(r, at, []uint64{bad}, []uint64{20 + uint64(i%3)})
		}
		require.Equal(t, c.want, blocked(r, 2*time.Second, bad), name)
	}
}

// TestEndsWhileAnInstanceIsMissed guards against a block that comes too late since the ends that
// the requests of an instance that is cut off cause look like those of another cause.
func TestEndsWhileAnInstanceIsMissed(t *testing.T) {
	for _, missed := range []bool{false, true} {
		r := poison.New(config)
		answer(r, 200, 20, 21)
		for now := time.Second; missed && now < 10*time.Second; now += time.Second {
			r.ReportsMissing(now)
		}
		for i := range time.Duration(3) {
			endUnder(r, (3*i+1)*time.Second, []uint64{bad})
			endUnder(r, (3*i+2)*time.Second, []uint64{20})
			if i == 0 {
				endUnder(r, 3*time.Second, []uint64{21})
			}
		}
		require.Equal(t, missed, blocked(r, 8*time.Second, bad), "an instance is missed: %v", missed)
	}
}

// TestPartOfLongPrompts guards against a part that is never blocked because its prompts have many others,
// wherever it stands in them, against sound parts that are blocked in its place, and against records without
// bound. Each upstream that ends takes several other long prompts with it, most of whose parts are new.
func TestPartOfLongPrompts(t *testing.T) {
	const upstreams, young = 5, 6
	for _, length := range []int{4, 63, 64, 65, 100, 1000, 2000} {
		random := rand.New(rand.NewPCG(uint64(length), 10))
		for range 4 {
			r := poison.New(config)
			next := uint64(1 << 32)
			// A prompt has parts that all have, and of its own.
			prompt := func() (parts []uint64) {
				for i := range length {
					next++
					parts = append(parts, next)
					if i < length/2 {
						parts[i] = uint64(1000 + i)
					}
				}
				return parts
			}
			for range 30 {
				r.Answered(0, pool, prompt())
				r.CountAnswer(0, pool)
			}
			var with [][]uint64
			for i := range upstreams {
				at := time.Duration(i+1) * time.Second
				deadly := prompt()
				deadly = slices.Insert(deadly, random.IntN(length), bad)
				prompts := [][]uint64{deadly}
				for range young {
					prompts = append(prompts, prompt())
				}
				with = append(with, prompts...)
				endUnder(r, at, prompts...)
				r.Tick(at)
				for _, record := range r.TakeChanges() {
					require.Equal(t, record.State == poison.Blocked, record.Part == bad && i >= config.Ends-1, "%d parts, part %d", length, record.Part)
				}
			}
			require.True(t, blocked(r, upstreams*time.Second, bad), "%d parts", length)
			for _, parts := range with {
				sound := slices.DeleteFunc(slices.Clone(parts), func(part uint64) bool { return part == bad })
				require.False(t, blocked(r, upstreams*time.Second, sound...), "%d parts", length)
			}
			require.LessOrEqual(t, len(r.Records()), max(512, 16*(length+1)))
		}
	}
}

// BenchmarkAnswered measures what an answered request costs by the number of parts of its prompt, most of
// which all prompts have.
func BenchmarkAnswered(b *testing.B) {
	for _, length := range []uint64{4, 64, 1000} {
		b.Run(fmt.Sprint(length), func(b *testing.B) {
			r := poison.New(config)
			parts := make([]uint64, length)
			n := uint64(0)
			b.ReportAllocs()
			for b.Loop() {
				for i := range parts {
					parts[i] = uint64(i)
					if i%4 == 3 {
						n++
						parts[i] = 1<<32 + n
					}
				}
				r.Answered(time.Second, pool, parts)
			}
		})
	}
}

// BenchmarkUpstreamEnded measures the end of an upstream under eight prompts by the number of their parts.
func BenchmarkUpstreamEnded(b *testing.B) {
	for _, length := range []uint64{4, 64, 1000} {
		b.Run(fmt.Sprint(length), func(b *testing.B) {
			r := poison.New(config)
			n := uint64(0)
			for b.Loop() {
				var prompts [][]uint64
				for range 8 {
					parts := make([]uint64, length)
					for i := range parts {
						n++
						parts[i] = n
					}
					prompts = append(prompts, parts)
				}
				endUnder(r, time.Duration(n)*time.Millisecond, prompts...)
				r.TakeChanges()
			}
		})
	}
}
