package proctest

import (
	"context"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/internal/client"
	"github.com/citrongate/citrongate/internal/standin/load"
)

// loadTime is the time during which a test sends calls.
const loadTime = 4 * time.Second

// sendLoad sends mixed calls, runs fault after a third of the load time, and returns
// the outcomes of all calls.
func sendLoad(t *testing.T, f *fleet, config load.Config, fault func()) []load.Outcome {
	t.Helper()
	if config.Duration == 0 {
		config.Duration = loadTime
	}
	config.Entries, config.Seed, config.HTTP = f.callerAddresses(), 1, f.http
	config.Flows = []load.Flow{
		{Kind: "chat", Type: load.Model, Model: "small", Token: callerToken, Rate: 10, Deadline: waitLimit, MinTokens: 20, MaxTokens: 100, PromptBytes: 300},
		{Kind: "lookup", Type: load.Service, Tier: 1, Token: callerToken, Rate: 8, Deadline: waitLimit},
		{Kind: "book", Type: load.Booking, Token: callerToken, Rate: 8, Deadline: waitLimit},
	}
	outcomes := make(chan []load.Outcome, 1)
	go func() { outcomes <- load.Run(context.Background(), config) }()
	time.Sleep(loadTime / 3)
	fault()
	return <-outcomes
}

// requireTruthful fails if the audit finds that a reported outcome contradicts the
// ledgers, or if a call failed in the driver or got an unexpected answer.
func requireTruthful(t *testing.T, f *fleet, outcomes []load.Outcome) {
	t.Helper()
	require.NotEmpty(t, outcomes)
	for _, outcome := range outcomes {
		require.NoError(t, outcome.Err, outcome.String())
	}
	violations, err := load.Audit(context.Background(), outcomes, f.services, f.engines)
	require.NoError(t, err)
	require.Empty(t, violations)
}

// requireComplete fails if a call for which applies returns true got no complete answer.
func requireComplete(t *testing.T, outcomes []load.Outcome, applies func(load.Outcome) bool) {
	t.Helper()
	for _, outcome := range outcomes {
		if applies(outcome) {
			require.True(t, outcome.Complete, outcome.String())
		}
	}
}

func anyCall(load.Outcome) bool      { return true }
func repeatable(o load.Outcome) bool { return o.Flow.Type != load.Booking }

// TestEntryKilled guards against a second run of a booking, and against calls that
// fail at the remaining entry instances, when one is killed.
func TestEntryKilled(t *testing.T) {
	t.Parallel()
	f := startFleet(t, directAddress)
	victim := f.entries[2]
	outcomes := sendLoad(t, f, load.Config{}, func() { victim.signal(t, syscall.SIGKILL) })
	requireTruthful(t, f, outcomes)
	requireComplete(t, outcomes, repeatable)
}

// TestEntryPaused guards against a second run of a booking, or a wrong answer, when
// an entry instance is paused until after its peers have declared it dead.
func TestEntryPaused(t *testing.T) {
	t.Parallel()
	f := startFleet(t, directAddress)
	victim := f.entries[0]
	outcomes := sendLoad(t, f, load.Config{}, func() {
		victim.signal(t, syscall.SIGSTOP)
		time.Sleep(4 * time.Second)
		victim.signal(t, syscall.SIGCONT)
	})
	requireTruthful(t, f, outcomes)
	requireComplete(t, outcomes, repeatable)
	waitFor(t, "the paused entry to be a member again", func() bool {
		status, _, err := f.adminOf(victim).Status(context.Background())
		return err == nil && status.Ready && len(status.Instances) >= entryCount
	})
}

// TestConnectionsCut guards against answers that are lost or mixed up when
// connections to engines are closed, and against a call that runs twice when a
// connection to a service is closed.
func TestConnectionsCut(t *testing.T) {
	t.Parallel()
	var engines, services []*relay
	f := startFleet(t, func(kind string, _ int, address string) string {
		r := startRelay(t, address)
		if kind == "engine" {
			engines = append(engines, r)
		} else {
			services = append(services, r)
		}
		return r.address()
	})
	outcomes := sendLoad(t, f, load.Config{}, func() {
		for range 10 {
			for _, r := range append(engines[:len(engines):len(engines)], services...) {
				r.cutNext()
			}
			time.Sleep(loadTime / 30)
		}
	})
	requireTruthful(t, f, outcomes)
	requireComplete(t, outcomes, repeatable)
}

// TestEntryDrained guards against calls that are lost by a planned stop.
func TestEntryDrained(t *testing.T) {
	t.Parallel()
	f := startFleet(t, directAddress)
	victim := f.entries[1]
	outcomes := sendLoad(t, f, load.Config{}, func() {
		require.NoError(t, f.adminOf(victim).Drain(context.Background()))
	})
	requireTruthful(t, f, outcomes)
	requireComplete(t, outcomes, anyCall)
	require.Zero(t, victim.waitExit(t))
}

// TestStoreOutage guards against requests that fail while the store is unavailable,
// and against a configuration change that is reported as accepted meanwhile. It also
// checks what a refusal for lack of the store says of whether the call ran.
func TestStoreOutage(t *testing.T) {
	t.Parallel()
	f := startFleet(t, directAddress)
	setOutage := func(body string) { require.NoError(t, f.post("http://"+f.platform+"/control/state", body)) }
	outcomes := sendLoad(t, f, load.Config{}, func() {
		setOutage(`{"outage":true}`)
		_, err := f.apply(f.objects(directAddress)[:1])
		require.ErrorContains(t, err, "store_unavailable")
	})
	requireTruthful(t, f, outcomes)
	requireComplete(t, outcomes, anyCall)

	keyed := &client.Request{Kind: "book", Key: "own-key-1", Body: []byte("{}"), Deadline: waitLimit, MaxAttempts: 1, FirstUse: true}
	require.Equal(t, "no", f.refusedWithoutStore(t, keyed), "a call whose key has no ticket requires the store")
	keyed.FirstUse = false
	require.Equal(t, "unknown", f.refusedWithoutStore(t, keyed), "an earlier call with the key may have run")

	setOutage(`{"outage":false}`)
	waitFor(t, "a change after the outage", func() bool {
		_, err := f.apply(f.objects(directAddress))
		return err == nil
	})
	waitFor(t, "a call whose key has no ticket", func() bool {
		keyed.Key += "x"
		result, err := client.NewCaller(f.callerAddresses(), callerToken, f.http).Call(context.Background(), keyed)
		return err == nil && result.Complete
	})
}

// refusedWithoutStore sends a call that requires the store during an outage and
// returns whether it ran according to the refusal.
func (f *fleet) refusedWithoutStore(t *testing.T, request *client.Request) string {
	t.Helper()
	result, err := client.NewCaller(f.callerAddresses(), callerToken, f.http).Call(context.Background(), request)
	require.NoError(t, err)
	require.Equal(t, "store_unavailable", result.Last().Refusal.Code)
	return result.Ran
}

// TestLostStoreAnswer guards against a configuration change that is reported as
// failed, or applied twice, when the store's answer is lost.
func TestLostStoreAnswer(t *testing.T) {
	t.Parallel()
	f := startFleet(t, directAddress)
	before, err := f.adminOf(f.entries...).List(context.Background(), "")
	require.NoError(t, err)
	require.NoError(t, f.post("http://"+f.platform+"/control/state", `{"drop_answers":2}`))
	objects := f.objects(directAddress)[:1]
	objects[0].GetTier().DefaultDeadlineMs = 15000
	revision, err := f.apply(objects)
	require.NoError(t, err)
	require.Equal(t, before.Revision+1, revision)
	for _, e := range f.entries {
		waitFor(t, e.name+" to have the change in force", func() bool {
			status, _, err := f.adminOf(e).Status(context.Background())
			return err == nil && status.ConfigRevision == revision
		})
	}
}
