// Package httpfront serves the callers' HTTP/1.1 API on nbhttp. It bounds and
// validates input, authenticates bearer tokens, streams answers as server-sent
// events and answers discovery requests. A Backend decides whether and where a
// request runs.
package httpfront

import (
	"context"
	"crypto/tls"
	"errors"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio/mempool"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"
)

const (
	// readBufferBytes is the size of one read from a connection. An incomplete
	// header may occupy up to MaxHeaderBytes plus this size.
	readBufferBytes = 4 << 10
	// idleTimeout is the default of ServerConfig.IdleTimeout.
	idleTimeout = 75 * time.Second
	// stallTimeout bounds one write to the caller; the connection is closed if the
	// caller does not read the answer in that time.
	stallTimeout = 30 * time.Second
	// lingerTime is how long the rest of a refused request is read and discarded.
	// Closing at once could reset the connection before the caller has read the
	// refusal.
	lingerTime = 500 * time.Millisecond
	// stopTimeout bounds the time that Stop waits for nbio's goroutines.
	stopTimeout = 100 * time.Millisecond
)

// nbhttp (1.6.8) frees the buffer of an answer twice when its caller has
// disconnected. Two later answers then share one buffer, and callers receive
// pieces of each other's answers. So buffers are left to the garbage collector
// instead of nbio's pool.
func init() { mempool.DefaultMemPool = mempool.NewSTD() }

// ServerConfig configures an HTTP server. All fields are required except the TLS
// files and IdleTimeout.
type ServerConfig struct {
	Address string
	// TLSCertificate and TLSKey are PEM file names; plain HTTP if empty.
	TLSCertificate, TLSKey string
	MaxBodyBytes           int
	MaxHeaderBytes         int
	MaxConnections         int
	// MaxBufferedBytes bounds the request bodies held in memory at the same time,
	// over all connections.
	MaxBufferedBytes int64
	// ReadTimeout is the time that a caller has to send one complete request.
	ReadTimeout time.Duration
	// IdleTimeout is how long a connection without a request stays open; 0 means
	// 75 s.
	IdleTimeout time.Duration
	Handler     http.Handler
	// AnswerBuffer holds what callers have not read of the answers for which HoldAnswer was
	// called; nil holds nothing, so that handlers wait for their callers.
	AnswerBuffer *AnswerBuffer
	// SendBufferBytes is the size of the kernel's send buffer of a connection; 0 leaves it to
	// the kernel, which lets it grow to some megabytes.
	SendBufferBytes int
	// InputErrorBody returns the body of the error response to input that was refused.
	InputErrorBody func(InputError) []byte
	// Log receives the panics of handlers.
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
	// tls is nil for plain HTTP. TLS is handled below nbhttp: in its blocking mode
	// nbhttp sends no answers on TLS connections whose input is read elsewhere.
	tls *tls.Config
	// unfinished counts the requests that were received completely and whose answer
	// has not been handed to the kernel yet.
	unfinished atomic.Int64
	// conns holds the open connections, as keys of type *connection.
	conns sync.Map
	// openConns counts the open connections.
	openConns atomic.Int64
	// buffered counts the bytes of request bodies in memory.
	buffered atomic.Int64
	// listener is set by Listen; the engine takes it over in Start.
	listener net.Listener
	// started is true once the engine listens, draining once Drain was called.
	started, draining atomic.Bool
}

// NewServer loads the TLS files, if any, and returns a server that is not started.
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
		// nbhttp's own limit never stops counting refused connections and closes
		// them without an answer; connection.Read enforces MaxConnections instead.
		MaxLoad:                math.MaxInt32,
		ReadLimit:              s.config.MaxBodyBytes + s.config.MaxHeaderBytes + readBufferBytes,
		MaxHTTPBodySize:        s.config.MaxBodyBytes,
		BlockingReadBufferSize: readBufferBytes,
		// In blocking mode neither nbio's read buffers nor nbhttp's worker pools are
		// used; by default they take 1 MB for each server.
		ReadBufferSize:    readBufferBytes,
		SupportServerOnly: true,
		ServerExecutor:    func(f func()) { go f() },
		KeepaliveTime:     s.config.IdleTimeout,
		Handler:           exactAnswers{s.config.Handler},
		Addrs:             []string{s.config.Address},
		Listen:            func(string, string) (net.Listener, error) { return s.listener, nil },
	})
	engine.OnOpen(s.onOpen)
	return engine
}

// Listen binds the address. Connections wait in the kernel's queue until Start.
// Call it before the start of any server: nbio 1.6.8 hangs in Start if it cannot
// listen, and in Stop soon after Start.
func (s *Server) Listen() error {
	listener, err := s.listenConfig().Listen(context.Background(), "tcp", s.config.Address)
	if err == nil {
		s.listener = listener
	}
	return err
}

// listenConfig sets the options of the listening socket, which connections inherit.
func (s *Server) listenConfig() *net.ListenConfig {
	if s.config.SendBufferBytes == 0 {
		return &net.ListenConfig{}
	}
	return &net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		controlErr := raw.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, s.config.SendBufferBytes)
		})
		return errors.Join(controlErr, err)
	}}
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

// Address returns the listening address, with the actual port if port 0 was
// configured.
func (s *Server) Address() string {
	if s.listener == nil {
		return s.config.Address
	}
	return s.listener.Addr().String()
}

// OpenConnections returns the number of open connections.
func (s *Server) OpenConnections() int { return int(s.openConns.Load()) }

// Busy reports whether any answer has not been handed to the kernel yet.
func (s *Server) Busy() bool { return s.unfinished.Load() > 0 }

// Stop closes the listener and all connections at once. nbio (1.6.8) sometimes
// waits for ever for a poller that missed its wake-up, in both of its modes and
// most often if no request was served; Stop then leaves the idle poller behind
// after stopTimeout. An engine whose start failed has already stopped itself, and
// nbio panics if it is stopped again.
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
		c.(*connection).closeNow()
		return true
	})
	select {
	case <-stopped:
	case <-time.After(stopTimeout):
	}
}

// onOpen inserts the server's own connection, which does all reads and writes,
// below nbhttp's.
func (s *Server) onOpen(c net.Conn) {
	if wrapped, ok := c.(*nbhttp.Conn); ok {
		wrapped.Conn = newConnection(s, wrapped)
	}
}

// connectionOf returns the connection on which a request arrived, or nil if the
// response is not nbhttp's.
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
