package main

import (
	"time"

	"github.com/citrongate/citrongate/internal/simtest"
	"github.com/citrongate/citrongate/pkg/ingress"
)

const (
	host     = "h"
	oldPath  = "/old/"
	slowPath = "/slow/"
	newPath  = "/new/"

	serverSlots = 8

	// Reads take minLatency plus up to latencySpread.
	minLatency    = 2 * time.Millisecond
	latencySpread = 100 * time.Millisecond
)

var serverNames = []string{"s1", "s2", "s3"}

// configStore is a fake of the store as gateways read it: one configuration with
// two versions, and the entries of the servers.
type configStore struct {
	loop *simtest.Loop
	// changedAt is when the second version was acknowledged; 0 before that.
	changedAt time.Duration
	// outage makes all reads fail, unreachableFrom those of single instances by
	// address. entriesLapsed hides the servers' entries. maxExtraLatency is the most
	// that is added to the latency of a read. With rewindProbability a read returns
	// the first version to a process that has read the second.
	outage, entriesLapsed bool
	unreachableFrom       map[string]bool
	// readSecond holds the incarnations that have read the second version.
	readSecond        map[uint64]bool
	maxExtraLatency   time.Duration
	rewindProbability float64
}

func newConfigStore(loop *simtest.Loop) *configStore {
	return &configStore{loop: loop, unreachableFrom: map[string]bool{}, readSecond: map[uint64]bool{}}
}

func (s *configStore) acknowledgeChange() { s.changedAt = s.loop.Now() }

// readDelayed calls done with the value that get returns after half of the latency.
// If the store is unreachable or the latency exceeds storeTimeout, it calls done
// with false instead, after a further storeTimeout.
func readDelayed[T any](s *configStore, i *simtest.Instance, get func() T, done func(T, bool)) {
	latency := minLatency + time.Duration(s.loop.Rand.Float64()*float64(latencySpread))
	if s.maxExtraLatency > 0 {
		latency += time.Duration(s.loop.Rand.Float64() * float64(s.maxExtraLatency))
	}
	s.loop.After(min(latency/2, storeTimeout), func() {
		if s.outage || s.unreachableFrom[i.Address] || latency > storeTimeout {
			s.loop.After(storeTimeout, func() {
				var none T
				done(none, false)
			})
			return
		}
		result := get()
		s.loop.After(latency/2, func() { done(result, true) })
	})
}

func (s *configStore) config(i *simtest.Instance) *ingress.Config {
	route := func(name, path string, priority int, timeout time.Duration) ingress.Route {
		return ingress.Route{Name: name, Host: host, PathPrefix: path, Kind: ingress.Idempotent, Timeout: timeout, Priority: priority, MaxSends: 2,
			Backends: []ingress.Backend{{Service: "plain", Weight: 1}}}
	}
	organisation := func(name string) ingress.Organisation {
		return ingress.Organisation{Name: name, Keys: []string{name}}
	}
	c := &ingress.Config{
		Version: 1, KeysRequired: true, Services: []ingress.Service{{Name: "plain"}},
		Routes:        []ingress.Route{route("old", oldPath, 1, 3*time.Second), route("slow", slowPath, 2, 12*time.Second)},
		Organisations: []ingress.Organisation{organisation(steady), organisation(overQuota), organisation(underQuota)},
	}
	for i := range c.Organisations {
		if o := &c.Organisations[i]; o.Name != steady {
			o.QuotaPerSecond, o.QuotaBurst = quotaPerSecond, quotaBurst
		}
	}
	if s.changedAt == 0 || s.readSecond[i.Incarnation] && s.loop.Rand.Float64() < s.rewindProbability {
		c.Organisations = append(c.Organisations, organisation(revoked))
		return c
	}
	s.readSecond[i.Incarnation] = true
	c.Version = 2
	c.Routes = append(c.Routes, route("new", newPath, 1, 3*time.Second))
	c.Organisations = append(c.Organisations, organisation(added))
	return c
}

func (s *configStore) upstreams() []ingress.Upstream {
	if s.entriesLapsed {
		return nil
	}
	var out []ingress.Upstream
	for n, name := range serverNames {
		out = append(out, ingress.Upstream{ID: name, Incarnation: "1", Service: "plain", Address: "10.1.0." + string(rune('1'+n)) + ":1", Slots: serverSlots})
	}
	return out
}
