package main

import (
	"fmt"
	"net"
	"time"
)

func init() { scenarios["smuggle"] = smuggle }

// smuggle sends bookings whose body is the text of another booking. With the trouble, the
// Content-Length of the outer one has no value, which no front may take for a length of 0.
func smuggle(l *lab) {
	l.configuration(1e6, 1e6)
	l.addServer("i-depot-1", "depot", 6, func(s *server, c net.Conn, r *request) bool { return s.reply(c, r, "200 OK", "booked") })
	l.addNodes(1)
	inner := map[string]bool{}
	for i := range 20 {
		c, err := dial(l.nodes[0].caller)
		check(err)
		id := newID()
		inner[id] = true
		text := head("POST", fmt.Sprintf("/book/inner-%d", i), id, "key-crew", time.Second, "Content-Length: 0")
		text.WriteString("\r\n")
		a := &attempt{id: newID()}
		path := fmt.Sprintf("/book/outer-%d", i)
		length := fmt.Sprintf("Content-Length: %d", text.Len())
		if l.trouble {
			length = "Content-Length:"
		}
		outer := head("POST", path, a.id, "key-crew", time.Second, length)
		outer.WriteString("\r\n")
		outer.Write(text.Bytes())
		_ = c.conn.SetDeadline(time.Now().Add(time.Second))
		if _, a.err = c.conn.Write(outer.Bytes()); a.err == nil {
			c.read(a, "POST")
		}
		l.sent(a, "POST", path)
		time.Sleep(50 * time.Millisecond)
		c.close()
	}
	for _, r := range l.servers[0].taken() {
		if inner[r.id] {
			l.breaks("UNASKED: a request that was smuggled inside another one ran: %s %s", r.id, r.RequestURI)
		}
	}
}
