package node

import (
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// destination identifies a peer; the incarnation is 0 if only the address is known.
type destination struct {
	to      uint64
	address string
}

// outbox batches the messages of one step into one frame per peer.
type outbox struct {
	order  []destination
	frames map[destination]*pb.Frame
}

func (o *outbox) frame(to destination) *pb.Frame {
	if o.frames == nil {
		o.frames = map[destination]*pb.Frame{}
	}
	frame, ok := o.frames[to]
	if !ok {
		frame = &pb.Frame{}
		o.frames[to] = frame
		o.order = append(o.order, to)
	}
	return frame
}

// send queues a message for an instance. It returns false if the instance is
// not known, so that nothing can be sent to it.
func (n *Node) send(to uint64, message *pb.PeerMessage) bool {
	member, ok := n.view.Find(to)
	if !ok || to == n.self || member.PeerAddress == "" {
		return false
	}
	// Membership messages come first: the receiver must know of a change of
	// members before it sees messages that follow from it.
	n.collectMembershipMessages()
	frame := n.frames.frame(destination{to, member.PeerAddress})
	frame.Messages = append(frame.Messages, message)
	return true
}

// collectMembershipMessages adds the pending messages of the membership view to
// the frames of this step.
func (n *Node) collectMembershipMessages() {
	for _, message := range n.view.Outbox() {
		frame := n.frames.frame(destination{message.To, message.Address})
		frame.Messages = append(frame.Messages, message.Body)
	}
}

// announceRevision sends a frame whose only content is the revision in force.
func (n *Node) announceRevision(to uint64) {
	if member, ok := n.view.Find(to); ok && to != n.self {
		n.frames.frame(destination{to, member.PeerAddress})
	}
}

// flush emits one frame per peer with everything that the step produced.
func (n *Node) flush() {
	n.collectMembershipMessages()
	for _, to := range n.frames.order {
		frame := n.frames.frames[to]
		frame.From = n.self
		frame.ConfigRevision = n.revision()
		n.emit(SendFrame{To: Incarnation(to.to), Address: to.address, Frame: frame})
	}
	n.frames = outbox{}
	n.flushStore()
}
