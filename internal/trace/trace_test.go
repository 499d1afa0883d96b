package trace_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/internal/eventlog"
	"github.com/citrongate/citrongate/internal/trace"
)

const id = "9c41d07be2a35f68"

// logLine returns a line as a process writes it whose clock reads noon plus skew at its
// start.
func logLine(instance, run string, up, skew time.Duration, line eventlog.Line) string {
	var out bytes.Buffer
	eventlog.New(zerolog.New(&out), instance, run, nil).Write(line)
	written := strings.TrimSpace(out.String())
	at := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC).Add(up + skew)
	written = strings.Replace(written, `"up_ms":`, fmt.Sprintf(`"time":%q,"up_ms":%v,"was":`, at.Format(eventlog.TimeFormat), eventlog.Milliseconds(up)), 1)
	return written + "\n"
}

func traceLogs(t *testing.T, logs ...string) (trace.History, string) {
	t.Helper()
	c := trace.NewCollector(id)
	for _, log := range logs {
		require.NoError(t, c.Read(strings.NewReader(log)))
	}
	life := c.History()
	var out strings.Builder
	require.NoError(t, life.Write(&out))
	return life, out.String()
}

// TestOrder guards against lines in the wrong order or left out when a machine's
// clock jumps, files are read in any order, or lines carry a prefix.
func TestOrder(t *testing.T) {
	sent := logLine("a", "1", 2*time.Second, 0, eventlog.RequestSent{RequestID: id, Upstream: "u/1", Send: 1})
	failed := logLine("a", "1", 2100*time.Millisecond, -time.Hour, eventlog.SendFailed{RequestID: id, Upstream: "u/1", Send: 1, Status: "broken"})
	again := logLine("a", "1", 2200*time.Millisecond, 0, eventlog.RequestSent{RequestID: id, Upstream: "u/2", Send: 2})
	answered := logLine("a", "1", 2300*time.Millisecond, 0, eventlog.RequestAnswered{RequestID: id, Upstream: "u/2", Code: 200, TotalMs: 300})
	other := logLine("a", "1", 2300*time.Millisecond, 0, eventlog.RequestAnswered{RequestID: "another", Upstream: "u/2", Code: 200})
	life, out := traceLogs(t, "  12.5 front-a "+again+answered+other, failed, "not a line\n{\n{}\n"+sent)
	require.Len(t, life.Entries, 4)
	require.Zero(t, life.Torn)
	last := -1
	for _, part := range []string{"request sent", "send failed", "send=2", "request answered", "cause: It was answered with 200 by u/2 in 300ms"} {
		at := strings.Index(out, part)
		require.Greater(t, at, last, "%s in\n%s", part, out)
		last = at
	}
	require.NotContains(t, out, "another")
}

// TestTornLines guards against misreading a line that the end of its process or
// another writer has truncated, and the line after it.
func TestTornLines(t *testing.T) {
	sent := logLine("a", "1", time.Second, 0, eventlog.RequestSent{RequestID: id, Upstream: "u/1"})
	refused := logLine("a", "1", 2*time.Second, 0, eventlog.RequestRefused{RequestID: id, Reason: "upstream_broke", Status: 502, Ran: "unknown", Sends: 1})
	life, out := traceLogs(t, sent[:len(sent)/2]+refused)
	require.Len(t, life.Entries, 1, "the complete line after the torn one is read")
	require.Contains(t, out, "cause: It was answered with 502")
	life, out = traceLogs(t, sent[:len(sent)-10])
	require.Equal(t, 1, life.Torn)
	require.Contains(t, out, "torn")
}

// TestCauses guards against a wrong explanation for each way a request can end.
func TestCauses(t *testing.T) {
	sent := eventlog.RequestSent{RequestID: id, Upstream: "u/1", Send: 1}
	cases := []struct {
		lines []eventlog.Line
		want  []string
	}{
		{nil, []string{"No line names it"}},
		{[]eventlog.Line{eventlog.RequestRefused{RequestID: id, Reason: "limit_rate", Status: 429, Ran: "no"}}, []string{"429", "quota of its organisation"}},
		{[]eventlog.Line{eventlog.RequestRefused{RequestID: id, Reason: "expired_waiting", Status: 503, Ran: "no", WaitedMs: 480}}, []string{"503", "waited 480ms"}},
		{[]eventlog.Line{sent, eventlog.SendFailed{RequestID: id, Upstream: "u/1", Status: "broken", Detail: "EOF"},
			eventlog.RequestRefused{RequestID: id, Reason: "upstream_broke", Status: 502, Ran: "unknown", Sends: 1}}, []string{"502", "u/1", "broken", "EOF", "ran: unknown"}},
		{[]eventlog.Line{sent, eventlog.SendFailed{RequestID: id, Upstream: "u/1", Status: "broken", Events: 3},
			eventlog.RequestRefused{RequestID: id, Reason: "upstream_broke", Started: true, Ran: "yes", Sends: 1}}, []string{"cut", "u/1"}},
		{[]eventlog.Line{sent, eventlog.RequestAnswered{RequestID: id, Upstream: "u/1", Code: 500}}, []string{"u/1", "its own status 500"}},
		{[]eventlog.Line{sent, eventlog.RequestRefused{RequestID: id, Reason: "draining", Detail: "the time for the planned stop was over", Started: true, Ran: "unknown", Sends: 1}},
			[]string{"answer was cut", "planned stop"}},
		{[]eventlog.Line{eventlog.CallerDisconnected{RequestID: id, WaitedMs: 900}}, []string{"caller closed", "while it waited"}},
		{[]eventlog.Line{sent, eventlog.CallerDisconnected{RequestID: id, Upstream: "u/1", Events: 2}}, []string{"caller closed", "u/1", "2 events"}},
		{[]eventlog.Line{sent}, []string{"no line tells its end"}},
	}
	for _, c := range cases {
		log := ""
		for n, line := range c.lines {
			log += logLine("a", "1", time.Duration(n+1)*time.Second, 0, line)
		}
		_, out := traceLogs(t, log)
		cause := out[strings.Index(out, "cause: "):]
		for _, want := range c.want {
			require.Contains(t, cause, want)
		}
	}
}

// TestProcessEnded guards the explanation of a request that was lost when its process
// ended, and the choice of the lines about processes that are shown with it.
func TestProcessEnded(t *testing.T) {
	life, out := traceLogs(t,
		logLine("a", "1", 10*time.Second, 0, eventlog.RequestSent{RequestID: id, Upstream: "u/1"}),
		logLine("a", "2", 100*time.Millisecond, 12*time.Second, eventlog.InstanceStarted{Version: "1"}),
		logLine("b", "1", 10*time.Second, 0, eventlog.StoreLost{Error: "x"}),
		logLine("a", "1", 9*time.Second, 0, eventlog.StoreLost{Error: "timeout"}),
		logLine("a", "1", time.Second, 0, eventlog.StoreRegained{}))
	require.Len(t, life.Entries, 3, "lines of other instances and of other times are left out")
	require.Contains(t, out, "the process of a that held it ended, and another started at 2026-12-04T12:00:12.100Z")
	require.Contains(t, out, "store lost error=timeout")
	require.False(t, life.Clocks)
}
