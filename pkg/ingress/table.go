package ingress

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Table is the compiled form of one Config for the path of a request. It is
// safe for concurrent use.
type Table struct {
	config *Config
	// hosts maps a host to its routes, longest prefix first.
	hosts map[string][]*Route
	keys  map[string]*Organisation
}

// NewTable compiles a configuration, which must not be changed afterwards.
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

// Config returns the configuration that the table was compiled from.
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

// Organisation returns the organisation that holds a key, or nil.
func (t *Table) Organisation(key string) *Organisation {
	if key == "" {
		return nil
	}
	return t.keys[key]
}

// Targets returns the latency targets of the stream routes: the largest time to
// the first event and the smallest time between events, 0 without stream routes.
// Requests whose own goal is shorter go first where their tier allows it.
func (c *Config) Targets() (first, gap time.Duration) {
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Kind != Stream || r.Goal <= 0 {
			continue
		}
		first = max(first, r.Goal)
		if r.GapGoal > 0 && (gap == 0 || r.GapGoal < gap) {
			gap = r.GapGoal
		}
	}
	return first, gap
}

// PickBackend chooses a service of the route by weight. draw is uniform in [0, 1).
func (r *Route) PickBackend(draw float64) string {
	total := 0.0
	for _, b := range r.Backends {
		total += b.Weight
	}
	left := draw * total
	for _, b := range r.Backends {
		if left -= b.Weight; left < 0 && b.Weight > 0 {
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
