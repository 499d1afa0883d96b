package daemon

import (
	"testing"

	"github.com/stretchr/testify/require"

	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// TestCellOfOneFailureDomainUsesItsUpstreams guards against cells of one failure
// domain each that all use every upstream: the owner in each cell would grant the
// full limit of each upstream.
func TestCellOfOneFailureDomainUsesItsUpstreams(t *testing.T) {
	instance := &pb.InstanceSettings{FailureDomain: "zone-a", Region: "region-1"}
	require.Empty(t, cellFailureDomains(instance), "the cell is the region")
	instance.Cell = "zone-a"
	require.Equal(t, []string{"zone-a"}, cellFailureDomains(instance))
	instance.Cell = "region-1"
	require.Empty(t, cellFailureDomains(instance))
}
