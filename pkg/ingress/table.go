package ingress

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Table is a Config with indexes for lookups by host, path and key. It is immutable
// and safe for concurrent use.
type Table struct {
	config *Config
	// hosts maps a host to its routes, longest prefix first.
	hosts map[string][]*Route
	keys  map[string]*Organisation
}

// NewTable indexes a configuration, which must not be changed afterwards.
func NewTable(config *Config) *Table {
	t := &Table{
		config: config,
		hosts:  map[string][]*Route{},
		keys:   map[string]*Organisation{},
	}
	for i := range config.Routes {
		r := &config.Routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	for i := range config.Organisations {
		o := &config.Organisations[i]
		for _, key := range o.Keys {
			t.keys[key] = o
		}
	}
	return t
}

// Config returns the configuration that the table was built from.
func (t *Table) Config() *Config { return t.config }

// Route returns the route of the host with the longest prefix of the path, or nil.
func (t *Table) Route(host, path string) *Route {
	host = strings.ToLower(host)
	routes, ok := t.hosts[host]
	if !ok {
		if colon := strings.LastIndexByte(host, ':'); colon > 0 {
			routes = t.hosts[host[:colon]]
		}
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Organisation returns the organisation that a key belongs to, or nil.
func (t *Table) Organisation(key string) *Organisation {
	if key == "" {
		return nil
	}
	return t.keys[key]
}

// Targets returns the latency targets over all stream routes: the largest time to the
// first event and the smallest time between events, 0 without stream routes.
// Requests with a shorter goal of their own go first, as far as their tier allows.
func (c *Config) Targets() (first, gap time.Duration) {
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Kind != Stream || r.Goal <= 0 {
			continue
		}
		first = max(first, r.Goal)
		if r.EventGapGoal > 0 && (gap == 0 || r.EventGapGoal < gap) {
			gap = r.EventGapGoal
		}
	}
	return first, gap
}

// PickBackend selects a service of the route at random by weight. draw is a random
// number, uniform in [0, 1).
func (r *Route) PickBackend(draw float64) string {
	total := 0.0
	for _, b := range r.Backends {
		total += b.Weight
	}
	remaining := draw * total
	for _, b := range r.Backends {
		if remaining -= b.Weight; remaining < 0 && b.Weight > 0 {
			return b.Service
		}
	}
	for _, b := range r.Backends {
		if b.Weight > 0 {
			return b.Service
		}
	}
	return ""
}
