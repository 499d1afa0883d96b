package main

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/citrongate/citrongate/internal/simtest"
)

// fault is one kind of fault. It schedules itself on the run's loop.
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
		r.at(at, func() { r.world.Kill(r.victim(random)) })
	}},
	{"restart", func(r *run, random *rand.Rand, at time.Duration) {
		r.at(at, func() {
			i := r.victim(random)
			r.world.Kill(i)
			r.at(at+between(random, 500, 2500), func() { r.world.Restart(i) })
		})
	}},
	{"pause", func(r *run, random *rand.Rand, at time.Duration) {
		r.at(at, func() {
			if random.Float64() < 0.5 {
				r.pause(r.victim(random), between(random, 1200, 5000))
				return
			}
			// The worst moment for a lease: an order is about to be sent.
			length := between(random, 3000, 6000)
			r.world.OnOrder = func(i *simtest.Instance) {
				r.world.OnOrder = nil
				r.pause(i, length)
			}
		})
	}},
	{"one-way-cut", func(r *run, random *rand.Rand, at time.Duration) {
		r.at(at, func() {
			from := r.victim(random)
			for _, to := range r.world.Live() {
				if to != from && random.Float64() < 0.6 {
					r.world.Cut(from.Address, to.Address)
				}
			}
			r.at(at+between(random, 500, 4000), r.world.Heal)
		})
	}},
	{"loss", func(r *run, random *rand.Rand, at time.Duration) {
		for n := range 2 {
			start := at + time.Duration(n)*3*time.Second
			r.at(start, func() { r.world.Loss = 0.1 + 0.4*random.Float64() })
			r.at(start+between(random, 300, 1000), func() { r.world.Loss = 0 })
		}
	}},
	{"store-outage", func(r *run, random *rand.Rand, at time.Duration) {
		r.at(at, func() { r.world.Platform.SetOutage(true) })
		r.at(at+between(random, 1000, 6000), func() { r.world.Platform.SetOutage(false) })
	}},
	{"slow-store", func(r *run, random *rand.Rand, at time.Duration) {
		r.at(at, func() { r.world.Platform.Slow = between(random, 500, 4000) })
		r.at(at+between(random, 2000, 6000), func() { r.world.Platform.Slow = 0 })
	}},
	{"lost-store-answer", func(r *run, random *rand.Rand, at time.Duration) {
		r.at(at, func() { r.world.Platform.LoseAnswers = 0.5 })
		r.at(at+between(random, 2000, 7000), func() { r.world.Platform.LoseAnswers = 0 })
	}},
	{"stale-list", func(r *run, random *rand.Rand, at time.Duration) {
		// The list lags during the whole run: a lag that grew later would make
		// a listed leave invisible, which no reader could notice.
		r.world.Platform.ListLag = between(random, 300, 1500)
		r.world.Platform.Backward, r.world.Platform.ListBack = true, between(random, 1000, 6000)
	}},
	{"racing-operators", func(r *run, random *rand.Rand, at time.Duration) {
		for range 4 {
			r.at(at+between(random, 0, 30), func() { r.change(r.anyLive(random), "shared") })
			r.at(at+between(random, 0, 30), func() { r.change(r.anyLive(random), "") })
		}
	}},
	{"engine-death", func(r *run, random *rand.Rand, at time.Duration) {
		engine := r.world.Engines[[]string{"e1", "e2", "e3"}[random.IntN(3)]]
		r.at(at, engine.Kill)
		r.at(at+between(random, 500, 4000), engine.Restart)
	}},
	{"connection-cut", func(r *run, random *rand.Rand, at time.Duration) {
		for range 6 {
			r.at(at+between(random, 0, 3000), func() { r.anyLive(random).CutConnection() })
		}
	}},
}

func between(random *rand.Rand, low, high int) time.Duration {
	return time.Duration(low+random.IntN(high-low)) * time.Millisecond
}

// victim picks the instance that a fault hits. The drained instance is spared
// in most runs, so that the planned stop is judged.
func (r *run) victim(random *rand.Rand) *simtest.Instance {
	live := r.world.Live()
	if random.Float64() < 0.8 {
		live = slices.DeleteFunc(live, func(i *simtest.Instance) bool { return i.Name == drained })
	}
	return live[random.IntN(len(live))]
}

func (r *run) pause(i *simtest.Instance, length time.Duration) {
	r.world.Pause(i)
	r.world.Loop.After(length, func() { r.world.Resume(i) })
}

func (r *run) anyLive(random *rand.Rand) *simtest.Instance {
	live := r.world.Live()
	return live[random.IntN(len(live))]
}
