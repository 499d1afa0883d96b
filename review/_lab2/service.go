package main

import (
	"time"
)

const (
	// longName is a service's name of 74 characters, plainName one of 11.
	longName  = "harbour-crew-fault-reports-and-dealer-warranty-answers-language-model-pool"
	plainName = "depot-app-2"
	addedPath = "/new77/"
	// configApply and drain are the bounds of the deployment.
	configApply = 2 * time.Second
	drain       = 2 * time.Second
	callsEach   = 30
)

// serviceCase adds a service with servers and a route to it. Its name is longer than 63 characters.
func serviceCase(l *lab) {
	name := longName
	if !l.trouble {
		name = plainName
	}
	f := newFleet(l)
	f.add(depot, 3, 6, 0, serviceWork)
	f.add(name, 3, 6, 0, serviceWork)
	tenants := []tenant{usualTenant(usualTenantName, usualKey)}
	l.configure(routes(engine), tenants, engine)
	l.start(3)
	if l.sendCalls(depotPath, usualKey, callsEach) < callsEach {
		l.unable("sound requests were not served before the change")
	}
	added := route{Name: "r-new", Host: host, PathPrefix: addedPath, Kind: "idempotent", TimeoutMs: 3000, GoalMs: 1000, Priority: 2, Service: name, Attempts: 2}
	l.services = append(l.services, name)
	l.configure(append(routes(engine), added), tenants, engine)
	time.Sleep(2 * configApply)
	onFirst, onAdded := l.sendCalls(depotPath, usualKey, callsEach), l.sendCalls(addedPath, usualKey, callsEach)
	l.logf("of %d requests each, %d were served on a first route and %d on the added one", callsEach, onFirst, onAdded)
	l.afterwards(f)
	l.finish(4*onAdded < onFirst, "of %d requests each, %d were served on a first route and %d on the added one", callsEach, onFirst, onAdded)
}

// afterwards records, beside the verdict, what becomes of a server that leaves and of a gateway that
// is restarted under this configuration.
func (l *lab) afterwards(f *fleet) {
	gone := f.first(depot)
	gone.leave()
	left := time.Now()
	l.logf("the entry of server %s is removed; it serves on", gone.id)
	time.Sleep(drain + 500*time.Millisecond)
	l.sendCalls(depotPath, usualKey, callsEach)
	late := f.seen(func(a *arrival) bool { return a.server == gone.id && a.at.Sub(left) > drain })
	l.logf("beside the verdict: %d requests reached server %s later than %v after its entry was removed", len(late), gone.id, drain)
	for _, g := range l.gateways {
		g.kill()
		l.run(g)
	}
	time.Sleep(8 * time.Second)
	ready := 0
	for _, g := range l.gateways {
		if g.isReady() {
			ready++
		}
	}
	l.logf("beside the verdict: 8 s after all gateways were killed and started again, %d of %d are ready and %d of %d requests on a first route are served",
		ready, len(l.gateways), l.sendCalls(depotPath, usualKey, callsEach), callsEach)
}
