package rollout

import (
	"fmt"
	"time"
)

const (
	// minAnswers is the number of answers of the version without which it is not judged before
	// the deadline, and minRouteAnswers that for each route with more than routeShare of them.
	minAnswers      = 10
	minRouteAnswers = 3
	routeShare      = 0.2
	// inheritedBad is the share of bad answers that the record of an earlier owner may show if no
	// further evidence is needed.
	inheritedBad = 0.05
	// inheritedFor is the time in which a new owner gathers evidence of its own.
	inheritedFor = 2 * time.Second
	// goneFor is how long the service has no upstream of the current version before all of the
	// new one are used.
	goneFor = 2 * time.Second
	// settle is how long all traffic stays at the version before the order is completed.
	settle = 200 * time.Millisecond
	// writeMargin is set aside for writes to the store, or writeMarginFactor times as long as
	// the last one took.
	writeMargin       = 300 * time.Millisecond
	writeMarginFactor = 3
	// earliestShift is the part of the time to the deadline that is spent on the judgement, even
	// if the shift then ends late.
	earliestShift = 0.4
	// countLimit is the number of bad answers beyond those that the current version's rates
	// explain that reverts in any case.
	countLimit = 50
	// overdueAfter is the part of the time to the deadline before which overdue requests do not
	// revert, since only short answers of the current version have been seen.
	overdueAfter = 0.25
	// unjudgedFactor is the multiple of the time to the deadline after which an order without
	// enough evidence is reverted.
	unjudgedFactor = 3
)

// falseRevert is the stated share of good versions that the sequential tests of one order may
// revert. The threshold divides it by the number of tests (Bonferroni).
const falseRevert = 0.01

// suspicion is the likelihood ratio of one test above which a version is not shifted or completed
// yet.
const suspicion = 4

// decide moves the order to its next phase if that is due.
func (r *Rollout) decide() {
	r.evidence.evaluate(r.now)
	switch r.phase {
	case Waiting:
		r.decideWaiting()
	case Judging:
		if !r.condemned() {
			r.decideJudging()
		}
	case Shifting:
		if !r.condemned() {
			r.decideShifting()
		}
	}
}

func (r *Rollout) decideWaiting() {
	switch {
	case !r.bounds.Enabled():
		r.revert("rollouts are turned off by the settings")
	case r.up.Target > 0:
		r.setPhase(Judging, "%d upstreams of the version, %d of the current one", r.up.Target, r.up.Current)
		r.decideJudging()
	case r.elapsed(r.now) >= r.order.Within && !r.rec.Hold:
		r.revert("no upstream of the version by the deadline")
	}
}

func (r *Rollout) decideJudging() {
	elapsed := r.elapsed(r.now)
	late := elapsed >= r.order.Within
	answers := r.evidence.target.answers
	switch {
	case r.rec.Hold || r.next != 0 || !r.seenUpstreams:
	case !r.seenCurrent:
		r.advance(Completed, "all upstreams have the version already")
	case r.forced:
		r.advance(Shifting, "an operator demanded it")
	case r.up.Target > 0 && r.currentGone > 0 && r.now-r.currentGone >= goneFor && !r.suspected():
		r.advance(Shifting, "no upstream of the current version is left; %s", r.evidence.describe())
	case late && r.up.Target == 0:
		r.revert("no upstream of the version at the deadline")
	case late && answers == 0 && r.arrived == 0:
		r.revert("no request arrived by which the version could be judged")
	case r.proven(late) && elapsed >= r.shiftAt():
		r.advance(Shifting, "%s", r.evidence.describe())
	case late && answers >= minAnswers && r.suspected():
		r.revert("not proven by the deadline: %s", r.evidence.describe())
	case elapsed >= unjudgedFactor*r.order.Within && r.failures == 0:
		r.revert("cannot be judged: %s", r.evidence.describe())
	}
}

// proven reports whether the version's answers suffice and do not speak against it. After the
// deadline fewer suffice if no more can come within the bound.
func (r *Rollout) proven(late bool) bool {
	answers := r.evidence.target.answers
	if answers == 0 || r.suspected() {
		return false
	}
	exhausted := r.targetInFlight == 0 && r.reservable() <= r.spent
	if r.inherited() || late && (answers >= minAnswers || exhausted) {
		return true
	}
	return answers >= minAnswers && r.evidence.allFailureOdds < 0 && r.evidence.coversRoutes()
}

// suspected reports whether something speaks against the version, if not enough to revert it.
func (r *Rollout) suspected() bool {
	requests, suspected := r.overdue()
	lags, _ := r.lag()
	return lags || requests >= suspected || r.evidence.worst() > r.evidence.suspicion()
}

// inherited reports whether an earlier owner has gathered enough evidence that speaks for the
// version, and this one had no time to gather its own.
func (r *Rollout) inherited() bool {
	return r.now-r.created < inheritedFor && r.taken.Reserved >= 2*minAnswers && float64(r.taken.Bad) <= inheritedBad*float64(r.taken.Reserved)
}

// shiftAt returns the time since the order at which the shift begins, so that the requests at
// the current version end, and the writes are made, before the deadline. It is as late as that
// permits, since some versions become bad only after some time.
func (r *Rollout) shiftAt() time.Duration {
	earliest := time.Duration(earliestShift * float64(r.order.Within))
	return max(r.completeAt()-r.durations.drain()-settle, earliest)
}

// completeAt returns the time since the order from which it may be completed. Until then the
// version is observed, even if nothing runs at the current version any more.
func (r *Rollout) completeAt() time.Duration {
	return r.order.Within - max(writeMargin, writeMarginFactor*r.writeTime)
}

func (r *Rollout) decideShifting() {
	if r.next == Completed && !r.writing && r.currentInFlight > 0 {
		r.next = 0
	}
	if r.rec.Hold || r.next != 0 || r.currentInFlight > 0 || r.up.Target == 0 && r.up.Current > 0 {
		return
	}
	if r.now-r.phaseSince < settle {
		return
	}
	if !r.forced && r.elapsed(r.now) < r.completeAt() {
		return
	}
	if !r.forced && r.suspected() && r.elapsed(r.now) < r.order.Within+r.durations.drain() {
		return
	}
	r.advance(Completed, "nothing runs at the current version; %s", r.evidence.describe())
}

// condemned reverts the version if its answers speak against it.
func (r *Rollout) condemned() bool {
	if r.completing() {
		return false
	}
	overdue, suspected := r.overdue()
	_, lags := r.lag()
	bad := r.evidence.excess() + float64(r.rec.Bad)
	early := float64(r.elapsed(r.now)) < overdueAfter*float64(r.order.Within)
	switch {
	case bad >= countLimit:
		r.revert("%.0f bad answers beyond those of the current version; %s", bad, r.evidence.describe())
	case r.forced:
	case r.evidence.worst() >= r.evidence.limit():
		r.revert("bad answers: %s", r.evidence.describe())
	case overdue >= overdueRevert*suspected && !early:
		r.revert("%.0f requests take longer than any at the current version; %s", overdue, r.evidence.describe())
	case lags:
		r.revert("%d requests in progress, more than at the speed of the current version; %s", r.targetInFlight, r.evidence.describe())
	case r.crossesBound() && r.evidence.worst() > (r.evidence.suspicion()+r.evidence.limit())/2:
		r.revert("exposure bound reached under suspicion: %s", r.evidence.describe())
	}
	return r.phase == Reverted
}

// completing reports whether a write of Completed may be in effect. The upstreams of the current
// version are then stopped, so that the order can not be reverted.
func (r *Rollout) completing() bool {
	return r.sent.Phase == Completed && (r.writing || r.failures > 0)
}

// advance demands a phase that takes effect once it is in the store.
func (r *Rollout) advance(p Phase, format string, figures ...any) {
	r.next = p
	r.nextReason = fmt.Sprintf(format, figures...)
}

// revert takes effect immediately; it is written when the store accepts it.
func (r *Rollout) revert(format string, figures ...any) {
	r.next = 0
	r.setPhase(Reverted, format, figures...)
}
