package main

import (
	"slices"
	"time"

	"github.com/citrongate/citrongate/internal/simtest"
	"github.com/citrongate/citrongate/pkg/ingress"
	"github.com/citrongate/citrongate/pkg/scheduler"
)

// gatewayInvariant is a promise of gateways and the check of it.
type gatewayInvariant struct {
	name  string
	check func(r *gatewayRun, v *verdict)
}

var gatewayInvariants = []gatewayInvariant{
	{"G1-revoked-key-not-sent", checkRevoked},
	{"G2-denied-only-if-known", checkDenied},
	{"G3-configuration-never-goes-back", checkNoRegress},
	{"G4-quota-over-all-instances", checkQuota},
	{"G5-lapsed-entries-stay-in-use", checkLapsedEntries},
	{"G6-serves-again-after-faults", checkServesAgain},
}

// checkRevoked: a request with a revoked key reaches no server if its caller sent
// it later after the change than the bound for revocations, whatever the instance
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
		v.cases++
		if a.request == nil {
			continue
		}
		if at, ok := received[a.request.ID]; ok {
			v.addViolation("revoked at %v, sent at %v, received at %v from %s", gatewayChangeAt, a.sent, at, a.instance.Name)
		}
	}
}

// checkDenied: a key or route that is in every configuration that may be in force
// is never denied, and a key that is in no configuration is never admitted.
func checkDenied(r *gatewayRun, v *verdict) {
	for _, a := range r.arrivals {
		denied := a.verdict == ingress.NoKey || a.verdict == ingress.NoRoute
		isNew := a.key == added || a.path == newPath
		v.cases++
		switch {
		case a.key == unknownKey && a.verdict == ingress.Admitted:
			v.addViolation("a key that is in no configuration is admitted at %v", a.evaluatedAt)
		case a.key == unknownKey || a.key == revoked || !denied:
		case !isNew:
			v.addViolation("%s is denied at %v by %s (%d)", a.key, a.evaluatedAt, a.instance.Name, a.verdict)
		case a.evaluatedAt > gatewayChangeAt+gatewayBounds.Apply:
			v.addViolation("%s on %s, added at %v, is denied at %v by %s", a.key, a.path, gatewayChangeAt, a.evaluatedAt, a.instance.Name)
		}
	}
}

// checkNoRegress: the configuration version that a process applies never decreases.
func checkNoRegress(r *gatewayRun, v *verdict) {
	newest := map[uint64]uint64{}
	for _, a := range r.arrivals {
		v.cases++
		if a.version < newest[a.instance.Incarnation] {
			v.addViolation("%s applies version %d after %d at %v", a.instance.Name, a.version, newest[a.instance.Incarnation], a.evaluatedAt)
		}
		newest[a.instance.Incarnation] = max(newest[a.instance.Incarnation], a.version)
	}
}

// checkQuota: in no window do all instances together forward more than the quota
// and its tolerance; without faults no request below the quota is refused.
func checkQuota(r *gatewayRun, v *verdict) {
	allowed := int((quotaPerSecond*quotaTolerance.Window.Seconds() + quotaBurst) * (1 + quotaTolerance.Over))
	for _, organisation := range []string{overQuota, underQuota} {
		times := r.receiptTimes(organisation)
		first := 0
		for n, at := range times {
			v.cases++
			for times[first] <= at-quotaTolerance.Window {
				first++
			}
			if used := n - first + 1; used > allowed {
				v.addViolation("%d requests of %s in the window that ends at %v, allowed %d", used, organisation, at, allowed)
			}
		}
	}
	if len(r.faults) > 0 {
		return
	}
	for _, a := range r.arrivals {
		if a.key == underQuota && a.request != nil && a.request.Code == "limit_rate" {
			v.addViolation("refused below the quota at %v", a.evaluatedAt)
		}
	}
}

// receiptTimes returns when requests of an organisation reached servers, in order.
func (r *gatewayRun) receiptTimes(organisation string) (times []time.Duration) {
	for _, receipt := range r.world.Trace.Received {
		if r.world.Trace.Find(receipt.ID).Spec.Organisation == organisation {
			times = append(times, receipt.At)
		}
	}
	slices.Sort(times)
	return times
}

// checkLapsedEntries: since all servers run all the time, no admitted request is
// refused because no server is known. A process that starts while the entries have
// lapsed cannot know the servers and is excluded.
func checkLapsedEntries(r *gatewayRun, v *verdict) {
	for _, a := range r.arrivals {
		if a.request == nil || !a.knowsServers {
			continue
		}
		v.cases++
		if a.request.Code == "no_route" || a.request.Code == "no_upstream" {
			v.addViolation("refused because no server is known at %v at %s: %s", a.evaluatedAt, a.instance.Name, describe(a.request))
		}
	}
}

// checkServesAgain: from recoveryTime after the last fault every instance admits
// and answers valid requests again.
func checkServesAgain(r *gatewayRun, v *verdict) {
	for _, a := range r.arrivals {
		if a.key != steady || a.path != oldPath || a.evaluatedAt < r.lastFaultEnd+recoveryTime {
			continue
		}
		v.cases++
		if a.request == nil || a.request.Outcome != simtest.OutcomeAnswered {
			v.addViolation("not answered at %v at %s, verdict %d, %s", a.evaluatedAt, a.instance.Name, a.verdict, describeOutcome(a.request))
		}
	}
}

func describeOutcome(r *simtest.Request) string {
	if r == nil {
		return "not admitted"
	}
	return describe(r)
}
