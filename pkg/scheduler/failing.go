package scheduler

import (
	"math"
	"slices"
	"time"
)

const (
	// failureMemory is the time in which what is remembered of answers falls to a
	// third.
	failureMemory = 2 * time.Second
	// minFailures is the least number of remembered failures that count as a
	// sign, and keptFailures that until which the sign stands.
	minFailures  = 2.5
	keptFailures = 0.3
	// An upstream fails while more of its answers are failures than
	// failureFactor times the usual part and failureMargin. Requests that fail
	// everywhere are no sign against one upstream.
	failureFactor = 2
	failureMargin = 0.2
	// deadPart is the part of failures from which an upstream gets only probes.
	deadPart = 0.8
	// healthyQuantile is the part of the upstreams that fail least by which the
	// usual part is judged, so that it holds while many upstreams fail.
	healthyQuantile = 0.25
)

// failureCount remembers the latest answers of an upstream, the older the less.
type failureCount struct {
	failed, answers float64
	at              time.Duration
}

func (f *failureCount) observe(now time.Duration, failed bool) {
	f.decay(now)
	f.answers++
	if failed {
		f.failed++
	}
}

func (f *failureCount) decay(now time.Duration) {
	if now > f.at {
		part := math.Exp(-float64(now-f.at) / float64(failureMemory))
		f.failed, f.answers = f.failed*part, f.answers*part
		f.at = now
	}
}

// part returns the part of the answers that are failures.
func (f *failureCount) part() float64 { return f.failed / max(f.answers, 1) }

// checkFailing finds upstreams that say of many more requests than others that
// they failed. They answer faster than those that do the work, so they would
// otherwise draw more of it. They are the last choice while others are free, and
// get only probes if hardly any request succeeds there.
func (p *Pool) checkFailing(now time.Duration) {
	failing := false
	for _, u := range p.upstreams {
		u.failures.decay(now)
		failing = failing || u.failing || u.failures.failed >= minFailures
	}
	if !failing {
		return
	}
	most := failureFactor*p.usualFailures() + failureMargin
	for _, u := range p.upstreams {
		least := minFailures
		if u.failing {
			least = keptFailures
		}
		u.failing = u.failures.failed >= least && u.failures.part() > most
		if u.failing && !u.quarantined && u.failures.failed >= minFailures && u.failures.part() > deadPart {
			p.slowDown(now, u)
		}
	}
}

// usualFailures returns the part of failures at upstreams that fail least.
func (p *Pool) usualFailures() float64 {
	var parts []float64
	for _, u := range p.upstreams {
		if u.present && u.failures.answers >= minFailures {
			parts = append(parts, u.failures.part())
		}
	}
	if len(parts) < 2 {
		return 0 // nothing to compare with
	}
	slices.Sort(parts)
	return parts[int(float64(len(parts)-1)*healthyQuantile)]
}
