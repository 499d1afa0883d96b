// Package peer is the transport between instances: it exchanges frames over QUIC
// with mutual TLS. Sending never blocks; frames to a slow or unreachable peer are
// dropped. The package does not interpret the content of frames.
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

// Limits and timeouts of connections between instances.
const (
	// MaxFrameBytes is the largest frame; a push of all configuration segments fits.
	MaxFrameBytes = 20 << 20
	// smallFrameBytes is the largest frame that shares a stream with others. A
	// larger frame is sent on a stream of its own, so that it does not delay pings.
	smallFrameBytes = 32 << 10
	// maxQueuedFrames and maxQueuedBytes bound the send queue of one peer.
	maxQueuedFrames = 512
	maxQueuedBytes  = 24 << 20
	// maxConcurrentLargeReads bounds the large frames that are received at once,
	// over all peers; it bounds the memory for them.
	maxConcurrentLargeReads = 4
	// maxStreams bounds the streams that one peer may have open.
	maxStreams = 8
	// maxLinks bounds the number of peers with a send queue.
	maxLinks = 4096

	handshakeTimeout = time.Second
	writeTimeout     = 2 * time.Second
	readTimeout      = 10 * time.Second
	// idleTimeout closes connections to peers that this instance seldom talks to. Each
	// takes tens of KB, and there are as many as instances if none is closed.
	idleTimeout = 15 * time.Second
	// silenceTimeout is how long a connection is kept without a packet from the
	// peer after a frame was sent. Shorter timeouts closed connections whose
	// acknowledgements were late under load.
	silenceTimeout = 3 * time.Second
	// redialDelay is the delay after a failed attempt to connect.
	redialDelay = 100 * time.Millisecond
)

// Config configures this instance's end of the transport.
type Config struct {
	// Address is the UDP address to listen on and to send from.
	Address string
	// Certificate, Key and Authority are PEM file names; see loadIdentity.
	Certificate, Key, Authority string
	// TrustNetwork accepts all peers that can reach Address, if Certificate is not
	// set. It is for networks that carry only traffic between instances.
	TrustNetwork bool
	// Seeds are peer addresses; the PEM files are required unless Address and all
	// seeds are loopback addresses or TrustNetwork is set.
	Seeds []string
	// Receive is called with each frame received, concurrently for different
	// streams. While it blocks, flow control slows down the sender.
	Receive func(*pb.Frame)
	Log     zerolog.Logger
}

// Endpoint is this instance's endpoint: it sends frames to peers and receives theirs.
type Endpoint struct {
	config     Config
	identity   *identity
	socket     net.PacketConn
	transport  *quic.Transport
	listener   *quic.Listener
	ctx        context.Context
	stop       context.CancelFunc
	goroutines sync.WaitGroup
	largeReads chan struct{}

	mu     sync.Mutex
	closed bool
	links  map[string]*link
	// conns holds the latest connection of each peer by address. The remote
	// address of an accepted connection is the peer's listening address, since
	// instances dial from their listening socket.
	conns map[string]*quic.Conn
}

// New returns an endpoint that listens on config.Address and accepts connections.
func New(config Config) (*Endpoint, error) {
	id, err := loadIdentity(config)
	if err != nil {
		return nil, err
	}
	socket, err := net.ListenPacket("udp", config.Address)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	e := &Endpoint{
		config: config, identity: id, socket: socket, ctx: ctx, stop: stop,
		largeReads: make(chan struct{}, maxConcurrentLargeReads),
		links:      map[string]*link{}, conns: map[string]*quic.Conn{},
	}
	e.transport = &quic.Transport{Conn: socket, StatelessResetKey: &id.resetKey}
	e.listener, err = e.transport.Listen(id.tlsConfig(), quicConfig())
	if err != nil {
		stop()
		_ = socket.Close()
		return nil, err
	}
	e.goroutines.Add(1)
	go e.acceptConnections()
	return e, nil
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:  handshakeTimeout,
		MaxIdleTimeout:        idleTimeout,
		MaxIncomingStreams:    -1,
		MaxIncomingUniStreams: maxStreams,
		// The window holds many small frames; a large frame may exceed it and is
		// read as it arrives.
		MaxStreamReceiveWindow:     1 << 20,
		MaxConnectionReceiveWindow: 4 << 20,
	}
}

// Address returns the listening address.
func (e *Endpoint) Address() string { return e.socket.LocalAddr().String() }

// Send queues a frame for the instance at address. It never blocks: the frame is
// dropped if the peer's queue is full or there are maxLinks queues already. The
// frame must not be modified afterwards.
func (e *Endpoint) Send(address string, frame *pb.Frame) {
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
		l = &link{endpoint: e, address: address, wake: make(chan struct{}, 1)}
		e.links[address] = l
		e.goroutines.Add(1)
		go l.run()
	}
	l.enqueue(queuedFrame{frame: frame, size: size})
}

// Close closes all connections and waits until all goroutines have ended. Queued
// frames may be dropped.
func (e *Endpoint) Close() {
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
	e.goroutines.Wait()
}

func (e *Endpoint) acceptConnections() {
	defer e.goroutines.Done()
	for {
		conn, err := e.listener.Accept(e.ctx)
		if err != nil {
			return
		}
		if err := e.addConnection(conn); err != nil {
			e.config.Log.Warn().Err(err).Str("peer", conn.RemoteAddr().String()).Msg("connection refused")
		}
	}
}

// addConnection verifies the address of a new connection, registers it as the
// latest of its peer and starts to read from it.
func (e *Endpoint) addConnection(conn *quic.Conn) error {
	if err := e.identity.verifyAddress(conn); err != nil {
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
	e.goroutines.Add(1)
	e.mu.Unlock()
	go e.readStreams(conn, address)
	return nil
}

// removeConnection removes a closed connection unless a newer one has replaced it.
func (e *Endpoint) removeConnection(conn *quic.Conn, address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conns[address] == conn {
		delete(e.conns, address)
	}
}

// connection returns the open connection to an address, nil if there is none.
func (e *Endpoint) connection(address string) *quic.Conn {
	e.mu.Lock()
	defer e.mu.Unlock()
	conn := e.conns[address]
	if conn != nil && conn.Context().Err() != nil {
		return nil
	}
	return conn
}

// dial connects to an address and adds the connection.
func (e *Endpoint) dial(address string) (*quic.Conn, error) {
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
	return conn, e.addConnection(conn)
}
