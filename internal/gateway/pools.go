package gateway

import (
	"time"

	"github.com/citrongate/citrongate/internal/eventlog"
	"github.com/citrongate/citrongate/pkg/node"
)

// poolLogInterval is the time between debug log lines on the pools that this
// instance schedules.
const poolLogInterval = time.Second

// logPools logs the state of the pools that this instance schedules.
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
		g.log.Write(eventlog.PoolState{Pool: uint64(p.Pool), Local: p.Local, Upstreams: len(p.Scheduler.Upstreams),
			Quarantined: quarantined, InFlight: int(inFlight), Limit: int(limit), Waiting: int(waiting)})
	}
}
