package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// Parts of prompts: the one that sound requests begin with, the one that follows it at first
	// and the one that follows it after a change of the callers' prompts.
	firstPart, oldPart, newPart = "5c1e07a2", "91bd3f06", "a77c20d4"
	// calmLength is how long only sound requests with the old part are sent, trialLength how long
	// the new part comes in requests with the deadly one only, and newLength how long it comes in
	// all.
	calmLength, trialLength, newLength = 8 * time.Second, 4 * time.Second, 25 * time.Second
	// leastRequests is the number of sound requests that a share is taken of at least.
	leastRequests = 20
)

// soundRequest is a sound request and what became of it.
type soundRequest struct {
	at     time.Time
	id     string
	answer answer
}

// innocentCase sends a deadly part before one that all requests share from then on.
func innocentCase(l *lab) {
	f := newFleet(l)
	f.add(engine, engines, engineSlots, streamEvents, streamGap)
	if l.trouble {
		f.deadly = func(r *http.Request) bool { return hasDeadly(r.Header.Get(names.Prompt)) }
	}
	l.configure(routes(engine), []tenant{usualTenant(usualTenantName, usualKey)}, engine)
	l.start(3)
	var (
		mu    sync.Mutex
		sound []soundRequest
		wait  sync.WaitGroup
		sent  int
	)
	send := func(first, second string) {
		sent++
		g, prefix := l.gateways[sent%len(l.gateways)], fmt.Sprintf("%s:60,%s:400,%08x:200", first, second, 0xe4000000+sent)
		wait.Add(1)
		go func() {
			defer wait.Done()
			at := time.Now()
			id, a := l.sendStream(g, prefix)
			if !hasDeadly(prefix) {
				mu.Lock()
				defer mu.Unlock()
				sound = append(sound, soundRequest{at, id, a})
			}
		}()
	}
	phase := func(length time.Duration, second, besideDeadly string) (began time.Time) {
		began = time.Now()
		l.logf("sound requests hold the parts %s and %s, those with the deadly part also %q", firstPart, second, besideDeadly)
		for tick := 0; time.Since(began) < length; tick++ {
			send(firstPart, second)
			if besideDeadly != "" && tick%deadlyEvery == 0 {
				send(deadly, besideDeadly)
			}
			time.Sleep(sendEvery)
		}
		return began
	}
	calm := phase(calmLength, oldPart, "")
	trial := phase(trialLength, oldPart, newPart)
	phase(newLength, newPart, newPart)
	wait.Wait()
	ends, from := f.endTimes(), trial.Add(2*contact)
	if len(ends) > 0 {
		from = ends[min(len(ends), 5)-1].Add(2 * contact)
	}
	began := map[string]bool{}
	for _, a := range f.seen(func(*arrival) bool { return true }) {
		began[a.id] = true
	}
	share := func(from, to time.Time) (begun, asked int) {
		for _, r := range sound {
			if r.at.Before(from) || !r.at.Before(to) {
				continue
			}
			asked++
			if began[r.id] && r.answer.status == http.StatusOK {
				begun++
			}
		}
		return begun, asked
	}
	calmBegun, calmAsked := share(calm, trial)
	begun, asked := share(from, time.Now())
	broken := calmAsked >= leastRequests && asked >= leastRequests && 2*begun*calmAsked < calmBegun*asked
	l.finish(broken, "servers ended %d times; of the sound requests %d of %d began when calm, and %d of %d from %v after the fifth end",
		len(ends), calmBegun, calmAsked, begun, asked, 2*contact)
}
