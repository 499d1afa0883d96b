package main

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/citrongate/citrongate/internal/simtest"
	"github.com/citrongate/citrongate/pkg/scheduler"
)

// verdict is the result of one check of one run: the violations found and the
// number of cases checked.
type verdict struct {
	violations []string
	cases      int
	// unknownRan of the ended requests ended with ran: unknown.
	unknownRan, ended int
}

func (v *verdict) addViolation(format string, args ...any) {
	v.violations = append(v.violations, fmt.Sprintf(format, args...))
}

// invariant is a promise and the check of it.
type invariant struct {
	name  string
	check func(r *run, v *verdict)
}

var invariants = []invariant{
	{"P1-dispatched-at-most-once", checkDispatchedOnce},
	{"P2-higher-tier-never-shed-first", checkTierOrder},
	{"P3-whole-answer-to-own-request", checkAnswers},
	{"P4-not-run-is-true", checkNotRun},
	{"P5-non-idempotent-once", checkKeysOnce},
	{"P6-leaving-receives-nothing", checkLeaving},
	{"P7-planned-stop-loses-nothing", checkPlannedStop},
	{"P8-accepted-configuration-holds", checkConfiguration},
	{"leases-orders-in-fencing-order", checkOrders},
}

func describe(r *simtest.Request) string {
	return fmt.Sprintf("%s at %s submitted %v ended %v %s ran=%s (%s) dispatched %v",
		r.Spec.Kind, r.Instance, r.Submitted, r.Ended, r.Code, r.Ran, r.Reason, r.Dispatches)
}

// checkDispatchedOnce: upstreams receive each request id at most once.
func checkDispatchedOnce(r *run, v *verdict) {
	count := map[scheduler.GlobalID]int{}
	for _, receipt := range r.world.Trace.Received {
		v.cases++
		count[receipt.ID]++
		if count[receipt.ID] == 2 {
			v.addViolation("request %v received twice, again at %v by %s", receipt.ID, receipt.At, receipt.Upstream)
		}
	}
}

// checkAnswers: an answer carries the id of its request, is complete, and arrives
// once; and every request ends, since all deadlines expire long before the end of
// the run.
func checkAnswers(r *run, v *verdict) {
	alive := map[uint64]bool{}
	for _, i := range r.world.Live() {
		alive[i.Incarnation] = true
	}
	for _, request := range r.world.Trace.Requests {
		if request.Outcome == simtest.OutcomeNone && alive[request.ID.Entry] {
			v.addViolation("never ended: %s", describe(request))
		}
		if request.AnswerCount > 1 {
			v.addViolation("answered %d times: %s", request.AnswerCount, describe(request))
		}
		if request.Outcome != simtest.OutcomeAnswered {
			continue
		}
		v.cases++
		switch {
		case request.RecordedBody != "" && request.RecordedBody != request.Spec.Key:
			v.addViolation("answered with the record of key %q: %s", request.RecordedBody, describe(request))
		case request.RecordedBody == "" && request.AnsweredWith != request.ID:
			v.addViolation("answered with the answer to %v: %s", request.AnsweredWith, describe(request))
		case request.Spec.Model != "" && request.Tokens != request.Spec.Output:
			v.addViolation("%d of %d tokens: %s", request.Tokens, request.Spec.Output, describe(request))
		}
	}
}

// avoidableUnknown are the codes that must not be combined with ran: unknown in a
// run without faults, where the outcome can always be known.
var avoidableUnknown = []string{"upstream_broke", "ticket_home_gone", "store_unavailable", "internal", "not_ready", "draining"}

// checkNotRun: a request reported as not run reached no upstream, at any time and
// through any instance that it was forwarded to; and without faults no request
// ends with ran: unknown and an avoidable code.
func checkNotRun(r *run, v *verdict) {
	received := map[scheduler.GlobalID]string{}
	for _, receipt := range r.world.Trace.Received {
		received[receipt.ID] = receipt.Upstream
		if receipt.Origin != (scheduler.GlobalID{}) {
			received[receipt.Origin] = receipt.Upstream
		}
	}
	for _, request := range r.world.Trace.Requests {
		if request.Ended != 0 {
			v.ended++
		}
		if request.Ran == "unknown" {
			v.unknownRan++
		}
		if len(r.faults) == 0 && request.Ran == "unknown" && slices.Contains(avoidableUnknown, request.Code) {
			v.addViolation("ran unknown without a fault: %s", describe(request))
		}
		if request.Outcome != simtest.OutcomeRefused || request.Ran != "no" {
			continue
		}
		v.cases++
		if upstream := received[request.ID]; upstream != "" {
			v.addViolation("reported as not run, but %s received it: %s", upstream, describe(request))
		}
		if request.Spec.Key != "" {
			r.checkKeyNotRun(v, request)
		}
	}
}

// checkKeyNotRun: a caller that was told "not run" may send the order again under
// another key, so no attempt under its key may have run.
func (r *run) checkKeyNotRun(v *verdict, refused *simtest.Request) {
	onlyAttempt := true
	for _, other := range r.world.Trace.Requests {
		overlaps := other.Submitted < refused.Ended && (other.Ended == 0 || other.Ended > refused.Submitted)
		if other != refused && other.Spec.Key == refused.Spec.Key && overlaps {
			onlyAttempt = false
		}
	}
	for _, receipt := range r.world.Trace.Received {
		if receipt.Key != refused.Spec.Key {
			continue
		}
		if receipt.At <= refused.Submitted || onlyAttempt && receipt.At <= refused.Ended {
			v.addViolation("reported as not run, but %s received the key at %v: %s", receipt.Upstream, receipt.At, r.showKey(refused.Spec.Key))
		}
	}
}

// checkKeysOnce: each idempotency key runs at most once over all services.
func checkKeysOnce(r *run, v *verdict) {
	for _, key := range r.idempotencyKeys {
		runs := 0
		for _, name := range []string{"s1", "s2"} {
			runs += r.world.Services[name].KeyRuns[key]
		}
		v.cases += runs
		if runs > 1 {
			v.addViolation("key %s ran %d times: %s", key, runs, r.showKey(key))
		}
	}
}

func (r *run) showKey(key string) string {
	var lines []string
	for _, request := range r.world.Trace.Requests {
		if request.Spec.Key == key {
			lines = append(lines, describe(request))
		}
	}
	return strings.Join(lines, "; ")
}

// checkLeaving: an upstream receives nothing later than 3 s after it was listed as
// leaving. During a store outage no instance can read the list, so the time
// counts from the end of the outage.
func checkLeaving(r *run, v *verdict) {
	listed := leavingAt + r.world.Platform.ListLag
	limit := max(listed, r.outageEndAfter(listed)) + 3*time.Second
	for _, receipt := range r.world.Trace.Received {
		if receipt.Upstream != leavingName {
			continue
		}
		v.cases++
		if receipt.At > limit {
			v.addViolation("%s received %v from %s at %v, listed as leaving at %v", leavingName, receipt.ID, receipt.Address, receipt.At, listed)
		}
	}
}

// checkPlannedStop: the stopping instance loses no request, completes its stop,
// and is absent from discovery answers 1 s after the stop started.
func checkPlannedStop(r *run, v *verdict) {
	if r.drainedAt == 0 || r.hadDisturbance("10.0.0.4:1", "kill", "pause", "resume") {
		return
	}
	for _, request := range r.world.Trace.Requests {
		if request.ID.Entry != r.drainedIncarnation || request.Ended != 0 && request.Ended < r.drainedAt {
			continue
		}
		v.cases++
		switch {
		case request.Outcome == simtest.OutcomeNone:
			v.addViolation("never ended: %s", describe(request))
		case request.Outcome == simtest.OutcomeLost:
			v.addViolation("connection lost: %s", describe(request))
		case slices.Contains([]string{"draining", "not_ready", "canceled", "internal"}, request.Code):
			v.addViolation("refused because of the stop: %s", describe(request))
		case request.Code == "upstream_broke" && !r.hasFault("engine-death", "connection-cut"):
			v.addViolation("interrupted: %s", describe(request))
		}
	}
	if !slices.ContainsFunc(r.world.Trace.Drained, func(d simtest.InForce) bool { return d.Instance == r.drainedIncarnation }) {
		v.addViolation("the instance stopping since %v had not finished at %v", r.drainedAt, runEnd)
	}
	for _, l := range r.discoveryAnswers {
		if l.includesDrained && !r.disturbed(r.drainedAt-100*time.Millisecond, l.at, l.address, "10.0.0.4:1") {
			v.addViolation("%s still lists the stopping instance at %v", l.address, l.at)
		}
	}
}

// checkConfiguration: the revision in force never decreases, and an accepted
// change is in force everywhere within 5 s and is kept.
func checkConfiguration(r *run, v *verdict) {
	last := map[uint64]uint64{}
	for _, f := range r.world.Trace.InForce {
		if f.Revision < last[f.Instance] {
			v.addViolation("instance %x went from revision %d back to %d at %v", f.Instance, last[f.Instance], f.Revision, f.At)
		}
		last[f.Instance] = f.Revision
	}
	accepted := map[uint64]uint64{}
	for _, c := range r.world.Trace.Changes {
		if !c.Done.Accepted {
			continue
		}
		v.cases++
		if other, ok := accepted[c.Done.Revision]; ok {
			v.addViolation("changes %d and %d were both accepted as revision %d", other, c.Done.Change, c.Done.Revision)
		}
		accepted[c.Done.Revision] = c.Done.Change
		r.checkInForce(v, c)
		r.checkKept(v, c)
	}
}

// checkInForce checks the instances that started before the change was accepted
// and were not killed, paused or resumed from 1 s before that to 5 s after it.
func (r *run) checkInForce(v *verdict, c simtest.ChangeResult) {
	limit := c.At + 5*time.Second
	if limit > runEnd {
		return
	}
	for _, i := range r.world.Live() {
		if i.StartedAt > c.At || r.hadDisturbanceBetween(i.Address, c.At-time.Second, limit, "kill", "pause", "resume") {
			continue
		}
		at, found := time.Duration(0), false
		for _, f := range r.world.Trace.InForce {
			if f.Instance == i.Incarnation && f.Revision >= c.Done.Revision {
				at, found = f.At, true
				break
			}
		}
		if !found || at > limit {
			v.addViolation("revision %d accepted at %v was in force at %s at %v (found=%v)", c.Done.Revision, c.At, i.Name, at, found)
		}
	}
}

// checkKept checks that an accepted object is still in the set in force at the end.
func (r *run) checkKept(v *verdict, c simtest.ChangeResult) {
	name := r.objectByChange[c.Done.Change]
	if name == "" {
		return
	}
	for _, i := range r.world.Live() {
		set := i.Node.ConfigSet()
		if set == nil || set.Revision < c.Done.Revision {
			continue
		}
		if set.Organisations[name] == nil {
			v.addViolation("organisation %s, accepted as revision %d, is missing at %s in revision %d", name, c.Done.Revision, i.Name, set.Revision)
		}
	}
}

// checkOrders: upstreams carry out orders in ascending order of fencing numbers.
func checkOrders(r *run, v *verdict) {
	last := map[string]uint64{}
	for _, o := range r.world.Trace.Orders {
		v.cases++
		if o.Number < last[o.Upstream] {
			v.addViolation("%s carried out an order with fencing number %d after %d at %v", o.Upstream, o.Number, last[o.Upstream], o.At)
		}
		last[o.Upstream] = max(o.Number, last[o.Upstream])
	}
}

func (r *run) hasFault(names ...string) bool {
	return slices.ContainsFunc(r.faults, func(f fault) bool { return slices.Contains(names, f.name) })
}

func (r *run) hadDisturbance(address string, what ...string) bool {
	return r.hadDisturbanceBetween(address, 0, runEnd, what...)
}

func (r *run) hadDisturbanceBetween(address string, from, until time.Duration, what ...string) bool {
	for _, d := range r.world.Trace.Disturbances {
		if d.Address == address && d.At >= from && d.At <= until && slices.Contains(what, d.Kind) {
			return true
		}
	}
	return false
}

// disturbed reports whether frames to or from one of the addresses were lost, or
// a process was killed, paused or resumed, in an interval.
func (r *run) disturbed(from, until time.Duration, addresses ...string) bool {
	for _, address := range addresses {
		if r.hadDisturbanceBetween(address, from, until, "lost", "kill", "pause", "resume") {
			return true
		}
	}
	return false
}

func (r *run) outageEndAfter(t time.Duration) time.Duration {
	return r.world.Platform.OutageEndAfter(t)
}
