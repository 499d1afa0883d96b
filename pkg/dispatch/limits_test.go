package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/pkg/dispatch"
)

func submitRequest(table *dispatch.Table, id dispatch.ID, kind, org dispatch.Limits) []dispatch.Effect {
	table.Submit(0, dispatch.Request{ID: id, Kind: "k", Organisation: "o", Pool: pool, Deadline: time.Minute}, kind, org)
	return table.TakeEffects()
}

func refusalCodes(effects []dispatch.Effect) (codes []string) {
	for _, e := range effects {
		if ended, ok := e.(dispatch.Ended); ok {
			codes = append(codes, ended.Refusal.Code)
		}
	}
	return codes
}

// TestLimitShares guards against an instance that enforces a full limit instead of
// its share, and against a refusal that names the wrong limit.
func TestLimitShares(t *testing.T) {
	for _, test := range []struct {
		name         string
		limits       dispatch.Limits
		wantAccepted int
		wantCode     string
	}{
		{"rate", dispatch.Limits{RequestsPerSecond: 1, Burst: 8}, 2, "limit_rate"},
		{"queued", dispatch.Limits{Queued: 10}, 3, "limit_queue"},
		{"at least one", dispatch.Limits{Queued: 1}, 1, "limit_queue"},
	} {
		t.Run(test.name, func(t *testing.T) {
			table := dispatch.NewTable(dispatch.Config{Self: self, MaxRequests: 100})
			table.LimitSharers = 4
			accepted := 0
			for id := dispatch.ID(1); id <= 10; id++ {
				codes := refusalCodes(submitRequest(table, id, test.limits, dispatch.Limits{}))
				if len(codes) == 0 {
					accepted++
					continue
				}
				require.Equal(t, test.wantCode, codes[0])
			}
			require.Equal(t, test.wantAccepted, accepted)
		})
	}
}

// TestFullTable guards against a full table that refuses a higher tier while a
// lower one waits, that sheds an equal or higher tier, or that exceeds MaxRequests.
func TestFullTable(t *testing.T) {
	table := dispatch.NewTable(dispatch.Config{Self: self, MaxRequests: 4})
	submit := func(id dispatch.ID, tier uint8) []dispatch.Effect {
		table.Submit(0, dispatch.Request{ID: id, Pool: pool, Class: 1, Tier: tier, Deadline: time.Minute}, dispatch.Limits{}, dispatch.Limits{})
		return table.TakeEffects()
	}
	ended := func(effects []dispatch.Effect) (ids []dispatch.ID) {
		for _, e := range effects {
			if end, ok := e.(dispatch.Ended); ok {
				require.Equal(t, "shed_overload", end.Refusal.Code)
				require.Equal(t, dispatch.RanNo, end.Refusal.Ran)
				ids = append(ids, end.ID)
			}
		}
		return ids
	}
	for id, tier := range []uint8{2, 1, 2, 0} {
		require.Empty(t, ended(submit(dispatch.ID(id+1), tier)))
	}
	table.Grant(0, dispatch.Decision{ID: 1, Pool: pool, Attempt: 1, From: dispatch.Holder{Owner: self}}, dispatch.Permit{Upstream: "u"})
	table.TakeEffects()
	require.Equal(t, []dispatch.ID{3}, ended(submit(5, 1)), "the waiting request of the lowest tier is shed, not the dispatched one")
	require.Equal(t, []dispatch.ID{6}, ended(submit(6, 1)), "equal tiers do not shed each other")
	require.Equal(t, []dispatch.ID{5}, ended(submit(7, 0)), "the newest request of a lower tier is shed first")
	require.Equal(t, []dispatch.ID{2}, ended(submit(8, 0)))
	require.Equal(t, []dispatch.ID{9}, ended(submit(9, 0)))
	require.Equal(t, 4, table.Len())
}

// TestInFlightLimit guards against an in-flight limit that also counts waiting
// requests, or whose count does not decrease when a request ends.
func TestInFlightLimit(t *testing.T) {
	table := dispatch.NewTable(dispatch.Config{Self: self, MaxRequests: 100})
	limits := dispatch.Limits{InFlight: 1}
	for id := dispatch.ID(1); id <= 2; id++ {
		require.Empty(t, refusalCodes(submitRequest(table, id, limits, dispatch.Limits{})), "waiting requests count as in flight")
	}
	table.Grant(0, dispatch.Decision{ID: 1, Pool: pool, Attempt: 1, From: dispatch.Holder{Owner: self}}, dispatch.Permit{Upstream: "u"})
	table.TakeEffects()
	require.Equal(t, []string{"limit_in_flight"}, refusalCodes(submitRequest(table, 3, limits, dispatch.Limits{})))
	table.Finish(0, 1, dispatch.AnswerComplete, 1, 0)
	table.TakeEffects()
	require.Empty(t, refusalCodes(submitRequest(table, 4, limits, dispatch.Limits{})))
}

// TestRetryBudget guards against connection retries beyond the budget, and against
// a refusal with a ran other than no once the budget is spent.
func TestRetryBudget(t *testing.T) {
	table := dispatch.NewTable(dispatch.Config{Self: self, MaxRequests: 100, RetryBudgetPercent: 10})
	now := time.Duration(0)
	submitRequest(table, 1, dispatch.Limits{}, dispatch.Limits{})
	retries := 0
	for {
		r := table.Record(1)
		table.Grant(now, dispatch.Decision{ID: 1, Pool: pool, Attempt: r.Attempt, From: r.Holder}, dispatch.Permit{Upstream: "u"})
		table.OnDispatchFailed(now, 1)
		effects := table.TakeEffects()
		if codes := refusalCodes(effects); len(codes) > 0 {
			require.Equal(t, []string{"connect_failed"}, codes)
			for _, e := range effects {
				if ended, ok := e.(dispatch.Ended); ok {
					require.Equal(t, dispatch.RanNo, ended.Refusal.Ran)
				}
			}
			break
		}
		require.Contains(t, effects, dispatch.Effect(dispatch.Count{Name: "retries", Reason: dispatch.ConnectFailed}))
		retries++
		now += 100 * time.Millisecond
		table.Tick(now)
	}
	require.Equal(t, 10, retries, "burst of the retry budget")
}

// TestJitter guards against synchronised retries.
func TestJitter(t *testing.T) {
	table := dispatch.NewTable(dispatch.Config{Self: self, MaxRequests: 100, RetryBudgetPercent: 100, Seed: 5})
	for id := dispatch.ID(1); id <= 8; id++ {
		submitRequest(table, id, dispatch.Limits{}, dispatch.Limits{})
		table.NotOwner(0, dispatch.Decision{ID: id, Pool: pool, Attempt: 1, From: dispatch.Holder{Owner: self}})
	}
	table.TakeEffects()
	moments := map[string]bool{}
	for now := time.Duration(0); now < 80*time.Millisecond; now += time.Millisecond {
		table.Tick(now)
		for _, e := range table.TakeEffects() {
			if _, ok := e.(dispatch.Offer); ok {
				moments[fmt.Sprint(now)] = true
			}
		}
	}
	require.Greater(t, len(moments), 3, "retries are not spread over time")
}

// TestDecisionAfterNotOwner guards against ignoring an owner's decision because of an
// earlier NotOwner reply: the owner learned of the request by a Sync after it had
// sent the reply, and the reply arrives after the Sync.
func TestDecisionAfterNotOwner(t *testing.T) {
	table := dispatch.NewTable(dispatch.Config{Self: self, MaxRequests: 100, RetryBudgetPercent: -1})
	table.SetOwner(0, pool, otherOwner)
	submitRequest(table, 1, dispatch.Limits{}, dispatch.Limits{})
	d := dispatch.Decision{ID: 1, Pool: pool, Attempt: 1, From: dispatch.Holder{Owner: otherOwner}}
	waiting, _ := table.Sync(0, pool, otherOwner)
	require.Len(t, waiting, 1)
	table.NotOwner(0, d)
	table.TakeEffects()
	table.Shed(0, d, dispatch.Refusal{Code: "shed_overload"})
	require.Equal(t, []string{"shed_overload"}, refusalCodes(table.TakeEffects()))
}

// TestSendBudget guards against exceeding the bound on repeated sends while all
// upstreams refuse: in any window, all instances together repeat at most Ratio times
// the requests of a window, plus Extra.
func TestSendBudget(t *testing.T) {
	const entries, perSecond, window = 3, 40, 10 * time.Second
	total := dispatch.SendBudget{Ratio: 0.2, Extra: 30, Window: window}
	var repeats []time.Duration
	for entry := range entries {
		table := dispatch.NewTable(dispatch.Config{Self: self, MaxRequests: 100_000, RepeatedSends: total, Seed: uint64(entry)})
		table.LimitSharers = entries
		id := dispatch.ID(0)
		for now := time.Duration(0); now < 40*time.Second; now += time.Second / perSecond {
			id++
			table.Submit(now, dispatch.Request{ID: id, Kind: "k", Organisation: "o", Pool: pool, MaxSends: 3,
				Deadline: now + time.Minute}, dispatch.Limits{}, dispatch.Limits{})
			for r := table.Record(id); r != nil && r.State == dispatch.Waiting; r = table.Record(id) {
				if r.Attempt > 1 {
					repeats = append(repeats, now)
				}
				table.Grant(now, dispatch.Decision{ID: id, Pool: pool, Attempt: r.Attempt, From: r.Holder}, dispatch.Permit{Upstream: "u"})
				table.Finish(now, id, dispatch.UpstreamRefused, 0, 0)
			}
			table.TakeEffects()
		}
	}
	requests := float64(entries * perSecond * int(window/time.Second))
	for from := time.Duration(0); from < 30*time.Second; from += time.Second {
		count := 0.0
		for _, at := range repeats {
			if at >= from && at < from+window {
				count++
			}
		}
		require.LessOrEqual(t, count, total.Ratio*requests+total.Extra, "from %v", from)
	}
	require.Greater(t, len(repeats), int(total.Ratio*requests/2), "less than half of the ratio was used")
}
