package rollout

import (
	"math"
	"time"
)

// drainQuantile of the answers of the current version end within the time set aside for the
// shift.
const drainQuantile = 0.999

// durations tells how long answers of the current version take.
type durations struct{ seen histogram }

func (d *durations) add(duration time.Duration) {
	if duration > 0 {
		d.seen[binOf(duration)]++
	}
}

// drain returns how long the requests in progress at the current version take to end.
func (d *durations) drain() time.Duration {
	if d.seen.total() == 0 {
		return 0
	}
	bin := float64(d.seen.quantile(drainQuantile)) + 0.5
	return time.Duration(float64(lowestLatency) * math.Exp2(bin/binsPerDoubling))
}
