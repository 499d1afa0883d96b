package ingress

import "time"

// State is what an instance has of the store: the configuration in force and the
// upstreams of its listings. It is not safe for concurrent use.
type State struct {
	Tracker  Tracker
	Registry *Registry
	// listing is the newest one, digest its digest.
	listing []Upstream
	digest  uint64
}

// NewState returns a state without configuration and upstreams.
func NewState() State { return State{Registry: NewRegistry()} }

// ObserveConfig takes in a configuration that a read begun at started returned.
// version is the one in force, which ok says the read has shown. With changed
// the state is to be put in force.
func (s *State) ObserveConfig(started time.Duration, config *Config) (version uint64, changed, ok bool) {
	changed = s.Tracker.Observe(started, config) != nil
	version = s.Tracker.Table().Config().Version
	return version, changed, config.Version == version
}

// ObserveUpstreams takes in a listing that began at started and ended at now.
func (s *State) ObserveUpstreams(started, now time.Duration, list []Upstream) (digest uint64, changed bool) {
	s.listing, s.digest = list, Digest(list)
	return s.digest, s.register(started, now)
}

// ConfirmUpstreams takes in that the store had a listing with the digest at the
// time at, as another instance tells; ok is false if the newest one is another.
func (s *State) ConfirmUpstreams(at, now time.Duration, digest uint64) (changed, ok bool) {
	if digest != s.digest {
		return false, false
	}
	return s.register(at, now), true
}

// register returns false before the first configuration, since upstreams alone
// can not be put in force.
func (s *State) register(started, now time.Duration) (changed bool) {
	return s.Registry.Observe(started, now, s.listing) && s.Tracker.Table() != nil
}
