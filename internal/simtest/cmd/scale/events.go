package main

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/citrongate/citrongate/pkg/configstate"
	"github.com/citrongate/citrongate/pkg/node"
	"github.com/citrongate/citrongate/pkg/store"
	"github.com/citrongate/citrongate/pkg/store/storetest"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

func clone(o *pb.Object) *pb.Object { return proto.Clone(o).(*pb.Object) }

func size(m proto.Message) int { return proto.Size(m) }

// costPerCall calls fn count times and returns the mean cost of one call.
func costPerCall(count int, fn func(i int)) (ns, allocations float64) {
	before := processCost()
	for i := range count {
		fn(i)
	}
	used := processCost().since(before)
	return float64(used.cpu.Nanoseconds()) / float64(count), float64(used.mallocs) / float64(count)
}

// measureEvents measures the processor time that a node spends per kind of event.
func measureEvents(r *report) {
	measureTick(r)
	measureRequestCycle(r)
	measureInForce(r)
}

// measureTick measures whether the cost of a tick depends on the number of
// organisations.
func measureTick(r *report) {
	for _, organisations := range []int{100, targetOrganisations} {
		s := shape{nodes: 1, cellSize: 1, upstreams: 217, organisations: organisations, models: targetModels}
		n := loadedNode(s)
		now := 2 * time.Second
		ns, allocations := costPerCall(20_000, func(int) {
			now += 20 * time.Millisecond
			n.Step(now, node.Tick{}, nil)
		})
		name := "tick_alone_organisations_100"
		if organisations == targetOrganisations {
			name = "tick_alone_organisations_11000"
		}
		r.add(name, 1, ns, "ns/tick")
		r.add(name+"_allocations", 1, allocations, "allocations/tick")
	}
}

// measureRequestCycle measures a request at an entry that owns its pool, with all
// organisations configured: submission, grant, first token and end.
func measureRequestCycle(r *report) {
	s := shape{nodes: 1, cellSize: 1, upstreams: 217, organisations: targetOrganisations, models: targetModels}
	n := loadedNode(s)
	now := 4 * time.Second
	n.Step(now, node.Tick{}, nil)
	dispatched := 0
	ns, allocations := costPerCall(20_000, func(i int) {
		id := node.RequestID(i + 1)
		now += time.Millisecond
		actions := n.Step(now, node.SubmitRequest{ID: id, Organisation: organisationName(i % s.organisations), Kind: kindName(i % s.models),
			Model: modelName(i % s.models), PromptTokens: 200, Remaining: 20 * time.Second}, nil)
		for _, a := range actions {
			if _, ok := a.(node.Dispatch); ok {
				dispatched++
			}
		}
		n.Step(now+100*time.Microsecond, node.UpstreamFirstToken{ID: id}, nil)
		n.Step(now+200*time.Microsecond, node.UpstreamDone{ID: id, Result: node.ResultComplete, OutputTokens: 100}, nil)
	})
	r.add("request_at_owner", 1, ns, "ns/request")
	r.add("request_at_owner_allocations", 1, allocations, "allocations/request")
	r.add("request_at_owner_dispatched", 1, float64(dispatched)/20_000, "share")
}

// measureInForce measures how long a node of the target takes to put a change of one
// object in force, from the frame in which a peer announces it.
func measureInForce(r *report) {
	s := &storeRunner{store: storetest.New()}
	source := configstate.New(configstate.Config{Incarnation: 1, IDs: &store.IDSource{}})
	source.Apply(s.now, configstate.Change{ID: 1, Puts: targetShape().objects()})
	s.runCalls(source)
	n := node.New(targetShape().config(0), 1)
	now := 4 * time.Second
	n.Step(now, node.Tick{}, nil)
	sendConfig(n, source, now)
	const changes = 5
	ns, allocations := costPerCall(changes, func(i int) {
		source.Apply(s.now, configstate.Change{ID: uint64(2 + i), Puts: []*pb.Object{changedOrganisation(i, 2)}})
		s.runCalls(source)
	})
	r.add("change_at_accepting_node", targetNodes, ns, "ns/change")
	r.add("change_at_accepting_node_allocations", targetNodes, allocations, "allocations/change")
	ns, allocations = 0, 0
	for i := range changes {
		source.Apply(s.now, configstate.Change{ID: uint64(20 + i), Puts: []*pb.Object{changedOrganisation(i, 3)}})
		s.runCalls(source)
		now += time.Second
		ns1, allocations1 := costPerCall(1, func(int) { sendConfig(n, source, now) })
		ns, allocations = ns+ns1/changes, allocations+allocations1/changes
	}
	r.add("change_in_force", targetNodes, ns, "ns/change")
	r.add("change_in_force_allocations", targetNodes, allocations, "allocations/change")
}

// sendConfig announces the source's revision to a node and answers its pulls with
// messages that are encoded and decoded as between processes.
func sendConfig(n *node.Node, source *configstate.Machine, now time.Duration) {
	const peer = 99
	member := &pb.MemberUpdate{Incarnation: peer, State: pb.MemberState_MEMBER_STATE_ALIVE, Cell: cellName(0), PeerAddress: "10.9.9.9:1"}
	frame := &pb.Frame{From: peer, ConfigRevision: source.Current().Revision, Messages: []*pb.PeerMessage{
		{Body: &pb.PeerMessage_MemberUpdates{MemberUpdates: &pb.MemberUpdates{Updates: []*pb.MemberUpdate{member}}}}}}
	actions := n.Step(now, node.FrameReceived{Frame: frame}, nil)
	for len(actions) > 0 {
		var next []node.Action
		for _, a := range actions {
			sent, ok := a.(node.SendFrame)
			if !ok {
				continue
			}
			for _, m := range sent.Frame.Messages {
				if pull := m.GetConfigPull(); pull != nil {
					answer := &pb.Frame{From: peer, Messages: []*pb.PeerMessage{{Body: &pb.PeerMessage_ConfigPush{ConfigPush: source.OnPull(pull)}}}}
					next = append(next, n.Step(now, node.FrameReceived{Frame: encodeAndDecode(answer)}, nil)...)
				}
			}
		}
		actions = next
	}
	if set := n.ConfigSet(); set == nil || set.Revision != source.Current().Revision {
		panic("the change did not come into force")
	}
}

func encodeAndDecode(frame *pb.Frame) *pb.Frame {
	data, err := proto.Marshal(frame)
	if err != nil {
		panic(err)
	}
	out := &pb.Frame{}
	if err := proto.Unmarshal(data, out); err != nil {
		panic(err)
	}
	return out
}
