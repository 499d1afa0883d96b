package node_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/citrongate/citrongate/internal/simtest"
	"github.com/citrongate/citrongate/pkg/node"
	"github.com/citrongate/citrongate/pkg/store"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// eventSource generates arbitrary events: late, repeated, with unknown ids, or with
// missing fields.
type eventSource struct {
	*rand.Rand
	pools []uint64
	class uint64
}

func (s eventSource) id() node.RequestID { return node.RequestID(s.IntN(12)) }

func (s eventSource) pool() uint64 {
	if s.IntN(8) == 0 {
		return s.Uint64()
	}
	return s.pools[s.IntN(len(s.pools))]
}

func (s eventSource) event() node.Event {
	switch s.IntN(14) {
	case 10:
		if s.IntN(40) == 0 {
			return node.Drain{}
		}
		return s.submit()
	case 0, 1:
		return s.submit()
	case 2:
		return node.CallerDisconnected{ID: s.id()}
	case 3:
		return node.DispatchFailed{ID: s.id()}
	case 4:
		return node.UpstreamFirstToken{ID: s.id()}
	case 5:
		return node.UpstreamTokens{ID: s.id(), Total: uint32(s.IntN(50))}
	case 6:
		return node.UpstreamDone{ID: s.id(), Result: node.UpstreamResult(s.IntN(int(node.ResultExpired) + 1)), OutputTokens: uint32(s.IntN(50))}
	case 7:
		return node.StoreDone{Call: store.CallID(s.IntN(20)), Result: store.Result{Status: store.Status(s.IntN(8)), Version: s.Uint64()}}
	case 8:
		if s.IntN(3) == 0 {
			return node.UpstreamList{Upstreams: []node.ListedInstance{{Name: "u", Incarnation: "1", Upstream: true, Leaving: s.IntN(2) == 0}}}
		}
		return node.InstanceList{OK: s.IntN(2) == 0, Instances: []node.ListedInstance{
			{Name: "e1", Incarnation: fmt.Sprint(s.IntN(3)), Upstream: true, Leaving: s.IntN(2) == 0},
			{Name: "n2", Incarnation: "x", PeerAddress: "10.0.0.2:1", Leaving: s.IntN(2) == 0}}}
	case 9:
		return []node.Event{node.OrderUpstream{Order: 1, Upstream: "e1"}, node.SendOrderDone{Order: uint64(s.IntN(3)), Status: node.OrderStatus(s.IntN(6))},
			node.CacheEvents{Upstream: "e1", Cached: []uint64{1}}, node.ApplyChange{Change: 1, Puts: []*pb.Object{{}}}}[s.IntN(4)]
	}
	return node.FrameReceived{Frame: s.frame()}
}

func (s eventSource) submit() node.Event {
	kind := []string{"urgent", "batch", "order", "lookup", "nothing", ""}[s.IntN(6)]
	e := node.SubmitRequest{ID: s.id(), Organisation: "small", Kind: kind, Model: simtest.Model, PromptTokens: 10,
		Remaining: time.Duration(s.IntN(3000)) * time.Millisecond, IdempotencyKey: fmt.Sprint("key-", s.IntN(4))}
	if kind == "order" || kind == "lookup" {
		e.Model = ""
	}
	return e
}

func (s eventSource) frame() *pb.Frame {
	if s.IntN(20) == 0 {
		return nil
	}
	f := &pb.Frame{From: uint64(s.IntN(4)), ConfigRevision: uint64(s.IntN(3))}
	for range s.IntN(4) {
		f.Messages = append(f.Messages, s.message())
	}
	return f
}

func (s eventSource) submitMessage() *pb.Submit {
	return &pb.Submit{Sequence: uint64(s.IntN(9)), Pool: s.pool(), Tier: uint32(s.IntN(20)), Class: s.class,
		RemainingMs: uint32(s.IntN(2000)), Attempt: uint32(s.IntN(4)), PromptTokens: uint32(s.IntN(100))}
}

func (s eventSource) update() *pb.MemberUpdate {
	u := &pb.MemberUpdate{Incarnation: uint64(s.IntN(5)), Sequence: uint32(s.IntN(3)), State: pb.MemberState(s.IntN(6)),
		PeerAddress: "10.0.0.2:1", Cell: "r1", ConfigRevision: uint64(s.IntN(2))}
	if s.IntN(4) == 0 {
		u.Upstream, u.UpstreamIncarnation = "e1", fmt.Sprint(s.IntN(3))
	}
	return u
}

func (s eventSource) message() *pb.PeerMessage {
	sequence, pool, attempt := uint64(s.IntN(12)), s.pool(), uint32(s.IntN(4))
	updates := []*pb.MemberUpdate{s.update(), nil}
	bodies := []*pb.PeerMessage{
		nil, {},
		{Body: &pb.PeerMessage_Ping{Ping: &pb.Ping{Target: uint64(s.IntN(3)), Updates: updates}}},
		{Body: &pb.PeerMessage_Ack{Ack: &pb.Ack{Target: uint64(s.IntN(3)), Updates: updates}}},
		{Body: &pb.PeerMessage_PingRequest{PingRequest: &pb.PingRequest{Target: uint64(s.IntN(4))}}},
		{Body: &pb.PeerMessage_Join{Join: &pb.Join{Self: s.update()}}},
		{Body: &pb.PeerMessage_JoinReply{JoinReply: &pb.JoinReply{Members: updates}}},
		{Body: &pb.PeerMessage_MemberUpdates{MemberUpdates: &pb.MemberUpdates{Updates: updates}}},
		{Body: &pb.PeerMessage_Submit{Submit: s.submitMessage()}},
		{Body: &pb.PeerMessage_Withdraw{Withdraw: &pb.Withdraw{Sequence: sequence, Pool: pool, Attempt: attempt}}},
		{Body: &pb.PeerMessage_Grant{Grant: &pb.Grant{Sequence: sequence, Pool: pool, Attempt: attempt, Upstream: "e1"}}},
		{Body: &pb.PeerMessage_Shed{Shed: &pb.Shed{Sequence: sequence, Pool: pool, Attempt: attempt, Reason: pb.ShedReason(s.IntN(8))}}},
		{Body: &pb.PeerMessage_NotOwner{NotOwner: &pb.NotOwner{Sequence: sequence, Pool: pool, Attempt: attempt}}},
		{Body: &pb.PeerMessage_FirstToken{FirstToken: &pb.FirstToken{Sequence: sequence, Pool: pool}}},
		{Body: &pb.PeerMessage_Progress{Progress: &pb.Progress{Pool: pool, Upstream: "e1", Streams: 3, Stalled: uint32(s.IntN(4))}}},
		{Body: &pb.PeerMessage_Release{Release: &pb.Release{Sequence: sequence, Pool: pool, Attempt: attempt, Outcome: pb.ReleaseOutcome(s.IntN(10))}}},
		{Body: &pb.PeerMessage_SyncRequest{SyncRequest: &pb.SyncRequest{Pool: pool}}},
		{Body: &pb.PeerMessage_Sync{Sync: &pb.Sync{Pool: pool, Waiting: []*pb.Submit{s.submitMessage()},
			InFlight: []*pb.InFlight{{Upstream: "e1", Request: s.submitMessage()}, {}}}}},
		{Body: &pb.PeerMessage_Digest{Digest: &pb.Digest{Pool: pool, Count: uint32(s.IntN(3))}}},
		{Body: &pb.PeerMessage_ConfigPull{ConfigPull: &pb.ConfigPull{}}},
		{Body: &pb.PeerMessage_ConfigPush{ConfigPush: &pb.ConfigPush{}}},
		{Body: &pb.PeerMessage_BindingCall{BindingCall: &pb.BindingCall{Sequence: sequence, Kind: "order", Organisation: "small",
			Key: fmt.Sprint("key-", s.IntN(4)), Home: uint64(s.IntN(3)), RemainingMs: 500}}},
		{Body: &pb.PeerMessage_BindingReply{BindingReply: &pb.BindingReply{Sequence: sequence, Ran: "no"}}},
	}
	return bodies[s.IntN(len(bodies))]
}

// runEvents feeds generated events to a node and returns all its actions as text.
func runEvents(t *testing.T, seed uint64, steps int) []string {
	f := simtest.Fixture{Engines: 2, Services: 1, Concurrency: 2}
	config := f.Config(1)
	config.Incarnation, config.Bootstrap, config.TicketSecret = 1, f.Set(), make([]byte, 32)
	source := eventSource{Rand: simtest.NewRand(seed, 7)}
	for _, p := range node.New(config, seed).Routes().Pools() {
		source.pools = append(source.pools, uint64(p.ID))
		source.class = uint64(p.Classes[0].ID)
	}
	if seed%3 == 0 {
		// A node that has no configuration yet.
		config.Bootstrap = nil
	}
	n := node.New(config, seed)
	var log []string
	now, dispatched := time.Duration(0), map[node.RequestID]int{}
	for range steps {
		now += time.Duration(source.IntN(60)) * time.Millisecond
		ev := source.event()
		if source.IntN(3) == 0 {
			ev = node.Tick{}
		}
		if failed, ok := ev.(node.DispatchFailed); ok && dispatched[failed.ID] > 0 {
			dispatched[failed.ID]--
		}
		for _, a := range n.Step(now, ev, nil) {
			if d, ok := a.(node.Dispatch); ok {
				dispatched[d.ID]++
				require.LessOrEqual(t, dispatched[d.ID], 1, "seed %d: request %d dispatched twice", seed, d.ID)
			}
			if r, ok := a.(node.Refuse); ok {
				dispatched[r.ID] = 0 // the source uses ids again after their end
			}
			log = append(log, text(a))
		}
		if done, ok := ev.(node.UpstreamDone); ok {
			dispatched[done.ID] = 0
		}
		if gone, ok := ev.(node.CallerDisconnected); ok {
			dispatched[gone.ID] = 0
		}
	}
	return log
}

// text renders an action; frames by their encoded form, since generated message
// types hold internal state.
func text(a node.Action) string {
	if frame, ok := a.(node.SendFrame); ok {
		encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(frame.Frame)
		return fmt.Sprintf("frame to %d %s %x %v", frame.To, frame.Address, encoded, err)
	}
	return fmt.Sprintf("%T %+v", a, a)
}

// TestAnyEventInAnyState guards against a panic or a second dispatch caused by
// a late, repeated, unknown or incomplete event.
func TestAnyEventInAnyState(t *testing.T) {
	for seed := uint64(1); seed <= 60; seed++ {
		require.NotEmpty(t, runEvents(t, seed, 1500))
	}
}

// TestSameEventsSameActions guards against hidden inputs such as map iteration
// order, which would make a failing run impossible to replay.
func TestSameEventsSameActions(t *testing.T) {
	for seed := uint64(100); seed < 105; seed++ {
		require.Equal(t, runEvents(t, seed, 1500), runEvents(t, seed, 1500), "seed %d", seed)
	}
}
