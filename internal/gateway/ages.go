package gateway

import (
	"time"

	"github.com/citrongate/citrongate/internal/boottime"
)

// observeAges registers how old what this instance knows of the store is.
func (g *Gateway) observeAges() error {
	err := g.metrics.Observe("citrongate_config_age", "Time since the configuration in force was confirmed.", func() (time.Duration, bool) {
		confirmed := g.config.confirmed()
		return boottime.Now() - confirmed.At, confirmed.Known
	})
	if err != nil {
		return err
	}
	return g.metrics.Observe("citrongate_upstream_list_age", "Time since the newest listing of the upstreams began.", func() (time.Duration, bool) {
		at := time.Duration(g.config.listedAt.Load())
		return boottime.Now() - at, at > 0
	})
}
