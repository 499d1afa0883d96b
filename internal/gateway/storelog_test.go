package gateway

import (
	"bytes"
	"encoding/json"
	"errors"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/pkg/refresh"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// TestStoreAwaySinceStart guards against a log line that states the time since the boot of the machine as the time for which the
// store was away, if it was away from the start of the process on.
func TestStoreAwaySinceStart(t *testing.T) {
	var out bytes.Buffer
	g, err := New(&pb.Settings{}, zerolog.New(&out), nil, plainCodec{})
	require.NoError(t, err)
	defer g.stop()
	g.logStoreAvailability(refresh.Config, errors.New("away"))
	out.Reset()
	g.logStoreAvailability(refresh.Config, nil)
	var line struct {
		AwayMs *float64 `json:"away_ms"`
	}
	require.NoError(t, json.Unmarshal(out.Bytes(), &line), out.String())
	require.NotNil(t, line.AwayMs)
	require.Less(t, *line.AwayMs, 1000.0)
}
