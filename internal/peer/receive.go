package peer

import (
	"bufio"
	"encoding/binary"
	"io"
	"time"

	"github.com/quic-go/quic-go"
	"google.golang.org/protobuf/proto"

	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// readStreams reads all streams of one connection until it closes. A malformed
// frame closes it.
func (e *Endpoint) readStreams(conn *quic.Conn, address string) {
	defer e.goroutines.Done()
	defer e.removeConnection(conn, address)
	for {
		stream, err := conn.AcceptUniStream(e.ctx)
		if err != nil {
			return
		}
		e.goroutines.Add(1)
		go func() {
			defer e.goroutines.Done()
			if err := e.readFrames(stream); err != nil {
				_ = conn.CloseWithError(3, "bad frame")
				e.config.Log.Warn().Err(err).Str("peer", address).Msg("connection closed")
			}
		}()
	}
}

// readFrames reads frames until the stream ends. It returns an error only for
// malformed input.
func (e *Endpoint) readFrames(stream *quic.ReceiveStream) error {
	reader := bufio.NewReaderSize(stream, 4<<10)
	for {
		_ = stream.SetReadDeadline(time.Time{})
		var head [4]byte
		if _, err := io.ReadFull(reader, head[:]); err != nil {
			return nil
		}
		length := binary.BigEndian.Uint32(head[:])
		if length > MaxFrameBytes {
			return ErrPeerRejected.New("frame of %d bytes is longer than %d; run the same version everywhere", length, MaxFrameBytes)
		}
		_ = stream.SetReadDeadline(time.Now().Add(readTimeout))
		frame, err := e.readFrame(reader, int(length))
		if err != nil || frame == nil {
			return err
		}
		if e.ctx.Err() != nil {
			return nil
		}
		e.config.Receive(frame)
	}
}

// readFrame reads one frame. It returns nil without an error if the stream ended
// before the frame was complete or the endpoint is closing.
func (e *Endpoint) readFrame(reader io.Reader, length int) (*pb.Frame, error) {
	if length > smallFrameBytes {
		select {
		case e.largeReads <- struct{}{}:
		case <-e.ctx.Done():
			return nil, nil
		}
		defer func() { <-e.largeReads }()
	}
	encoded := make([]byte, length)
	if _, err := io.ReadFull(reader, encoded); err != nil {
		return nil, nil
	}
	frame := &pb.Frame{}
	if err := proto.Unmarshal(encoded, frame); err != nil {
		return nil, ErrPeerRejected.Wrap(err, "frame can not be decoded; run the same version everywhere")
	}
	return frame, nil
}
