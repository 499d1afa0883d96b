// Package httpfront is the edge to callers: HTTP/1.1 by nbhttp with bounded
// input, bearer tokens, server-sent events and discovery. It hands requests to
// a Backend and never decides where or whether they run.
package httpfront

import (
	"crypto/tls"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio/mempool"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/rs/zerolog"
)

const (
	// readBufferBytes is the size of one read from a connection. The bytes of
	// a header that is not complete yet are bounded by the limit plus this.
	readBufferBytes = 4 << 10
	// idleTimeout closes connections without a request.
	idleTimeout = 75 * time.Second
	// stallTimeout closes a connection whose caller takes no byte for this long
	// while an answer waits.
	stallTimeout = 30 * time.Second
	// lingerTime is how long the rest of a refused request is discarded, so
	// that the refusal is not lost to a connection reset.
	lingerTime = 500 * time.Millisecond
	// stopTimeout bounds the wait for nbio's goroutines to end.
	stopTimeout = 100 * time.Millisecond
)

// nbhttp (1.6.8) frees the buffer of an answer twice when its caller has left,
// so that two later answers share one buffer and callers get parts of each
// other's. Buffers are left to the garbage collector instead of nbio's pool.
func init() { mempool.DefaultMemPool = mempool.NewSTD() }

// ServerConfig bounds an HTTP server. All fields are required but the TLS ones.
type ServerConfig struct {
	Address string
	// TLSCertificate and TLSKey are PEM file names; plain HTTP if empty.
	TLSCertificate, TLSKey string
	MaxBodyBytes           int
	MaxHeaderBytes         int
	MaxConnections         int
	// MaxBufferedBytes bounds the request bodies held at once, over all connections.
	MaxBufferedBytes int64
	// ReadTimeout is the time to send one whole request.
	ReadTimeout time.Duration
	// IdleTimeout closes connections without a request; 0 takes 75 s.
	IdleTimeout time.Duration
	Handler     http.Handler
	// BadInput builds the body of an answer to input that is not a valid request.
	BadInput func(InputError) []byte
	// Log gets faults of handlers.
	Log zerolog.Logger
}

// Server is an HTTP server with bounded input and output.
//
// nbhttp runs in its blocking mode. In its other modes (1.6.8) a connection
// that is closed by a handler's goroutine while the poller holds an event of it
// lets the poller close a newer connection with the same descriptor: 14 of
// 20,000 calls with "Connection: close" got no answer. Blocking writes also
// carry a slow caller's back-pressure to the engine.
type Server struct {
	config ServerConfig
	engine *nbhttp.Engine
	// tls is nil for plain HTTP. TLS is below nbhttp, which answers nothing on
	// TLS connections in its blocking mode if their input is read elsewhere.
	tls *tls.Config
	// busy counts the requests whose answer is not handed to the kernel yet.
	busy atomic.Int64
	// conns holds the open connections, as keys of type *connection.
	conns  sync.Map
	online atomic.Int64
	// buffered counts the bytes of request bodies that are held.
	buffered atomic.Int64
	// listener is held from Listen until the engine takes it over.
	listener net.Listener
	// started is true once the engine listens.
	started atomic.Bool
}

// NewServer returns a server that is not started yet.
func NewServer(config ServerConfig) (*Server, error) {
	if config.IdleTimeout <= 0 {
		config.IdleTimeout = idleTimeout
	}
	s := &Server{config: config}
	if config.TLSCertificate != "" {
		certificate, err := tls.LoadX509KeyPair(config.TLSCertificate, config.TLSKey)
		if err != nil {
			return nil, err
		}
		s.tls = &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS12}
	}
	return s, nil
}

// newEngine returns an engine that serves on the listener.
func (s *Server) newEngine() *nbhttp.Engine {
	engine := nbhttp.NewEngine(nbhttp.Config{
		Name:    "http",
		Network: "tcp",
		IOMod:   nbhttp.IOModBlocking,
		// nbhttp's own bound counts refused connections for ever and closes
		// without an answer; connection.Read enforces MaxConnections.
		MaxLoad:                math.MaxInt32,
		ReadLimit:              s.config.MaxBodyBytes + s.config.MaxHeaderBytes + readBufferBytes,
		MaxHTTPBodySize:        s.config.MaxBodyBytes,
		BlockingReadBufferSize: readBufferBytes,
		KeepaliveTime:          s.config.IdleTimeout,
		Handler:                s.config.Handler,
		Addrs:                  []string{s.config.Address},
		Listen:                 func(string, string) (net.Listener, error) { return s.listener, nil },
	})
	engine.OnOpen(s.onOpen)
	return engine
}

// Listen takes the address. Connections wait in the kernel's queue until Start.
// It is called before the start of any server: nbio 1.6.8 hangs in Start if it
// cannot listen, and in Stop soon after Start.
func (s *Server) Listen() error {
	listener, err := net.Listen("tcp", s.config.Address)
	if err == nil {
		s.listener = listener
	}
	return err
}

// Start serves until Stop. It listens first if Listen was not called.
func (s *Server) Start() error {
	if s.listener == nil {
		if err := s.Listen(); err != nil {
			return err
		}
	}
	s.engine = s.newEngine()
	err := s.engine.Start()
	s.started.Store(err == nil)
	return err
}

// Address is the listening address, with the port that was chosen if it was 0.
func (s *Server) Address() string {
	if s.listener == nil {
		return s.config.Address
	}
	return s.listener.Addr().String()
}

// Online is the number of open connections.
func (s *Server) Online() int { return int(s.online.Load()) }

// Busy is true while an answer is not handed to the kernel yet.
func (s *Server) Busy() bool { return s.busy.Load() > 0 }

// Stop closes the listener and all connections at once. nbio (1.6.8) sometimes
// waits for ever for a poller that its wake-up did not reach, in both of its
// modes and most often without any call; Stop then leaves the idle poller behind.
// An engine that did not start has stopped itself, and nbio panics if it is
// stopped again.
func (s *Server) Stop() {
	if !s.started.Load() {
		if s.listener != nil {
			_ = s.listener.Close()
		}
		return
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		s.engine.Stop()
	}()
	s.conns.Range(func(c, _ any) bool {
		_ = c.(*connection).Conn.Close()
		return true
	})
	select {
	case <-stopped:
	case <-time.After(stopTimeout):
	}
}

// onOpen puts the server's own reading and writing below nbhttp's.
func (s *Server) onOpen(c net.Conn) {
	if wrapped, ok := c.(*nbhttp.Conn); ok {
		wrapped.Conn = newConnection(s, wrapped)
	}
}

// connectionOf returns the state of the connection that a request came on.
func connectionOf(w http.ResponseWriter) *connection {
	response, ok := w.(*nbhttp.Response)
	if !ok {
		return nil
	}
	state, _ := response.Parser.Processor.(*processor)
	if state == nil {
		return nil
	}
	return state.connection
}
