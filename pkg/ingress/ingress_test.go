package ingress_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/pkg/ingress"
	"github.com/citrongate/citrongate/pkg/routing"
)

func config(version uint64) *ingress.Config {
	return &ingress.Config{
		Version: version, KeysRequired: true,
		Routes: []ingress.Route{
			{Name: "all", Host: "h.example", PathPrefix: "/", Kind: ingress.Idempotent, Priority: 2, Backends: []ingress.Backend{{Service: "plain", Weight: 1}}},
			{Name: "deep", Host: "h.example", PathPrefix: "/a/b/", Kind: ingress.Stream, Priority: 1, ModelCall: true, Backends: []ingress.Backend{{Service: "models", Weight: 1}}},
			{Name: "mid", Host: "h.example", PathPrefix: "/a/", Kind: ingress.NonIdempotent, Priority: 40, Backends: []ingress.Backend{{Service: "plain", Weight: 3}, {Service: "models", Weight: 1}}},
		},
		Services:      []ingress.Service{{Name: "plain"}, {Name: "models", ModelEngine: true, Slots: 10}},
		Organisations: []ingress.Organisation{{Name: "o", Keys: []string{"k1", "k2"}, Priority: 0, HasPriority: true}},
	}
}

// TestLongestPrefix guards against choosing a route with a shorter prefix when routes
// overlap.
func TestLongestPrefix(t *testing.T) {
	table := ingress.NewTable(config(1))
	for path, want := range map[string]string{"/a/b/c": "deep", "/a/b": "mid", "/a/x": "mid", "/z": "all"} {
		require.Equal(t, want, table.Route("H.example", path).Name, path)
	}
	require.Equal(t, "all", table.Route("h.example:8080", "/z").Name)
	require.Nil(t, table.Route("other.example", "/z"))
	require.Equal(t, "o", table.Organisation("k2").Name)
	require.Nil(t, table.Organisation(""))
}

// TestPickBackend guards against requests distributed other than by weight, and
// against requests to a backend with weight 0.
func TestPickBackend(t *testing.T) {
	r := ingress.Route{Backends: []ingress.Backend{{Service: "a", Weight: 3}, {Service: "off", Weight: 0}, {Service: "b", Weight: 1}}}
	require.Equal(t, "a", r.PickBackend(0))
	require.Equal(t, "a", r.PickBackend(0.74))
	require.Equal(t, "b", r.PickBackend(0.76))
	require.Equal(t, "b", r.PickBackend(0.9999))
	require.Empty(t, (&ingress.Route{}).PickBackend(0.5))
}

// TestTrackerNeverGoesBack guards against applying an older configuration, which a
// stale source may return, and against counting it as a confirmation.
func TestTrackerNeverGoesBack(t *testing.T) {
	var tracker ingress.Tracker
	require.NotNil(t, tracker.Observe(time.Second, config(5)))
	require.Nil(t, tracker.Observe(2*time.Second, config(4)))
	require.Equal(t, uint64(5), tracker.Table().Config().Version)
	confirmed := tracker.Confirmation()
	require.True(t, confirmed.Known)
	require.Equal(t, time.Second, confirmed.At, "an older version must confirm nothing")
	require.Nil(t, tracker.Observe(3*time.Second, config(5)))
	confirmed = tracker.Confirmation()
	require.Equal(t, 3*time.Second, confirmed.At)
	require.Nil(t, tracker.Observe(2*time.Second, config(5)))
	confirmed = tracker.Confirmation()
	require.Equal(t, 3*time.Second, confirmed.At, "a slow read must not make the confirmation older")
}

func upstream(id, incarnation string, leaving bool) ingress.Upstream {
	return ingress.Upstream{ID: id, Incarnation: incarnation, Service: "plain", Address: "10.0.0.1:1", Leaving: leaving}
}

func names(r *ingress.Registry) (out []string) {
	for _, u := range r.Upstreams() {
		name := u.Name()
		if u.Leaving {
			name += " leaving"
		}
		out = append(out, name)
	}
	return out
}

// TestRegistry guards against using a server that is draining or whose entry was
// removed. A draining server must not be used again after a stale listing that shows
// it as ready.
func TestRegistry(t *testing.T) {
	r := ingress.NewRegistry()
	at := time.Second
	observe := func(list ...ingress.Upstream) bool {
		at += 600 * time.Millisecond
		return r.Observe(at, at, list)
	}
	require.True(t, observe(upstream("a", "1", false), upstream("b", "1", false)))
	require.False(t, observe(upstream("a", "1", false), upstream("b", "1", false)))
	require.True(t, observe(upstream("a", "1", true), upstream("b", "1", false)))
	require.False(t, observe(upstream("a", "1", false), upstream("b", "1", false)), "a leaving upstream must stay leaving")
	require.Equal(t, []string{"a/1 leaving", "b/1"}, names(r))
	require.True(t, observe(upstream("b", "2", false)))
	require.Equal(t, []string{"b/2"}, names(r), "a new incarnation must replace the old one")
	require.False(t, r.Observe(at-time.Second, at, nil), "an older listing must be ignored")
}

// TestRegistryKeepsLapsedEntries guards against removing all servers when their
// entries expired because the store was unreachable.
func TestRegistryKeepsLapsedEntries(t *testing.T) {
	r := ingress.NewRegistry()
	r.Observe(time.Second, time.Second, []ingress.Upstream{upstream("a", "1", false), upstream("b", "1", false), upstream("c", "1", false)})
	recovered := 20 * time.Second
	r.Observe(recovered, recovered, []ingress.Upstream{upstream("c", "2", false)})
	require.Equal(t, []string{"a/1", "b/1", "c/2"}, names(r), "a restarted server must replace its old incarnation also during the grace period")
	r.Observe(recovered+time.Second, recovered+time.Second, []ingress.Upstream{upstream("a", "1", false), upstream("c", "2", false)})
	require.Equal(t, []string{"a/1", "b/1", "c/2"}, names(r))
	r.Observe(recovered+2100*time.Millisecond, recovered+2100*time.Millisecond, []ingress.Upstream{upstream("a", "1", false), upstream("c", "2", false)})
	require.Equal(t, []string{"a/1", "c/2"}, names(r))
}

// TestObjects guards the translation into the scheduler's objects: each service's
// requests must reach its upstreams at the organisation's priority, and the ids of
// pools and classes must not depend on which upstreams are known.
func TestObjects(t *testing.T) {
	c := config(1)
	list := []ingress.Upstream{
		{ID: "i/1", Incarnation: "x", Service: "plain", Address: "10.0.0.1:1", Slots: 6},
		{ID: "e", Incarnation: "x", Service: "models", Address: "10.0.0.2:1", Slots: 3},
		{ID: "u", Incarnation: "x", Service: "unknown", Address: "10.0.0.3:1"},
	}
	set := ingress.Objects(1, c, list)
	require.Len(t, set.Upstreams, 2)
	require.Equal(t, uint32(10), set.Upstreams["e/x"].GetUpstream().GetConcurrency(), "a model engine must have the slots of its service")
	require.Equal(t, "i/1", ingress.IDOf("i/1/x"))
	table, err := routing.BuildWith(set, routing.Options{IDsBySelector: true})
	require.NoError(t, err)
	route := &c.Routes[1]
	request := routing.Request{Kind: ingress.KindName(route, ingress.PriorityOf(route, &c.Organisations[0])), Organisation: "o",
		Model: ingress.AnyModel, Labels: map[string]string{ingress.LabelService: "models"}}
	target, err := table.Resolve(request)
	require.NoError(t, err)
	require.Equal(t, uint8(0), target.Tier, "the organisation's priority must take precedence")
	more := append(list, ingress.Upstream{ID: "a", Incarnation: "x", Service: "models", Address: "10.0.0.4:1"})
	other, err := routing.BuildWith(ingress.Objects(2, c, more), routing.Options{IDsBySelector: true})
	require.NoError(t, err)
	same, err := other.Resolve(request)
	require.NoError(t, err)
	require.Equal(t, target.Pool, same.Pool)
	require.Equal(t, target.Class, same.Class)
}

// TestLeftUpstreamIsNotUsedAgain guards against an upstream that has left and is used
// again because a late write lists it as ready.
func TestLeftUpstreamIsNotUsedAgain(t *testing.T) {
	r := ingress.NewRegistry()
	at := time.Second
	observe := func(list ...ingress.Upstream) {
		at += 600 * time.Millisecond
		r.Observe(at, at, list)
	}
	observe(upstream("a", "1", false), upstream("b", "1", false))
	observe(upstream("a", "1", true), upstream("b", "1", false))
	observe()
	require.Empty(t, names(r))
	observe(upstream("a", "1", false), upstream("b", "1", false))
	require.Equal(t, []string{"a/1 leaving", "b/1"}, names(r), "an entry that only expired is used again")
	observe(upstream("a", "2", false))
	require.Equal(t, []string{"a/2"}, names(r), "another incarnation")
}

// TestEngineWithoutSlots guards against model calls that find no upstream because the
// engine of their service states no number of slots.
func TestEngineWithoutSlots(t *testing.T) {
	c := &ingress.Config{Version: 1, Services: []ingress.Service{{Name: "models", ModelEngine: true}},
		Routes: []ingress.Route{{Name: "r", Host: "h", PathPrefix: "/", Kind: ingress.Stream, ModelCall: true, Backends: []ingress.Backend{{Service: "models", Weight: 1}}}}}
	set := ingress.Objects(1, c, []ingress.Upstream{{ID: "a", Incarnation: "1", Service: "models", Address: "10.0.0.1:80", FailureDomain: "z", Slots: 3}})
	spec := set.Upstreams["a/1"].GetUpstream()
	require.Equal(t, "engine", spec.GetType())
	require.Equal(t, uint32(3), spec.GetConcurrency(), "the upstream's own number holds")
}
