package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/citrongate/citrongate/pkg/dispatch"
)

// endOfSend ends one send of a record and says whether the upstream may have run it.
type endOfSend struct {
	name   string
	mayRun bool
	apply  func(*dispatch.Table)
}

func finish(result dispatch.Result) func(*dispatch.Table) {
	return func(t *dispatch.Table) { t.Finish(0, 1, result, 0, 0) }
}

var endsOfSend = []endOfSend{
	{"not sent", false, func(t *dispatch.Table) { t.OnDispatchFailed(0, 1) }},
	{"not run", false, finish(dispatch.UpstreamRefused)},
	{"broken", true, finish(dispatch.AnswerBroken)},
	{"mismatched", true, finish(dispatch.AnswerMismatched)},
	{"failed", true, finish(dispatch.UpstreamFailed)},
	{"expired", true, finish(dispatch.DeadlinePassed)},
}

// endsOfRequest end a waiting record without an answer.
var endsOfRequest = []struct {
	name  string
	apply func(*dispatch.Table, dispatch.Decision)
}{
	{"shed", func(t *dispatch.Table, d dispatch.Decision) { t.Shed(0, d, dispatch.Refusal{Code: "shed_overload"}) }},
	{"refused", func(t *dispatch.Table, _ dispatch.Decision) { t.Refuse(0, 1, dispatch.Refusal{Code: "no_route"}) }},
	{"deadline", func(t *dispatch.Table, _ dispatch.Decision) { t.Tick(time.Hour) }},
	{"caller disconnected", func(t *dispatch.Table, _ dispatch.Decision) { t.Cancel(0, 1) }},
	{"table full", func(t *dispatch.Table, _ dispatch.Decision) {
		t.Submit(0, dispatch.Request{ID: 2, Pool: pool, Deadline: time.Minute}, dispatch.Limits{}, dispatch.Limits{})
	}},
	{"owner lost, then deadline", func(t *dispatch.Table, _ dispatch.Decision) {
		t.SetOwner(0, pool, otherOwner)
		t.Tick(time.Hour)
	}},
}

// TestRefusalAfterSends guards against a refusal that says that a request has not run
// although one of its sends may have run. It draws up to three sends with their
// ends and the end of the request.
func TestRefusalAfterSends(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := dispatch.NewTable(dispatch.Config{Self: self, MaxRequests: 1, Seed: 1,
			RetryBudgetPercent: rapid.SampledFrom([]int{-1, 10}).Draw(t, "retry budget"),
			RepeatedSends:      dispatch.SendBudget{Extra: rapid.SampledFrom([]float64{0, 10}).Draw(t, "extra sends"), Window: time.Minute}})
		table.Submit(0, dispatch.Request{ID: 1, Pool: pool, Tier: 1, Deadline: time.Minute, MaxSends: 3,
			Repeatable: rapid.Bool().Draw(t, "repeatable")}, dispatch.Limits{}, dispatch.Limits{})
		mayHaveRun := false
		for range rapid.IntRange(0, 3).Draw(t, "sends") {
			record := table.Record(1)
			if record == nil || record.State != dispatch.Waiting {
				break
			}
			table.Grant(0, decisionOf(record), dispatch.Permit{Upstream: "u"})
			if rapid.Bool().Draw(t, "first token") {
				table.FirstToken(0, 1)
			}
			if record.State == dispatch.Streaming {
				mayHaveRun = true
			}
			end := rapid.SampledFrom(endsOfSend).Draw(t, "end of send")
			mayHaveRun = mayHaveRun || end.mayRun
			end.apply(table)
		}
		if record := table.Record(1); record != nil {
			end := rapid.SampledFrom(endsOfRequest).Draw(t, "end of request")
			mayHaveRun = mayHaveRun || record.InFlight()
			end.apply(table, decisionOf(record))
		}
		for _, effect := range table.TakeEffects() {
			if ended, ok := effect.(dispatch.Ended); ok && ended.ID == 1 && ended.Refusal.Code != "" {
				require.Equal(t, mayHaveRun, ended.Refusal.Ran != dispatch.RanNo, "%+v", ended.Refusal)
			}
		}
	})
}

func decisionOf(r *dispatch.Record) dispatch.Decision {
	return dispatch.Decision{ID: r.ID, Pool: r.Pool, Attempt: r.Attempt, From: r.Holder}
}
