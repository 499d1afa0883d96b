package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	contact    = 3 * time.Second // contactMs
	firstPart  = "5c1e07a2:60"
	poisonPart = "91bd3f06"
	// maxLate is the number of requests that BUDGET allows after contact.
	maxLate = 3
)

// clients sends requests until it is stopped.
type clients struct {
	stop chan struct{}
	wait sync.WaitGroup
}

func newClients() *clients { return &clients{stop: make(chan struct{})} }

// every calls send at an interval, each time on a goroutine of its own.
func (c *clients) every(interval time.Duration, send func(k int)) {
	c.wait.Add(1)
	go func() {
		defer c.wait.Done()
		for k := 0; ; k++ {
			select {
			case <-c.stop:
				return
			case <-time.After(interval):
				c.wait.Add(1)
				go func() {
					defer c.wait.Done()
					send(k)
				}()
			}
		}
	}()
}

// end stops all clients and waits for their last requests.
func (c *clients) end() {
	close(c.stop)
	c.wait.Wait()
}

// startNodes starts three instances and waits until they are ready.
func startNodes(l *Lab) ([]*Node, error) {
	var nodes []*Node
	for i := range 3 {
		n, err := l.Start(fmt.Sprintf("front-%d", i+1))
		if err != nil {
			return nil, err
		}
		nodes = append(nodes, n)
	}
	for _, n := range nodes {
		if err := n.AwaitReady(); err != nil {
			return nil, err
		}
	}
	return nodes, nil
}

// tally counts the requests with the part that crashes servers.
type tally struct {
	l       *Lab
	mu      sync.Mutex
	crashes []time.Time
	sentAt  map[string]time.Time
	arrived int
	late    int
	sound   map[string]int
	served  map[string]int
}

func newTally(l *Lab) *tally {
	return &tally{l: l, sentAt: map[string]time.Time{}, sound: map[string]int{}, served: map[string]int{}}
}

// arrive records the arrival of a request at a server. It is late if its client sent it later than
// contact after the fifth crash.
func (t *tally) arrive(e *Engine, r *http.Request) {
	if !strings.Contains(r.Header.Get(names.Parts), poisonPart+":") {
		return
	}
	id := r.Header.Get(names.ID)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.arrived++
	counted := ""
	if sent, known := t.sentAt[id]; known && len(t.crashes) >= 5 && sent.Sub(t.crashes[4]) > contact {
		t.late++
		counted = fmt.Sprintf(", counted: sent %.1f s after the fifth crash", sent.Sub(t.crashes[4]).Seconds())
	}
	t.l.Note("%s gets request %s with the part%s", e.Name(), id, counted)
}

func (t *tally) crash(e *Engine, r *http.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.crashes = append(t.crashes, time.Now())
	t.l.Note("%s crashes (%d) under request %s", e.Name(), len(t.crashes), r.Header.Get(names.ID))
}

// sendSound sends a request without the part and counts whether it was served.
func (t *tally) sendSound(n *Node, path string, deadlineMs, k int) {
	_, status, whole := t.l.Send(n, Call{Method: "POST", Path: path, Body: "hello", DeadlineMs: deadlineMs,
		Parts: fmt.Sprintf("%s,%x:30", firstPart, 0xa0000000+k)})
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sound[path]++
	if status == http.StatusOK && whole {
		t.served[path]++
	}
}

// sendPoison sends a request with the part.
func (t *tally) sendPoison(n *Node, path string, deadlineMs, k int) {
	parts := fmt.Sprintf("%s,%s:40,%x:30", firstPart, poisonPart, 0xb0000000+k)
	id, status, _ := t.l.SendNoted(n, Call{Method: "POST", Path: path, Body: "hello", DeadlineMs: deadlineMs, Parts: parts}, func(id string) {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.sentAt[id] = time.Now()
	})
	t.l.Note("request %s with the part through %s: status %d", id, n.Name, status)
}

// result writes the totals and returns the status of the case.
func (t *tally) result() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	text := fmt.Sprintf("%d crashes; %d requests with the part reached servers, %d of them sent later than %v after the fifth crash (at most %d); sound requests served %v of %v",
		len(t.crashes), t.arrived, t.late, contact, maxLate, t.served, t.sound)
	t.l.Note("%s", text)
	fmt.Println(text)
	if t.late > maxLate {
		return broken
	}
	return held
}
