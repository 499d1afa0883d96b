package ingress

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// outageGap is the time without a successful listing after which entries may have
	// expired because the store was unreachable, and not because their upstreams ended.
	outageGap = 2500 * time.Millisecond
	// reappearGrace is how long after an outage expired entries are kept, so that
	// their upstreams can register again.
	reappearGrace = 2 * time.Second
	// leftRetention is how long a leaving incarnation is remembered after its removal,
	// far longer than a write to the store may be delayed.
	leftRetention = 10 * time.Minute
)

// Registry tracks the upstreams through successive listings of the store. Leaving is
// permanent: an incarnation that was listed as leaving stays leaving for as long as
// it is known, even if a later listing shows it as ready. An incarnation that is no
// longer listed is removed, but after an outage only once reappearGrace has passed.
// It is used again if it is listed again, since its entry may only have expired,
// unless it was leaving.
type Registry struct {
	upstreams map[string]*registration
	// left are the leaving incarnations that were removed, by name, with the time of
	// their removal. A late write may list one of them again as ready.
	left   map[string]time.Duration
	listed bool
	// listedAt is when the newest successful listing began.
	listedAt time.Duration
	// graceUntil is the time until which entries missing from a listing are kept.
	graceUntil time.Duration
}

type registration struct {
	Upstream
	// draining is true once a listing showed the upstream as leaving.
	draining bool
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{upstreams: map[string]*registration{}, left: map[string]time.Duration{}}
}

// Observe updates the registry from a listing that began at started and ended at now.
// A listing that began before the newest one is ignored. Observe returns true if the
// upstreams or their attributes changed.
func (r *Registry) Observe(started, now time.Duration, list []Upstream) (changed bool) {
	if r.newerThan(started) {
		return false
	}
	if r.listed && started-r.listedAt >= outageGap {
		r.graceUntil = now + reappearGrace
	}
	r.listed, r.listedAt = true, started
	maps.DeleteFunc(r.left, func(_ string, removed time.Duration) bool { return now-removed > leftRetention })
	current := map[string]bool{}
	incarnations := map[string]string{}
	for i := range list {
		name := list[i].Name()
		current[name] = true
		incarnations[list[i].ID] = list[i].Incarnation
		changed = r.observeEntry(name, list[i]) || changed
	}
	for name, known := range r.upstreams {
		if current[name] {
			continue
		}
		newer, replaced := incarnations[known.ID]
		replaced = replaced && newer != known.Incarnation
		if replaced || now >= r.graceUntil {
			if known.draining {
				r.left[name] = now
			}
			delete(r.upstreams, name)
			changed = true
		}
	}
	return changed
}

// newerThan reports whether the newest listing began after the given time.
func (r *Registry) newerThan(started time.Duration) bool { return r.listed && started < r.listedAt }

// newestListing returns when the newest listing began, or now if there is none.
func (r *Registry) newestListing(now time.Duration) time.Duration {
	if !r.listed {
		return now
	}
	return r.listedAt
}

func (r *Registry) observeEntry(name string, u Upstream) (changed bool) {
	known, ok := r.upstreams[name]
	if !ok {
		if _, left := r.left[name]; left {
			u.Leaving = true
		}
		r.upstreams[name] = &registration{Upstream: u, draining: u.Leaving}
		return true
	}
	if known.draining {
		u.Leaving = true
	}
	old := known.Upstream
	known.Upstream, known.draining = u, u.Leaving
	// The remaining warm-up time decreases with each listing and is no change.
	old.ColdLeft = u.ColdLeft
	return old != u
}

// Upstreams returns the known upstreams, including leaving ones, ordered by name.
func (r *Registry) Upstreams() []Upstream {
	var out []Upstream
	for _, name := range slices.Sorted(maps.Keys(r.upstreams)) {
		out = append(out, r.upstreams[name].Upstream)
	}
	return out
}

// Digest identifies the content of a listing, independent of its order. The remaining
// warm-up time is excluded, since it decreases from listing to listing. Peers compare
// digests, which depend on the name and the field names of Upstream.
func Digest(list []Upstream) uint64 {
	sum := uint64(len(list))
	for _, u := range list {
		u.ColdLeft = 0
		sum += xxhash.Sum64String(fmt.Sprintf("%#v", u))
	}
	return sum
}
