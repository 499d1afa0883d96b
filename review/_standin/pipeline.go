package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { scenarios["pipeline"] = pipeline }

// darkTime is how long one of six servers of the service is dark.
const darkTime = 4500 * time.Millisecond

// pipeline sends idempotent requests on kept connections at a steady pace, without waiting for
// the answers before, as HTTP/1.1 allows. Answers come in the order of the requests. For a
// while one of the six servers is dark: it takes requests and says nothing.
func pipeline(l *lab) {
	l.configuration(1e6, 1e6)
	var dark atomic.Bool
	for i := range 6 {
		l.addServer(fmt.Sprintf("i-depot-%d", i+1), "depot", 6, func(s *server, c net.Conn, r *request) bool {
			if s.id == "i-depot-1" && dark.Load() {
				time.Sleep(time.Second)
				return false
			}
			time.Sleep(5 * time.Millisecond)
			return s.reply(c, r, "200 OK", "status of "+r.RequestURI)
		})
	}
	l.addNodes(3)
	stop := make(chan struct{})
	var wait sync.WaitGroup
	var sentCount, answered, unanswered, foreign atomic.Int64
	for w := range 6 {
		c, err := dial(l.nodes[w%3].caller)
		check(err)
		type one struct{ id, path string }
		queue := make(chan one, 10000)
		wait.Add(2)
		go func() {
			defer wait.Done()
			defer close(queue)
			ticker := time.NewTicker(60 * time.Millisecond)
			defer ticker.Stop()
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				case <-ticker.C:
				}
				o := one{newID(), fmt.Sprintf("/status/client-%d-%d", w, k)}
				b := head("GET", o.path, o.id, "key-crew", 600*time.Millisecond)
				b.WriteString("\r\n")
				queue <- o
				sentCount.Add(1)
				if _, err := c.conn.Write(b.Bytes()); err != nil {
					return
				}
			}
		}()
		go func() {
			defer wait.Done()
			for o := range queue {
				_ = c.conn.SetReadDeadline(time.Now().Add(3 * time.Second))
				a := &attempt{id: o.id}
				c.read(a, "GET")
				l.sent(a, "GET", o.path)
				if a.err != nil {
					// All that was sent on the connection is lost.
					unanswered.Add(int64(1 + len(queue)))
					c.close()
					return
				}
				answered.Add(1)
				if id := a.header.Get(names.ID); a.status == http.StatusOK && id != o.id {
					foreign.Add(1)
					l.breaks("MIXED: the answer that is due to %s GET %s is that to %s, %q", o.id, o.path, id, a.body)
				}
			}
		}()
	}
	time.Sleep(3 * time.Second)
	if l.trouble {
		l.note("i-depot-1 is dark")
		dark.Store(true)
		l.servers[0].silent.Store(true)
	}
	time.Sleep(darkTime)
	dark.Store(false)
	l.servers[0].silent.Store(false)
	l.note("i-depot-1 is not dark")
	time.Sleep(3 * time.Second)
	close(stop)
	wait.Wait()
	l.note("%d requests sent, %d answers read, %d of them to another request; %d requests without an answer", sentCount.Load(), answered.Load(),
		foreign.Load(), unanswered.Load())
}
