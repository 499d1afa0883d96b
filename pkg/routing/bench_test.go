package routing

import (
	"fmt"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/pkg/configstate"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// largeSet is the configuration of one cell at the size expected in two years: 5,000
// upstreams, 18 models, 11,000 organisations and 200 routes. Each upstream selector
// matches 217 or 218 of the upstreams.
func largeSet() *configstate.Set {
	objects := []*pb.Object{tier("gold", 0), tier("silver", 1), tier("iron", 2)}
	for i := range 20 {
		objects = append(objects, kind(fmt.Sprintf("k%d", i), []string{"gold", "silver", "iron"}[i%3], true, nil))
	}
	for i := range 11_000 {
		objects = append(objects, organisation(fmt.Sprintf("o%d", i), map[string]string{"segment": fmt.Sprintf("s%d", i%50)}))
	}
	for i := range 5_000 {
		objects = append(objects, upstream(fmt.Sprintf("u%d", i), "engine", map[string]string{"group": fmt.Sprintf("g%d", i%23)}, fmt.Sprintf("m%d", i%18)))
	}
	for i := range 200 {
		objects = append(objects, routeObject(fmt.Sprintf("r%d", i), uint32(i), fmt.Sprintf("segment=s%d,desk=d%d", i%50, i/50), fmt.Sprintf("group=g%d", i%23)))
	}
	return configstate.NewSet(1, append(objects, routeObject("rest", 1000, "", "")))
}

func warmRequest() Request {
	return Request{Kind: "k1", Organisation: "o7", Model: "m3", Labels: map[string]string{"desk": "d2", "user": "ann"}}
}

// TestResolveWarmDoesNotAllocate guards against allocations for each request whose
// labels are cached.
func TestResolveWarmDoesNotAllocate(t *testing.T) {
	table, err := Build(largeSet())
	require.NoError(t, err)
	r := warmRequest()
	_, err = table.Resolve(r)
	require.NoError(t, err)
	require.Zero(t, testing.AllocsPerRun(1000, func() { _, _ = table.Resolve(r) }))
}

// TestResolveConcurrently guards against data races between callers of Resolve that
// fill the cache.
func TestResolveConcurrently(t *testing.T) {
	table, err := Build(largeSet())
	require.NoError(t, err)
	var wait sync.WaitGroup
	for worker := range 8 {
		wait.Go(func() {
			for i := range 5000 {
				r := warmRequest()
				r.Labels["desk"] = fmt.Sprintf("d%d", (i+worker)%3000)
				first, err1 := table.Resolve(r)
				second, err2 := table.Resolve(r)
				if first != second || (err1 == nil) != (err2 == nil) {
					t.Error("two results for one request")
				}
			}
		})
	}
	wait.Wait()
}

func BenchmarkResolveWarm(b *testing.B) {
	table, err := Build(largeSet())
	require.NoError(b, err)
	r := warmRequest()
	b.ReportAllocs()
	for b.Loop() {
		_, _ = table.Resolve(r)
	}
}

func BenchmarkResolveCold(b *testing.B) {
	table, err := Build(largeSet())
	require.NoError(b, err)
	r := warmRequest()
	for b.Loop() {
		table.cache = newCache()
		_, _ = table.Resolve(r)
	}
}

func BenchmarkBuild(b *testing.B) {
	set := largeSet()
	b.ReportAllocs()
	for b.Loop() {
		_, _ = Build(set)
	}
}
