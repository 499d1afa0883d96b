package configstate

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/citrongate/citrongate/pkg/store"
	"github.com/citrongate/citrongate/pkg/store/storetest"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

func organisationWithWeight(i int, weight float64) *pb.Object {
	return &pb.Object{Meta: &pb.ObjectMeta{Kind: KindOrganisation, Name: fmt.Sprintf("organisation-%05d", i)},
		Spec: &pb.Object_Organisation{Organisation: &pb.OrganisationSpec{Weight: weight, TokenSha256: []string{fmt.Sprintf("%064x", i)}}}}
}

// applyChange applies a change at a machine whose store never fails and requires
// that it is accepted.
func applyChange(t require.TestingT, s *storetest.Fake, m *Machine, c Change) {
	m.Apply(0, c)
	for {
		out := m.TakeOutput()
		for _, done := range out.Done {
			require.True(t, done.Accepted, "%v", done.Problems)
		}
		if len(out.Calls) == 0 {
			return
		}
		for _, call := range out.Calls {
			m.OnStoreResult(0, call.ID, s.Execute(call.Op, storetest.None))
		}
	}
}

// catchUp lets one machine catch up with another and returns the bytes received.
func catchUp(now time.Duration, from, to *Machine) (bytes int) {
	to.OnPeerRevision(now, 1, from.Current().Revision)
	for range 200 {
		out := to.TakeOutput()
		if len(out.Pulls) == 0 {
			break
		}
		for _, p := range out.Pulls {
			if push := from.OnPull(p.Message); push != nil {
				bytes += proto.Size(push)
				to.OnPush(now, p.Peer, push)
			}
		}
	}
	return bytes
}

func newPair() (*storetest.Fake, *Machine, *Machine) {
	return storetest.New(), New(Config{Incarnation: 1, IDs: &store.IDSource{}}), New(Config{Incarnation: 2, IDs: &store.IDSource{}})
}

// TestOneObjectChangeSendsDelta guards against sending complete segments for small
// changes. At the target size that sent 126 KB per change to every instance, or
// 5.8 KB/s against a budget of 2 KB/s. At 4,000 changes a day, a tenth of the
// budget allows 4.4 KB per change.
func TestOneObjectChangeSendsDelta(t *testing.T) {
	s, from, to := newPair()
	first := Change{ID: 1}
	for i := range 11_000 {
		first.Puts = append(first.Puts, organisationWithWeight(i, 1))
	}
	applyChange(t, s, from, first)
	catchUp(0, from, to)
	applyChange(t, s, from, Change{ID: 2, Puts: []*pb.Object{organisationWithWeight(5, 2)}})
	require.Less(t, catchUp(time.Second, from, to), 2048*86_400/10/4000)
	require.Equal(t, from.Current().Revision, to.Current().Revision)
	require.Equal(t, 2.0, to.Current().Organisations["organisation-00005"].GetOrganisation().Weight)
}

// TestDeltasAgainstWholeSegments guards against a delta that leaves a deleted
// object in force, or loses or repeats an object: after any changes the pulled
// segments must equal those of the source.
func TestDeltasAgainstWholeSegments(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, from, to := newPair()
		present := map[int]bool{}
		first := Change{ID: 1}
		for i := range 300 {
			first.Puts = append(first.Puts, organisationWithWeight(i, 1))
			present[i] = true
		}
		applyChange(t, s, from, first)
		catchUp(0, from, to)
		for round := range rapid.IntRange(1, 6).Draw(t, "rounds") {
			for range rapid.IntRange(1, 3).Draw(t, "changes") {
				i := rapid.IntRange(0, 310).Draw(t, "object")
				c := Change{ID: 9}
				if present[i] && rapid.Bool().Draw(t, "delete") {
					c.Deletes = []*pb.ObjectMeta{{Kind: KindOrganisation, Name: organisationWithWeight(i, 1).Meta.Name}}
					delete(present, i)
				} else {
					c.Puts = []*pb.Object{organisationWithWeight(i, rapid.Float64Range(1, 9).Draw(t, "weight"))}
					present[i] = true
				}
				applyChange(t, s, from, c)
			}
			catchUp(time.Duration(round+1)*time.Second, from, to)
			require.Equal(t, from.Current().Revision, to.Current().Revision)
			for i := range from.currentSegments {
				require.True(t, proto.Equal(from.currentSegments[i], to.currentSegments[i]), "segment %d differs", i)
			}
		}
	})
}

// TestPeerWithoutDeltasGetsSegments guards against deltas sent to an instance of
// an earlier release, which does not know them and needs complete segments.
func TestPeerWithoutDeltasGetsSegments(t *testing.T) {
	s, from, to := newPair()
	first := Change{ID: 1}
	for i := range 300 {
		first.Puts = append(first.Puts, organisationWithWeight(i, 1))
	}
	applyChange(t, s, from, first)
	catchUp(0, from, to)
	applyChange(t, s, from, Change{ID: 2, Puts: []*pb.Object{organisationWithWeight(5, 2)}})
	push := from.OnPull(&pb.ConfigPull{SegmentRevisions: to.currentSegments.revisions()})
	require.Empty(t, push.Deltas)
	require.Len(t, push.Segments, 1)
}
