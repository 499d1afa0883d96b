package configstate

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/pkg/store/storetest"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// BenchmarkChange measures one change, from Apply to Done, in a set of the size
// expected in two years: 11,000 organisations and 5,000 upstreams.
func BenchmarkChange(b *testing.B) {
	fake := storetest.New()
	var objects []*pb.Object
	for i := range 11_000 {
		o := organisation(fmt.Sprintf("organisation-%d", i), 1)
		o.Meta.Labels = map[string]string{"segment": fmt.Sprintf("s%d", i%50)}
		o.GetOrganisation().TokenSha256 = []string{fmt.Sprintf("%064x", i)}
		objects = append(objects, o)
	}
	for i := range 5_000 {
		objects = append(objects, &pb.Object{
			Meta: &pb.ObjectMeta{Kind: KindUpstream, Name: fmt.Sprintf("u%d", i), Labels: map[string]string{"group": "g"}},
			Spec: &pb.Object_Upstream{Upstream: &pb.UpstreamSpec{Address: "10.0.0.1:80", Type: "engine", FailureDomain: "z", Models: []string{"m"}}},
		})
	}
	m := New(Config{Incarnation: 1})
	apply := func(id uint64, puts []*pb.Object) {
		m.Apply(0, Change{ID: id, Puts: puts})
		for {
			out := m.TakeOutput()
			if len(out.Done) > 0 {
				require.True(b, out.Done[0].Accepted, out.Done[0].Problems)
				return
			}
			for _, call := range out.Calls {
				m.OnStoreResult(0, call.ID, fake.Execute(call.Op, storetest.None))
			}
		}
	}
	apply(1, objects)
	id := uint64(1)
	for b.Loop() {
		id++
		apply(id, []*pb.Object{organisation("organisation-1", float64(id))})
	}
}
