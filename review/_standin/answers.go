package main

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

func init() {
	scenarios["status"] = func(l *lab) { greyBookings(l, "529 Site Is Overloaded") }
	scenarios["refused"] = func(l *lab) { greyBookings(l, "503 Service Unavailable") }
	scenarios["head"] = unframedHead
}

// sent is what clients sent, by attempt id, with the answer that came.
type sent struct {
	mu       sync.Mutex
	attempts map[string]*attempt
	paths    map[string]string
}

func newSent() *sent { return &sent{attempts: map[string]*attempt{}, paths: map[string]string{}} }

func (s *sent) add(a *attempt, path string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts[a.id], s.paths[a.id] = a, path
}

// greyTime is how long servers are grey, and greyShare the share of requests that they fail
// meanwhile, one in greyEvery.
const (
	greyTime  = 4 * time.Second
	greyEvery = 3
)

// greyBookings sends bookings to three instances. While the servers of the service are grey,
// they run one booking in greyEvery and answer with their own failure, signed and whole. Such
// an answer has no Not-Executed: it does not state that the booking has not run.
func greyBookings(l *lab, failure string) {
	l.configuration(1e6, 1e6)
	var grey atomic.Bool
	var count atomic.Int64
	failed := &sync.Map{}
	for i := range 3 {
		l.addServer(fmt.Sprintf("i-depot-%d", i+1), "depot", 6, func(s *server, c net.Conn, r *request) bool {
			time.Sleep(15 * time.Millisecond)
			if grey.Load() && count.Add(1)%greyEvery == 0 {
				failed.Store(r.id, failure)
				return s.reply(c, r, failure, "the booking is entered, but its confirmation failed")
			}
			return s.reply(c, r, "200 OK", "booked "+r.RequestURI)
		})
	}
	l.addNodes(3)
	all := newSent()
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for w := range 6 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			n := l.nodes[w%len(l.nodes)]
			c, err := dial(n.caller)
			check(err)
			defer c.close()
			for order := 1; ; order++ {
				select {
				case <-stop:
					return
				default:
				}
				path := fmt.Sprintf("/book/client-%d-order-%d", w, order)
				a := c.call("POST", path, "key-crew", 600*time.Millisecond, []byte("2 pallets"))
				all.add(a, path)
				l.sent(a, "POST", path)
				if a.err != nil {
					l.note("%s %s: no answer: %v", a.id, path, a.err)
					return
				}
				time.Sleep(50 * time.Millisecond)
			}
		}()
	}
	time.Sleep(2 * time.Second)
	if l.trouble {
		l.note("the servers are grey: one booking in %d is run and answered with %s", greyEvery, failure)
		grey.Store(true)
	}
	time.Sleep(greyTime)
	grey.Store(false)
	l.note("the servers are sound")
	time.Sleep(2 * time.Second)
	close(stop)
	wait.Wait()
	l.judgeAnswers(all, failed)
}

// judgeAnswers checks MIXED and REFUSED for requests that are not idempotent.
func (l *lab) judgeAnswers(all *sent, failed *sync.Map) {
	runs := map[string]int{}
	for _, s := range l.servers {
		for _, r := range s.taken() {
			runs[r.id]++
		}
	}
	statuses := map[string]int{}
	for id, a := range all.attempts {
		gave, isFailure := failed.Load(id)
		line := fmt.Sprintf("%s POST %s: the server gave %v, the client got %d (Response-Seal %q, Not-Executed %q, body %q), runs %d",
			id, all.paths[id], gave, a.status, a.header.Get(names.Seal), a.header.Get(names.NotRun), a.body, runs[id])
		statuses[fmt.Sprintf("server's failure: %v, client's status: %d, runs: %d", gave, a.status, runs[id])]++
		if isFailure {
			l.note("%s", line)
		}
		switch {
		case isFailure && a.status >= 200 && a.status < 300:
			l.breaks("MIXED: a success where the server had answered with a failure: %s", line)
		case runs[id] > 0 && (a.status == 429 || a.status == 503 || a.status == 408 || a.status == 421):
			l.breaks("REFUSED: the answer promises that the request has not run, but it has: %s", line)
		case runs[id] > 1:
			l.breaks("TWICE: %s", line)
		case a.status == 200 && string(a.body) != "booked "+all.paths[id]:
			l.breaks("MIXED: not the server's body: %s", line)
		}
	}
	for text, n := range statuses {
		l.note("%5d bookings: %s", n, text)
	}
}

// unframedTime is how long servers answer without a length, unframedEvery the share of their
// answers that have none.
const (
	unframedTime  = 5 * time.Second
	unframedEvery = 20
)

// unframedHead sends HEAD and GET requests by turns on kept connections. While the trouble
// lasts, one answer in unframedEvery has no length and ends with its connection.
func unframedHead(l *lab) {
	l.configuration(1e6, 1e6)
	var unframed atomic.Bool
	var count atomic.Int64
	without := &sync.Map{}
	for i := range 3 {
		l.addServer(fmt.Sprintf("i-depot-%d", i+1), "depot", 6, func(s *server, c net.Conn, r *request) bool {
			time.Sleep(5 * time.Millisecond)
			body := "status of " + r.RequestURI
			b := s.head(r, "200 OK")
			b.WriteString("Content-Type: text/plain\r\n")
			// Each second answer is to a HEAD request, so that both methods get some.
			cut := unframed.Load() && count.Add(1)%(unframedEvery+1) == 0
			if cut {
				without.Store(r.id, r.Method)
				b.WriteString("Connection: close\r\n\r\n")
			} else {
				fmt.Fprintf(b, "Content-Length: %d\r\n\r\n", len(body))
			}
			if r.Method != "HEAD" {
				b.WriteString(body)
			}
			_, err := c.Write(b.Bytes())
			return err == nil && !cut
		})
	}
	l.addNodes(3)
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for w := range 6 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			n := l.nodes[w%len(l.nodes)]
			var c *client
			before := ""
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				default:
				}
				if c == nil {
					var err error
					c, err = dial(n.caller)
					check(err)
					before = "nothing"
				}
				method := []string{"HEAD", "GET"}[k%2]
				path := fmt.Sprintf("/status/client-%d-%d", w, k)
				a := c.call(method, path, "key-crew", 600*time.Millisecond, nil)
				l.sent(a, method, path)
				want := ""
				if method == "GET" {
					want = "status of " + path
				}
				line := fmt.Sprintf("%s %s %s: %d %q %v; before it on the connection: %s", a.id, method, path, a.status, a.body, a.err, before)
				if a.err != nil || a.status == 200 && string(a.body) != want || a.status == 200 && a.header.Get(names.ID) != a.id {
					l.breaks("MIXED: bytes that are no answer in the protocol, or another request's answer: %s", line)
				}
				before = fmt.Sprintf("%s %s", a.id, method)
				if gave, ok := without.Load(a.id); ok {
					l.note("%s; the server's answer to %v had no length", line, gave)
					before += " (the server's answer had no length)"
				}
				if a.err != nil {
					c.close()
					c = nil
				}
				time.Sleep(10 * time.Millisecond)
			}
		}()
	}
	time.Sleep(2 * time.Second)
	if l.trouble {
		l.note("one answer in %d has no length and ends with its connection", unframedEvery+1)
		unframed.Store(true)
	}
	time.Sleep(unframedTime)
	unframed.Store(false)
	l.note("all answers have a length")
	time.Sleep(time.Second)
	close(stop)
	wait.Wait()
}
