package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// holdPool is a pool of plain services, and holdRequest a request of one of its entries.
func holdPool(slots uint32, names ...string) *Pool {
	var upstreams []Upstream
	var class Class
	for i, name := range names {
		upstreams = append(upstreams, Upstream{Name: name, Concurrency: slots, Service: true})
		class.Upstreams = append(class.Upstreams, uint32(i))
	}
	p := New(Config{})
	p.SetTopology(0, Topology{Upstreams: upstreams, Classes: []Class{class}, Kinds: noLimit, Orgs: noLimit})
	return p
}

func noLimit(uint32) FlowLimit { return FlowLimit{} }

func holdRequest(entry, sequence uint64, deadline time.Duration) Descriptor {
	return Descriptor{ID: GlobalID{entry, sequence}, Attempt: 1, MeanOutput: 1, HighOutput: 1, Deadline: deadline}
}

// turnAway grants a request of an entry at the upstream and releases it with a hold.
func turnAway(t *testing.T, p *Pool, now time.Duration, upstream uint32, entry, sequence uint64, holdOff time.Duration) {
	id := GlobalID{entry, sequence}
	p.Submit(now, holdRequest(entry, sequence, now+time.Minute))
	granted := p.Step(now, nil)
	require.Len(t, granted, 1)
	require.Equal(t, upstream, granted[0].Upstream)
	p.Release(now, Completion{ID: id, Outcome: Refused, HoldOff: holdOff})
}

// TestHoldIsKeptPerEntry guards against a grant at an upstream that holds the entry off, and against
// leaving that upstream idle although other entries have work for it: their requests do not wait
// for one that is held off.
func TestHoldIsKeptPerEntry(t *testing.T) {
	p := holdPool(1, "a", "b")
	turnAway(t, p, 0, 0, 1, 1, 10*time.Second)
	for sequence := range uint64(3) { // of the same organisation, before the other entry's
		p.Submit(time.Second, holdRequest(1, 10+sequence, time.Minute))
	}
	p.Submit(time.Second, holdRequest(2, 20, time.Minute))
	byEntry := map[uint64][]uint32{}
	for _, d := range p.Step(time.Second, nil) {
		require.Zero(t, d.Reason)
		byEntry[d.ID.Entry] = append(byEntry[d.ID.Entry], d.Upstream)
	}
	require.Equal(t, map[uint64][]uint32{1: {1}, 2: {0}}, byEntry)
}

// TestHoldEnds guards against a request that is not granted once the hold has ended, or before, and
// against more grants at that moment than the upstream has slots.
func TestHoldEnds(t *testing.T) {
	const slots, end = 2, 3 * time.Second
	p := holdPool(slots, "a")
	turnAway(t, p, 0, 0, 1, 1, end)
	for sequence := range uint64(10) {
		p.Submit(time.Second, holdRequest(1, 10+sequence, time.Minute))
	}
	require.Empty(t, p.Step(time.Second, nil))
	require.Equal(t, end, p.NextWake(time.Second))
	require.Empty(t, p.Step(end-1, nil))
	require.Len(t, p.Step(end, nil), slots)
}

// TestHeldOffByAll guards against requests that wait in a queue that cannot be served: if every
// upstream holds the entry off until after their latest start, they are refused at once, with the
// earliest time at which one takes them, spread over some time. Other entries are served.
func TestHeldOffByAll(t *testing.T) {
	const deadline = 5 * time.Second
	p := holdPool(1, "a", "b")
	turnAway(t, p, 0, 0, 1, 1, 40*time.Second)
	p.Submit(0, holdRequest(1, 2, deadline))
	require.Len(t, p.Step(0, nil), 1) // at b
	for sequence := range uint64(20) {
		p.Submit(0, holdRequest(1, 10+sequence, deadline))
	}
	require.Empty(t, p.Step(0, nil), "they wait for b")
	p.Release(time.Second, Completion{ID: GlobalID{1, 2}, Outcome: Refused, HoldOff: 20 * time.Second})
	p.Submit(time.Second, holdRequest(1, 50, deadline))
	p.Submit(time.Second, holdRequest(2, 1, deadline))
	delays := map[time.Duration]bool{}
	for _, d := range p.Step(time.Second, nil) {
		if d.ID.Entry == 2 {
			require.Zero(t, d.Reason)
			continue
		}
		require.Equal(t, HeldOff, d.Reason)
		require.GreaterOrEqual(t, d.RetryAfter, 20*time.Second)
		require.LessOrEqual(t, d.RetryAfter, 20*time.Second+maxHoldSpread)
		delays[d.RetryAfter] = true
	}
	require.Greater(t, len(delays), 10, "they return at different times")
	require.Zero(t, p.waiting)
}

// TestHoldsAreBounded guards against holds that are kept after their end or that of their entry.
func TestHoldsAreBounded(t *testing.T) {
	p := holdPool(1, "a")
	for i := range uint64(1000) {
		turnAway(t, p, time.Duration(i)*time.Second, 0, i+1, 1, 2*time.Second)
	}
	require.LessOrEqual(t, len(p.upstreams[0].holds), 2)
	p.DropEntry(1000*time.Second, 1000)
	for _, h := range p.upstreams[0].holds {
		require.NotEqual(t, uint64(1000), h.entry)
	}
}

// TestProbesKeepToHolds guards against a probe of a quarantined upstream that holds the entry off.
func TestProbesKeepToHolds(t *testing.T) {
	p := holdPool(1, "a")
	turnAway(t, p, 0, 0, 1, 1, 20*time.Second)
	p.quarantine(0, p.upstreams[0])
	for now := time.Duration(0); now < 15*time.Second; now += 100 * time.Millisecond {
		p.Submit(now, holdRequest(1, uint64(now)+2, now+time.Hour))
		for _, d := range p.Step(now, nil) {
			require.NotZero(t, d.Reason, fmt.Sprint("granted at ", now))
		}
	}
}
