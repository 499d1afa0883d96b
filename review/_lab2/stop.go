package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// reportWork is how long a server works on a report; reportSlots how many it makes at once.
	reportWork  = 3 * time.Second
	reportSlots = 2
	reportCount = 10
	// reportDeadlineMs is the deadline of the client, below the route's timeout.
	reportDeadlineMs = 25_000
)

// stopCase stops a gateway as planned while requests wait there for a slot of a server.
func stopCase(l *lab) {
	f := newFleet(l)
	f.add(depot, 1, reportSlots, 0, reportWork)
	l.configure([]route{{Name: "r-report", Host: host, PathPrefix: depotPath, Kind: "non_idempotent", TimeoutMs: 30_000, GoalMs: 10_000,
		Priority: 2, Service: depot, Attempts: 1}}, []tenant{usualTenant(usualTenantName, usualKey)})
	l.start(2)
	stopped := l.gateways[0]
	var (
		mu   sync.Mutex
		lost int
		wait sync.WaitGroup
	)
	for i := range reportCount {
		wait.Add(1)
		go func() {
			defer wait.Done()
			r := &request{method: "POST", path: fmt.Sprintf("%s%d", depotPath, i), key: usualKey, deadlineMs: reportDeadlineMs, body: []byte("{}")}
			sent := time.Now()
			a := r.send(stopped.front)
			reached := len(f.seen(func(s *arrival) bool { return s.id == r.id }))
			l.logf("request %s, sent at %.3f to %s: %v; it reached servers %d times", r.id, sent.Sub(l.started).Seconds(), stopped.name, a, reached)
			if a.status == 0 && reached == 0 {
				mu.Lock()
				lost++
				mu.Unlock()
			}
		}()
		time.Sleep(50 * time.Millisecond)
	}
	if l.trouble {
		l.logf("SIGTERM to %s", stopped.name)
		_ = stopped.command.Process.Signal(syscall.SIGTERM)
		wait.Add(1)
		go func() {
			defer wait.Done()
			<-stopped.done
			l.logf("%s has ended", stopped.name)
		}()
	}
	wait.Wait()
	l.finish(lost > 0, "%d of %d requests, which no server had got, ended with their connection and without an answer", lost, reportCount)
}
