package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// timeToFirst is the time from a request to the first event.
const timeToFirst = 30 * time.Millisecond

// Engine is a model server that streams events. A request with the part that Poison names crashes
// it when it begins to write the answer; it is back after DownFor under a new id.
type Engine struct {
	Lab     *Lab
	Service string
	Poison  string
	DownFor time.Duration
	Events  int
	Gap     time.Duration
	Slots   int
	// KeptFor is how long after a crash the old entry of an engine stays in the store.
	KeptFor time.Duration
	// Dark is true if a crash is silent: connections stay open without a byte, and new ones get no
	// answer until the engine is back.
	Dark     bool
	OnArrive func(e *Engine, r *http.Request)
	OnCrash  func(e *Engine, r *http.Request)

	mu      sync.Mutex
	address string
	id      string
	starts  int
	name    string
	down    bool
	conns   map[net.Conn]bool
	server  *http.Server
	// listener is that of server.
	listener net.Listener
	// silent is closed when the engine goes dark.
	silent chan struct{}
}

// Start starts the engine for the first time.
func (e *Engine) Start(name string) error {
	e.name = name
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e.address = listener.Addr().String()
	return e.serve(listener)
}

func (e *Engine) serve(listener net.Listener) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.starts++
	e.id = fmt.Sprintf("i-%s-%d", e.name, e.starts)
	e.conns, e.down, e.silent = map[net.Conn]bool{}, false, make(chan struct{})
	e.server = &http.Server{Handler: e, ConnState: func(c net.Conn, s http.ConnState) {
		e.mu.Lock()
		defer e.mu.Unlock()
		switch s {
		case http.StateNew:
			e.conns[c] = true
		case http.StateClosed, http.StateHijacked:
			delete(e.conns, c)
		}
	}}
	e.listener = listener
	go func(s *http.Server) { _ = s.Serve(listener) }(e.server)
	return e.Lab.Register(e.id, e.Service, e.address, "ready", e.Slots, 1700000000000+int64(e.starts)*5000)
}

// Name is the name of the engine, and ID its present id.
func (e *Engine) Name() string { return e.name }

// crash closes the listener and resets all connections.
func (e *Engine) crash() bool {
	e.mu.Lock()
	if e.down {
		e.mu.Unlock()
		return false
	}
	e.down = true
	server, id := e.server, e.id
	time.AfterFunc(e.KeptFor, func() { e.Lab.Store.Remove("servers", id) })
	if e.Dark {
		close(e.silent)
		listener := e.listener
		e.mu.Unlock()
		go e.beDark(listener, server)
		return true
	}
	for c := range e.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	e.mu.Unlock()
	_ = server.Close()
	go func() {
		time.Sleep(e.DownFor)
		e.startAgain()
	}()
	return true
}

// beDark leaves the connections of the engine open without a byte and new ones without an answer,
// until the engine starts again. The connections of the dead process are reset then.
func (e *Engine) beDark(listener net.Listener, server *http.Server) {
	_ = listener.Close()
	end, err := leaveUnanswered(e.address)
	if err != nil {
		panic(err)
	}
	time.Sleep(e.DownFor)
	e.mu.Lock()
	for c := range e.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	e.mu.Unlock()
	_ = server.Close()
	end()
	e.startAgain()
}

// startAgain listens at the engine's address again, once that is free.
func (e *Engine) startAgain() {
	for {
		listener, err := net.Listen("tcp", e.address)
		if err == nil {
			if err := e.serve(listener); err != nil {
				panic(err)
			}
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		return
	}
	attempt := r.Header.Get(names.ID)
	header := w.Header()
	header.Set(names.ID, attempt)
	e.mu.Lock()
	id, silent := e.id, e.silent
	e.mu.Unlock()
	if isClosed(silent) {
		<-r.Context().Done() // a dark machine answers nothing
		panic(http.ErrAbortHandler)
	}
	if r.Header.Get(names.Expect) != id {
		header.Set("Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if e.OnArrive != nil {
		e.OnArrive(e, r)
	}
	_, _ = io.Copy(io.Discard, r.Body)
	header.Set(names.Seal, id+"."+attempt)
	if r.Method == http.MethodGet {
		_, _ = fmt.Fprintf(w, "answer of %s to %s", id, attempt)
		return
	}
	header.Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	time.Sleep(timeToFirst)
	first := 1
	if after, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = after + 1
	}
	for i := first; i <= e.Events; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: event %d\n\n", i, i)
		if flush.Flush() != nil {
			return
		}
		if e.Poison != "" && i == first && strings.Contains(r.Header.Get(names.Parts), e.Poison+":") {
			if e.crash() && e.OnCrash != nil {
				e.OnCrash(e, r)
			}
			if e.Dark {
				<-r.Context().Done()
			}
			panic(http.ErrAbortHandler)
		}
		select {
		case <-time.After(e.Gap):
		case <-silent:
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// Call is a client's request.
type Call struct {
	Method, Path, Parts, Body string
	// Key is the client's key; Key of the package if it is empty.
	Key        string
	DeadlineMs int
}

// Send sends one attempt on a new connection and returns the status, 0 without one, and whether
// the answer is complete.
func (l *Lab) Send(n *Node, c Call) (id string, status int, whole bool) {
	return l.SendNoted(n, c, func(string) {})
}

// SendNoted is Send, with a function that is called with the id before the request is sent.
func (l *Lab) SendNoted(n *Node, c Call, note func(id string)) (id string, status int, whole bool) {
	id = l.ID()
	note(id)
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(c.DeadlineMs)*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, c.Method, "http://"+n.Front+c.Path, strings.NewReader(c.Body))
	if err != nil {
		return id, 0, false
	}
	request.Close = true
	request.Host = Host
	request.Header.Set(names.ID, id)
	request.Header.Set(names.Key, cmp.Or(c.Key, Key))
	request.Header.Set(names.Deadline, strconv.Itoa(c.DeadlineMs))
	if c.Parts != "" {
		request.Header.Set("Model", "m")
		request.Header.Set(names.Tokens, "200,200")
		request.Header.Set(names.Parts, c.Parts)
	}
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	if c.Parts != "" {
		abandon := time.AfterFunc(abandonAfter, cancel)
		defer abandon.Stop()
		return l.roundTrip(id, transport, request, func() { abandon.Reset(abandonAfter) })
	}
	return l.roundTrip(id, transport, request, func() {})
}

// abandonAfter is the gap after which a client abandons a stream, also before its first event.
const abandonAfter = 2 * time.Second

// roundTrip sends a request and reads its answer; read is called after each read.
func (l *Lab) roundTrip(id string, transport *http.Transport, request *http.Request, read func()) (string, int, bool) {
	response, err := transport.RoundTrip(request)
	if err != nil {
		return id, 0, false
	}
	defer func() { _ = response.Body.Close() }()
	buffer := make([]byte, 4096)
	for {
		read()
		_, err := response.Body.Read(buffer)
		if err != nil {
			return id, response.StatusCode, errors.Is(err, io.EOF)
		}
	}
}
