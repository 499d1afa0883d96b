package main

import (
	"slices"
	"time"

	"github.com/citrongate/citrongate/internal/simtest"
	"github.com/citrongate/citrongate/pkg/ingress"
	"github.com/citrongate/citrongate/pkg/scheduler"
)

// gatewayInvariant is one promise of gateways and its check.
type gatewayInvariant struct {
	name  string
	check func(r *gatewayRun, v *verdict)
}

var gatewayInvariants = []gatewayInvariant{
	{"G1-revoked-key-not-sent", checkRevoked},
	{"G2-denied-only-if-known", checkDenied},
	{"G3-configuration-never-goes-back", checkNoRegress},
	{"G4-quota-over-all-instances", checkQuota},
	{"G5-lapsed-entries-stay-in-use", checkLapsed},
	{"G6-serves-again-after-faults", checkBack},
}

// checkRevoked: no request with a key that was taken away, sent by its caller
// later than the time for revocations, reaches a server, whatever the instance
// can reach.
func checkRevoked(r *gatewayRun, v *verdict) {
	received := map[scheduler.GlobalID]time.Duration{}
	for _, receipt := range r.world.Trace.Received {
		received[receipt.ID] = receipt.At
	}
	for _, a := range r.arrivals {
		if a.key != revoked || a.sent <= gatewayChangeAt+gatewayBounds.Revoke {
			continue
		}
		v.judged++
		if a.request == nil {
			continue
		}
		if at, ok := received[a.request.ID]; ok {
			v.fail("revoked at %v, sent at %v, received at %v from %s", gatewayChangeAt, a.sent, at, a.instance.Name)
		}
	}
}

// checkDenied: a key or route that every configuration in force may have is
// never denied, and a key that no configuration has is never admitted.
func checkDenied(r *gatewayRun, v *verdict) {
	for _, a := range r.arrivals {
		denied := a.verdict == ingress.NoKey || a.verdict == ingress.NoRoute
		isNew := a.key == added || a.path == newPath
		v.judged++
		switch {
		case a.key == nobody && a.verdict == ingress.Admitted:
			v.fail("a key that never was is admitted at %v", a.at)
		case a.key == nobody || a.key == revoked || !denied:
		case !isNew:
			v.fail("%s is denied at %v by %s (%d)", a.key, a.at, a.instance.Name, a.verdict)
		case a.at > gatewayChangeAt+gatewayBounds.Apply:
			v.fail("%s on %s, added at %v, is denied at %v by %s", a.key, a.path, gatewayChangeAt, a.at, a.instance.Name)
		}
	}
}

// checkNoRegress: the version that a process judges by never falls.
func checkNoRegress(r *gatewayRun, v *verdict) {
	newest := map[uint64]uint64{}
	for _, a := range r.arrivals {
		v.judged++
		if a.version < newest[a.instance.Incarnation] {
			v.fail("%s judges by version %d after %d at %v", a.instance.Name, a.version, newest[a.instance.Incarnation], a.at)
		}
		newest[a.instance.Incarnation] = max(newest[a.instance.Incarnation], a.version)
	}
}

// checkQuota: in no window do all instances together pass on more than the
// quota and its tolerance; without faults nothing below the quota is refused.
func checkQuota(r *gatewayRun, v *verdict) {
	allowed := int((quotaPerSecond*tolerance.Window.Seconds() + quotaBurst) * (1 + tolerance.Over))
	for _, organisation := range []string{flooded, modest} {
		times := r.sentTimes(organisation)
		first := 0
		for n, at := range times {
			v.judged++
			for times[first] <= at-tolerance.Window {
				first++
			}
			if used := n - first + 1; used > allowed {
				v.fail("%d requests of %s in the window that ends at %v, allowed %d", used, organisation, at, allowed)
			}
		}
	}
	if len(r.faults) > 0 {
		return
	}
	for _, a := range r.arrivals {
		if a.key == modest && a.request != nil && a.request.Code == "limit_rate" {
			v.fail("refused below the quota at %v", a.at)
		}
	}
}

// sentTimes returns when requests of an organisation reached servers, in order.
func (r *gatewayRun) sentTimes(organisation string) (times []time.Duration) {
	for _, receipt := range r.world.Trace.Received {
		if r.world.Trace.Find(receipt.ID).Spec.Organisation == organisation {
			times = append(times, receipt.At)
		}
	}
	slices.Sort(times)
	return times
}

// checkLapsed: since all servers run all the time, no admitted request is told
// that there is none. A process that starts while the entries are away can not
// know the servers.
func checkLapsed(r *gatewayRun, v *verdict) {
	for _, a := range r.arrivals {
		if a.request == nil || !a.listed {
			continue
		}
		v.judged++
		if a.request.Code == "no_route" || a.request.Code == "no_upstream" {
			v.fail("no server at %v at %s: %s", a.at, a.instance.Name, show(a.request))
		}
	}
}

// checkBack: some seconds after the last fault every instance admits and
// answers proper requests again.
func checkBack(r *gatewayRun, v *verdict) {
	for _, a := range r.arrivals {
		if a.key != steady || a.path != oldPath || a.at < r.disturbedUntil+gatewayReturn {
			continue
		}
		v.judged++
		if a.request == nil || a.request.Outcome != simtest.OutcomeAnswered {
			v.fail("not answered at %v at %s, verdict %d, %s", a.at, a.instance.Name, a.verdict, outcomeOf(a.request))
		}
	}
}

func outcomeOf(r *simtest.Request) string {
	if r == nil {
		return "not admitted"
	}
	return show(r)
}
