package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// arrival is a request that reached a server.
type arrival struct {
	id, server, service, tenant, prefix, target string
	at                                          time.Time
	// ended is true if the server ended under the request.
	ended bool
}

// fleet holds the servers of a lab and what reached them.
type fleet struct {
	lab *lab

	mu       sync.Mutex
	arrivals []arrival
	ends     []time.Time
	// deadly reports whether a server ends when it begins to answer a request.
	deadly func(r *http.Request) bool
	// awayFor is how long a server that ended stays away.
	awayFor time.Duration
	next    int
	all     []*server
	closed  bool
}

// newFleet returns a fleet without servers.
func newFleet(l *lab) *fleet {
	f := &fleet{lab: l, deadly: func(*http.Request) bool { return false }, awayFor: 3 * time.Second}
	l.onClose(func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.closed = true
	})
	return f
}

// server is one start of a server.
type server struct {
	fleet       *fleet
	id, service string
	address     string
	slots       int
	http        *http.Server
	stopBeats   func()
	events      int
	gap         time.Duration
}

// add starts servers of a service.
func (f *fleet) add(service string, count, slots, events int, gap time.Duration) {
	for range count {
		f.startServer(service, slots, events, gap)
	}
}

// startServer starts a server with a new id and registers it.
func (f *fleet) startServer(service string, slots, events int, gap time.Duration) {
	f.mu.Lock()
	f.next++
	id := fmt.Sprintf("i-%08x", 0x7f3a9100+f.next)
	closed := f.closed
	f.mu.Unlock()
	if closed {
		return
	}
	listener, err := net.Listen("tcp4", loopback+":0")
	if err != nil {
		f.lab.unable("no free port: %v", err)
	}
	s := &server{fleet: f, id: id, service: service, address: listener.Addr().String(), slots: slots, events: events, gap: gap}
	s.http = &http.Server{Handler: s, IdleTimeout: 10 * time.Second}
	go func() { _ = s.http.Serve(listener) }()
	f.mu.Lock()
	f.all = append(f.all, s)
	f.mu.Unlock()
	s.stopBeats = f.lab.register(id, service, s.address, slots, time.Now().UnixMilli(), alwaysReady)
	f.lab.onClose(func() { _ = s.http.Close() })
	f.lab.logf("server %s of %s starts at %s", id, service, s.address)
}

// end ends a server as a crash does: all its connections break and it says nothing more. Its
// entry is removed after three heartbeat intervals; another start of the server, with a new id,
// follows after some seconds.
func (s *server) end() {
	s.stopBeats()
	_ = s.http.Close()
	f := s.fleet
	time.AfterFunc(3*heartbeat, func() { f.lab.store.Remove("servers", s.id) })
	time.AfterFunc(f.awayFor, func() { f.startServer(s.service, s.slots, s.events, s.gap) })
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f, id, header := s.fleet, r.Header.Get(names.ID), w.Header()
	header.Set(names.ID, id)
	if r.URL.Path == "/health" {
		header.Set(names.Instance, s.id)
		return
	}
	if expected := r.Header.Get(names.Expect); expected != "" && expected != s.id {
		header.Set(names.NotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	f.mu.Lock()
	deadly := f.deadly(r)
	f.arrivals = append(f.arrivals, arrival{id: id, server: s.id, service: s.service, tenant: r.Header.Get(names.Tenant),
		prefix: r.Header.Get(names.Prompt), target: r.RequestURI, at: time.Now(), ended: deadly})
	if deadly {
		f.ends = append(f.ends, time.Now())
	}
	f.mu.Unlock()
	if deadly {
		f.lab.logf("server %s of %s ends under request %s", s.id, s.service, id)
		s.end()
		panic(http.ErrAbortHandler)
	}
	header.Set(names.Seal, "3e1b."+s.id+"."+id)
	header.Set(names.Load, fmt.Sprintf("1,0,%d", s.slots))
	if s.events == 0 {
		time.Sleep(s.gap)
		_, _ = fmt.Fprintf(w, "answer to %s", id)
		return
	}
	s.stream(w, r)
}

func (s *server) stream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	first := 1
	if after, err := strconv.Atoi(r.Header.Get(names.LastEvent)); err == nil {
		first = after + 1
	}
	for i := first; i <= s.events; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, strings.Repeat("x", 20)); err != nil {
			return
		}
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		select {
		case <-time.After(s.gap):
		case <-r.Context().Done():
			return
		}
	}
}

// first returns the first server of a service.
func (f *fleet) first(service string) *server {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.all {
		if s.service == service {
			return s
		}
	}
	return nil
}

// leave removes a server's entry; it goes on to serve.
func (s *server) leave() {
	s.stopBeats()
	s.fleet.lab.store.Remove("servers", s.id)
}

// seen returns the requests that reached servers and that a test picks.
func (f *fleet) seen(pick func(a *arrival) bool) (picked []arrival) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.arrivals {
		if pick(&f.arrivals[i]) {
			picked = append(picked, f.arrivals[i])
		}
	}
	return picked
}

// endTimes returns when servers ended.
func (f *fleet) endTimes() []time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]time.Time(nil), f.ends...)
}
