package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// request is a request as a server has received it.
type request struct {
	*http.Request
	id   string
	body []byte
	at   time.Time
}

// server is a server of a service. It checks the id that is expected of it, counts each
// request that it runs and lets handle write the answer to the connection.
type server struct {
	id, service string
	lab         *lab
	address     string
	slots       int
	listener    net.Listener
	handle      func(s *server, c net.Conn, r *request) (keep bool)
	mu          sync.Mutex
	runs        []*request
	born        int64
	// places holds a token for each request in progress; others wait.
	places           chan struct{}
	running, waiting atomic.Int64
	// silent is true while the server sends no heartbeat. silence is the time since the last
	// one, as far as the store was up.
	silent   atomic.Bool
	silence  time.Duration
	sequence int
}

func (l *lab) addServer(id, service string, slots int, handle func(s *server, c net.Conn, r *request) bool) *server {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	s := &server{id: id, service: service, lab: l, address: listener.Addr().String(), slots: slots, listener: listener, handle: handle,
		born: time.Now().UnixMilli(), places: make(chan struct{}, slots)}
	l.servers = append(l.servers, s)
	go s.accept()
	s.register("ready")
	go s.beat()
	return s
}

// heartbeat is heartbeatMs of the site. An entry is removed after three of them in silence.
const heartbeat = 1200 * time.Millisecond

// beat writes the server's entry each heartbeat, unless the server is silent or the store is
// down, and removes it for the platform after three heartbeats of silence.
func (s *server) beat() {
	const step = 100 * time.Millisecond
	for sinceBeat := time.Duration(0); ; sinceBeat += step {
		time.Sleep(step)
		if s.lab.down.Load() {
			continue
		}
		if s.silence += step; s.silence == 3*heartbeat {
			s.lab.note("the entry of %s is removed after %v of silence", s.id, s.silence)
			s.lab.store.remove("servers", s.id)
		}
		if sinceBeat >= heartbeat && !s.silent.Load() {
			sinceBeat, s.silence = 0, 0
			s.register("ready")
		}
	}
}

// register writes the server's entry into the store.
func (s *server) register(state string) {
	s.sequence++
	s.lab.store.put("servers", s.id, filled(serverText, "SERVICE", s.service, "ADDRESS", s.address, "SLOTS", strconv.Itoa(s.slots),
		"STATE", state, "SEQUENCE", strconv.Itoa(s.sequence), "BORN", strconv.FormatInt(s.born, 10)))
}

func (s *server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

func (s *server) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		got := &request{Request: r, id: r.Header.Get(names.ID), body: body, at: time.Now()}
		if r.Header.Get(names.Expect) != s.id {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nAttempt-Id: %s\r\nContent-Length: 0\r\n\r\n", s.id, got.id)
			continue
		}
		s.waiting.Add(1)
		s.places <- struct{}{}
		s.waiting.Add(-1)
		s.running.Add(1)
		s.mu.Lock()
		s.runs = append(s.runs, got)
		s.mu.Unlock()
		keep := s.handle(s, c, got)
		s.running.Add(-1)
		<-s.places
		if !keep {
			return
		}
	}
}

// taken returns the requests that the server has run.
func (s *server) taken() []*request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*request(nil), s.runs...)
}

// head is the start of an answer of the server, with its signature.
func (s *server) head(r *request, status string) *bytes.Buffer {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %s\r\nAttempt-Id: %s\r\nResponse-Seal: %s.%s\r\nServer-Load: %d,%d,%d\r\n", status, r.id, s.id, r.id,
		s.running.Load(), s.waiting.Load(), s.slots)
	return &b
}

// reply sends a whole answer with its length.
func (s *server) reply(c net.Conn, r *request, status, body string) bool {
	b := s.head(r, status)
	fmt.Fprintf(b, "Content-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	_, err := c.Write(b.Bytes())
	return err == nil
}
