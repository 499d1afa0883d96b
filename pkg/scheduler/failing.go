package scheduler

import (
	"math"
	"slices"
	"time"
)

const (
	// failureDecayTime is the time constant of the failure statistics: after it,
	// the weight of an answer has fallen to 1/e.
	failureDecayTime = 2 * time.Second
	// From minFailures decayed failures on, an upstream can be marked as failing.
	// The mark is removed at the latest when they fall below clearedFailures.
	minFailures     = 2.5
	clearedFailures = 0.3
	// An upstream is failing while its failure ratio exceeds failureFactor times
	// the usual ratio plus failureMargin. Requests that fail at every upstream
	// are no evidence against one of them.
	failureFactor = 2
	failureMargin = 0.2
	// deadFailureRatio is the failure ratio above which an upstream gets only probes.
	deadFailureRatio = 0.8
	// baselineQuantile selects, among the upstreams sorted by failure ratio, the
	// one that gives the usual ratio. It is low so that the ratio stays valid
	// while many upstreams fail.
	baselineQuantile = 0.25
)

// failureCount counts the answers and failures of an upstream with exponential decay.
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
		remaining := math.Exp(-float64(now-f.at) / float64(failureDecayTime))
		f.failed, f.answers = f.failed*remaining, f.answers*remaining
		f.at = now
	}
}

// ratio returns the fraction of the answers that are failures.
func (f *failureCount) ratio() float64 { return f.failed / max(f.answers, 1) }

// checkFailing marks upstreams whose failure ratio is well above that of the
// others. They answer faster than upstreams that do the work, so they would
// otherwise attract more of it. They are chosen only if no other is free, and
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
	threshold := failureFactor*p.baselineFailureRatio() + failureMargin
	for _, u := range p.upstreams {
		minFailed := minFailures
		if u.failing {
			minFailed = clearedFailures
		}
		u.failing = u.failures.failed >= minFailed && u.failures.ratio() > threshold
		if u.failing && !u.quarantined && u.failures.failed >= minFailures && u.failures.ratio() > deadFailureRatio {
			p.quarantineOrCutLimit(now, u)
		}
	}
}

// baselineFailureRatio returns the failure ratio at the upstreams that fail least.
func (p *Pool) baselineFailureRatio() float64 {
	var ratios []float64
	for _, u := range p.upstreams {
		if u.present && u.failures.answers >= minFailures {
			ratios = append(ratios, u.failures.ratio())
		}
	}
	if len(ratios) < 2 {
		return 0 // nothing to compare with
	}
	slices.Sort(ratios)
	return ratios[int(float64(len(ratios)-1)*baselineQuantile)]
}
