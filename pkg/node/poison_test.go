package node_test

import (
	"cmp"
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/pkg/poison"
)

var (
	outageDays  = flag.Uint64("outage.days", 6, "days of each kind that TestGeneratedOutageDays plays")
	outageFirst = flag.Uint64("outage.first", 0, "seed of the first of them")
)

const (
	// poisonContact is the time after the fifth end within which every instance must
	// know of a poisoned part.
	poisonContact = 3 * time.Second
	// poisonEnds is the number of ends after which that time begins.
	poisonEnds = 5
	// poisonLate is the number of requests with the part that may be sent after it.
	poisonLate = 3
	// wantServed is the share of other requests that must be answered once the
	// part is blocked.
	wantServed = 0.9

	poisonTickTime = 20 * time.Millisecond
	poisonEndAfter = 40 * time.Millisecond
	soundFirst     = 60 * time.Millisecond
	soundDone      = 400 * time.Millisecond
	upstreamBack   = 3 * time.Second
)

// TestPoisonedPartIsStopped guards against requests with one part in their prompts that end
// upstream after upstream: after five ends no more than a few are sent, from any instance,
// and requests that share their caller and their other parts are served.
func TestPoisonedPartIsStopped(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			w := newPoisonWorld(t, seed, 12, "a", "b", "c", "d")
			w.play(3*time.Second, 60, 0)
			w.play(20*time.Second, 60, 1+8*w.random.Float64())
			w.check()
		})
	}
}

// TestPoisonedPartOfLongPrompts is TestPoisonedPartIsStopped for prompts of many parts, half of which no other
// prompt has. It guards against a part that is not blocked, or not refused, because it stands behind many others.
func TestPoisonedPartOfLongPrompts(t *testing.T) {
	for seed := range uint64(3) {
		for _, length := range []int{61, 80, 300, 1000} {
			t.Run(fmt.Sprint(length, " parts, seed ", seed), func(t *testing.T) {
				w := newPoisonWorld(t, seed, 12, "a", "b", "c", "d")
				w.length = length
				w.play(3*time.Second, 60, 0)
				w.play(12*time.Second, 60, 2+6*w.random.Float64())
				w.check()
				require.GreaterOrEqual(t, len(w.ends), poisonEnds-2)
			})
		}
	}
}

// TestSoundPartBesideAPoisonedOne guards against a sound part that is blocked, so that no request with it is served,
// because at first it came only together with one that ends upstreams. In three of four worlds the pool's owner, one
// instance or all of them are restarted between, so that the others or the store must know what came together.
func TestSoundPartBesideAPoisonedOne(t *testing.T) {
	for seed := range uint64(16) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			w := newPoisonWorld(t, seed, 12, "a", "b", "c", "d")
			w.companion = 0x5a
			w.play(3*time.Second, 60, 0)
			w.play(8*time.Second, 60, 2+6*w.random.Float64())
			switch seed % 4 {
			case 0:
				w.restart(w.owner())
			case 1:
				w.restart(w.order[seed/4])
			case 2:
				for _, at := range w.order {
					w.restart(at)
				}
			}
			w.companionOfAll = true
			w.sound, w.answered = 0, 0
			clear(w.counted)
			w.play(10*time.Second, 60, 2+6*w.random.Float64())
			w.check()
			for _, record := range w.parts {
				require.Equal(t, record.Part != w.companion, record.State == poison.Blocked, "part %x", record.Part)
			}
		})
	}
}

// TestBlockOutlivesTakeoverAndRestarts guards against a block, or the ends counted so far, that
// are lost when the pool's owner ends, when instances are restarted in turn, and when all of
// them are restarted at once; with short prompts and with long ones, of which not all suspects are
// told to the other instances at once.
func TestBlockOutlivesTakeoverAndRestarts(t *testing.T) {
	for length, seeds := range map[int]uint64{0: 12, 300: 4} {
		for seed := range seeds {
			t.Run(fmt.Sprint(length, " further parts, seed ", seed), func(t *testing.T) { playTakeoverAndRestarts(t, seed, length) })
		}
	}
}

// playTakeoverAndRestarts ends the pool's owner after two ends or before, and restarts the instances once the part is
// blocked. length is the number of further parts of each prompt.
func playTakeoverAndRestarts(t *testing.T, seed uint64, length int) {
	w := newPoisonWorld(t, seed, 12, "a", "b", "c", "d")
	w.length = length
	w.play(3*time.Second, 60, 0)
	for seed%2 == 0 && len(w.ends) < 2 {
		w.play(poisonTickTime, 60, 4)
	}
	w.restart(w.owner())
	w.play(9*time.Second, 60, 4)
	require.NotEmpty(t, w.parts, "the block is in the store")
	ends := len(w.ends)
	for _, at := range w.order {
		w.restart(at)
		w.play(3*time.Second, 60, 4)
	}
	for _, at := range w.order {
		w.restart(at)
	}
	w.play(6*time.Second, 60, 4)
	require.Equal(t, ends, len(w.ends), "upstreams ended after the block")
	require.LessOrEqual(t, w.late, poisonLate)
}

// TestBlockWithoutStore guards against a block that needs the store: it comes into force while
// the store cannot be reached, and is written once it can.
func TestBlockWithoutStore(t *testing.T) {
	w := newPoisonWorld(t, 7, 12, "a", "b", "c", "d")
	for _, at := range w.order {
		w.storeUnreachable[at] = true
	}
	w.play(15*time.Second, 60, 4)
	w.check()
	require.Empty(t, w.parts)
	clear(w.storeUnreachable)
	w.play(15*time.Second, 60, 4)
	require.Len(t, w.parts, 1)
	w.check()
}

// TestMissedBlock guards against an instance that was cut off from the others when a part was
// blocked and goes on sending it once it is back.
func TestMissedBlock(t *testing.T) {
	w := newPoisonWorld(t, 3, 12, "a", "b", "c", "d")
	w.play(3*time.Second, 60, 0)
	cut := w.order[0]
	if w.owner() == cut {
		cut = w.order[1]
	}
	w.cut[cut] = true
	w.storeUnreachable[cut] = true
	w.play(10*time.Second, 60, 4)
	w.cut[cut] = false
	delete(w.storeUnreachable, cut)
	w.play(poisonContact, 60, 0)
	w.late = 0
	w.play(10*time.Second, 60, 4)
	require.LessOrEqual(t, w.late, poisonLate)
}

// TestCutInstanceLearnsOfBlock guards against an instance that reaches the store but none of the
// others, and that sends a blocked part until they are back.
func TestCutInstanceLearnsOfBlock(t *testing.T) {
	for seed := range uint64(6) {
		w := newPoisonWorld(t, seed, 12, "a", "b", "c", "d")
		w.play(3*time.Second, 60, 0)
		w.cut[w.order[seed%4]] = true
		w.play(15*time.Second, 60, 4)
		w.check()
	}
}

// TestOrdinaryEndsBlockNothing guards against requests that are refused because upstreams end
// for other reasons.
func TestOrdinaryEndsBlockNothing(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			w := newPoisonWorld(t, seed, 12, "a", "b", "c", "d")
			w.playOrdinaryEnds()
			require.Empty(t, w.parts)
			for _, at := range w.order {
				require.NotContains(t, w.refused[at], "part_blocked no")
			}
		})
	}
}

// TestBlocksDuringOutages guards against the same while all upstreams are away again and again
// before most parts were answered once, and against late sends while all upstreams end within
// a second just as the owner of their pool is cut off.
func TestBlocksDuringOutages(t *testing.T) {
	for _, seed := range []uint64{265, 463, 783, 1049, 3031} {
		require.Empty(t, playOutageDay(t, seed), "seed %d", seed)
	}
	for _, seed := range []uint64{54, 102, 128, 138, 155, 399, 818, 919, 992, 1074, 1182, 1317, 1488, 1574, 2257, 4862, 5454} {
		require.Empty(t, playCutDay(t, seed), "seed %d", seed)
	}
}

// TestBlocksWithSplitEvidence guards against the same on days on which no instance knows enough
// to decide in time; KNOWN-RED.txt says why.
func TestBlocksWithSplitEvidence(t *testing.T) {
	var failed []string
	for _, seed := range []uint64{4530} {
		if fault := playOutageDay(t, seed); fault != "" {
			failed = append(failed, fmt.Sprintf("seed %d: %s", seed, fault))
		}
	}
	for _, seed := range []uint64{986, 1274, 1922, 2045, 2407, 2628, 2695, 4011, 4186, 4705, 4754, 5114, 5234, 5797, 5862} {
		if fault := playCutDay(t, seed); fault != "" {
			failed = append(failed, fmt.Sprintf("seed %d: %s", seed, fault))
		}
	}
	require.Empty(t, failed)
}

// TestGeneratedOutageDays guards against the same on the days from -outage.first on, -outage.days
// of each kind.
func TestGeneratedOutageDays(t *testing.T) {
	var failed []string
	for seed := *outageFirst; seed < *outageFirst+*outageDays; seed++ {
		if fault := cmp.Or(playOutageDay(t, seed), playCutDay(t, seed)); fault != "" {
			failed = append(failed, fmt.Sprintf("seed %d: %s", seed, fault))
		}
	}
	require.Empty(t, failed)
}

// playOutageDay plays a day on which upstreams end for other reasons, and returns what was wrong.
func playOutageDay(t *testing.T, seed uint64) (fault string) {
	w := newPoisonWorld(t, seed, 12, "a", "b", "c", "d")
	w.playOrdinaryEnds()
	for _, at := range w.order {
		if slices.Contains(w.refused[at], "part_blocked no") {
			return "requests with a sound part were refused"
		}
	}
	if len(w.parts) > 0 {
		return "a sound part was blocked"
	}
	return ""
}

// playCutDay plays a day on which an instance is cut off from the others just before the first
// request with the part, and returns what was wrong.
func playCutDay(t *testing.T, seed uint64) (fault string) {
	w := newPoisonWorld(t, seed, 12, "a", "b", "c", "d")
	w.play(3*time.Second, 60, 0)
	w.cut[w.order[seed%4]] = true
	w.play(20*time.Second, 60, 1+8*w.random.Float64())
	switch {
	case w.late > poisonLate:
		return fmt.Sprintf("%d late sends", w.late)
	case len(w.parts) > 1:
		return "a sound part was blocked"
	}
	return ""
}

// TestBlockCrossesACut guards against a block by an instance that is cut off and that the others
// learn only with the reader's next regular look at the store, while their own upstreams end.
func TestBlockCrossesACut(t *testing.T) {
	for seed := range uint64(6) {
		w := newPoisonWorld(t, seed, 12, "a", "b", "c", "d")
		w.play(3*time.Second, 60, 0)
		w.cut[w.order[seed%4]] = true
		w.play(6*time.Second, 60, 0)
		for i := range 6 {
			w.endUpstream(w.name(i))
		}
		w.play(time.Second, 60, 0)
		pool := w.nodes[w.order[(seed+1)%4]].PoolSummaries()[0].Pool
		w.parts[poison.Key{Pool: uint64(pool), Part: w.poison}] = poison.Record{Key: poison.Key{Pool: uint64(pool), Part: w.poison},
			State: poison.Blocked, Round: 1, Until: time.Minute}
		w.play(1500*time.Millisecond, 60, 0)
		ends := len(w.ends)
		w.play(3*time.Second, 60, 8)
		require.Len(t, w.ends, ends, "seed %d", seed)
	}
}

// TestErrorAnswerLiftsNothing guards against a block that is lifted, or not reached, because an
// upstream answered a request with the part with an error before it began to generate.
func TestErrorAnswerLiftsNothing(t *testing.T) {
	w := newPoisonWorld(t, 9, 12, "a", "b", "c", "d")
	w.play(3*time.Second, 60, 0)
	w.rejected = 0.5
	w.play(15*time.Second, 60, 8)
	w.check()
}

// TestTwoPoisonedParts guards against a second part that is not found since the first one
// explains the ends under it.
func TestTwoPoisonedParts(t *testing.T) {
	for seed := range uint64(6) {
		w := newPoisonWorld(t, seed, 12, "a", "b", "c", "d")
		w.play(3*time.Second, 60, 0)
		w.play(12*time.Second, 60, 4)
		w.check()
		w.poison, w.ends, w.late, w.sound, w.answered = 0xbad2, nil, 0, 0, 0
		clear(w.counted)
		w.play(12*time.Second, 60, 4)
		w.check()
		require.Len(t, w.parts, 2)
	}
}

// TestBlockEnds guards against a block without end: an operator lifts it, and after its time
// a part that is answered again is served by all instances.
func TestBlockEnds(t *testing.T) {
	for _, byOperator := range []bool{true, false} {
		w := newPoisonWorld(t, 5, 12, "a", "b", "c", "d")
		w.play(3*time.Second, 60, 0)
		w.play(10*time.Second, 60, 4)
		require.Len(t, w.parts, 1)
		w.harmless = true
		if byOperator {
			for key := range w.parts {
				w.partLifts = []poison.Key{key}
			}
			w.play(11*time.Second, 60, 4)
		} else {
			w.play(70*time.Second, 60, 4)
		}
		clear(w.refused)
		w.play(2*time.Second, 60, 4)
		for _, at := range w.order {
			require.NotContains(t, w.refused[at], "part_blocked no", "lifted by an operator: %v", byOperator)
		}
		for _, record := range w.parts {
			require.Equal(t, poison.Lifted, record.State)
		}
	}
}

// TestTrialThatEndsAnUpstream guards against a part that ends as many upstreams after its
// block as before it: one end blocks it again, for longer.
func TestTrialThatEndsAnUpstream(t *testing.T) {
	w := newPoisonWorld(t, 5, 12, "a", "b", "c", "d")
	w.play(3*time.Second, 60, 0)
	w.play(10*time.Second, 60, 4)
	require.Len(t, w.parts, 1)
	ends := len(w.ends)
	w.play(75*time.Second, 60, 4)
	require.Greater(t, len(w.ends), ends)
	require.LessOrEqual(t, len(w.ends), ends+poisonLate)
	require.Len(t, w.parts, 1)
	for _, record := range w.parts {
		require.Equal(t, poison.Blocked, record.State)
		require.EqualValues(t, 2, record.Round)
	}
}
