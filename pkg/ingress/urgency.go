package ingress

import (
	"cmp"
	"maps"
	"slices"
)

// maxRank is the largest rank of a tier; requests that are less urgent share it.
const maxRank = 15

// urgency orders requests: first by the priority of the organisation, or that of the
// route if the organisation has none, and then by the priority of the route. So the
// routes of organisations with one priority keep their order among each other.
type urgency struct{ priority, route int }

func urgencyOf(r *Route, priority int) urgency { return urgency{priority, r.Priority} }

// compareUrgency orders by urgency, the most urgent first.
func compareUrgency(a, b urgency) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.route, b.route))
}

// kindPriorities returns the priorities that requests of a route may have, ascending:
// that of the route and those that organisations set.
func kindPriorities(config *Config, r *Route) []int {
	priorities := map[int]bool{r.Priority: true}
	for _, o := range config.Organisations {
		if o.HasPriority {
			priorities[o.Priority] = true
		}
	}
	return slices.Sorted(maps.Keys(priorities))
}

// tierRanks numbers the urgencies of a configuration from 0, the most urgent.
func tierRanks(config *Config) map[urgency]int {
	ranks := map[urgency]int{}
	for i := range config.Routes {
		r := &config.Routes[i]
		for _, priority := range kindPriorities(config, r) {
			ranks[urgencyOf(r, priority)] = 0
		}
	}
	for rank, u := range slices.SortedFunc(maps.Keys(ranks), compareUrgency) {
		ranks[u] = min(rank, maxRank)
	}
	return ranks
}
