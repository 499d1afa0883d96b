package gateway

import (
	"time"

	"github.com/citrongate/citrongate/pkg/node"
)

// poolInterval is the time between debug lines on the pools that this instance
// schedules.
const poolInterval = time.Second

// logPools logs the state of the pools that this instance schedules, at debug level.
func (g *Gateway) logPools(pools []node.PoolSummary) {
	for _, p := range pools {
		if !p.Hosted {
			continue
		}
		var inFlight, limit, waiting uint32
		quarantined := 0
		for _, u := range p.Scheduler.Upstreams {
			inFlight += u.InFlight
			if u.Straggler {
				quarantined++
				continue
			}
			limit += u.Limit
		}
		for _, t := range p.Scheduler.Tiers {
			waiting += t.Waiting
		}
		g.log.Debug().Uint64("pool", uint64(p.Pool)).Bool("local", p.Local).Int("upstreams", len(p.Scheduler.Upstreams)).
			Int("quarantined", quarantined).Uint32("in_flight", inFlight).Uint32("limit", limit).Uint32("waiting", waiting).Msg("pool scheduled here")
	}
}
