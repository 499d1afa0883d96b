package ingress

import (
	"time"

	"github.com/citrongate/citrongate/pkg/rollout"
)

// State is an instance's view of the store: the configuration in force and the
// registered upstreams. It is not safe for concurrent use.
type State struct {
	Tracker  Tracker
	Registry *Registry
	versions versions
	// listing is the newest listing and digest its Digest.
	listing Listing
	digest  uint64
	// orders is the digest of the orders that versions was updated from last.
	orders uint64
}

// NewState returns a state without configuration and upstreams.
func NewState() State {
	return State{Registry: NewRegistry(), versions: versions{services: map[string]*serviceVersions{}}}
}

// ObserveConfig processes a configuration returned by a read that began at started.
// version is the version in force afterwards; ok tells whether the read returned that
// version. If changed is true, the caller must apply the new state.
func (s *State) ObserveConfig(started time.Duration, config *Config) (version uint64, changed, ok bool) {
	changed = s.Tracker.Observe(started, config) != nil
	version = s.Tracker.Table().Config().Version
	return version, changed, config.Version == version
}

// ObserveUpstreams is ObserveListing for a listing without orders.
func (s *State) ObserveUpstreams(started, now time.Duration, list []Upstream) (digest uint64, changed bool) {
	return s.ObserveListing(started, now, Listing{Upstreams: list})
}

// ObserveListing processes a listing that began at started and ended at now. If changed is
// true, the caller must apply the new state.
func (s *State) ObserveListing(started, now time.Duration, l Listing) (digest uint64, changed bool) {
	s.listing, s.digest = l, l.Digest()
	return s.digest, s.applyListing(started, now)
}

// versionsInUse returns for each service the versions of its upstreams that may be used.
func (s *State) versionsInUse() map[string]map[string]bool {
	inUse := map[string]map[string]bool{}
	for _, u := range s.Upstreams() {
		if inUse[u.Service] == nil {
			inUse[u.Service] = map[string]bool{}
		}
		inUse[u.Service][u.Version] = true
	}
	return inUse
}

// Upstreams returns the registered upstreams, including leaving ones, whose version may be
// used, ordered by name.
func (s *State) Upstreams() []Upstream { return s.versions.inUse(s.Registry.Upstreams()) }

// EndRollout processes the report that an order has ended, which may come before the store
// has it. If changed is true, the caller must apply the new state.
func (s *State) EndRollout(service string, order uint64, phase rollout.Phase) (changed bool) {
	return s.versions.end(service, order, phase) && s.Tracker.Table() != nil
}

// Rollouts returns the orders in force, by service, with the upstreams that they concern.
func (s *State) Rollouts() []ServiceRollout { return s.versions.rollouts(s.Registry.Upstreams()) }

// ConfirmUpstreams processes the report of another instance that at time at the store
// held a listing with the given digest. ok is false if the newest listing of this
// instance has another digest.
func (s *State) ConfirmUpstreams(at, now time.Duration, digest uint64) (changed, ok bool) {
	if digest != s.digest {
		return false, false
	}
	return s.applyListing(at, now), true
}

// applyListing updates the registry and the versions from the newest listing. It returns
// false before the first configuration, since upstreams alone can not be applied.
func (s *State) applyListing(started, now time.Duration) (changed bool) {
	if s.Registry.newerThan(started) {
		return false
	}
	inUse, before := s.versionsInUse(), s.Registry.newestListing(now)
	changed = s.Registry.Observe(started, now, s.listing.Upstreams)
	s.versions.observe(now, before, &s.listing, inUse)
	orders := s.listing.Orders.digest()
	changed = changed || orders != s.orders
	s.orders = orders
	return changed && s.Tracker.Table() != nil
}
