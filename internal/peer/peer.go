// Package peer is the edge between instances: frames over QUIC with mutual
// TLS. Sending never blocks; frames to a slow or dead peer are dropped. It
// knows nothing of the content of frames.
package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// Bounds and times of connections between instances.
const (
	// MaxFrameBytes is the largest frame; a push of all configuration segments fits.
	MaxFrameBytes = 20 << 20
	// smallFrameBytes is the largest frame that shares a stream with others.
	// Larger ones have their own, so that they do not hold up pings.
	smallFrameBytes = 32 << 10
	// maxQueuedFrames and maxQueuedBytes bound what waits for one peer.
	maxQueuedFrames = 512
	maxQueuedBytes  = 24 << 20
	// maxLargeReads bounds large frames that are received at once, over all peers.
	maxLargeReads = 4
	// maxStreams bounds the streams that one peer may have open.
	maxStreams = 8
	// maxLinks bounds the peers that frames are queued for.
	maxLinks = 4096

	handshakeTimeout = time.Second
	writeTimeout     = 2 * time.Second
	readTimeout      = 10 * time.Second
	idleTimeout      = 60 * time.Second
	// silenceTimeout is how long a connection is kept without a packet from
	// the other side after something was sent. Shorter times closed
	// connections whose acknowledgements were late under load.
	silenceTimeout = 3 * time.Second
	// redialDelay is the pause after a failed attempt to connect.
	redialDelay = 100 * time.Millisecond
)

// Config describes the own end.
type Config struct {
	// Address is the UDP address to listen on and to send from.
	Address string
	// Certificate, Key and Authority are PEM file names; see loadIdentity.
	Certificate, Key, Authority string
	// TrustNetwork accepts all peers that reach Address, without certificates.
	// It is for networks that carry nothing else.
	TrustNetwork bool
	// Seeds are further addresses that decide whether TLS files are required.
	Seeds []string
	// Receive takes the frames of all peers, from several goroutines. While it
	// blocks, the peers are slowed down.
	Receive func(*pb.Frame)
	Log     zerolog.Logger
}

// Edge sends and receives frames.
type Edge struct {
	config    Config
	identity  *identity
	socket    net.PacketConn
	transport *quic.Transport
	listener  *quic.Listener
	ctx       context.Context
	stop      context.CancelFunc
	wait      sync.WaitGroup
	large     chan struct{}

	mu     sync.Mutex
	closed bool
	links  map[string]*link
	// conns holds the newest connection to each address. The address of an
	// accepted connection is the peer's listening address, since an instance
	// dials from its listening socket.
	conns map[string]*quic.Conn
}

// New listens and returns the edge.
func New(config Config) (*Edge, error) {
	id, err := loadIdentity(config)
	if err != nil {
		return nil, err
	}
	socket, err := net.ListenPacket("udp", config.Address)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	e := &Edge{
		config: config, identity: id, socket: socket, ctx: ctx, stop: stop,
		large: make(chan struct{}, maxLargeReads),
		links: map[string]*link{}, conns: map[string]*quic.Conn{},
	}
	e.transport = &quic.Transport{Conn: socket, StatelessResetKey: &id.resetKey}
	e.listener, err = e.transport.Listen(id.tlsConfig(), quicConfig())
	if err != nil {
		stop()
		_ = socket.Close()
		return nil, err
	}
	e.wait.Add(1)
	go e.accept()
	return e, nil
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:  handshakeTimeout,
		MaxIdleTimeout:        idleTimeout,
		MaxIncomingStreams:    -1,
		MaxIncomingUniStreams: maxStreams,
		// A stream holds small frames; a large one is read as it arrives.
		MaxStreamReceiveWindow:     1 << 20,
		MaxConnectionReceiveWindow: 4 << 20,
	}
}

// Address is the listening address.
func (e *Edge) Address() string { return e.socket.LocalAddr().String() }

// Send queues a frame for the instance at address. It never blocks; the frame
// is dropped if the peer's queue is full. The frame must not be changed later.
func (e *Edge) Send(address string, frame *pb.Frame) {
	size := proto.Size(frame)
	if size > MaxFrameBytes {
		e.config.Log.Error().Str("peer", address).Int("bytes", size).Msg("frame is too large to send")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return
	}
	l := e.links[address]
	if l == nil {
		if len(e.links) >= maxLinks {
			return
		}
		l = &link{edge: e, address: address, queue: make(chan queued, maxQueuedFrames)}
		e.links[address] = l
		e.wait.Add(1)
		go l.run()
	}
	l.offer(queued{frame: frame, size: size})
}

// Close sends what is queued for at most the time of one write and closes all connections.
func (e *Edge) Close() {
	e.mu.Lock()
	e.closed = true
	e.mu.Unlock()
	e.stop()
	_ = e.listener.Close()
	e.mu.Lock()
	conns := make([]*quic.Conn, 0, len(e.conns))
	for _, c := range e.conns {
		conns = append(conns, c)
	}
	e.mu.Unlock()
	for _, c := range conns {
		_ = c.CloseWithError(0, "closed")
	}
	_ = e.transport.Close()
	_ = e.socket.Close()
	e.wait.Wait()
}

func (e *Edge) accept() {
	defer e.wait.Done()
	for {
		conn, err := e.listener.Accept(e.ctx)
		if err != nil {
			return
		}
		if err := e.adopt(conn); err != nil {
			e.config.Log.Warn().Err(err).Str("peer", conn.RemoteAddr().String()).Msg("connection refused")
		}
	}
}

// adopt checks a new connection and starts to read from it.
func (e *Edge) adopt(conn *quic.Conn) error {
	if err := e.identity.checkAddress(conn); err != nil {
		_ = conn.CloseWithError(1, "not accepted")
		return err
	}
	address := conn.RemoteAddr().String()
	e.mu.Lock()
	if e.closed {
		e.mu.Unlock()
		return conn.CloseWithError(0, "closed")
	}
	e.conns[address] = conn
	e.wait.Add(1)
	e.mu.Unlock()
	go e.readStreams(conn, address)
	return nil
}

// forget removes a connection that is closed.
func (e *Edge) forget(conn *quic.Conn, address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conns[address] == conn {
		delete(e.conns, address)
	}
}

// connection returns the open connection to an address, if there is one.
func (e *Edge) connection(address string) *quic.Conn {
	e.mu.Lock()
	defer e.mu.Unlock()
	conn := e.conns[address]
	if conn != nil && conn.Context().Err() != nil {
		return nil
	}
	return conn
}

// dial connects to an address and starts to read from the connection.
func (e *Edge) dial(address string) (*quic.Conn, error) {
	target, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(e.ctx, handshakeTimeout)
	defer cancel()
	conn, err := e.transport.Dial(ctx, target, e.identity.tlsConfig(), quicConfig())
	if err != nil {
		return nil, err
	}
	return conn, e.adopt(conn)
}
