package main

import (
	"fmt"
	"runtime"
	"time"

	"github.com/citrongate/citrongate/pkg/configstate"
	"github.com/citrongate/citrongate/pkg/node"
	"github.com/citrongate/citrongate/pkg/store"
	"github.com/citrongate/citrongate/pkg/store/storetest"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

func initialChange(s shape) node.ApplyChange { return node.ApplyChange{Change: 1, Puts: s.objects()} }

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return float64(memory.HeapAlloc)
}

// targetShape is the deployment at the target; the measured node is in the first
// of its cells.
func targetShape() shape {
	return shape{nodes: targetNodes, cellSize: 61, upstreams: targetUpstreams, organisations: targetOrganisations, models: targetModels}
}

// loadedNode returns a node with the configuration in force. The node holds its own
// copies of the objects, as if it had decoded them from a peer's messages.
func loadedNode(s shape) *node.Node {
	objects := cloneObjects(s.objects())
	config := s.config(0)
	config.Incarnation = 1
	config.Bootstrap = configstate.NewSet(1, objects)
	n := node.New(config, 1)
	n.Step(time.Second, node.Tick{}, nil)
	return n
}

func cloneObjects(objects []*pb.Object) []*pb.Object {
	out := make([]*pb.Object, 0, len(objects))
	for _, o := range objects {
		out = append(out, clone(o))
	}
	return out
}

// nodeHeapBytes returns the heap bytes of a node with its configuration.
func nodeHeapBytes(s shape) float64 {
	before := heapBytes()
	n := loadedNode(s)
	used := heapBytes() - before
	runtime.KeepAlive(n)
	return used
}

// measureMemory measures the memory of a node with its configuration, and per
// organisation, upstream, waiting request and member.
func measureMemory(r *report) {
	target := targetShape()
	targetBytes := nodeHeapBytes(target)
	r.add("memory_configuration", targetNodes, targetBytes, "B/node")
	fewer := target
	fewer.organisations /= 2
	r.add("memory_organisation", targetNodes, (targetBytes-nodeHeapBytes(fewer))/float64(target.organisations-fewer.organisations), "B/organisation")
	fewer = target
	fewer.upstreams /= 2
	r.add("memory_upstream", targetNodes, (targetBytes-nodeHeapBytes(fewer))/float64(target.upstreams-fewer.upstreams), "B/upstream")
	r.add("memory_waiting_request", targetNodes, waitingRequestMemory(), "B/request")
	r.add("memory_peer", targetNodes, peerMemory(), "B/member")
}

// waitingRequestMemory measures a request that waits at its entry and in its pool,
// for an upstream that has no capacity left.
func waitingRequestMemory() float64 {
	const requests = 4000
	s := shape{nodes: 1, cellSize: 1, upstreams: 1, organisations: 10, models: 1, concurrency: 1}
	n := loadedNode(s)
	for now := 2 * time.Second; now <= 5*time.Second; now += 100 * time.Millisecond {
		n.Step(now, node.Tick{}, nil)
	}
	submit := func(first, count int) {
		for i := range count {
			n.Step(5*time.Second, node.SubmitRequest{ID: node.RequestID(first + i), Organisation: organisationName(i % 10), Kind: kindName(0),
				Model: modelName(0), PromptTokens: 1, MaxOutputTokens: 1, Remaining: 10 * time.Minute}, nil)
		}
	}
	submit(1, 200)
	before, waiting := heapBytes(), waitingRequests(n)
	submit(1000, requests)
	used, added := heapBytes()-before, waitingRequests(n)-waiting
	runtime.KeepAlive(n)
	if added < requests/2 {
		panic("too few requests wait to measure their memory")
	}
	return used / float64(added)
}

func waitingRequests(n *node.Node) int {
	count := 0
	for _, p := range n.PoolSummaries() {
		count += p.Waiting
	}
	return count
}

// peerMemory measures the memory of one member of the cell.
func peerMemory() float64 {
	const members = 2000
	s := shape{nodes: 1, cellSize: 1, upstreams: 1, organisations: 1, models: 1}
	n := loadedNode(s)
	before := heapBytes()
	for i := range members {
		host := fmt.Sprintf("10.1.%d.%d", i/250, i%250)
		update := &pb.MemberUpdate{Incarnation: uint64(1000 + i), State: pb.MemberState_MEMBER_STATE_ALIVE, Cell: cellName(0),
			FailureDomain: cellName(0), PeerAddress: host + ":1", CallerAddress: host + ":2", AdminAddress: host + ":3"}
		frame := &pb.Frame{From: 7, Messages: []*pb.PeerMessage{{Body: &pb.PeerMessage_MemberUpdates{MemberUpdates: &pb.MemberUpdates{Updates: []*pb.MemberUpdate{update}}}}}}
		n.Step(time.Second, node.FrameReceived{Frame: frame}, nil)
	}
	used := heapBytes() - before
	runtime.KeepAlive(n)
	return used / members
}

// storeRunner executes the store calls of configuration machines on a fake store.
type storeRunner struct {
	store *storetest.Fake
	now   time.Duration
}

// runCalls executes all calls of a machine and returns their number.
func (s *storeRunner) runCalls(m *configstate.Machine) (calls int, done []configstate.Done) {
	for {
		out := m.TakeOutput()
		done = append(done, out.Done...)
		if len(out.Calls) == 0 {
			return calls, done
		}
		for _, call := range out.Calls {
			calls++
			s.now += time.Millisecond
			m.OnStoreResult(s.now, call.ID, s.store.Execute(call.Op, storetest.None))
		}
	}
}

// measureChangePayload measures the bytes that one change of one object sends to
// each node at the target, and the size of the head that readers poll.
func measureChangePayload(r *report) {
	s := &storeRunner{store: storetest.New()}
	writer := configstate.New(configstate.Config{Incarnation: 1, IDs: &store.IDSource{}})
	reader := configstate.New(configstate.Config{Incarnation: 2, IDs: &store.IDSource{}})
	writer.Apply(s.now, configstate.Change{ID: 1, Puts: targetShape().objects()})
	s.runCalls(writer)
	reader.ReadHead(s.now)
	loadCalls, _ := s.runCalls(reader)
	r.add("configuration_load", targetNodes, float64(loadCalls), "store calls/cold start without peers")
	writer.Apply(s.now, configstate.Change{ID: 2, Puts: []*pb.Object{changedOrganisation(5, 2)}})
	changeCalls, _ := s.runCalls(writer)
	r.add("change_store_calls", targetNodes, float64(changeCalls), "calls/change")
	bytes := pullBytes(s, writer, reader)
	r.add("change_payload", targetNodes, bytes, "B/change/node")
	head := s.store.Current("config/head")
	r.add("head_bytes", targetNodes, float64(len(head.Value)), "B/read")
}

// pullBytes makes one machine pull the newer configuration of another and returns
// the bytes sent.
func pullBytes(s *storeRunner, from, to *configstate.Machine) float64 {
	bytes := 0
	to.OnPeerRevision(s.now, 1, from.Current().Revision)
	for range 100 {
		out := to.TakeOutput()
		if len(out.Pulls) == 0 {
			break
		}
		for _, pull := range out.Pulls {
			push := from.OnPull(pull.Message)
			bytes += size(pull.Message) + size(push) + 2*frameOverhead
			if push != nil {
				to.OnPush(s.now, pull.Peer, push)
			}
		}
	}
	if to.Current().Revision != from.Current().Revision {
		panic("the pulled configuration did not come into force")
	}
	return float64(bytes)
}
