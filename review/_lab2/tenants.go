package main

import (
	"fmt"
	"time"
)

// revoke is the bound of the deployment.
const revoke = 5 * time.Second

// tenantsCase takes the only tenant away, and with it its key.
func tenantsCase(l *lab) {
	f := newFleet(l)
	f.add(depot, 3, 6, 0, serviceWork)
	held := []tenant{usualTenant(usualTenantName, usualKey)}
	l.configure(routes(engine), held, engine)
	l.start(3)
	if l.sendCalls(depotPath, usualKey, 6) < 6 || l.sendCalls(depotPath, "never-held", 6) > 0 {
		l.unable("requests were not judged by their keys before the change")
	}
	if l.trouble {
		held = []tenant{}
	}
	acknowledged := l.configure(routes(engine), held, engine)
	time.Sleep(revoke + time.Second)
	l.sendCalls(depotPath, usualKey, 6)
	withoutKey := l.sendCalls(depotPath, "never-held", 6)
	ran := 0
	for _, a := range f.seen(func(a *arrival) bool { return a.at.Sub(acknowledged) > revoke }) {
		l.logf("server %s ran request %s, tenant %q, %.1f s after the acknowledgement", a.server, a.id, a.tenant, a.at.Sub(acknowledged).Seconds())
		ran++
	}
	broken := withoutKey > 0 || l.trouble && ran > 0
	l.finish(broken, "%s", fmt.Sprintf("%d of 12 requests that were sent more than %v after the acknowledgement ran, %d of them with a key that no configuration ever held",
		ran, revoke, withoutKey))
}
