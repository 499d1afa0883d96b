package ingress

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/pkg/configstate"
)

// rankOf returns the rank of the tier in which an organisation's requests on a route are served.
func rankOf(t *testing.T, set *configstate.Set, r *Route, o *Organisation) uint32 {
	t.Helper()
	kind := set.Kinds[KindName(r, PriorityOf(r, o))].GetRequestKind()
	require.NotNil(t, kind)
	return set.Tiers[kind.GetTier()].GetTier().GetRank()
}

// TestRoutesOfOnePriorityKeepTheirOrder guards against organisations with a priority
// whose requests on all routes share one tier, so that the least urgent route competes
// with the most urgent one as an equal.
func TestRoutesOfOnePriorityKeepTheirOrder(t *testing.T) {
	config := &Config{
		Routes: []Route{{Name: "urgent", Priority: 0}, {Name: "usual", Priority: 1}, {Name: "batch", Priority: 2}},
		Organisations: []Organisation{
			{Name: "a", Priority: 1, HasPriority: true}, {Name: "b", Priority: 1, HasPriority: true},
			{Name: "first", Priority: 0, HasPriority: true}, {Name: "none"},
		},
	}
	set := Objects(1, config, nil)
	a, b, first, none := &config.Organisations[0], &config.Organisations[1], &config.Organisations[2], &config.Organisations[3]
	urgent, usual, batch := &config.Routes[0], &config.Routes[1], &config.Routes[2]

	require.Less(t, rankOf(t, set, urgent, a), rankOf(t, set, usual, a))
	require.Less(t, rankOf(t, set, usual, a), rankOf(t, set, batch, a))
	require.Equal(t, rankOf(t, set, urgent, a), rankOf(t, set, urgent, b), "organisations of one priority are equal")
	require.Less(t, rankOf(t, set, batch, first), rankOf(t, set, urgent, a), "the organisation's priority goes first")
	require.Less(t, rankOf(t, set, urgent, none), rankOf(t, set, usual, none), "without a priority the route's counts")
	require.Equal(t, uint32(0), rankOf(t, set, urgent, first))
}

// TestRanksAreBounded guards against ranks that the scheduler has no tier for: the least
// urgent requests share the last one.
func TestRanksAreBounded(t *testing.T) {
	config := &Config{}
	for priority := range 40 {
		config.Routes = append(config.Routes, Route{Name: "r" + string(rune('A'+priority)), Priority: priority * 10})
	}
	set := Objects(1, config, nil)
	before := uint32(0)
	for i := range config.Routes {
		rank := rankOf(t, set, &config.Routes[i], nil)
		require.GreaterOrEqual(t, rank, before)
		require.LessOrEqual(t, rank, uint32(maxRank))
		before = rank
	}
	require.Equal(t, uint32(maxRank), before)
}
