package ingress

import "time"

// State is an instance's view of the store: the configuration in force and the
// registered upstreams. It is not safe for concurrent use.
type State struct {
	Tracker  Tracker
	Registry *Registry
	// listing is the newest listing of upstreams and digest its Digest.
	listing []Upstream
	digest  uint64
}

// NewState returns a state without configuration and upstreams.
func NewState() State { return State{Registry: NewRegistry()} }

// ObserveConfig processes a configuration returned by a read that began at started.
// version is the version in force afterwards; ok tells whether the read returned that
// version. If changed is true, the caller must apply the new state.
func (s *State) ObserveConfig(started time.Duration, config *Config) (version uint64, changed, ok bool) {
	changed = s.Tracker.Observe(started, config) != nil
	version = s.Tracker.Table().Config().Version
	return version, changed, config.Version == version
}

// ObserveUpstreams processes a listing that began at started and ended at now. If
// changed is true, the caller must apply the new state.
func (s *State) ObserveUpstreams(started, now time.Duration, list []Upstream) (digest uint64, changed bool) {
	s.listing, s.digest = list, Digest(list)
	return s.digest, s.applyListing(started, now)
}

// ConfirmUpstreams processes the report of another instance that at time at the store
// held a listing with the given digest. ok is false if the newest listing of this
// instance has another digest.
func (s *State) ConfirmUpstreams(at, now time.Duration, digest uint64) (changed, ok bool) {
	if digest != s.digest {
		return false, false
	}
	return s.applyListing(at, now), true
}

// applyListing updates the registry from the newest listing. It returns false before
// the first configuration, since upstreams alone can not be applied.
func (s *State) applyListing(started, now time.Duration) (changed bool) {
	return s.Registry.Observe(started, now, s.listing) && s.Tracker.Table() != nil
}
