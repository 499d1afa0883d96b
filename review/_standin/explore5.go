package main

import (
	"fmt"
	"math/rand"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// streamOf writes a stream of n events with the gap, chunked.
func streamOf(s *server, c net.Conn, r *request, n int, gap time.Duration) bool {
	b := s.head(r, "200 OK")
	b.WriteString("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	if _, err := c.Write(b.Bytes()); err != nil {
		return false
	}
	first := 1
	if v := r.Header.Get("Last-Event-Id"); v != "" {
		fmt.Sscan(v, &first)
		first++
	}
	for i := first; i <= n; i++ {
		time.Sleep(gap)
		text := fmt.Sprintf("id: %d\ndata: %s %d\n\n", i, r.id, i)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text); err != nil {
			return false
		}
	}
	_, err := c.Write([]byte("0\r\n\r\n"))
	return err == nil
}

func wholeStream(id string, n int) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s %d\n\n", i, id, i)
	}
	return b.String()
}

func init() {
	scenarios["load"] = func(l *lab) {
		l.configuration(func(c map[string]any) {
			c["tenants"].([]any)[0].(map[string]any)["ratePerS"] = 1e9
			c["tenants"].([]any)[0].(map[string]any)["burst"] = 1e9
		})
		for i := range 4 {
			l.addServer(fmt.Sprintf("engine-%d", i), "models", 10, func(s *server, c net.Conn, r *request) bool {
				return streamOf(s, c, r, 20, 30*time.Millisecond)
			})
		}
		for i := range 3 {
			l.addServer(fmt.Sprintf("depot-%d", i), "depot", 6, func(s *server, c net.Conn, r *request) bool {
				time.Sleep(20 * time.Millisecond)
				return s.reply(c, r, "200 OK", r.RequestURI+" "+r.id)
			})
		}
		l.addNodes(3)
		var mu sync.Mutex
		codes := map[string]int{}
		ids := map[string]string{}
		stop := make(chan struct{})
		var wait sync.WaitGroup
		for w := range 40 {
			wait.Add(1)
			go func() {
				defer wait.Done()
				rng := rand.New(rand.NewSource(int64(w)))
				var c *client
				var n *node
				for {
					select {
					case <-stop:
						return
					default:
					}
					if c == nil {
						n = l.nodes[rng.Intn(len(l.nodes))]
						var err error
						if c, err = dial(n.caller); err != nil {
							c = nil
							time.Sleep(20 * time.Millisecond)
							continue
						}
					}
					kind := []string{"POST /book/", "GET /status/", "POST /reports/", "POST /answers/"}[rng.Intn(4)]
					m, p, _ := strings.Cut(kind, " ")
					path := p + fmt.Sprint(rng.Intn(1000))
					body := []byte("body")
					if m == "GET" {
						body = nil
					}
					a := c.call(m, path, "key-crew", 3*time.Second, body, "Token-Counts: 100,100", "Model: m", "Prompt-Prefix: aa:50,bb:50")
					result := fmt.Sprint(p, " ", a.status, " ", a.err)
					want := path + " " + a.id
					if strings.HasPrefix(p, "/reports") || strings.HasPrefix(p, "/answers") {
						want = wholeStream(a.id, 20)
					}
					if a.status == 200 && a.err == nil && string(a.body) != want {
						result += " WRONG"
					}
					if a.err != nil {
						l.note("%s %s at %s: %d %v after %v", a.id, path, n.name, a.status, a.err, a.took)
					}
					mu.Lock()
					codes[result]++
					ids[a.id] = result
					mu.Unlock()
					if a.err != nil || a.header.Get("Connection") == "close" || rng.Intn(20) == 0 {
						c.close()
						c = nil
					}
					if a.status >= 400 {
						time.Sleep(50 * time.Millisecond)
					}
				}
			}()
		}
		time.Sleep(2 * time.Second)
		switch os.Getenv("EVENT") {
		case "term":
			for _, n := range l.nodes {
				l.note("TERM %s", n.name)
				n.signal(syscall.SIGTERM)
				<-n.done
				l.note("ended %s", n.name)
				l.start(n)
				l.waitReady(n)
				time.Sleep(time.Second)
			}
		case "kill":
			for range 6 {
				n := l.nodes[rand.Intn(3)]
				l.note("KILL %s", n.name)
				n.kill()
				time.Sleep(500 * time.Millisecond)
				l.start(n)
				l.waitReady(n)
			}
		case "freeze":
			for range 3 {
				n := l.nodes[rand.Intn(3)]
				l.note("STOP %s", n.name)
				n.signal(syscall.SIGSTOP)
				time.Sleep(4 * time.Second)
				n.signal(syscall.SIGCONT)
				l.note("CONT %s", n.name)
				time.Sleep(3 * time.Second)
			}
		case "hup":
			for i := range 60 {
				l.nodes[i%3].signal(syscall.SIGHUP)
				time.Sleep(50 * time.Millisecond)
			}
		case "config":
			for range 60 {
				l.configuration(func(c map[string]any) {
					c["tenants"].([]any)[0].(map[string]any)["ratePerS"] = 1e9
					c["tenants"].([]any)[0].(map[string]any)["burst"] = 1e9
				})
				time.Sleep(100 * time.Millisecond)
			}
		}
		time.Sleep(time.Second)
		close(stop)
		wait.Wait()
		mu.Lock()
		defer mu.Unlock()
		for k, v := range codes {
			l.note("%6d %s", v, k)
		}
		runs := map[string]int{}
		for _, s := range l.servers {
			for _, r := range s.taken() {
				runs[r.id]++
				if result := ids[r.id]; strings.HasPrefix(r.RequestURI, "/book") || strings.HasPrefix(r.RequestURI, "/reports") {
					if runs[r.id] > 1 {
						l.note("TWICE %s %s", r.id, result)
					}
					if strings.Contains(result, " 503 ") || strings.Contains(result, " 429 ") {
						l.note("REFUSED %s %s", r.id, result)
					}
				}
			}
		}
	}
}
