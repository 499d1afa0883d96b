// Package httpfront is the edge to callers: HTTP/1.1 by nbhttp with bounded
// input, bearer tokens, server-sent events and discovery. It hands requests to
// a Backend and never decides where or whether they run.
package httpfront

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/llib/std/crypto/tls"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
)

const (
	// readBufferBytes is the size of one read from a connection. The bytes of
	// a header that is not complete yet are bounded by the limit plus this.
	readBufferBytes = 16 << 10
	// idleTimeout closes connections without a request.
	idleTimeout = 75 * time.Second
	// stallTimeout closes a connection whose caller takes no byte for this long
	// while an answer waits.
	stallTimeout = 30 * time.Second
	// writeWindow is the number of answer bytes held for a slow caller; a
	// writer waits above it, so that back-pressure reaches the engine.
	writeWindow = 64 << 10
	// maxWriteBuffer closes a connection whose buffered answer is larger. TLS
	// connections have no write window and are bounded by this alone.
	maxWriteBuffer = 4 << 20
	// lingerTime is how long the rest of a refused request is discarded, so
	// that the refusal is not lost to a connection reset.
	lingerTime = 500 * time.Millisecond
)

// ServerConfig bounds an HTTP server. All fields are required but the TLS ones.
type ServerConfig struct {
	Address string
	// TLSCertificate and TLSKey are PEM file names; plain HTTP if empty.
	TLSCertificate, TLSKey string
	MaxBodyBytes           int
	MaxHeaderBytes         int
	MaxConnections         int
	// ReadTimeout is the time to send one whole request.
	ReadTimeout time.Duration
	Handler     http.Handler
	// BadInput builds the body of an answer to input that is not a valid request.
	BadInput func(InputError) []byte
}

// InputError says what is wrong with input that never became a request.
type InputError struct {
	Status int
	// Code is a refusal code.
	Code   string
	Reason string
	Remedy string
}

// Server is an HTTP server with bounded input and output buffers.
type Server struct {
	config ServerConfig
	engine *nbhttp.Engine
	// conns maps *nbio.Conn to *connection.
	conns sync.Map
	// opened orders the accepting goroutine's writes to a connection before the
	// poller's reads. nbio relies on epoll for this order, which the race
	// detector does not see.
	opened sync.Mutex
	// started is true once the engine listens.
	started atomic.Bool
}

// NewServer returns a server that is not started yet.
func NewServer(config ServerConfig) (*Server, error) {
	s := &Server{config: config}
	conf := nbhttp.Config{
		Name:            "http",
		Network:         "tcp",
		MaxLoad:         config.MaxConnections,
		ReadLimit:       config.MaxBodyBytes + config.MaxHeaderBytes + readBufferBytes,
		MaxHTTPBodySize: config.MaxBodyBytes,
		ReadBufferSize:  readBufferBytes,
		// The timer of a connection ends slow requests with an answer; this
		// deadline only closes idle connections.
		KeepaliveTime:      idleTimeout + config.ReadTimeout,
		MaxWriteBufferSize: maxWriteBuffer,
		Handler:            config.Handler,
	}
	if config.TLSCertificate == "" {
		conf.Addrs = []string{config.Address}
	} else {
		certificate, err := tls.LoadX509KeyPair(config.TLSCertificate, config.TLSKey)
		if err != nil {
			return nil, err
		}
		conf.AddrsTLS = []string{config.Address}
		conf.TLSConfig = &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS12}
	}
	s.engine = nbhttp.NewEngine(conf)
	s.engine.OnOpen(func(net.Conn) { s.passOn() })
	s.engine.OnData(s.onData)
	s.engine.OnWrittenSize(s.onWritten)
	return s, nil
}

// Start listens and serves until Stop.
func (s *Server) Start() error {
	err := s.engine.Start()
	s.started.Store(err == nil)
	return err
}

// Probe returns an error if the address cannot be listened on. It is for use
// before Start of any server: nbio 1.6.8 can hang in Start if it cannot listen,
// and in Stop soon after Start.
func (s *Server) Probe() error {
	probe, err := net.Listen("tcp", s.config.Address)
	if err != nil {
		return err
	}
	return probe.Close()
}

// Address is the listening address, with the port that was chosen if it was 0.
func (s *Server) Address() string {
	if len(s.engine.AddrsTLS) > 0 {
		return s.engine.AddrsTLS[0]
	}
	return s.engine.Addrs[0]
}

// Online is the number of open connections.
func (s *Server) Online() int { return s.engine.Online() }

// Unsent is true while the kernel has not taken all that was written.
func (s *Server) Unsent() bool {
	unsent := false
	s.conns.Range(func(_, state any) bool {
		unsent = unsent || state.(*connection).out.unsent()
		return !unsent
	})
	return unsent
}

// Stop closes the listener and all connections at once. An engine that did not
// start has stopped itself, and nbio panics if it is stopped again.
func (s *Server) Stop() {
	if s.started.Load() {
		s.engine.Stop()
	}
}

// onData parses input of one connection; nbhttp's own handler would close the
// connection without an answer when the input is not valid.
func (s *Server) onData(c *nbio.Conn, data []byte) {
	parser, ok := c.Session().(*nbhttp.Parser)
	if !ok {
		_ = c.Close()
		return
	}
	state, ok := parser.Processor.(*connection)
	if !ok {
		state = s.attach(c, parser)
	}
	if state.discarding() {
		return
	}
	if s.config.TLSCertificate != "" {
		s.engine.TLSDataHandler(c, data)
		state.checkInput(nil, len(data))
		return
	}
	err := parser.Parse(data)
	state.checkInput(err, len(data))
}

func (s *Server) passOn() {
	s.opened.Lock()
	defer s.opened.Unlock()
}

// onWritten counts the bytes that the kernel took.
func (s *Server) onWritten(c *nbio.Conn, _ []byte, n int) {
	if state, ok := s.conns.Load(c); ok {
		state.(*connection).out.taken(n)
	}
}

// attach puts a connection's state between nbhttp's parser and its processor.
func (s *Server) attach(c *nbio.Conn, parser *nbhttp.Parser) *connection {
	s.passOn()
	state := newConnection(s, c, parser)
	s.conns.Store(c, state)
	parser.Processor = state
	parser.Execute = state.execute
	parser.OnClose(func(*nbhttp.Parser, error) {
		s.conns.Delete(c)
		state.closed()
	})
	if wrapped, ok := parser.Conn.(*nbhttp.Conn); ok && wrapped.Conn == net.Conn(c) {
		wrapped.Conn = state.out
	}
	return state
}

// connectionOf returns the state of the connection that a request came on.
func connectionOf(w http.ResponseWriter) *connection {
	response, ok := w.(*nbhttp.Response)
	if !ok {
		return nil
	}
	state, _ := response.Parser.Processor.(*connection)
	return state
}
