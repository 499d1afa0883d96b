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

// runs returns how often each idempotency key ran, over all services.
func (f *fleet) runs(t *testing.T) map[string]int {
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

// ticket asks an entry for a ticket.
func (f *fleet) ticket(t *testing.T, e *entry) string {
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

// TestSameKeyEverywhere guards against a second run, or different answers, when
// one call arrives several times at all entries at once.
func TestSameKeyEverywhere(t *testing.T) {
	t.Parallel()
	f := startFleet(t, direct)
	for round := range 5 {
		for _, key := range []string{f.ticket(t, f.entries[round%entryCount]) + ".seat", fmt.Sprintf("own-key-%d", round)} {
			bodies := f.callEverywhere(t, key)
			require.Len(t, bodies, 3*entryCount, "answered whole under key %s", key)
			for _, body := range bodies {
				require.Equal(t, bodies[0], body)
			}
			require.Equal(t, 1, f.runs(t)[key])
		}
	}
}

// callEverywhere sends the same call three times to each entry at once and
// returns the whole answers.
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
				result, err := caller.Do(context.Background(), &client.Request{
					Kind: "book", Key: key, Body: []byte(`{"seat":7}`), Deadline: patience,
				})
				mu.Lock()
				defer mu.Unlock()
				if err == nil && result.Whole {
					bodies = append(bodies, string(result.Body))
				}
			})
		}
	}
	calls.Wait()
	return bodies
}
