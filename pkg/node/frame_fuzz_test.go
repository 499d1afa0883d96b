package node_test

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/citrongate/citrongate/internal/simtest"
	"github.com/citrongate/citrongate/pkg/node"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// encodedFrames returns one encoded frame for each of the main message types, with
// plausible content.
func encodedFrames(t interface{ Fatal(...any) }) [][]byte {
	messages := []*pb.PeerMessage{
		{Body: &pb.PeerMessage_Ping{Ping: &pb.Ping{Sequence: 1, Target: 1, Updates: []*pb.MemberUpdate{{Incarnation: 2, State: pb.MemberState_MEMBER_STATE_ALIVE}}}}},
		{Body: &pb.PeerMessage_Ack{Ack: &pb.Ack{Sequence: 1}}},
		{Body: &pb.PeerMessage_PingRequest{PingRequest: &pb.PingRequest{Sequence: 1, Target: 2}}},
		{Body: &pb.PeerMessage_Join{Join: &pb.Join{Self: &pb.MemberUpdate{Incarnation: 2, PeerAddress: "10.0.0.2:1", Cell: "r"}}}},
		{Body: &pb.PeerMessage_Submit{Submit: &pb.Submit{Sequence: 1, Tier: 3, Kind: "k", RemainingMs: 100}}},
		{Body: &pb.PeerMessage_Grant{Grant: &pb.Grant{Sequence: 1, Upstream: "e1", Attempt: 1}}},
		{Body: &pb.PeerMessage_Sync{Sync: &pb.Sync{InFlight: []*pb.InFlight{{Upstream: "e1"}, {}}}}},
		{Body: &pb.PeerMessage_ConfigPush{ConfigPush: &pb.ConfigPush{Head: &pb.ConfigHead{Revision: 9, SegmentRevisions: []uint64{9}}}}},
		{Body: &pb.PeerMessage_BindingCall{BindingCall: &pb.BindingCall{Sequence: 1, Key: "k", Home: 1}}},
		{Body: &pb.PeerMessage_MemberUpdates{MemberUpdates: &pb.MemberUpdates{Updates: []*pb.MemberUpdate{{Upstream: "e1", State: pb.MemberState_MEMBER_STATE_LEAVING}}}}},
	}
	messages = append(messages, emptyMessages()...)
	var seeds [][]byte
	for _, m := range messages {
		data, err := proto.Marshal(&pb.Frame{From: 2, ConfigRevision: 1, Messages: []*pb.PeerMessage{m}})
		if err != nil {
			t.Fatal(err)
		}
		seeds = append(seeds, data)
	}
	return seeds
}

// emptyMessages returns a message of each type without content.
func emptyMessages() (messages []*pb.PeerMessage) {
	fields := (&pb.PeerMessage{}).ProtoReflect().Descriptor().Oneofs().ByName("body").Fields()
	for i := range fields.Len() {
		m := &pb.PeerMessage{}
		m.ProtoReflect().Mutable(fields.Get(i))
		messages = append(messages, m)
	}
	return messages
}

// FuzzFrame guards against a corrupt or malicious frame of another instance that
// crashes a node or makes it send without end.
func FuzzFrame(f *testing.F) {
	for _, seed := range encodedFrames(f) {
		f.Add(seed)
	}
	const maxActions = 10_000
	f.Fuzz(func(t *testing.T, data []byte) {
		frame := &pb.Frame{}
		if proto.Unmarshal(data, frame) != nil {
			return
		}
		fixture := simtest.Fixture{Engines: 2, Services: 1, Concurrency: 2}
		config := fixture.Config(1)
		config.Incarnation, config.Bootstrap, config.TicketSecret = 1, fixture.Set(), make([]byte, 32)
		n := node.New(config, 1)
		actions := 0
		now := time.Duration(0)
		for ; now < 200*time.Millisecond; now += 20 * time.Millisecond {
			actions += len(n.Step(now, node.Tick{}, nil))
		}
		for range 3 {
			actions += len(n.Step(now, node.FrameReceived{Frame: frame}, nil))
			now += 20 * time.Millisecond
			actions += len(n.Step(now, node.Tick{}, nil))
		}
		if actions > maxActions {
			t.Fatalf("one frame of %d bytes led to %d actions", len(data), actions)
		}
	})
}
