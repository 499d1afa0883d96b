package main

import (
	"slices"
	"time"

	"github.com/citrongate/citrongate/internal/simtest"
)

// Faults of gateways start within this window, so that most are active while the
// configuration changes.
const (
	gatewayFaultsFrom  = 8 * time.Second
	gatewayFaultsUntil = 14 * time.Second
)

// gatewayFault is one kind of fault.
type gatewayFault struct {
	name   string
	inject func(r *gatewayRun, at time.Duration)
}

var gatewayFaults = []gatewayFault{
	{"freeze", func(r *gatewayRun, at time.Duration) {
		r.scheduleFault(at, 1200, 9000, func() func() {
			i := r.randomGateway()
			r.world.Pause(i)
			from := r.world.Loop.Now()
			return func() {
				r.processes[i].pausedTime += r.world.Loop.Now() - from
				r.world.Resume(i)
			}
		})
	}},
	{"kill", func(r *gatewayRun, at time.Duration) {
		r.scheduleFault(at, 300, 3000, func() func() {
			i := r.randomGateway()
			r.world.Kill(i)
			return func() { r.restart(i) }
		})
	}},
	{"store-cut", func(r *gatewayRun, at time.Duration) {
		r.scheduleFault(at, 3000, 10000, func() func() {
			i := r.randomGateway()
			r.setStoreUnreachable(i, true)
			return func() { r.setStoreUnreachable(i, false) }
		})
	}},
	{"store-outage", func(r *gatewayRun, at time.Duration) {
		r.scheduleFault(at, 3000, 8000, func() func() {
			r.setStoreOutage(true)
			r.world.Loop.After(time.Second, func() { r.store.entriesLapsed = true })
			return func() {
				r.setStoreOutage(false)
				r.world.Loop.After(randomMillis(r.random, 200, 1500), func() { r.store.entriesLapsed = false })
			}
		})
	}},
	{"slow-store", func(r *gatewayRun, at time.Duration) {
		r.scheduleFault(at, 3000, 9000, func() func() {
			r.store.maxExtraLatency = randomMillis(r.random, 500, 4500)
			return func() { r.store.maxExtraLatency = 0 }
		})
	}},
	{"rewind", func(r *gatewayRun, at time.Duration) {
		r.scheduleFault(at, 3000, 9000, func() func() {
			r.store.rewindProbability = 0.5
			return func() { r.store.rewindProbability = 0 }
		})
	}},
	{"cut-off", func(r *gatewayRun, at time.Duration) {
		r.scheduleFault(at, 2000, 9000, func() func() {
			i := r.randomGateway()
			r.split(func(other *simtest.Instance) bool { return other == i })
			return r.world.Heal
		})
	}},
	{"halves", func(r *gatewayRun, at time.Duration) {
		r.scheduleFault(at, 2000, 9000, func() func() {
			live := r.world.Live()
			r.split(func(other *simtest.Instance) bool { return slices.Index(live, other) < len(live)/2 })
			return r.world.Heal
		})
	}},
	{"loss", func(r *gatewayRun, at time.Duration) {
		r.scheduleFault(at, 1000, 4000, func() func() {
			r.world.Loss = 0.05 + 0.2*r.random.Float64()
			return func() { r.world.Loss = 0 }
		})
	}},
	{"newcomers", func(r *gatewayRun, at time.Duration) {
		r.scheduleFault(at, 500, 2000, func() func() {
			r.startGateway()
			return func() { r.startGateway() }
		})
	}},
	{"power-loss", func(r *gatewayRun, _ time.Duration) {
		// Just after the acknowledgement of the change.
		r.scheduleFault(gatewayChangeAt+randomMillis(r.random, 1, 30), 300, 2500, func() func() {
			return r.restartAll()
		})
	}},
	{"restart-in-outage", func(r *gatewayRun, at time.Duration) {
		r.scheduleFault(at, 2000, 9000, func() func() {
			r.setStoreOutage(true)
			r.world.Loop.After(randomMillis(r.random, 200, 1000), r.restartAll())
			return func() { r.setStoreOutage(false) }
		})
	}},
}

// setStoreOutage starts or ends an outage of the store, for all that instances read there.
func (r *gatewayRun) setStoreOutage(on bool) {
	r.store.outage = on
	r.world.Platform.SetOutage(on)
}

// setStoreUnreachable cuts an instance off from the store, or reconnects it.
func (r *gatewayRun) setStoreUnreachable(i *simtest.Instance, on bool) {
	r.store.unreachableFrom[i.Address] = on
	r.world.PlatformUnreachable[i.Address] = on
}

// restartAll kills all instances and returns a function that starts them again.
func (r *gatewayRun) restartAll() (restart func()) {
	live := r.world.Live()
	for _, i := range live {
		r.world.Kill(i)
	}
	return func() {
		for _, i := range live {
			r.restart(i)
		}
	}
}

// scheduleFault begins a fault at a time and ends it low to high milliseconds later.
func (r *gatewayRun) scheduleFault(at time.Duration, low, high int, begin func() (end func())) {
	until := at + randomMillis(r.random, low, high)
	r.lastFaultEnd = max(r.lastFaultEnd, until)
	r.world.Loop.At(at, func() {
		if len(r.world.Live()) > 0 {
			r.world.Loop.At(until, begin())
		}
	})
}

// split cuts the paths between the instances for which side is true and the rest.
func (r *gatewayRun) split(side func(*simtest.Instance) bool) {
	for _, a := range r.world.Live() {
		for _, b := range r.world.Live() {
			if side(a) != side(b) {
				r.world.Cut(a.Address, b.Address)
			}
		}
	}
}
