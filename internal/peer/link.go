package peer

import (
	"encoding/binary"
	"time"

	"github.com/quic-go/quic-go"
	"google.golang.org/protobuf/proto"

	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// linkIdleTimeout is how long a link is kept after the last frame was sent.
const linkIdleTimeout = 2 * idleTimeout

type queuedFrame struct {
	frame *pb.Frame
	size  int
}

// link is the send queue of one peer and the goroutine that sends its frames in order.
type link struct {
	endpoint *Endpoint
	address  string
	// queue holds the frames to send in order, with queuedBytes in total. The
	// endpoint's lock guards both.
	queue       []queuedFrame
	queuedBytes int
	// wake receives a value when the queue is no longer empty.
	wake chan struct{}

	conn   *quic.Conn
	stream *quic.SendStream
	// packetsReceived is the connection's count of received packets when it was
	// last found to have grown, and lastPacketAt the time of that check.
	packetsReceived uint64
	lastPacketAt    time.Time
	buffer          []byte
}

// enqueue queues a frame, or drops it if the queue is full. The caller holds the
// endpoint's lock.
func (l *link) enqueue(q queuedFrame) {
	if len(l.queue) >= maxQueuedFrames || l.queuedBytes+q.size > maxQueuedBytes {
		return
	}
	l.queue = append(l.queue, q)
	l.queuedBytes += q.size
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// takeFrame removes and returns the next queued frame; ok is false if there is none.
func (l *link) takeFrame() (q queuedFrame, ok bool) {
	l.endpoint.mu.Lock()
	defer l.endpoint.mu.Unlock()
	if len(l.queue) == 0 {
		return queuedFrame{}, false
	}
	q, l.queue[0] = l.queue[0], queuedFrame{}
	l.queue = l.queue[1:]
	l.queuedBytes -= q.size
	if len(l.queue) == 0 {
		l.queue = nil
	}
	return q, true
}

// run sends queued frames until the endpoint closes or no frame was sent for
// linkIdleTimeout.
func (l *link) run() {
	defer l.endpoint.goroutines.Done()
	idle := time.NewTimer(linkIdleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-l.wake:
			for q, ok := l.takeFrame(); ok; q, ok = l.takeFrame() {
				l.sendFrame(q)
			}
			idle.Reset(linkIdleTimeout)
		case <-idle.C:
			if l.removeIfEmpty() {
				return
			}
			idle.Reset(linkIdleTimeout)
		case <-l.endpoint.ctx.Done():
			return
		}
	}
}

// removeIfEmpty removes the link from the endpoint unless a frame has been queued
// meanwhile. It returns true if the link was removed.
func (l *link) removeIfEmpty() bool {
	l.endpoint.mu.Lock()
	defer l.endpoint.mu.Unlock()
	if len(l.queue) > 0 {
		return false
	}
	delete(l.endpoint.links, l.address)
	if l.stream != nil {
		_ = l.stream.Close()
	}
	return true
}

// sendFrame sends one frame, connecting first if necessary. A frame that can't be
// sent is dropped: the node repeats the messages that must arrive.
func (l *link) sendFrame(q queuedFrame) {
	if !l.connect() {
		l.discardQueue()
		return
	}
	encoded, err := l.encodeFrame(q.frame)
	if err != nil {
		l.endpoint.config.Log.Error().Err(err).Msg("frame can not be encoded")
		return
	}
	if len(encoded) > smallFrameBytes {
		err = l.sendLarge(encoded)
	} else {
		err = l.sendSmall(encoded)
	}
	if err != nil {
		l.closeConnection("write failed")
	}
}

// discardQueue drops the frames queued for an unreachable peer and then waits for
// redialDelay.
func (l *link) discardQueue() {
	for _, ok := l.takeFrame(); ok; _, ok = l.takeFrame() {
	}
	timer := time.NewTimer(redialDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-l.endpoint.ctx.Done():
	}
}

// connect ensures that the link has an open connection on which the peer still
// sends packets. It returns false if the peer can't be reached.
func (l *link) connect() bool {
	now := time.Now()
	current := l.endpoint.connection(l.address)
	if current != nil && current == l.conn && l.silent(now) {
		l.closeConnection("no packet received")
		current = nil
	}
	if current == nil {
		conn, err := l.endpoint.dial(l.address)
		if err != nil {
			l.endpoint.config.Log.Debug().Err(err).Str("peer", l.address).Msg("can not connect")
			return false
		}
		current = conn
	}
	if current != l.conn {
		l.conn, l.stream = current, nil
		l.packetsReceived, l.lastPacketAt = current.ConnectionStats().PacketsReceived, time.Now()
	}
	return true
}

// silent returns true if a frame was sent longer than silenceTimeout ago and no
// packet has been received since. It is called before each send.
func (l *link) silent(now time.Time) bool {
	packets := l.conn.ConnectionStats().PacketsReceived
	if packets != l.packetsReceived || l.lastPacketAt.IsZero() {
		l.packetsReceived, l.lastPacketAt = packets, now
		return false
	}
	return now.Sub(l.lastPacketAt) > silenceTimeout
}

func (l *link) closeConnection(reason string) {
	if l.conn != nil {
		_ = l.conn.CloseWithError(2, reason)
		l.endpoint.removeConnection(l.conn, l.address)
	}
	l.conn, l.stream = nil, nil
}

// encodeFrame returns the encoded frame with its length, four bytes, in front.
func (l *link) encodeFrame(frame *pb.Frame) ([]byte, error) {
	l.buffer = append(l.buffer[:0], 0, 0, 0, 0)
	encoded, err := proto.MarshalOptions{}.MarshalAppend(l.buffer, frame)
	if err != nil {
		return nil, err
	}
	binary.BigEndian.PutUint32(encoded, uint32(len(encoded)-4))
	if cap(encoded) <= 4*smallFrameBytes {
		l.buffer = encoded
	}
	return encoded, nil
}

func (l *link) sendSmall(encoded []byte) error {
	if l.stream == nil {
		stream, err := l.conn.OpenUniStream()
		if err != nil {
			return err
		}
		l.stream = stream
	}
	return writeWithDeadline(l.stream, encoded)
}

func (l *link) sendLarge(encoded []byte) error {
	stream, err := l.conn.OpenUniStream()
	if err != nil {
		return err
	}
	if err := writeWithDeadline(stream, encoded); err != nil {
		return err
	}
	return stream.Close()
}

func writeWithDeadline(stream *quic.SendStream, encoded []byte) error {
	if err := stream.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := stream.Write(encoded)
	return err
}
