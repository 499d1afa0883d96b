package main

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/citrongate/citrongate/internal/simtest"
)

// fault is one kind of fault; inject schedules it on the run's loop.
type fault struct {
	name   string
	inject func(r *run, random *rand.Rand, at time.Duration)
}

// Faults start within this window, after the deployment has settled and while
// requests arrive.
const (
	faultsFrom  = 7 * time.Second
	faultsUntil = 16 * time.Second
)

var faults = []fault{
	{"kill", func(r *run, random *rand.Rand, at time.Duration) {
		r.at(at, func() { r.world.Kill(r.pickVictim(random)) })
	}},
	{"restart", func(r *run, random *rand.Rand, at time.Duration) {
		r.at(at, func() {
			i := r.pickVictim(random)
			r.world.Kill(i)
			r.at(at+randomMillis(random, 500, 2500), func() { r.world.Restart(i) })
		})
	}},
	{"pause", func(r *run, random *rand.Rand, at time.Duration) {
		r.at(at, func() {
			if random.Float64() < 0.5 {
				r.pauseFor(r.pickVictim(random), randomMillis(random, 1200, 5000))
				return
			}
			// The worst moment for a lease: an order is about to be sent.
			length := randomMillis(random, 3000, 6000)
			r.world.OnOrder = func(i *simtest.Instance) {
				r.world.OnOrder = nil
				r.pauseFor(i, length)
			}
		})
	}},
	{"one-way-cut", func(r *run, random *rand.Rand, at time.Duration) {
		r.at(at, func() {
			from := r.pickVictim(random)
			for _, to := range r.world.Live() {
				if to != from && random.Float64() < 0.6 {
					r.world.Cut(from.Address, to.Address)
				}
			}
			r.at(at+randomMillis(random, 500, 4000), r.world.Heal)
		})
	}},
	{"loss", func(r *run, random *rand.Rand, at time.Duration) {
		for n := range 2 {
			start := at + time.Duration(n)*3*time.Second
			r.at(start, func() { r.world.Loss = 0.1 + 0.4*random.Float64() })
			r.at(start+randomMillis(random, 300, 1000), func() { r.world.Loss = 0 })
		}
	}},
	{"store-outage", func(r *run, random *rand.Rand, at time.Duration) {
		r.at(at, func() { r.world.Platform.SetOutage(true) })
		r.at(at+randomMillis(random, 1000, 6000), func() { r.world.Platform.SetOutage(false) })
	}},
	{"slow-store", func(r *run, random *rand.Rand, at time.Duration) {
		r.at(at, func() { r.world.Platform.AddedLatency = randomMillis(random, 500, 4000) })
		r.at(at+randomMillis(random, 2000, 6000), func() { r.world.Platform.AddedLatency = 0 })
	}},
	{"lost-store-answer", func(r *run, random *rand.Rand, at time.Duration) {
		r.at(at, func() { r.world.Platform.LoseAnswers = 0.5 })
		r.at(at+randomMillis(random, 2000, 7000), func() { r.world.Platform.LoseAnswers = 0 })
	}},
	{"stale-list", func(r *run, random *rand.Rand, at time.Duration) {
		// The list lags during the whole run: a lag that grew later would make
		// a listed leave invisible, which no reader could notice.
		r.world.Platform.ListLag = randomMillis(random, 300, 1500)
		r.world.Platform.StaleReads, r.world.Platform.StaleReadAge = true, randomMillis(random, 1000, 6000)
	}},
	{"racing-operators", func(r *run, random *rand.Rand, at time.Duration) {
		for range 4 {
			r.at(at+randomMillis(random, 0, 30), func() { r.submitChange(r.randomLive(random), "shared") })
			r.at(at+randomMillis(random, 0, 30), func() { r.submitChange(r.randomLive(random), "") })
		}
	}},
	{"engine-death", func(r *run, random *rand.Rand, at time.Duration) {
		engine := r.world.Engines[[]string{"e1", "e2", "e3"}[random.IntN(3)]]
		r.at(at, engine.Kill)
		r.at(at+randomMillis(random, 500, 4000), engine.Restart)
	}},
	{"connection-cut", func(r *run, random *rand.Rand, at time.Duration) {
		for range 6 {
			r.at(at+randomMillis(random, 0, 3000), func() { r.randomLive(random).BreakUpstreamConnection() })
		}
	}},
}

func randomMillis(random *rand.Rand, low, high int) time.Duration {
	return time.Duration(low+random.IntN(high-low)) * time.Millisecond
}

// pickVictim picks the instance that a fault hits. In 80% of the draws it excludes
// the stopping instance, so that most runs can check the planned stop.
func (r *run) pickVictim(random *rand.Rand) *simtest.Instance {
	live := r.world.Live()
	if random.Float64() < 0.8 {
		live = slices.DeleteFunc(live, func(i *simtest.Instance) bool { return i.Name == drainedName })
	}
	return live[random.IntN(len(live))]
}

func (r *run) pauseFor(i *simtest.Instance, length time.Duration) {
	r.world.Pause(i)
	r.world.Loop.After(length, func() { r.world.Resume(i) })
}

func (r *run) randomLive(random *rand.Rand) *simtest.Instance {
	live := r.world.Live()
	return live[random.IntN(len(live))]
}
