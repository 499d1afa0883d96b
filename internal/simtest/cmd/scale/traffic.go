package main

import (
	"google.golang.org/protobuf/proto"

	"github.com/citrongate/citrongate/internal/simtest"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// frameOverhead is the number of bytes that one frame adds to its content on the
// wire: IPv4 20, UDP 8, QUIC short header 8, stream header 6, length prefix 4,
// authentication tag 16, and half of an acknowledgement packet of 56, since the
// receiver acknowledges every second packet.
const frameOverhead = 20 + 8 + 8 + 6 + 4 + 16 + 56/2

// class groups messages by purpose.
type class int

const (
	membershipClass class = iota
	progressClass
	digestClass
	permitClass
	configClass
	classCount
)

var classNames = [classCount]string{"membership", "progress", "digests", "permits", "configuration"}

func classOf(m *pb.PeerMessage) class {
	switch m.GetBody().(type) {
	case *pb.PeerMessage_Ping, *pb.PeerMessage_Ack, *pb.PeerMessage_PingRequest, *pb.PeerMessage_Join,
		*pb.PeerMessage_JoinReply, *pb.PeerMessage_MemberUpdates:
		return membershipClass
	case *pb.PeerMessage_Progress:
		return progressClass
	case *pb.PeerMessage_Digest:
		return digestClass
	case *pb.PeerMessage_ConfigPull, *pb.PeerMessage_ConfigPush:
		return configClass
	}
	return permitClass
}

// volume is what one node sent and received, in bytes by class.
type volume struct{ sent, received [classCount]float64 }

func sumClasses(v [classCount]float64) float64 {
	sum := 0.0
	for _, b := range v {
		sum += b
	}
	return sum
}

// traffic counts the bytes of all frames by node and class.
type traffic struct {
	volumes  map[string]*volume
	messages [classCount]int
	frames   int
}

func newTraffic(w *simtest.World) *traffic {
	t := &traffic{}
	t.reset()
	w.OnFrame = t.count
	return t
}

func (t *traffic) reset() { *t = traffic{volumes: map[string]*volume{}} }

func (t *traffic) volumeOf(address string) *volume {
	v := t.volumes[address]
	if v == nil {
		v = &volume{}
		t.volumes[address] = v
	}
	return v
}

// count attributes each message to its class, and the rest of the frame to the class
// of its first message. A frame without a message announces a configuration revision.
func (t *traffic) count(from *simtest.Instance, to string, frame *pb.Frame, size int) {
	t.frames++
	var bytes [classCount]float64
	rest := size + frameOverhead
	first := configClass
	for i, m := range frame.Messages {
		c := classOf(m)
		if i == 0 {
			first = c
		}
		t.messages[c]++
		length := proto.Size(m)
		bytes[c] += float64(length)
		rest -= length
	}
	bytes[first] += float64(rest)
	sender, receiver := t.volumeOf(from.Address), t.volumeOf(to)
	for c := range bytes {
		sender.sent[c] += bytes[c]
		receiver.received[c] += bytes[c]
	}
}

// sentBytes returns the bytes of a class that all nodes sent.
func (t *traffic) sentBytes(c class) float64 {
	sum := 0.0
	for _, v := range t.volumes {
		sum += v.sent[c]
	}
	return sum
}

// busiestNode returns the most bytes that one node sent and that one node received.
func (t *traffic) busiestNode() (sent, received float64) {
	for _, v := range t.volumes {
		sent, received = max(sent, sumClasses(v.sent)), max(received, sumClasses(v.received))
	}
	return sent, received
}
