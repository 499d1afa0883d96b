package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/pkg/configstate"
	"github.com/citrongate/citrongate/pkg/routing"
	"github.com/citrongate/citrongate/pkg/scheduler"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// routedSet returns four services behind one route for all requests, and one route
// for each given kind, which selects some of them.
func routedSet(revision uint64, kinds ...string) *configstate.Set {
	objects := []*pb.Object{
		{Meta: &pb.ObjectMeta{Kind: "Tier", Name: "t"}, Spec: &pb.Object_Tier{Tier: &pb.TierSpec{}}},
		{Meta: &pb.ObjectMeta{Kind: "Organisation", Name: "o"}, Spec: &pb.Object_Organisation{Organisation: &pb.OrganisationSpec{}}},
		{Meta: &pb.ObjectMeta{Kind: "RequestKind", Name: "k"}, Spec: &pb.Object_RequestKind{RequestKind: &pb.RequestKindSpec{Tier: "t"}}},
		{Meta: &pb.ObjectMeta{Kind: "Route", Name: "all"}, Spec: &pb.Object_Route{Route: &pb.RouteSpec{Order: 9}}},
	}
	for n := range 4 {
		objects = append(objects, &pb.Object{Meta: &pb.ObjectMeta{Kind: "Upstream", Name: fmt.Sprint("u", n)},
			Spec: &pb.Object_Upstream{Upstream: &pb.UpstreamSpec{Address: "127.0.0.1:1", Type: "service", Concurrency: 1}}})
	}
	for n, kind := range kinds {
		objects = append(objects,
			&pb.Object{Meta: &pb.ObjectMeta{Kind: "RequestKind", Name: kind}, Spec: &pb.Object_RequestKind{RequestKind: &pb.RequestKindSpec{Tier: "t"}}},
			&pb.Object{Meta: &pb.ObjectMeta{Kind: "Route", Name: "to-" + kind}, Spec: &pb.Object_Route{Route: &pb.RouteSpec{
				Order: 1, Requests: "kind=" + kind, Upstreams: fmt.Sprintf("name in (u%d,u%d)", n, n+1)}}})
	}
	return configstate.NewSet(revision, objects)
}

// TestClassesAreRemapped guards against a request that is queued again under the
// index that its class had in an earlier configuration.
func TestClassesAreRemapped(t *testing.T) {
	n := New(Config{Name: "n", Incarnation: 1, Bootstrap: routedSet(1), TicketSecret: make([]byte, 32)}, 1)
	for now := time.Duration(0); now < 3*time.Second; now += 20 * time.Millisecond {
		n.Step(now, Tick{}, nil)
	}
	for id := range RequestID(30) {
		n.Step(3*time.Second, SubmitRequest{ID: id + 1, Organisation: "o", Kind: "k", Remaining: time.Minute}, nil)
	}
	h := n.pools.list[0]
	classes := func() map[scheduler.GlobalID]routing.ClassID {
		ids := map[scheduler.GlobalID]routing.ClassID{}
		for id, it := range h.ledger.items {
			ids[id] = h.def.Classes[it.descriptor.Class].ID
		}
		return ids
	}
	before := classes()
	require.NotEmpty(t, before)
	n.activateConfig(routedSet(2, "x", "y", "z"))
	require.Len(t, h.def.Classes, 4)
	require.Equal(t, before, classes())
}

// TestOutdatedShedKeepsLaterAttempt guards against a shed of an earlier attempt
// that removes the current one from the ledger. The entry then ignores the
// shed, and its request waits while higher tiers are shed.
func TestOutdatedShedKeepsLaterAttempt(t *testing.T) {
	n := New(Config{Name: "n", Incarnation: 1, Bootstrap: routedSet(1), TicketSecret: make([]byte, 32)}, 1)
	now := time.Duration(0)
	for ; now < 3*time.Second; now += 20 * time.Millisecond {
		n.Step(now, Tick{}, nil)
	}
	h := n.pools.list[0]
	id := scheduler.GlobalID{Entry: 2, Sequence: 1}
	n.now = now
	// The deadline has passed, so the scheduler sheds attempt 1 in its next step.
	h.submit(now, scheduler.Descriptor{ID: id, Attempt: 1, Deadline: now - time.Second})
	h.submit(now, scheduler.Descriptor{ID: id, Attempt: 2, Deadline: now + time.Minute})
	decisions := h.sched.Step(now, nil)
	require.Len(t, decisions, 2)
	require.Equal(t, uint32(1), decisions[0].Attempt)
	require.NotZero(t, decisions[0].Reason)
	n.applyDecision(h, decisions[0])
	it := h.ledger.get(id)
	require.NotNil(t, it)
	require.Equal(t, uint32(2), it.descriptor.Attempt)
}
