package peer

import (
	"encoding/binary"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"google.golang.org/protobuf/proto"

	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// linkIdle ends the goroutine of a peer that nothing is sent to.
const linkIdle = 2 * time.Minute

type queued struct {
	frame *pb.Frame
	size  int
}

// link sends the frames for one peer in order.
type link struct {
	edge    *Edge
	address string
	queue   chan queued
	bytes   atomic.Int64

	conn   *quic.Conn
	stream *quic.SendStream
	// heardPackets and heardAt say when the other side was last known to answer.
	heardPackets uint64
	heardAt      time.Time
	buffer       []byte
}

// offer queues a frame or drops it. The edge's lock is held.
func (l *link) offer(q queued) {
	if l.bytes.Load()+int64(q.size) > maxQueuedBytes {
		return
	}
	select {
	case l.queue <- q:
		l.bytes.Add(int64(q.size))
	default:
	}
}

// run sends until the edge closes or nothing is sent for linkIdle.
func (l *link) run() {
	defer l.edge.wait.Done()
	idle := time.NewTimer(linkIdle)
	defer idle.Stop()
	for {
		select {
		case q := <-l.queue:
			l.bytes.Add(-int64(q.size))
			l.send(q)
			idle.Reset(linkIdle)
		case <-idle.C:
			if l.retire() {
				return
			}
			idle.Reset(linkIdle)
		case <-l.edge.ctx.Done():
			return
		}
	}
}

// retire removes the link if nothing was queued meanwhile.
func (l *link) retire() bool {
	l.edge.mu.Lock()
	defer l.edge.mu.Unlock()
	if len(l.queue) > 0 {
		return false
	}
	delete(l.edge.links, l.address)
	if l.stream != nil {
		_ = l.stream.Close()
	}
	return true
}

// send writes one frame, connecting first if necessary. Frames that can not be
// sent are dropped; the decisions repeat what matters.
func (l *link) send(q queued) {
	if !l.connect() {
		l.discard()
		return
	}
	encoded, err := l.encode(q.frame)
	if err != nil {
		l.edge.config.Log.Error().Err(err).Msg("frame can not be encoded")
		return
	}
	if len(encoded) > smallFrameBytes {
		err = l.sendLarge(encoded)
	} else {
		err = l.sendSmall(encoded)
	}
	if err != nil {
		l.drop("write failed")
	}
}

// discard drops what was queued while the peer could not be reached.
func (l *link) discard() {
	for {
		select {
		case q := <-l.queue:
			l.bytes.Add(-int64(q.size))
		default:
			timer := time.NewTimer(redialDelay)
			defer timer.Stop()
			select {
			case <-timer.C:
			case <-l.edge.ctx.Done():
			}
			return
		}
	}
}

// connect makes sure that there is a connection on which the peer answers.
func (l *link) connect() bool {
	now := time.Now()
	current := l.edge.connection(l.address)
	if current != nil && current == l.conn && l.silent(now) {
		l.drop("no packet received")
		current = nil
	}
	if current == nil {
		conn, err := l.edge.dial(l.address)
		if err != nil {
			l.edge.config.Log.Debug().Err(err).Str("peer", l.address).Msg("can not connect")
			return false
		}
		current = conn
	}
	if current != l.conn {
		l.conn, l.stream = current, nil
		l.heardPackets, l.heardAt = current.ConnectionStats().PacketsReceived, time.Now()
	}
	return true
}

// silent is true if something was sent longer than silenceTimeout ago and no
// packet has come since.
func (l *link) silent(now time.Time) bool {
	packets := l.conn.ConnectionStats().PacketsReceived
	if packets != l.heardPackets || l.heardAt.IsZero() {
		l.heardPackets, l.heardAt = packets, now
		return false
	}
	return now.Sub(l.heardAt) > silenceTimeout
}

func (l *link) drop(why string) {
	if l.conn != nil {
		_ = l.conn.CloseWithError(2, why)
		l.edge.forget(l.conn, l.address)
	}
	l.conn, l.stream = nil, nil
}

// encode returns the frame with its length in front.
func (l *link) encode(frame *pb.Frame) ([]byte, error) {
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
	return write(l.stream, encoded)
}

func (l *link) sendLarge(encoded []byte) error {
	stream, err := l.conn.OpenUniStream()
	if err != nil {
		return err
	}
	if err := write(stream, encoded); err != nil {
		return err
	}
	return stream.Close()
}

func write(stream *quic.SendStream, encoded []byte) error {
	if err := stream.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := stream.Write(encoded)
	return err
}
