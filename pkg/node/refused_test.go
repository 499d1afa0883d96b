package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/pkg/configstate"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// TestRefusedForwardDoesNotRunLater guards against a forwarded call that its
// home refuses as not run, and then runs when a repetition of the forward
// arrives that crossed the refusal on the way.
func TestRefusedForwardDoesNotRunLater(t *testing.T) {
	set := configstate.NewSet(1, []*pb.Object{
		{Meta: &pb.ObjectMeta{Kind: "Tier", Name: "t"}, Spec: &pb.Object_Tier{Tier: &pb.TierSpec{DefaultDeadlineMs: 10_000}}},
		{Meta: &pb.ObjectMeta{Kind: "Organisation", Name: "o"}, Spec: &pb.Object_Organisation{Organisation: &pb.OrganisationSpec{}}},
		{Meta: &pb.ObjectMeta{Kind: "RequestKind", Name: "k"}, Spec: &pb.Object_RequestKind{RequestKind: &pb.RequestKindSpec{
			Tier: "t", NonIdempotent: true, Limits: &pb.Limits{InFlight: 1}}}},
		{Meta: &pb.ObjectMeta{Kind: "Upstream", Name: "u"}, Spec: &pb.Object_Upstream{Upstream: &pb.UpstreamSpec{
			Address: "127.0.0.1:1", Type: "service", FailureDomain: "z"}}},
		{Meta: &pb.ObjectMeta{Kind: "Route", Name: "r"}, Spec: &pb.Object_Route{Route: &pb.RouteSpec{}}},
	})
	n := New(Config{Name: "home", Incarnation: 7, Bootstrap: set, TicketSecret: []byte("secret"), FailureDomain: "z", Region: "r"}, 1)
	const origin = 9
	now := time.Duration(0)
	dispatches, refusals := 0, 0
	step := func(e Event) {
		for _, action := range n.Step(now, e, nil) {
			switch a := action.(type) {
			case Dispatch:
				dispatches++
			case SendFrame:
				for _, m := range a.Frame.Messages {
					if reply := m.GetBindingReply(); reply != nil {
						require.Equal(t, "no", reply.Ran)
						refusals++
					}
				}
			}
		}
	}
	wait := func(d time.Duration) {
		for end := now + d; now < end; now += 20 * time.Millisecond {
			step(Tick{})
		}
	}
	receive := func(m *pb.PeerMessage) {
		step(FrameReceived{Frame: &pb.Frame{From: origin, Messages: []*pb.PeerMessage{m}}})
		wait(100 * time.Millisecond)
	}
	step(InstanceList{OK: true, Instances: []ListedInstance{{Name: "u", Incarnation: "1", Upstream: true}}})
	wait(2 * time.Second)
	ticket, _ := n.IssueTicket(now)
	receive(&pb.PeerMessage{Body: &pb.PeerMessage_Join{Join: &pb.Join{Self: &pb.MemberUpdate{
		Incarnation: origin, State: pb.MemberState_MEMBER_STATE_ALIVE, PeerAddress: "127.0.0.1:9", Cell: "r", FailureDomain: "z"}}}})
	step(SubmitRequest{ID: 1, Organisation: "o", Kind: "k", IdempotencyKey: ticket + ".first", Body: []byte("a")})
	wait(100 * time.Millisecond)
	require.Equal(t, 1, dispatches)
	forwarded := &pb.PeerMessage{Body: &pb.PeerMessage_BindingCall{BindingCall: &pb.BindingCall{
		Sequence: 5, Organisation: "o", Kind: "k", Key: ticket + ".second", Body: []byte("b"), RemainingMs: 8000, Home: 7}}}
	receive(forwarded)
	require.Equal(t, 1, refusals, "the kind allows one call in flight")
	step(UpstreamDone{ID: 1, Result: ResultComplete, Outcome: &pb.BindingOutcome{HttpStatus: 200}})
	receive(forwarded)
	require.Equal(t, 1, dispatches, "a call that was refused as not run has run")
	require.Equal(t, 2, refusals, "the repetition gets the same answer")
}
