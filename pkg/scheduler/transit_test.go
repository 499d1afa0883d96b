package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestServiceIsKeptBusyAcrossMessages guards against idle slots at a plain service while
// calls wait at the owner: with calls of 17 ms and 6 ms of messages around each permit, a
// service that may hold as many calls as it has slots is idle for a quarter of the time.
func TestServiceIsKeptBusyAcrossMessages(t *testing.T) {
	const (
		slots       = 6
		work        = 17 * time.Millisecond
		oneWay      = 3 * time.Millisecond
		step        = time.Millisecond
		measureFrom = 2 * time.Second
		end         = 6 * time.Second
	)
	served := func(reports bool) (busy float64, longestQueue int) {
		p := poolWith(Config{}, Upstream{Name: "a", Service: true, Concurrency: slots, MaxConcurrency: slots, FixedLimit: true})
		type event struct {
			at time.Duration
			id GlobalID
		}
		var arriving, waiting, running, returning []event
		var idle, total int
		sequence := uint64(0)
		for now := time.Duration(0); now < end; now += step {
			for p.waiting < 2*slots {
				sequence++
				p.Submit(now, Descriptor{ID: GlobalID{1, sequence}, Attempt: 1, Deadline: now + time.Hour})
			}
			for len(returning) > 0 && returning[0].at <= now {
				c := Completion{ID: returning[0].id, Outcome: Complete}
				if reports {
					c.Slots = SlotReport{Known: true, Free: slots - int32(len(running)) - int32(len(waiting))}
				}
				p.Release(now, c)
				returning = returning[1:]
			}
			for len(running) > 0 && running[0].at <= now {
				returning = append(returning, event{now + oneWay, running[0].id})
				running = running[1:]
			}
			for len(arriving) > 0 && arriving[0].at <= now {
				waiting = append(waiting, arriving[0])
				arriving = arriving[1:]
			}
			for len(waiting) > 0 && len(running) < slots {
				running = append(running, event{now + work, waiting[0].id})
				waiting = waiting[1:]
			}
			for _, d := range p.Step(now, nil) {
				require.Zero(t, d.Reason)
				arriving = append(arriving, event{now + oneWay, d.ID})
			}
			if now >= measureFrom {
				idle += slots - len(running)
				total += slots
				longestQueue = max(longestQueue, len(waiting))
			}
		}
		return 1 - float64(idle)/float64(total), longestQueue
	}
	busy, _ := served(false)
	require.Less(t, busy, 0.8, "without reports only as many calls as slots are granted")
	busy, queue := served(true)
	require.Greater(t, busy, 0.95)
	require.LessOrEqual(t, queue, slots/2, "the others wait at the owner, in order of urgency")
}

// TestTransitAllowanceShrinks guards against calls that pile up at a service whose work
// has become longer than the messages.
func TestTransitAllowanceShrinks(t *testing.T) {
	a := transitAllowance{}
	for range 100 {
		a.observe(SlotReport{Known: true, Free: 2}, true, 6)
	}
	require.Equal(t, 3.0, a.extra, "at most half of the slots")
	a.observe(SlotReport{Known: true, Free: 2}, false, 6)
	require.Equal(t, 3.0, a.extra, "idle slots without demand show nothing")
	for range 12 {
		a.observe(SlotReport{Known: true, Free: -2}, true, 6)
	}
	require.Zero(t, a.extra)
}
