package load

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/internal/client"
	"github.com/citrongate/citrongate/internal/standin/engine"
)

// TestParseFlow guards against an unknown key, a missing kind or an invalid value
// that is accepted.
func TestParseFlow(t *testing.T) {
	flow, err := ParseFlow("kind=chat,tier=1,rate=2.5,deadline=3s,label.region=west")
	require.NoError(t, err)
	require.Equal(t, 2.5, flow.Rate)
	require.Equal(t, map[string]string{"region": "west"}, flow.Labels)
	for _, wrong := range []string{"", "rate=1", "kind=a,speed=1", "kind=a,rate=0", "kind=a,type=x", "kind=a,tier=x", "kind=a,min-tokens=9,max-tokens=3"} {
		_, err := ParseFlow(wrong)
		require.Error(t, err, wrong)
	}
}

// TestAnswersAreChecked guards against a driver that accepts another request's
// answer, or a truncated one, as complete.
func TestAnswersAreChecked(t *testing.T) {
	text := engine.TokenText("q", 0) + engine.TokenText("q", 1)
	require.NoError(t, checkModel("q", 2, &client.Result{Text: text}))
	require.Error(t, checkModel("q", 3, &client.Result{Text: text}))
	require.Error(t, checkModel("r", 2, &client.Result{Text: text}))
	request := &client.Request{Body: []byte("a")}
	require.NoError(t, checkService(request, &client.Result{Status: 200, Body: []byte(`{"received":"a"}`)}))
	require.Error(t, checkService(request, &client.Result{Status: 200, Body: []byte(`{"received":"b"}`)}))
	require.Error(t, checkService(request, &client.Result{Status: 500, Body: []byte(`{"received":"a"}`)}))
}

// TestAuditBookings guards against an audit that overlooks a second run, or a run of
// a booking that was reported as not run.
func TestAuditBookings(t *testing.T) {
	booking := func(ran string, keys ...string) Outcome {
		result := &client.Result{Ran: ran}
		for _, key := range keys {
			result.Attempts = append(result.Attempts, client.Attempt{Key: key})
		}
		return Outcome{Flow: &Flow{Type: Booking}, Result: result}
	}
	runs := map[string]int{"once": 1, "twice": 2, "other": 1}
	cases := []struct {
		outcome    Outcome
		violations int
	}{
		{booking("yes", "once"), 0},
		{booking("yes", "once", "once"), 0},
		{booking("unknown", "once"), 0},
		{booking("unknown", "never"), 0},
		{booking("no", "never"), 0},
		{booking("no", "once"), 1},
		{booking("yes", "never"), 1},
		{booking("yes", "twice"), 1},
		{booking("unknown", "twice"), 1},
		{booking("yes", "once", "other"), 1},
	}
	for i, c := range cases {
		require.Len(t, auditBookings([]Outcome{c.outcome}, runs), c.violations, "case %d", i)
	}
}

// TestSummary guards against calls that are missing from the summary.
func TestSummary(t *testing.T) {
	flow := &Flow{Tier: 1}
	refused := &client.Result{Ran: "no", Attempts: []client.Attempt{{Ending: client.Refused, Refusal: client.Refusal{Code: "shed_overload"}}}}
	outcomes := []Outcome{{Flow: flow, Complete: true, Result: &client.Result{}}, {Flow: flow, Result: refused}}
	var out bytes.Buffer
	WriteSummary(&out, outcomes)
	require.Contains(t, out.String(), "50.0%")
	require.Contains(t, out.String(), "shed_overload (ran: no) 1")
	require.Equal(t, 1, CountComplete(outcomes))
}
