package proctest

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/internal/client"
	"github.com/citrongate/citrongate/internal/standin/service"
)

// runsByKey returns the number of runs of each idempotency key, over all services.
func (f *fleet) runsByKey(t *testing.T) map[string]int {
	t.Helper()
	total := map[string]int{}
	for _, address := range f.services {
		response, err := f.http.Get("http://" + address + "/control/ledger")
		require.NoError(t, err)
		var ledger service.Ledger
		require.NoError(t, json.NewDecoder(response.Body).Decode(&ledger))
		response.Body.Close()
		for key, n := range ledger.ByKey {
			total[key] += n
		}
	}
	return total
}

// fetchTicket gets a ticket from an entry instance by discovery.
func (f *fleet) fetchTicket(t *testing.T, e *entry) string {
	t.Helper()
	request, err := http.NewRequest(http.MethodGet, "http://"+e.caller+"/v1/discovery", nil)
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+callerToken)
	response, err := f.http.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	var discovery client.Discovery
	require.NoError(t, json.NewDecoder(response.Body).Decode(&discovery))
	require.NotEmpty(t, discovery.Ticket)
	return discovery.Ticket
}

// TestSameKeyEverywhere guards against a second run, or different answers, when the
// same call arrives at all entry instances several times concurrently.
func TestSameKeyEverywhere(t *testing.T) {
	t.Parallel()
	f := startFleet(t, directAddress)
	for round := range 5 {
		for _, key := range []string{f.fetchTicket(t, f.entries[round%entryCount]) + ".seat", fmt.Sprintf("own-key-%d", round)} {
			bodies := f.callEverywhere(t, key)
			require.Len(t, bodies, 3*entryCount, "complete answers under key %s", key)
			for _, body := range bodies {
				require.Equal(t, bodies[0], body)
			}
			require.Equal(t, 1, f.runsByKey(t)[key])
		}
	}
}

// callEverywhere concurrently sends the same call three times to each entry instance
// and returns the complete answers.
func (f *fleet) callEverywhere(t *testing.T, key string) []string {
	t.Helper()
	var calls sync.WaitGroup
	var mu sync.Mutex
	var bodies []string
	for range 3 {
		for _, e := range f.entries {
			calls.Go(func() {
				caller := client.NewCaller([]string{e.caller}, callerToken, f.http)
				for _, other := range f.entries {
					if other != e {
						caller.Directory.Exclude(other.caller)
					}
				}
				result, err := caller.Call(context.Background(), &client.Request{
					Kind: "book", Key: key, Body: []byte(`{"seat":7}`), Deadline: waitLimit,
				})
				mu.Lock()
				defer mu.Unlock()
				if err == nil && result.Complete {
					bodies = append(bodies, string(result.Body))
				}
			})
		}
	}
	calls.Wait()
	return bodies
}
