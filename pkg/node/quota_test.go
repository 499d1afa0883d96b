package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/pkg/configstate"
	"github.com/citrongate/citrongate/pkg/dispatch"
	"github.com/citrongate/citrongate/pkg/quota"
	"github.com/citrongate/citrongate/pkg/routing"
)

// TestQuotaWaitsEndInOrder guards against refusals in the order of a map, which would
// make two runs with the same events differ.
func TestQuotaWaitsEndInOrder(t *testing.T) {
	n := New(Config{Name: "n", Incarnation: 1, TicketSecret: make([]byte, 32)}, 1)
	routes, err := routing.BuildWith(&configstate.Set{}, routing.Options{})
	require.NoError(t, err)
	n.now, n.routes = time.Second, routes
	n.quotas.limits = map[string]quota.Limit{}
	for i := range 30 {
		organisation, id := fmt.Sprintf("o%02d", i), dispatch.ID(i+1)
		n.quotas.limits[organisation] = quota.Limit{PerSecond: 1, Burst: 1}
		n.quotas.waiting[organisation] = []quotaRequest{{id: id, until: 0}}
		n.requests[id] = &request{SubmitRequest: SubmitRequest{ID: RequestID(id), Organisation: organisation, QuotaCost: 100}}
	}
	actions := n.Step(2*time.Second, Tick{}, nil)
	var refused []RequestID
	for _, a := range actions {
		if refuse, ok := a.(Refuse); ok {
			refused = append(refused, refuse.ID)
		}
	}
	require.Len(t, refused, 30)
	require.IsIncreasing(t, refused)
}
