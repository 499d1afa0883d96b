package ingress

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// outageGap is the time without a successful listing after which entries may
	// have lapsed because the store was away, and not because their upstreams ended.
	outageGap = 2500 * time.Millisecond
	// returnGrace is how long after an outage entries that lapsed may come back.
	returnGrace = 2 * time.Second
)

// Registry keeps the upstreams as successive listings of the store show them.
// A leave is sticky: an incarnation that was seen leaving or gone is not used
// again, unless its entry only lapsed and is listed again as usable.
type Registry struct {
	upstreams map[string]*registered
	listed    bool
	// listedAt is when the newest successful listing began.
	listedAt time.Duration
	// graceUntil is the time until which missing entries are kept.
	graceUntil time.Duration
}

type registered struct {
	Upstream
	// draining is true once the upstream itself was seen to leave.
	draining bool
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{upstreams: map[string]*registered{}} }

// Observe takes in a listing that began at started and ended at now. It returns
// true if the usable upstreams or what is known of them changed.
func (r *Registry) Observe(started, now time.Duration, list []Upstream) (changed bool) {
	if r.listed && started < r.listedAt {
		return false
	}
	if r.listed && started-r.listedAt >= outageGap {
		r.graceUntil = now + returnGrace
	}
	r.listed, r.listedAt = true, started
	current := map[string]bool{}
	incarnations := map[string]string{}
	for i := range list {
		name := list[i].Name()
		current[name] = true
		incarnations[list[i].ID] = list[i].Incarnation
		changed = r.observe(name, list[i]) || changed
	}
	for name, known := range r.upstreams {
		if current[name] {
			continue
		}
		newer, replaced := incarnations[known.ID]
		replaced = replaced && newer != known.Incarnation
		if replaced || now >= r.graceUntil {
			delete(r.upstreams, name)
			changed = true
		}
	}
	return changed
}

func (r *Registry) observe(name string, u Upstream) (changed bool) {
	known, ok := r.upstreams[name]
	if !ok {
		r.upstreams[name] = &registered{Upstream: u, draining: u.Leaving}
		return true
	}
	if known.draining {
		u.Leaving = true
	}
	old := known.Upstream
	known.Upstream, known.draining = u, u.Leaving
	// The time that an upstream stays slow falls with each listing.
	old.ColdLeft = u.ColdLeft
	return old != u
}

// Upstreams returns the upstreams that are not gone, ordered by name.
func (r *Registry) Upstreams() []Upstream {
	var out []Upstream
	for _, name := range slices.Sorted(maps.Keys(r.upstreams)) {
		out = append(out, r.upstreams[name].Upstream)
	}
	return out
}

// Digest identifies the content of a listing in any order. The time that an
// upstream stays slow is left out, since it falls from listing to listing.
func Digest(list []Upstream) uint64 {
	sum := uint64(len(list))
	for _, u := range list {
		u.ColdLeft = 0
		sum += xxhash.Sum64String(fmt.Sprintf("%#v", u))
	}
	return sum
}
