package daemon

import (
	"testing"

	"github.com/stretchr/testify/require"

	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// Guards against cells of one failure domain each that all use every upstream:
// each cell's owner would grant the full limit of each.
func TestCellOfOneFailureDomainUsesItsUpstreams(t *testing.T) {
	instance := &pb.InstanceSettings{FailureDomain: "zone-a", Region: "region-1"}
	require.Empty(t, cellFailureDomains(instance), "the cell is the region")
	instance.Cell = "zone-a"
	require.Equal(t, []string{"zone-a"}, cellFailureDomains(instance))
	instance.Cell = "region-1"
	require.Empty(t, cellFailureDomains(instance))
}
