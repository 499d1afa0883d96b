package gateway

import (
	"time"

	"github.com/citrongate/citrongate/internal/boottime"
)

// registerAgeMetrics registers the metrics for the age of the configuration and
// of the list of upstreams.
func (g *Gateway) registerAgeMetrics() error {
	err := g.metrics.Observe("citrongate_config_age", "Time since the configuration in force was confirmed.", func() (time.Duration, bool) {
		confirmed := g.config.confirmed()
		return boottime.Now() - confirmed.At, confirmed.Known
	})
	if err != nil {
		return err
	}
	return g.metrics.Observe("citrongate_upstream_list_age", "Time since the newest listing of the upstreams began.", func() (time.Duration, bool) {
		at := time.Duration(g.config.upstreamsListedAt.Load())
		return boottime.Now() - at, at > 0
	})
}
