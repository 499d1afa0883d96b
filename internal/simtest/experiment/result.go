package experiment

import (
	"cmp"
	"slices"
	"time"
)

const (
	// windowLength is the length of the time windows for Result.WorstWindows.
	windowLength = 2 * time.Second
	// worstWindows is the number of windows in Result.WorstWindows.
	worstWindows = 2
	// Weights of the ratios in Result.Value.
	overallWeight, windowWeight, kindWeight = 0.7, 0.15, 0.15
	// futileRetryCost is the fraction of a request's value that is deducted if its caller
	// retried without receiving a complete answer.
	futileRetryCost = 0.3
	// A request without a complete answer that was never sent to an upstream costs
	// nothing if it waited for at most freeWaitFraction of its goal, and its full value
	// if it waited for fullCostWaitFraction of its deadline; in between the cost is linear.
	freeWaitFraction     = 1.0 / 8
	fullCostWaitFraction = 3.0 / 4
)

// Result is the score of a run. Its fields are ratios to the value owed, which is the
// sum of the values of the requests that count.
type Result struct {
	// Overall is the ratio of the value earned over the run, WorstWindows its mean over
	// the worst windows, WorstKind that of the worst request kind.
	Overall, WorstWindows, WorstKind float64
	// FutileRetries is the cost of retries without a complete answer, FutileWaits that
	// of requests that waited and were never sent.
	FutileRetries, FutileWaits float64
}

// Value is the weighted score by which policies are compared.
func (r Result) Value() float64 {
	return overallWeight*r.Overall + windowWeight*r.WorstWindows + kindWeight*r.WorstKind - r.FutileRetries - r.FutileWaits
}

// tally sums the value owed and earned and the costs.
type tally struct {
	owed, earned, futileRetries, futileWaits float64
}

func (t *tally) ratio() float64 { return t.earned / max(t.owed, 1e-9) }

// sizeFactor returns the factor on a request's value for the length of its prompt.
func (c *caller) sizeFactor() float64 {
	return min(4, 0.3+0.7*float64(c.prompt)/kinds[c.kind].prompt)
}

// futileWaitCost returns the fraction of its value, 0 to 1, that a request costs for
// waiting without being sent.
func (c *caller) futileWaitCost() float64 {
	freeWait, fullCostWait := freeWaitFraction*kinds[c.kind].goal.Seconds(), fullCostWaitFraction*kinds[c.kind].deadline.Seconds()
	waited := 0.0
	for _, r := range c.attempts {
		if len(r.Dispatches) > 0 {
			return 0
		}
		waited += (r.Ended - r.Submitted).Seconds()
	}
	return max(0, min(1, (waited-freeWait)/(fullCostWait-freeWait)))
}

// add adds the outcome of a caller's request.
func (t *tally) add(c *caller) {
	k := kinds[c.kind]
	complete, inTime := c.served()
	t.owed += k.value * c.sizeFactor()
	switch {
	case inTime:
		t.earned += k.value * c.sizeFactor()
	case complete:
		t.earned += k.lateValue * c.sizeFactor()
	case c.retried():
		t.futileRetries += futileRetryCost * k.value * c.sizeFactor()
	}
	if !complete {
		t.futileWaits += c.futileWaitCost() * k.value * c.sizeFactor()
	}
}

// result returns the score of the run. Requests refused by the quota do not count if
// with them the organisation would have exceeded the tolerated use of its quota in the
// tolerance window.
func (r *run) result() Result {
	var all tally
	byKind := make([]tally, len(kinds))
	windows := make([]tally, trafficDuration/windowLength)
	quotaUse := newQuotaUsage(r)
	for _, c := range r.callers {
		if len(c.attempts) == 0 || c.refusedByQuota() && quotaUse.exceedsTolerance(c) {
			continue
		}
		all.add(c)
		byKind[c.kind].add(c)
		windows[(c.at-trafficStart)/windowLength].add(c)
	}
	out := Result{Overall: all.ratio(), WorstKind: 1,
		FutileRetries: all.futileRetries / max(all.owed, 1e-9), FutileWaits: all.futileWaits / max(all.owed, 1e-9)}
	for k := range byKind {
		out.WorstKind = min(out.WorstKind, byKind[k].ratio())
	}
	slices.SortFunc(windows, func(a, b tally) int { return cmp.Compare(a.ratio(), b.ratio()) })
	for i := range worstWindows {
		out.WorstWindows += windows[i].ratio() / worstWindows
	}
	return out
}

// quotaUsage holds the requests that count as use of each organisation's quota.
type quotaUsage struct {
	run *run
	// granted holds the requests that were not refused by the quota, in order of arrival.
	granted [organisations][]*caller
}

func newQuotaUsage(r *run) *quotaUsage {
	u := &quotaUsage{run: r}
	for _, c := range r.callers {
		if len(c.attempts) > 0 && !c.refusedByQuota() {
			u.granted[c.organisation] = append(u.granted[c.organisation], c)
		}
	}
	return u
}

// exceedsTolerance reports whether the request, together with the granted ones of the
// tolerance window before it, exceeds the tolerated use of the quota.
func (u *quotaUsage) exceedsTolerance(c *caller) bool {
	lowered := c.at >= trafficStart+disturbanceAt
	o := configuration(u.run.pattern, lowered).Organisations[c.organisation]
	tolerated := (o.QuotaPerSecond*tolerance.Window.Seconds()+o.QuotaBurst)*(1+tolerance.Over) + tolerance.Slack
	used := c.cost()
	for _, g := range u.granted[c.organisation] {
		if g.at <= c.at && c.at-g.at < tolerance.Window {
			used += g.cost()
		}
	}
	return used > tolerated
}
