package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// overloadedPool is a pool with one busy service and one request that waits.
func overloadedPool(seed uint64) *Pool {
	p := poolWith(Config{Seed: seed}, Upstream{Name: "a", Service: true, Concurrency: 1})
	p.Submit(0, Descriptor{ID: GlobalID{1, 1}, Deadline: time.Hour})
	p.Submit(0, Descriptor{ID: GlobalID{1, 2}, Kind: 7, Deadline: time.Hour})
	p.Step(0, nil)
	return p
}

func refusedCall(sequence uint64, org uint32) *Descriptor {
	return &Descriptor{ID: GlobalID{2, sequence}, Kind: 1, Org: org, MeanOutput: 1, Deadline: 3 * time.Second}
}

// TestRetryClaimsItsBooking guards against a retry that is not recognised at its time,
// against one that comes early or from another caller and is, against bookings that
// do not lapse, and against a second booking for a caller that returns early.
func TestRetryClaimsItsBooking(t *testing.T) {
	const told = 500 * time.Millisecond
	other, later := *refusedCall(2, 2), *refusedCall(2, 1)
	later.Deadline += told
	cases := map[string]struct {
		after   time.Duration
		by      Descriptor
		claimed bool
	}{
		"on time":               {0, *refusedCall(2, 1), true},
		"a slot early":          {-retrySlotWidth, *refusedCall(2, 1), true},
		"too early":             {-3 * retrySlotWidth, *refusedCall(2, 1), false},
		"late":                  {lateSlots * retrySlotWidth, *refusedCall(2, 1), true},
		"too late":              {(lateSlots + 2) * retrySlotWidth, *refusedCall(2, 1), false},
		"other organisation":    {0, other, false},
		"newcomer of that time": {0, later, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := overloadedPool(1)
			due := p.bookRetry(0, refusedCall(1, 1), 0, told)
			require.InDelta(t, float64(told), float64(due), float64(retrySlotWidth))
			require.Equal(t, c.claimed, p.retries.claim(due+c.after, &c.by))
			require.False(t, c.claimed && p.retries.claim(due+c.after, &c.by), "a booking is claimed once")
		})
	}
	p := overloadedPool(1)
	due := p.bookRetry(0, refusedCall(1, 1), 0, told)
	early := 200 * time.Millisecond
	require.Equal(t, due-early, p.bookRetry(early, refusedCall(2, 1), 0, 0))
	require.Equal(t, 1, p.retries.count)
	p.retries.lapse(due + time.Minute)
	require.Zero(t, p.retries.count)
	require.Empty(t, p.retries.perOrg)
}

// TestBookingsAreBounded guards against a flood that books without bound or later than
// callers wait, and against callers that are told to return at one time.
func TestBookingsAreBounded(t *testing.T) {
	p := overloadedPool(1)
	p.classes[0].capacity = 1e9
	times := map[time.Duration]bool{}
	for i := range uint64(20 * maxBookings) {
		due := p.bookRetry(0, refusedCall(i, uint32(i%30)), 0, time.Duration(i%1000)*time.Millisecond)
		require.LessOrEqual(t, due, time.Second)
		times[due] = true
	}
	patient := refusedCall(1, 1)
	patient.Deadline = time.Hour
	require.LessOrEqual(t, p.bookRetry(0, patient, 0, 0), retryHorizon, "without room")
	require.LessOrEqual(t, p.retries.count, maxBookings)
	require.Greater(t, p.retries.count, maxBookings/2)
	require.Greater(t, len(times), maxBookings/2)
	for _, count := range p.retries.perOrg {
		require.LessOrEqual(t, count, maxOrgBookings)
	}
	p.retries.remap([]int32{-1}, 1)
	require.Zero(t, p.retries.count, "the class was removed")
}

// TestBookingsStayWithinShare guards against bookings that take the capacity of
// newcomers, and against a new owner that books as much although callers return that
// the former one told.
func TestBookingsStayWithinShare(t *testing.T) {
	booked := func(takeover bool) (count int) {
		p := overloadedPool(1)
		p.classes[0].capacity = 8000 // cost units per second; a call costs 8
		if takeover {
			p.HalveLimitsUntil(0, 500*time.Millisecond)
			p.bookRetry(0, refusedCall(1, 1), 0, 0)
			require.Zero(t, p.retries.count, "nothing is booked during synchronisation")
			p.HalveLimitsUntil(0, 0)
		}
		for i := range uint64(1000) {
			p.bookRetry(0, refusedCall(i, uint32(i)), 0, 0)
		}
		return p.retries.count
	}
	perSecond := 8000 / 8 * retryShare // callers honour a delay of up to 1 s
	require.InDelta(t, perSecond, booked(false), 0.3*perSecond)
	require.InDelta(t, cautiousRetryFraction*perSecond, booked(true), 0.3*perSecond)
}
