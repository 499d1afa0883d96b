package rollout_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/citrongate/citrongate/internal/fixedseed"
	"github.com/citrongate/citrongate/pkg/rollout"
)

const ms, s = time.Millisecond, time.Second

var order = rollout.Order{Service: "s", Version: "2", Within: 10 * s, ID: 7}

// both has three upstreams of either version, with four slots each.
var both = rollout.Upstreams{Current: 3, Target: 3, CurrentSlots: 12, TargetSlots: 12}

// driver runs a Rollout against a store in the test.
type driver struct {
	t       *testing.T
	r       *rollout.Rollout
	now     time.Duration
	store   rollout.Record
	outcome rollout.WriteOutcome // of the next writes; Failed loses them
	plan    rollout.Plan
	reasons []string
	granted int
}

func drive(t *testing.T, stored rollout.Record, u rollout.Upstreams) *driver {
	d := &driver{t: t, r: rollout.New(bounds, order, stored, 0), store: stored, outcome: rollout.Acknowledged}
	d.r.SetUpstreams(0, u)
	d.step()
	return d
}

// step carries out writes until there are none.
func (d *driver) step() {
	for range 10 {
		d.plan = d.r.Step(d.now)
		if d.plan.Reason != "" {
			d.reasons = append(d.reasons, d.plan.Reason)
		}
		if d.plan.Write == nil {
			return
		}
		w := *d.plan.Write
		switch {
		case d.outcome == rollout.Failed:
			d.r.Stored(d.now, rollout.WriteResult{Outcome: rollout.Failed})
		case w.Revision != d.store.Revision:
			d.r.Stored(d.now, rollout.WriteResult{Outcome: rollout.Conflict, Record: d.store})
		default:
			w.Revision++
			d.store = w
			d.r.Stored(d.now, rollout.WriteResult{Outcome: rollout.Acknowledged, Record: w})
		}
	}
	d.t.Fatal("writes without end")
}

// run serves 100 requests a second for a time; the version fails as told.
func (d *driver) run(length time.Duration, fails bool) {
	for end := d.now + length; d.now < end; d.now += 10 * ms {
		d.r.Arrived(d.now)
		target := d.plan.Allowance != 0
		if target {
			d.granted++
		}
		if !target && !d.plan.CurrentOpen {
			d.t.Fatal("neither version is open")
		}
		d.r.Granted(d.now, target)
		d.r.Ended(d.now, rollout.Answer{Target: target, Upstream: 1, Failed: target && fails, Latency: 20 * ms})
		d.step()
	}
}

func (d *driver) require(phase rollout.Phase, reason string) {
	d.t.Helper()
	require.Equal(d.t, phase, d.plan.Phase, "%v", d.r.Status())
	require.Equal(d.t, phase, d.store.Phase)
	if reason != "" {
		require.Contains(d.t, d.reasons[len(d.reasons)-1], reason)
	}
}

// TestEnds guards against an order that ends otherwise than it should, or without its reason.
func TestEnds(t *testing.T) {
	none := rollout.Upstreams{Current: 3, CurrentSlots: 12}
	for name, c := range map[string]struct {
		upstreams rollout.Upstreams
		play      func(d *driver)
		phase     rollout.Phase
		reason    string
	}{
		"good version":               {both, func(d *driver) { d.run(10*s, false) }, rollout.Completed, "nothing runs at the current version"},
		"bad version":                {both, func(d *driver) { d.run(10*s, true) }, rollout.Reverted, "bad answers"},
		"no upstream of the version": {none, func(d *driver) { d.run(11*s, false) }, rollout.Reverted, "no upstream of the version by the deadline"},
		"late upstream": {none, func(d *driver) {
			d.run(2*s, false)
			d.r.SetUpstreams(d.now, both)
			d.run(8*s, false)
		}, rollout.Completed, ""},
		"all have the version": {rollout.Upstreams{Target: 3, TargetSlots: 12}, func(d *driver) { d.run(ms, false) }, rollout.Completed, "all upstreams have the version"},
		"no request":           {both, func(d *driver) { d.now = 10 * s; d.step() }, rollout.Reverted, "no request arrived"},
		"bad in the shift": {both, func(d *driver) {
			d.run(9600*ms, false)
			require.Equal(d.t, rollout.Shifting, d.plan.Phase)
			d.run(300*ms, true)
		}, rollout.Reverted, "bad answers"},
		"request in progress at the current version": {both, func(d *driver) {
			d.r.Granted(d.now, false)
			d.run(12*s, false)
			require.Equal(d.t, rollout.Shifting, d.plan.Phase)
			d.r.Ended(d.now, rollout.Answer{Latency: 20 * ms, Duration: 12 * s})
			d.run(s, false)
		}, rollout.Completed, ""},
		"operator completes": {both, func(d *driver) {
			d.run(s, false)
			d.r.Command(d.now, rollout.Complete)
			d.run(s, false)
		}, rollout.Completed, ""},
		"operator reverts": {both, func(d *driver) {
			d.run(s, false)
			d.r.Command(d.now, rollout.Revert)
			d.run(s, false)
		}, rollout.Reverted, "operator"},
		"held": {both, func(d *driver) {
			d.run(s, false)
			d.r.Command(d.now, rollout.Hold)
			d.run(12*s, false)
			require.True(d.t, d.store.Hold)
		}, rollout.Judging, ""},
		"resumed": {both, func(d *driver) {
			d.run(s, false)
			d.r.Command(d.now, rollout.Hold)
			d.run(5*s, false)
			d.r.Command(d.now, rollout.Resume)
			d.run(5*s, false)
		}, rollout.Completed, ""},
		"bad while held": {both, func(d *driver) {
			d.r.Command(d.now, rollout.Hold)
			d.run(5*s, true)
			d.r.Command(d.now, rollout.Resume)
			d.run(s, true)
		}, rollout.Reverted, "bad answers"},
		"command after the end": {both, func(d *driver) {
			d.run(10*s, false)
			d.r.Command(d.now, rollout.Revert)
			d.run(s, false)
		}, rollout.Completed, ""},
	} {
		t.Run(name, func(t *testing.T) {
			d := drive(t, rollout.Record{}, c.upstreams)
			c.play(d)
			d.require(c.phase, c.reason)
			if c.phase == rollout.Completed {
				require.False(t, d.plan.CurrentOpen)
			}
		})
	}
}

// TestStoreUnavailable guards against grants, a shift or a completion that the store does not
// know of, and against a revert that waits for the store.
func TestStoreUnavailable(t *testing.T) {
	for name, c := range map[string]struct {
		from  time.Duration
		fails bool
		phase rollout.Phase
	}{
		"from the start": {0, false, rollout.Judging},
		"judging":        {5 * s, false, rollout.Judging},
		"judging a bad":  {50 * ms, true, rollout.Reverted},
		"shifting":       {9600 * ms, false, rollout.Shifting},
	} {
		t.Run(name, func(t *testing.T) {
			d := &driver{t: t, r: rollout.New(bounds, order, rollout.Record{}, 0), outcome: rollout.Acknowledged}
			d.r.SetUpstreams(0, both)
			if c.from == 0 {
				d.outcome = rollout.Failed
			}
			d.step()
			d.run(c.from, false)
			d.outcome = rollout.Failed
			d.run(10*s, c.fails)
			require.Equal(t, c.phase, d.plan.Phase)
			if c.phase != rollout.Shifting {
				require.LessOrEqual(t, d.granted, int(d.store.Reserved))
			}
			d.outcome = rollout.Acknowledged
			d.run(3*s, c.fails)
			want := rollout.Completed
			if c.fails {
				want = rollout.Reverted
			}
			d.require(want, "")
		})
	}
}

// TestSuccessor guards against a successor that spends the reservation of the owner before it
// once more, forgets a final phase or the deadline, or takes the record of another order for its
// own.
func TestSuccessor(t *testing.T) {
	record := rollout.Record{Order: order.ID, Phase: rollout.Judging, Reserved: 20, Served: 100, Elapsed: 3 * s, Revision: 5}
	d := drive(t, record, both)
	first := d.plan.Allowance
	require.LessOrEqual(t, first, int(d.store.Reserved)-20)
	d.run(7*s, false)
	d.require(rollout.Completed, "")

	for _, phase := range []rollout.Phase{rollout.Completed, rollout.Reverted} {
		record.Phase = phase
		d = drive(t, record, both)
		require.Equal(t, phase, d.plan.Phase)
		require.Equal(t, record, d.store)
	}

	record.Bad, record.Phase = 60, rollout.Judging
	drive(t, record, both).require(rollout.Reverted, "60 bad answers")

	d = drive(t, rollout.Record{Order: order.ID, Elapsed: 9 * s}, rollout.Upstreams{Current: 3})
	d.run(1100*ms, false)
	d.require(rollout.Reverted, "no upstream of the version by the deadline")

	record.Order++
	d = drive(t, record, both)
	d.require(rollout.Judging, "")
	require.Equal(t, order.ID, d.store.Order)
	require.Zero(t, d.store.Bad)
}

// TestConflict guards against an owner that goes on from its own record after another one wrote.
func TestConflict(t *testing.T) {
	d := drive(t, rollout.Record{}, both)
	d.run(s, false)
	left := int(d.store.Reserved) - d.granted
	d.store.Reserved += 30
	d.store.Revision++
	d.run(ms, false)
	d.r.Command(d.now, rollout.Hold) // forces a write
	d.step()
	require.True(t, d.store.Hold)
	require.LessOrEqual(t, d.plan.Allowance, max(left, 0))

	d.store.Phase = rollout.Reverted
	d.store.Revision++
	d.r.Command(d.now, rollout.Resume)
	d.step()
	d.require(rollout.Reverted, "store")

	d = drive(t, rollout.Record{}, both)
	d.store = rollout.Record{Order: order.ID + 1, Phase: rollout.Judging, Revision: 9}
	d.r.Command(d.now, rollout.Hold)
	d.step()
	require.Zero(t, d.plan.Allowance, "the record of another order is in place")
	require.Equal(t, order.ID+1, d.store.Order)
}

// TestCompletionInDoubt guards against a revert while the store may hold Completed, after which
// the current upstreams are stopped.
func TestCompletionInDoubt(t *testing.T) {
	d := drive(t, rollout.Record{}, both)
	for d.plan.Phase != rollout.Shifting {
		d.run(10*ms, false)
	}
	for d.plan = d.r.Step(d.now); d.plan.Write == nil || d.plan.Write.Phase != rollout.Completed; d.plan = d.r.Step(d.now) {
		d.now += 10 * ms
		require.Less(t, d.now, 11*s)
	}
	written := *d.plan.Write
	written.Revision++
	d.store = written
	d.r.Stored(d.now, rollout.WriteResult{Outcome: rollout.Failed})
	d.r.Command(d.now, rollout.Revert)
	d.run(s, true)
	d.require(rollout.Completed, "")
}

// TestReservation guards against grants beyond what was acknowledged, against a final phase that
// changes, and against two owners that reserve the same requests, for any order of events.
func TestReservation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var store rollout.Record
		owners := []*rollout.Rollout{rollout.New(bounds, order, store, 0), rollout.New(bounds, order, store, 0)}
		writes := make([]*rollout.Record, 2)
		final, shifted, granted, now := rollout.Phase(0), false, 0, time.Duration(0)
		for _, r := range owners {
			r.SetUpstreams(0, both)
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * ms
			i := rapid.IntRange(0, 1).Draw(t, "owner")
			r := owners[i]
			r.Arrived(now)
			plan := r.Step(now)
			if plan.Write != nil {
				writes[i] = plan.Write
			}
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0, 1, 2:
				if plan.Allowance > 0 {
					granted++
					r.Granted(now, true)
				}
			case 3:
				r.Ended(now, rollout.Answer{Target: true, Failed: rapid.Bool().Draw(t, "failed"), Latency: 10 * ms})
			case 4, 5:
				if w := writes[i]; w != nil {
					writes[i] = nil
					result := rollout.WriteResult{Outcome: rollout.Conflict, Record: store}
					if w.Revision == store.Revision {
						store = *w
						store.Revision++
						result = rollout.WriteResult{Outcome: rollout.Acknowledged, Record: store}
					}
					if rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
						result = rollout.WriteResult{Outcome: rollout.Failed}
					}
					r.Stored(now, result)
				}
			case 6:
				owners[i], writes[i] = rollout.New(bounds, order, store, now), nil
				owners[i].SetUpstreams(now, both)
			}
			shifted = shifted || store.Phase == rollout.Shifting
			if !shifted {
				require.LessOrEqual(t, granted, int(store.Reserved))
			}
			require.True(t, final == 0 || store.Phase == final, "%v after %v", store.Phase, final)
			if store.Phase.Final() {
				final = store.Phase
			}
		}
	})
}

// TestCheck guards against an order that can not be served and is taken for one without time.
func TestCheck(t *testing.T) {
	require.NoError(t, order.Check())
	require.ErrorContains(t, rollout.Order{Version: "2", Within: s}.Check(), "spec.service")
	require.ErrorContains(t, rollout.Order{Service: "s", Within: s}.Check(), "spec.to")
	require.ErrorContains(t, rollout.Order{Service: "s", Version: "2"}.Check(), "spec.overS")
}

// TestCurrentGone guards against a service without any upstream that may be used, while one of
// the version is there.
func TestCurrentGone(t *testing.T) {
	d := drive(t, rollout.Record{}, both)
	d.run(s, false)
	d.r.SetUpstreams(d.now, rollout.Upstreams{Target: 3, TargetSlots: 12})
	d.run(s, false)
	require.Equal(t, rollout.Judging, d.plan.Phase, "they may come back")
	d.run(1100*ms, false)
	d.require(rollout.Shifting, "no upstream of the current version is left")

	d = drive(t, d.store, rollout.Upstreams{Target: 3, TargetSlots: 12})
	require.Equal(t, rollout.Shifting, d.plan.Phase)
}

// TestManyRoutes guards against memory that grows with the number of routes and upstreams.
func TestManyRoutes(t *testing.T) {
	d := drive(t, rollout.Record{}, both)
	for i := range 5000 {
		d.r.Ended(0, rollout.Answer{Target: i%2 == 0, Route: uint32(i), Upstream: uint64(i), Latency: ms})
	}
	require.LessOrEqual(t, len(d.r.Status().Evidence), 65)
}
