package rollout_test

import (
	"math"
	"math/rand/v2"
	"time"
)

// kind is what is wrong with the version of a simulated order.
type kind struct {
	name                         string
	fails, slow, later, load, on bool // on: on one route only
	trouble                      bool // both versions fail or are slow for a time
}

// good reports whether the version is as good as the current one.
func (k kind) good() bool { return !k.fails && !k.slow }

// route is a request kind of a simulated service.
type route struct {
	weight, baseline float64
	first, total     float64 // seconds to the first token and to the end
	spread           float64 // deviation of the logarithm
}

// Every third upstream of an uneven service takes slowSpeed times the usual time, the others
// fastSpeed times; a fully busy one takes busySlower times as long as an idle one.
const fastSpeed, slowSpeed, busySlower = 0.68, 2.04, 1.3

// scenario is one drawn order with its service.
type scenario struct {
	kind                  kind
	rate, busy            float64
	within                time.Duration
	routes                []route
	upstreams, slots      int
	uneven                bool
	failRate, factor      float64
	badFrom               time.Duration
	badRoute, badInFlight int
	storeDelay            time.Duration
	loseResponses         float64
	killAt                time.Duration // 0: the owner lives
	// An incident makes both versions fail or slow for a time.
	incidentFrom, incidentTo     time.Duration
	incidentFails, incidentSlows float64
}

func draw(rng *rand.Rand, k kind) scenario {
	between := func(low, high float64) float64 { return low + (high-low)*rng.Float64() }
	s := scenario{kind: k, rate: 20 * math.Pow(100, rng.Float64()), busy: between(0.25, 0.7)}
	s.within = time.Duration(between(4, 12) * float64(time.Second))
	work, weights := 0.0, 0.0
	for range 1 + rng.IntN(4) {
		r := route{weight: between(0.2, 1), spread: between(0.1, 0.6)}
		if rng.IntN(2) == 0 {
			r.baseline = between(0, 0.15)
		}
		r.first = math.Exp(between(math.Log(0.02), math.Log(0.6)))
		r.total = r.first
		if rng.IntN(3) == 0 {
			r.total += between(0.2, 2.5)
		}
		work += r.weight * r.total
		weights += r.weight
		s.routes = append(s.routes, r)
	}
	s.slots = 4 + rng.IntN(13)
	s.upstreams = max(2, int(math.Ceil(s.rate*work/weights/s.busy/float64(s.slots))))
	s.uneven = s.upstreams >= 3 && rng.IntN(2) == 0
	s.failRate, s.factor = between(0.1, 0.8), between(2, 6)
	if k.later {
		s.badFrom = time.Duration(between(0.2, 0.7) * float64(s.within))
	}
	s.badRoute = rng.IntN(len(s.routes))
	perUpstream := s.rate * work / weights / float64(s.upstreams)
	s.badInFlight = max(2, int(perUpstream))
	s.storeDelay = time.Duration(between(5, 60) * float64(time.Millisecond))
	if rng.IntN(4) == 0 {
		s.loseResponses = 0.1
	}
	if rng.IntN(6) == 0 {
		s.killAt = time.Duration(between(0.1, 1.1) * float64(s.within))
	}
	if k.trouble {
		s.incidentFrom = time.Duration(between(0.1, 0.7) * float64(s.within))
		s.incidentTo = s.incidentFrom + time.Duration(between(0.5, 2)*float64(time.Second))
		s.incidentSlows = 1
		if rng.IntN(2) == 0 {
			s.incidentFails = between(0.1, 0.5)
		} else {
			s.incidentSlows = between(1.5, 3)
		}
	}
	return s
}

// longest returns how long the longest answers of the current version take.
func (s scenario) longest() time.Duration {
	longest := 0.0
	for _, r := range s.routes {
		longest = max(longest, r.first*math.Exp(2*r.spread)+r.total-r.first)
	}
	if s.uneven {
		longest *= slowSpeed
	}
	return time.Duration(longest * busySlower * float64(time.Second))
}
