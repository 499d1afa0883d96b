package account_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/internal/account"
	"github.com/citrongate/citrongate/internal/eventlog"
)

// formatLog returns the log of one process that wrote the lines at the given times.
func formatLog(t *testing.T, lines ...timedLine) string {
	var out strings.Builder
	for _, l := range lines {
		fields, err := json.Marshal(l.line)
		require.NoError(t, err)
		fmt.Fprintf(&out, "{%q:%q,%q:%q,%q:%v,%q:%q,%s\n", "message", l.line.Spec().Message, "instance", "i",
			"up_ms", eventlog.Milliseconds(l.at), "time", start.Add(l.at).Format(time.RFC3339Nano), fields[1:])
	}
	return out.String()
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type timedLine struct {
	at   time.Duration
	line eventlog.Line
}

func attempts(t *testing.T, lines ...timedLine) []*account.Attempt {
	var c account.Collector
	require.NoError(t, c.Read(strings.NewReader(formatLog(t, lines...))))
	return c.Attempts()
}

func sent(id, upstream string, queued float64) eventlog.RequestSent {
	return eventlog.RequestSent{RequestID: id, Upstream: upstream, GoalMs: 300, GapGoalMs: 100, Priority: 1, QueuedMs: queued}
}

// TestOutcomes guards against answers that count as in time although they were
// late for the caller, and against attempts whose end is not recognised.
func TestOutcomes(t *testing.T) {
	for _, c := range []struct {
		line eventlog.Line
		want account.Outcome
	}{
		{eventlog.RequestAnswered{RequestID: "r", Code: 200, QueuedMs: 50, FirstMs: 200, Events: 9, LongestGapMs: 90}, account.InTime},
		{eventlog.RequestAnswered{RequestID: "r", Code: 200, QueuedMs: 150, FirstMs: 200, Events: 9}, account.LateFirst},
		{eventlog.RequestAnswered{RequestID: "r", Code: 200, QueuedMs: 50, FirstMs: 200, Events: 9, LongestGapMs: 110}, account.LateGap},
		{eventlog.RequestAnswered{RequestID: "r", Code: 200, TotalMs: 301}, account.LateFirst},
		{eventlog.RequestAnswered{RequestID: "r", Code: 500}, account.UpstreamError},
		{eventlog.RequestRefused{RequestID: "r", GoalMs: 300, Priority: 1, Reason: "limit_rate"}, account.Refused},
		{eventlog.RequestRefused{RequestID: "r", GoalMs: 300, Priority: 1, Started: true}, account.CutOff},
		{eventlog.CallerDisconnected{RequestID: "r"}, account.CallerDisconnected},
	} {
		list := attempts(t, timedLine{time.Second, sent("r", "u/1", 10)}, timedLine{2 * time.Second, c.line})
		require.Len(t, list, 1)
		require.Equal(t, c.want, list[0].Outcome, "%+v", c.line)
		require.Equal(t, 990*time.Millisecond, list[0].Arrived.Sub(start))
	}
}

// TestSlotTime guards against slot time that is counted twice or not at all.
func TestSlotTime(t *testing.T) {
	list := attempts(t,
		timedLine{1 * time.Second, sent("a", "u/1", 0)},
		timedLine{3 * time.Second, eventlog.RequestAnswered{RequestID: "a", Code: 200, Events: 4, Prompt: 10}},
		// The second attempt waits 0.52 s while one of two slots is free.
		timedLine{2520 * time.Millisecond, sent("b", "u/1", 520)},
		timedLine{3 * time.Second, eventlog.SendFailed{RequestID: "b"}},
		timedLine{3100 * time.Millisecond, sent("b", "u/1", 1100)},
		timedLine{5 * time.Second, eventlog.RequestAnswered{RequestID: "b", Code: 200, QueuedMs: 1100, Events: 4, Prompt: 20}},
	)
	got := account.Slots(list, account.Engines{Count: 1, Slots: 2})
	require.InDelta(t, 8, got.Available, 0.001)
	require.InDelta(t, 2, got.ByOutcome[account.InTime], 0.001)
	require.InDelta(t, 1.9, got.ByOutcome[account.LateFirst], 0.001)
	require.InDelta(t, 0.48, got.Repeated, 0.001)
	require.InDelta(t, 0.5, got.IdleWhileWaiting, 0.001)
	require.Equal(t, uint64(30), got.PeakPrompt)
}

// TestLostWithItsProcess guards against slots that count as free although a
// process whose log ended in the meantime was using them.
func TestLostWithItsProcess(t *testing.T) {
	list := attempts(t,
		timedLine{1 * time.Second, sent("a", "u/1", 0)},
		timedLine{2 * time.Second, eventlog.RequestAnswered{RequestID: "a", Code: 200, Events: 4}},
		timedLine{2 * time.Second, sent("b", "u/1", 0)},
		timedLine{5 * time.Second, eventlog.ReadinessChanged{}},
	)
	got := account.Slots(list, account.Engines{Count: 1, Slots: 2})
	require.InDelta(t, 3, got.ByOutcome[account.Unknown], 0.001)
}

// TestBound guards against a bound below what an engine can achieve.
func TestBound(t *testing.T) {
	engine := account.Engine{StepMs: 4, PromptPerMs: 100, Batch: 4, Slowness: 1}
	short := account.Demand{Requests: 100, Worth: 1, Prompt: 100, Tokens: 1}
	long := account.Demand{Requests: 100, Worth: 5, Prompt: 1000, Tokens: 90}
	// A short request takes 2 ms of engine time, a long one 100 ms.
	require.InDelta(t, 600, account.MaxValue([]account.Demand{long, short}, []account.Engine{engine}, 20_000), 0.001)
	require.InDelta(t, 100+40, account.MaxValue([]account.Demand{long, short}, []account.Engine{engine}, 1000), 0.001)
	require.InDelta(t, 10.2, account.LoadRatio([]account.Demand{long, short}, []account.Engine{engine}, 1000), 0.001)
}
