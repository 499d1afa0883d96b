package main

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/citrongate/citrongate/internal/simtest"
	"github.com/citrongate/citrongate/pkg/scheduler"
)

// verdict of one check of one run: the violations found and how many cases
// were judged.
type verdict struct {
	violations []string
	judged     int
	// doubtful of ended requests were answered ran: unknown.
	doubtful, ended int
}

func (v *verdict) fail(format string, args ...any) {
	v.violations = append(v.violations, fmt.Sprintf(format, args...))
}

// invariant is one promise and its check.
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

func show(r *simtest.Request) string {
	return fmt.Sprintf("%s at %s submitted %v ended %v %s ran=%s (%s) dispatched %v",
		r.Spec.Kind, r.Instance, r.Submitted, r.Ended, r.Code, r.Ran, r.Reason, r.Dispatches)
}

// checkDispatchedOnce: no request id reaches upstreams twice.
func checkDispatchedOnce(r *run, v *verdict) {
	count := map[scheduler.GlobalID]int{}
	for _, receipt := range r.world.Trace.Received {
		v.judged++
		count[receipt.ID]++
		if count[receipt.ID] == 2 {
			v.fail("request %v received twice, again at %v by %s", receipt.ID, receipt.At, receipt.Upstream)
		}
	}
}

// checkAnswers: an answer carries the id of the request, is complete, and comes
// once; and every request ends, since all deadlines have passed long before the
// end of the run.
func checkAnswers(r *run, v *verdict) {
	alive := map[uint64]bool{}
	for _, i := range r.world.Live() {
		alive[i.Incarnation] = true
	}
	for _, request := range r.world.Trace.Requests {
		if request.Outcome == simtest.OutcomeNone && alive[request.ID.Entry] {
			v.fail("never ended: %s", show(request))
		}
		if request.Ends > 1 {
			v.fail("answered %d times: %s", request.Ends, show(request))
		}
		if request.Outcome != simtest.OutcomeAnswered {
			continue
		}
		v.judged++
		switch {
		case request.RecordedBody != "" && request.RecordedBody != request.Spec.Key:
			v.fail("answered with the record of key %q: %s", request.RecordedBody, show(request))
		case request.RecordedBody == "" && request.AnsweredWith != request.ID:
			v.fail("answered with the answer to %v: %s", request.AnsweredWith, show(request))
		case request.Spec.Model != "" && request.Tokens != request.Spec.Output:
			v.fail("%d of %d tokens: %s", request.Tokens, request.Spec.Output, show(request))
		}
	}
}

// avoidable are the codes that may not come with ran: unknown in a run without
// faults, where everything can be known.
var avoidable = []string{"upstream_broke", "ticket_home_gone", "store_unavailable", "internal", "not_ready", "draining"}

// checkNotRun: what was reported as not run reached no upstream, at any time and
// through any instance that it was forwarded to,
// and without faults no request ends in doubt that need not.
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
			v.doubtful++
		}
		if len(r.faults) == 0 && request.Ran == "unknown" && slices.Contains(avoidable, request.Code) {
			v.fail("in doubt without a fault: %s", show(request))
		}
		if request.Outcome != simtest.OutcomeRefused || request.Ran != "no" {
			continue
		}
		v.judged++
		if upstream := received[request.ID]; upstream != "" {
			v.fail("reported as not run, but %s received it: %s", upstream, show(request))
		}
		if request.Spec.Key != "" {
			r.checkKeyNotRun(v, request)
		}
	}
}

// checkKeyNotRun: a caller that was told "not run" may conclude that no attempt
// under its key ran, since it could otherwise book again under another key.
func (r *run) checkKeyNotRun(v *verdict, refused *simtest.Request) {
	alone := true
	for _, other := range r.world.Trace.Requests {
		overlaps := other.Submitted < refused.Ended && (other.Ended == 0 || other.Ended > refused.Submitted)
		if other != refused && other.Spec.Key == refused.Spec.Key && overlaps {
			alone = false
		}
	}
	for _, receipt := range r.world.Trace.Received {
		if receipt.Key != refused.Spec.Key {
			continue
		}
		if receipt.At <= refused.Submitted || alone && receipt.At <= refused.Ended {
			v.fail("reported as not run, but %s received the key at %v: %s", receipt.Upstream, receipt.At, r.showKey(refused.Spec.Key))
		}
	}
}

// checkKeysOnce: each idempotency key runs at most once over all services.
func checkKeysOnce(r *run, v *verdict) {
	for _, key := range r.keys {
		runs := 0
		for _, name := range []string{"s1", "s2"} {
			runs += r.world.Services[name].KeyRuns[key]
		}
		v.judged += runs
		if runs > 1 {
			v.fail("key %s ran %d times: %s", key, runs, r.showKey(key))
		}
	}
}

func (r *run) showKey(key string) string {
	var lines []string
	for _, request := range r.world.Trace.Requests {
		if request.Spec.Key == key {
			lines = append(lines, show(request))
		}
	}
	return strings.Join(lines, "; ")
}

// checkLeaving: nothing reaches the leaving upstream more than 3 s after it was
// listed as leaving. During an outage the list cannot be read by anyone.
func checkLeaving(r *run, v *verdict) {
	listed := leavingAt + r.world.Platform.ListLag
	limit := max(listed, r.outageEndAfter(listed)) + 3*time.Second
	for _, receipt := range r.world.Trace.Received {
		if receipt.Upstream != leaving {
			continue
		}
		v.judged++
		if receipt.At > limit {
			v.fail("%s received %v from %s at %v, listed as leaving at %v", leaving, receipt.ID, receipt.Address, receipt.At, listed)
		}
	}
}

// checkPlannedStop: the stopping instance loses no request, ends, and is left
// out of discovery answers first.
func checkPlannedStop(r *run, v *verdict) {
	if r.drainedAt == 0 || r.hit("10.0.0.4:1", "kill", "pause", "resume") {
		return
	}
	for _, request := range r.world.Trace.Requests {
		if request.ID.Entry != r.drainedInc || request.Ended != 0 && request.Ended < r.drainedAt {
			continue
		}
		v.judged++
		switch {
		case request.Outcome == simtest.OutcomeNone:
			v.fail("never ended: %s", show(request))
		case request.Outcome == simtest.OutcomeLost:
			v.fail("connection lost: %s", show(request))
		case slices.Contains([]string{"draining", "not_ready", "canceled", "internal"}, request.Code):
			v.fail("refused because of the stop: %s", show(request))
		case request.Code == "upstream_broke" && !r.has("engine-death", "connection-cut"):
			v.fail("interrupted: %s", show(request))
		}
	}
	if !slices.ContainsFunc(r.world.Trace.Drained, func(d simtest.InForce) bool { return d.Instance == r.drainedInc }) {
		v.fail("the instance stopping since %v had not finished at %v", r.drainedAt, runEnd)
	}
	for _, l := range r.listings {
		if l.named && !r.disturbed(r.drainedAt-100*time.Millisecond, l.at, l.address, "10.0.0.4:1") {
			v.fail("%s still lists the stopping instance at %v", l.address, l.at)
		}
	}
}

// checkConfiguration: revisions never decrease, an accepted change is in force
// everywhere within 5 s and stays.
func checkConfiguration(r *run, v *verdict) {
	last := map[uint64]uint64{}
	for _, f := range r.world.Trace.InForce {
		if f.Revision < last[f.Instance] {
			v.fail("instance %x went from revision %d back to %d at %v", f.Instance, last[f.Instance], f.Revision, f.At)
		}
		last[f.Instance] = f.Revision
	}
	accepted := map[uint64]uint64{}
	for _, c := range r.world.Trace.Changes {
		if !c.Done.Accepted {
			continue
		}
		v.judged++
		if other, ok := accepted[c.Done.Revision]; ok {
			v.fail("changes %d and %d were both accepted as revision %d", other, c.Done.Change, c.Done.Revision)
		}
		accepted[c.Done.Revision] = c.Done.Change
		r.checkInForce(v, c)
		r.checkKept(v, c)
	}
}

// checkInForce judges the instances that ran, undisturbed by kill and pause,
// since the change was accepted.
func (r *run) checkInForce(v *verdict, c simtest.ChangeResult) {
	limit := c.At + 5*time.Second
	if limit > runEnd {
		return
	}
	for _, i := range r.world.Live() {
		if i.StartedAt > c.At || r.hitBetween(i.Address, c.At-time.Second, limit, "kill", "pause", "resume") {
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
			v.fail("revision %d accepted at %v was in force at %s at %v (found=%v)", c.Done.Revision, c.At, i.Name, at, found)
		}
	}
}

// checkKept judges that an accepted object is in the final set.
func (r *run) checkKept(v *verdict, c simtest.ChangeResult) {
	name := r.puts[c.Done.Change]
	if name == "" {
		return
	}
	for _, i := range r.world.Live() {
		set := i.Node.ConfigSet()
		if set == nil || set.Revision < c.Done.Revision {
			continue
		}
		if set.Organisations[name] == nil {
			v.fail("organisation %s, accepted as revision %d, is missing at %s in revision %d", name, c.Done.Revision, i.Name, set.Revision)
		}
	}
}

// checkOrders: upstreams carry out orders in ascending order of fencing numbers.
func checkOrders(r *run, v *verdict) {
	last := map[string]uint64{}
	for _, o := range r.world.Trace.Orders {
		v.judged++
		if o.Number < last[o.Upstream] {
			v.fail("%s carried out an order with fencing number %d after %d at %v", o.Upstream, o.Number, last[o.Upstream], o.At)
		}
		last[o.Upstream] = max(o.Number, last[o.Upstream])
	}
}

func (r *run) has(names ...string) bool {
	return slices.ContainsFunc(r.faults, func(f fault) bool { return slices.Contains(names, f.name) })
}

func (r *run) hit(address string, what ...string) bool {
	return r.hitBetween(address, 0, runEnd, what...)
}

func (r *run) hitBetween(address string, from, until time.Duration, what ...string) bool {
	for _, d := range r.world.Trace.Disturbances {
		if d.Address == address && d.At >= from && d.At <= until && slices.Contains(what, d.What) {
			return true
		}
	}
	return false
}

// disturbed reports whether frames to or from one of the addresses were lost,
// or a process was killed or paused, between two moments.
func (r *run) disturbed(from, until time.Duration, addresses ...string) bool {
	for _, address := range addresses {
		if r.hitBetween(address, from, until, "lost", "kill", "pause", "resume") {
			return true
		}
	}
	return false
}

func (r *run) outageEndAfter(t time.Duration) time.Duration {
	return r.world.Platform.OutageEndAfter(t)
}
