package rollout

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// maxRoutes bounds the routes with evidence of their own; the last one takes all further.
	maxRoutes = 64
	// evaluateEvery is the least time between two evaluations without an answer of the version.
	evaluateEvery = 50 * time.Millisecond
)

// routeEvidence compares the failures of both versions on one route.
type routeEvidence struct {
	id              uint32
	current, target counts
	// currentTimes and targetTimes hold the newest answers by time.
	currentTimes, targetTimes timeSlices
	// ratios are of all answers that are still told apart by time, then of each window.
	ratios      [len(windowSizes) + 1]failureRatios
	failureOdds float64
	changed     bool
}

// evidence compares the answers of the version with those of the current one.
type evidence struct {
	index          map[uint32]int
	routes         []*routeEvidence
	target         counts
	allFailureOdds float64
	slow           slowTest
	evaluatedAt    time.Duration
}

func newEvidence() evidence { return evidence{index: map[uint32]int{}} }

// route returns the index of the evidence of a route.
func (e *evidence) route(id uint32) int {
	if i, known := e.index[id]; known {
		return i
	}
	if len(e.routes) == maxRoutes {
		return maxRoutes - 1
	}
	i := len(e.routes)
	e.index[id] = i
	e.routes = append(e.routes, &routeEvidence{id: id})
	e.slow.addRoute()
	return i
}

// began counts the latency of an answer.
func (e *evidence) began(now time.Duration, a Answer) {
	if a.Latency > 0 && !a.Failed {
		e.slow.add(now, e.route(a.Route), a)
	}
}

// ended counts an answer and its latency, if that was not counted before.
func (e *evidence) ended(now time.Duration, a Answer) {
	e.began(now, a)
	route := e.routes[e.route(a.Route)]
	if !a.Target {
		route.current.add(a.Failed)
		route.currentTimes.add(now, a.Failed)
		return
	}
	route.changed = true
	route.target.add(a.Failed)
	route.targetTimes.add(now, a.Failed)
	e.target.add(a.Failed)
}

// evaluate brings the odds up to date: for each failure or success of the version, and for the
// answers of the current version and the latencies every evaluateEvery.
func (e *evidence) evaluate(now time.Duration) {
	due := now-e.evaluatedAt >= evaluateEvery
	changed := false
	for _, route := range e.routes {
		if route.target.answers > 0 && (route.changed || due) {
			route.evaluate()
			route.changed, changed = false, true
		}
	}
	if changed {
		e.allFailureOdds = e.evaluateAll()
	}
	if due {
		e.evaluatedAt = now
		if e.slow.changed {
			e.slow.evaluate()
		}
	}
}

// worst returns the greatest logarithm of a likelihood ratio against the version.
func (e *evidence) worst() float64 {
	worst := max(e.allFailureOdds, e.slow.allOdds)
	for i, route := range e.routes {
		worst = max(worst, route.failureOdds, e.slow.odds[i])
	}
	return worst
}

// slowest returns the greatest logarithm of a likelihood ratio for a slower version.
func (e *evidence) slowest() float64 {
	return slices.Max(append(slices.Clone(e.slow.odds), e.slow.allOdds))
}

// limit is the logarithm of the likelihood ratio at which the version is reverted, and suspicion
// that from which it is not shifted or completed. Both account for the number of tests.
func (e *evidence) limit() float64     { return math.Log(float64(2*(len(e.routes)+1)) / falseRevert) }
func (e *evidence) suspicion() float64 { return math.Log(suspicion * float64(len(e.routes)+1)) }

// coversRoutes reports whether each route with a part of the answers worth mentioning has some
// of the version.
func (e *evidence) coversRoutes() bool {
	var all uint64
	for _, route := range e.routes {
		all += route.current.answers
	}
	for _, route := range e.routes {
		if float64(route.current.answers) > routeShare*float64(all) && route.target.answers < minRouteAnswers {
			return false
		}
	}
	return true
}

// describe returns the figures behind a change of phase.
func (e *evidence) describe() string {
	text := fmt.Sprintf("%d answers, %d failed, odds of failures %.1f, of slowness %.1f",
		e.target.answers, e.target.failures, e.allFailureOdds, e.slow.allOdds)
	worst, at := 0.0, -1
	for i, route := range e.routes {
		if odds := max(route.failureOdds, e.slow.odds[i]); odds > worst {
			worst, at = odds, i
		}
	}
	if at >= 0 {
		route := e.routes[at]
		text += fmt.Sprintf("; route %d: %d of %d failed, current %d of %d, odds %.1f, of slowness %.1f", route.id,
			route.target.failures, route.target.answers, route.current.failures, route.current.answers, route.failureOdds, e.slow.odds[at])
	}
	return text
}
