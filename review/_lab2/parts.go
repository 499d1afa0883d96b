package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// deadly is the part of prompts under which servers end.
	deadly = "deadbeef"
	// contact is the bound of the deployment; lateAllowed the number of requests with the part that
	// may still reach servers later than that after the fifth end.
	contact     = 3 * time.Second
	lateAllowed = 3
	// deadlyFrom is when the first request with the part is sent, and partsLength how long requests
	// are sent.
	deadlyFrom  = time.Second
	partsLength = 25 * time.Second
	// sendEvery is the time between two sound requests; each tenth comes with two that hold the
	// part.
	sendEvery   = 50 * time.Millisecond
	deadlyEvery = 10
	deadlyCount = 2
	// engines is the number of servers of a service of engines.
	engines      = 18
	engineSlots  = 10
	streamEvents = 8
	streamGap    = 20 * time.Millisecond
)

// partsCase sends prompts of 81 parts. The one under which servers end is the 66th.
func partsCase(l *lab) {
	f := newFleet(l)
	f.add(engine, engines, engineSlots, streamEvents, streamGap)
	l.deadlyParts(f, 66, 80)
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
func (l *lab) deadlyParts(f *fleet, position, shared int) {
	if l.trouble {
		f.deadly = func(r *http.Request) bool { return hasDeadly(r.Header.Get(names.Prompt)) }
	}
	l.configure(routes(engine), []tenant{usualTenant(usualTenantName, usualKey)}, engine)
	l.start(3)
	var (
		wait         sync.WaitGroup
		sent         int
		sound, whole atomic.Int64
	)
	send := func(special string) {
		sent++
		g, prefix := l.gateways[sent%len(l.gateways)], prompt(special, position, shared, sent)
		wait.Add(1)
		go func() {
			defer wait.Done()
			_, a := l.sendStream(g, prefix)
			if !hasDeadly(prefix) {
				sound.Add(1)
				if a.status == http.StatusOK && a.err == nil {
					whole.Add(1)
				}
			}
		}()
	}
	began := time.Now()
	for tick := 0; time.Since(began) < partsLength; tick++ {
		send("")
		if time.Since(began) > deadlyFrom && tick%deadlyEvery == 0 {
			for range deadlyCount {
				send(deadly)
			}
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
	l.logf("beside the verdict: %d of %d sound requests were answered whole at the first attempt", whole.Load(), sound.Load())
	l.finish(late > lateAllowed, "servers ended %d times; %d requests with the part reached servers later than %v after the fifth end", len(ends), late, contact)
}

// sendStream sends one request for a stream and returns its id and the answer.
func (l *lab) sendStream(g *gateway, prefix string) (string, answer) {
	r := &request{method: "POST", path: enginePath + "2f", key: usualKey, deadlineMs: 5000, body: []byte(strings.Repeat("b", 830)),
		headers: map[string]string{names.Model: "m", names.Tokens: "1460,80", names.Prompt: prefix}}
	a := r.send(g.front)
	kind := "sound"
	if hasDeadly(prefix) {
		kind = "with the part"
	}
	l.logf("request %s (%s) to %s: %v", r.id, kind, g.name, a)
	return r.id, a
}
