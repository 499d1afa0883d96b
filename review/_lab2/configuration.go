package main

import (
	"fmt"
	"time"
)

// The routes of all cases, and the services that they lead to.
const (
	depot  = "depot-app"
	engine = "lamp-llm"
	// depotPath and enginePath are the prefixes of the routes to them.
	depotPath  = "/puxa403/"
	enginePath = "/lohu930/"
	// usualKey is the key of the usual tenant.
	usualTenantName, usualKey = "hule930", "i9n73hh2b9wu3fexd9dn"
	depotDeadlineMs           = 600
	serviceWork               = 15 * time.Millisecond
)

// routes returns a route to the depot and one to a service of engines.
func routes(engineService string) []route {
	return []route{
		{Name: "r-status", Host: host, PathPrefix: depotPath, Kind: "idempotent", TimeoutMs: 3000, GoalMs: 1000, Priority: 2, Service: depot, Attempts: 2},
		{Name: "r-warranty", Host: host, PathPrefix: enginePath, Kind: "stream", TimeoutMs: 15000, GoalMs: 1000, GapGoalMs: 500,
			Priority: 1, Service: engineService, Attempts: 2, Sticky: true, Resumable: true},
	}
}

// sendCalls sends calls to the gateways in turn, one after the other, and returns how many were
// served.
func (l *lab) sendCalls(path, key string, count int) (served int) {
	for i := range count {
		g := l.gateways[i%len(l.gateways)]
		r := &request{method: "GET", path: fmt.Sprintf("%s%d", path, i), key: key, deadlineMs: depotDeadlineMs}
		a := r.send(g.front)
		l.logf("request %s, GET %s with key %q, to %s: %v", r.id, r.path, key, g.name, a)
		if a.status == 200 && a.seal != "" && a.err == nil {
			served++
		}
	}
	return served
}
