package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// deadly is the part of prompts under which servers end.
	deadly = "deadbeef"
	// contact is the bound of the deployment; lateAllowed the number of requests with the part that
	// may still reach servers later than that after the fifth end.
	contact     = 3 * time.Second
	lateAllowed = 3
	// deadlyFrom is when the first request with the part is sent, movedAt when the route is moved,
	// and partsLength how long requests are sent.
	deadlyFrom  = time.Second
	movedAt     = 10 * time.Second
	partsLength = 25 * time.Second
	// sendEvery is the time between two sound requests; each tenth comes with two that hold the
	// part.
	sendEvery   = 50 * time.Millisecond
	deadlyEvery = 10
	deadlyCount = 2
	// engines is the number of servers of a service of engines.
	engines       = 18
	engineSlots   = 10
	streamEvents  = 8
	streamGap     = 20 * time.Millisecond
	secondService = "lamp-llm-2"
)

// partsCase sends prompts of 81 parts. The one under which servers end is the 66th.
func partsCase(l *lab) {
	f := newFleet(l)
	f.add(engine, engines, engineSlots, streamEvents, streamGap)
	l.deadlyParts(f, 66, 80, nil)
}

// routeCase moves the route to another service after the part was blocked.
func routeCase(l *lab) {
	f := newFleet(l)
	f.add(engine, engines, engineSlots, streamEvents, streamGap)
	f.add(secondService, engines, engineSlots, streamEvents, streamGap)
	l.deadlyParts(f, 2, 2, func() {
		l.configure(routes(secondService), []tenant{usualTenant(usualTenantName, usualKey)}, engine, secondService)
	})
}

// prompt returns a prompt with shared parts and one of its own. The part at the given position,
// from 1, is the special one, if there is any.
func prompt(special string, position, shared, own int) string {
	var list []string
	for i := 1; i <= shared; i++ {
		part := fmt.Sprintf("%08x:20", 0x5c1e0000+i)
		if i == position && special != "" {
			part = special + ":20"
		}
		list = append(list, part)
	}
	return strings.Join(append(list, fmt.Sprintf("%08x:30", 0xe4000000+own)), ",")
}

// hasDeadly reports whether a prompt holds the part under which servers end.
func hasDeadly(prefix string) bool { return strings.Contains(prefix, deadly) }

// deadlyParts sends sound requests and such with the part, and judges how many of these reach
// servers later than they may.
func (l *lab) deadlyParts(f *fleet, position, shared int, change func()) {
	if l.trouble {
		f.deadly = func(r *http.Request) bool { return hasDeadly(r.Header.Get("Prompt-Prefix")) }
	}
	l.configure(routes(engine), []tenant{usualTenant(usualTenantName, usualKey)}, engine, secondService)
	l.start(3)
	var wait sync.WaitGroup
	sent := 0
	send := func(special string) {
		sent++
		g, prefix := l.gateways[sent%len(l.gateways)], prompt(special, position, shared, sent)
		wait.Add(1)
		go func() {
			defer wait.Done()
			l.sendStream(g, prefix)
		}()
	}
	began, moved := time.Now(), false
	for tick := 0; time.Since(began) < partsLength; tick++ {
		send("")
		if time.Since(began) > deadlyFrom && tick%deadlyEvery == 0 {
			for range deadlyCount {
				send(deadly)
			}
		}
		if change != nil && !moved && time.Since(began) > movedAt {
			moved = true
			change()
		}
		time.Sleep(sendEvery)
	}
	wait.Wait()
	ends, late := f.endTimes(), 0
	if len(ends) >= 5 {
		fifth := ends[4]
		for _, a := range f.seen(func(a *arrival) bool { return hasDeadly(a.prefix) && a.at.Sub(fifth) > contact }) {
			l.logf("request %s with the part reached server %s of %s %.1f s after the fifth end", a.id, a.server, a.service, a.at.Sub(fifth).Seconds())
			late++
		}
	}
	l.finish(late > lateAllowed, "servers ended %d times; %d requests with the part reached servers later than %v after the fifth end", len(ends), late, contact)
}

// sendStream sends one request for a stream and returns its id and the answer.
func (l *lab) sendStream(g *gateway, prefix string) (string, answer) {
	r := &request{method: "POST", path: enginePath + "2f", key: usualKey, deadlineMs: 5000, body: []byte(strings.Repeat("b", 830)),
		headers: map[string]string{"Model": "m", "Token-Counts": "1460,80", "Prompt-Prefix": prefix}}
	a := r.send(g.front)
	kind := "sound"
	if hasDeadly(prefix) {
		kind = "with the part"
	}
	l.logf("request %s (%s) to %s: %v", r.id, kind, g.name, a)
	return r.id, a
}
