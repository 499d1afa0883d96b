package routing

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"
	"k8s.io/apimachinery/pkg/labels"
	"pgregory.net/rapid"

	_ "github.com/citrongate/citrongate/internal/fixedseed"

	"github.com/citrongate/citrongate/pkg/configstate"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

func meta(kind, name string, labels map[string]string) *pb.ObjectMeta {
	return &pb.ObjectMeta{Kind: kind, Name: name, Labels: labels}
}

func tier(name string, rank uint32) *pb.Object {
	return &pb.Object{Meta: meta(configstate.KindTier, name, nil), Spec: &pb.Object_Tier{Tier: &pb.TierSpec{Rank: rank}}}
}

func kind(name, tier string, model bool, l map[string]string) *pb.Object {
	return &pb.Object{Meta: meta(configstate.KindRequestKind, name, l),
		Spec: &pb.Object_RequestKind{RequestKind: &pb.RequestKindSpec{Tier: tier, ModelCall: model}}}
}

func organisation(name string, l map[string]string, allowed ...string) *pb.Object {
	return &pb.Object{Meta: meta(configstate.KindOrganisation, name, l),
		Spec: &pb.Object_Organisation{Organisation: &pb.OrganisationSpec{AllowedKinds: allowed}}}
}

func upstream(name, kind string, l map[string]string, models ...string) *pb.Object {
	return &pb.Object{Meta: meta(configstate.KindUpstream, name, l),
		Spec: &pb.Object_Upstream{Upstream: &pb.UpstreamSpec{Address: "127.0.0.1:1", Type: kind, FailureDomain: "z", Models: models}}}
}

func routeObject(name string, order uint32, requests, upstreams string) *pb.Object {
	return &pb.Object{Meta: meta(configstate.KindRoute, name, nil),
		Spec: &pb.Object_Route{Route: &pb.RouteSpec{Order: order, Requests: requests, Upstreams: upstreams}}}
}

// naiveResolve is a reference implementation that matches every selector for every
// request. It returns the route and the names of the eligible upstreams, or the type
// of the error.
func naiveResolve(set *configstate.Set, r Request) (string, []string, *errorx.Type) {
	k, o := set.Kinds[r.Kind], set.Organisations[r.Organisation]
	if k == nil {
		return "", nil, ErrUnknownKind
	}
	if o == nil {
		return "", nil, ErrUnknownOrganisation
	}
	if allowed := o.GetOrganisation().AllowedKinds; len(allowed) > 0 && !slices.Contains(allowed, r.Kind) {
		return "", nil, ErrForbidden
	}
	isModel := k.GetRequestKind().ModelCall
	served := false
	for _, u := range set.Upstreams {
		served = served || u.GetUpstream().Type == "engine" && slices.Contains(u.GetUpstream().Models, r.Model)
	}
	if isModel && !served || !isModel && r.Model != "" {
		return "", nil, ErrUnknownModel
	}
	all := labels.Set{}
	for _, l := range []map[string]string{r.Labels, k.Meta.Labels, o.Meta.Labels, {"kind": r.Kind, "organisation": r.Organisation, "tier": k.GetRequestKind().Tier}} {
		for key, value := range l {
			all[key] = value
		}
	}
	delete(all, "model")
	if r.Model != "" {
		all["model"] = r.Model
	}
	best := ""
	for name, rt := range set.Routes {
		s, _ := labels.Parse(rt.GetRoute().Requests)
		order := rt.GetRoute().Order
		if s.Matches(all) && (best == "" || order < set.Routes[best].GetRoute().Order || order == set.Routes[best].GetRoute().Order && name < best) {
			best = name
		}
	}
	if best == "" {
		return "", nil, ErrNoRoute
	}
	return best, naiveUpstreams(set, best, isModel, r.Model), nil
}

func naiveUpstreams(set *configstate.Set, route string, isModel bool, model string) []string {
	s, _ := labels.Parse(set.Routes[route].GetRoute().Upstreams)
	var out []string
	for name, u := range set.Upstreams {
		spec := u.GetUpstream()
		l := labels.Set{"name": name, "type": spec.Type, "failure-domain": spec.FailureDomain}
		for key, value := range u.Meta.Labels {
			l[key] = value
		}
		if s.Matches(l) && isModel == (spec.Type == "engine") && (!isModel || slices.Contains(spec.Models, model)) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

var (
	drawValue    = rapid.SampledFrom([]string{"a", "b", "c"})
	drawSelector = rapid.Custom(func(t *rapid.T) string {
		key := rapid.SampledFrom([]string{"x", "y", "kind", "organisation", "tier", "model", "name", "type"}).Draw(t, "key")
		value := rapid.SampledFrom([]string{"a", "b", "c", "k0", "k1", "o0", "gold", "m0", "u1", "engine"}).Draw(t, "value")
		form := rapid.SampledFrom([]string{"%s=%s", "%s!=%s", "%s in (%s,a)", "%s notin (%s)", "%s", "!%s"}).Draw(t, "form")
		if !strings.Contains(form[2:], "%") {
			return fmt.Sprintf(form, key)
		}
		return fmt.Sprintf(form, key, value)
	})
	drawLabels = rapid.MapOfN(rapid.SampledFrom([]string{"x", "y"}), drawValue, 0, 2)
)

func drawSet(t *rapid.T) *configstate.Set {
	objects := []*pb.Object{tier("gold", 0), tier("iron", 1)}
	for i := range 3 {
		objects = append(objects, kind(fmt.Sprintf("k%d", i), rapid.SampledFrom([]string{"gold", "iron"}).Draw(t, "tier"), i != 2, drawLabels.Draw(t, "labels")))
	}
	objects = append(objects, organisation("o0", drawLabels.Draw(t, "labels")), organisation("o1", nil, "k1"))
	for i := range rapid.IntRange(1, 8).Draw(t, "upstreams") {
		name, l := fmt.Sprintf("u%d", i), drawLabels.Draw(t, "labels")
		if i%4 == 3 {
			objects = append(objects, upstream(name, "service", l))
			continue
		}
		models := rapid.SliceOfN(rapid.SampledFrom([]string{"m0", "m1"}), 0, 2).Draw(t, "models")
		objects = append(objects, upstream(name, "engine", l, models...))
	}
	for i := range rapid.IntRange(0, 4).Draw(t, "routes") {
		requests := strings.Join(rapid.SliceOfN(drawSelector, 0, 2).Draw(t, "requests"), ",")
		upstreams := strings.Join(rapid.SliceOfN(drawSelector, 0, 1).Draw(t, "upstreams"), ",")
		objects = append(objects, routeObject(fmt.Sprintf("r%d", i), uint32(rapid.IntRange(0, 2).Draw(t, "order")), requests, upstreams))
	}
	return configstate.NewSet(1, objects)
}

func drawRequest(t *rapid.T) Request {
	return Request{
		Kind:         rapid.SampledFrom([]string{"k0", "k1", "k2", "none"}).Draw(t, "kind"),
		Organisation: rapid.SampledFrom([]string{"o0", "o1", "none"}).Draw(t, "organisation"),
		Model:        rapid.SampledFrom([]string{"", "m0", "m1", "m2"}).Draw(t, "model"),
		Labels:       drawLabels.Draw(t, "labels"),
	}
}

// upstreamNames returns the names of the upstreams of a target's class.
func upstreamNames(table *Table, target Target) []string {
	pool := table.Pool(target.Pool)
	i, ok := pool.ClassIndex(target.Class)
	if !ok {
		return nil
	}
	var out []string
	for _, u := range pool.Classes[i].Upstreams {
		out = append(out, pool.Upstreams[u].Name)
	}
	return out
}

// TestResolveAgainstNaive guards against a compiled table, with or without a cached
// result, whose target differs from that of the reference implementation, and
// against an explanation that contradicts the target.
func TestResolveAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := drawSet(t)
		table, err := Build(set)
		require.NoError(t, err)
		for range rapid.IntRange(1, 20).Draw(t, "requests") {
			r := drawRequest(t)
			wantRoute, wantNames, wantErr := naiveResolve(set, r)
			for range 2 {
				target, err := table.Resolve(r)
				if wantErr != nil || len(wantNames) == 0 {
					require.Error(t, err)
					if wantErr == nil {
						wantErr = ErrNoRoute
					}
					require.True(t, errorx.IsOfType(err, wantErr), "%v", err)
					continue
				}
				require.NoError(t, err)
				require.Equal(t, wantRoute, target.Route)
				require.Equal(t, wantNames, upstreamNames(table, target))
				require.Equal(t, set.Tiers[set.Kinds[r.Kind].GetRequestKind().Tier].GetTier().Rank, uint32(target.Tier))
			}
			checkExplanation(t, table.Explain(r), wantRoute, wantNames)
		}
	})
}

func checkExplanation(t require.TestingT, e Explanation, wantRoute string, wantNames []string) {
	if wantRoute == "" {
		return
	}
	var eligible []string
	for _, rt := range e.Routes {
		require.Equal(t, rt.Route == wantRoute, rt.Chosen)
		require.False(t, rt.Chosen && rt.Failed != "")
	}
	for _, u := range e.Upstreams {
		if u.Failed == "" {
			eligible = append(eligible, u.Upstream)
		}
	}
	require.Equal(t, wantNames, eligible)
}

// naiveComponents maps each used upstream to the smallest name in its connected
// component, by propagating names until nothing changes.
func naiveComponents(set *configstate.Set) map[string]string {
	component := map[string]string{}
	for changed := true; changed; {
		changed = false
		for route := range set.Routes {
			for _, model := range []string{"", "m0", "m1"} {
				group := naiveUpstreams(set, route, model != "", model)
				smallest := ""
				for _, u := range group {
					if component[u] == "" {
						component[u], changed = u, true
					}
					if smallest == "" || component[u] < smallest {
						smallest = component[u]
					}
				}
				for _, u := range group {
					changed = changed || component[u] != smallest
					component[u] = smallest
				}
			}
		}
	}
	return component
}

// TestPoolsAreConnectedComponents guards against two pools with the same upstream, a
// pool that joins unrelated upstreams, and instances that compute different pool ids
// from the same configuration.
func TestPoolsAreConnectedComponents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := drawSet(t)
		table, err := Build(set)
		require.NoError(t, err)
		rebuilt, err := Build(configstate.NewSet(1, set.Objects()))
		require.NoError(t, err)
		require.Equal(t, table.Pools(), rebuilt.Pools())
		component := naiveComponents(set)
		poolOf := map[string]PoolID{}
		for _, p := range table.Pools() {
			for _, u := range p.Upstreams {
				require.NotContains(t, poolOf, u.Name)
				poolOf[u.Name] = p.ID
			}
			require.True(t, slices.IsSortedFunc(p.Classes, func(a, b Class) int { return strings.Compare(fmt.Sprintf("%020d", a.ID), fmt.Sprintf("%020d", b.ID)) }))
		}
		require.Len(t, poolOf, len(component))
		for a := range component {
			for b := range component {
				require.Equal(t, component[a] == component[b], poolOf[a] == poolOf[b], "%s %s", a, b)
			}
		}
	})
}

// TestBuildCellAndExplain guards against routing to an upstream of another cell, and
// against an explanation that does not name the requirement that is not met.
func TestBuildCellAndExplain(t *testing.T) {
	far := upstream("far", "engine", map[string]string{"team": "fx"}, "m0")
	far.GetUpstream().FailureDomain = "y"
	set := configstate.NewSet(3, []*pb.Object{
		tier("gold", 0), kind("k", "gold", true, nil), organisation("o", map[string]string{"team": "fx"}), far,
		upstream("near", "engine", map[string]string{"team": "fx"}, "m0"), upstream("other", "engine", map[string]string{"team": "rates"}, "m0"),
		upstream("small", "engine", map[string]string{"team": "fx"}, "m1"), upstream("ledger", "service", map[string]string{"team": "fx"}),
		routeObject("first", 1, "team=rates", ""), routeObject("second", 2, "team=fx,!canary", "team=fx"),
	})
	table, err := BuildCell(set, []string{"z"})
	require.NoError(t, err)
	require.Equal(t, uint64(3), table.Revision())
	request := Request{Kind: "k", Organisation: "o", Model: "m0", Labels: map[string]string{"team": "rates"}}
	target, err := table.Resolve(request)
	require.NoError(t, err)
	require.Equal(t, []string{"near"}, upstreamNames(table, target), "the organisation's label overrides the caller's")
	e := table.Explain(request)
	require.Equal(t, "fx", e.Labels["team"])
	require.Equal(t, []RouteExplanation{{Route: "first", Order: 1, Failed: "team=rates"}, {Route: "second", Order: 2, Chosen: true}}, e.Routes)
	require.Equal(t, []UpstreamExplanation{
		{"ledger", "type engine, since request kind k has model_call true"}, {"near", ""}, {"other", "team=fx"}, {"small", `serves model "m0"`},
	}, e.Upstreams)
	request.Labels["canary"] = "yes"
	_, err = table.Resolve(request)
	require.Equal(t, "no_route", Code(err))
	require.Equal(t, Requirement("!canary"), table.Explain(request).Routes[1].Failed)
}
