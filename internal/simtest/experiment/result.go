package experiment

import (
	"cmp"
	"slices"
	"time"
)

const (
	// windowLength is that of the windows whose worst count by themselves.
	windowLength = 2 * time.Second
	// worstWindows is how many of them.
	worstWindows = 2
	// Weights of the parts of the worth.
	wholeWeight, windowWeight, kindWeight = 0.7, 0.15, 0.15
	// againPrice is the part of a request's worth that a caller loses who came
	// back after a refusal in vain.
	againPrice = 0.3
	// A request that is refused without having been sent costs nothing if it was
	// held for heldFree of its goal, and its whole worth if it was held for
	// heldWhole of the time that it had.
	heldFree  = 1.0 / 8
	heldWhole = 3.0 / 4
)

// Result is what a run earned, in parts of what was owed.
type Result struct {
	Whole, WorstWindows, WorstKind float64
	// Again is the price of callers that came back in vain, Held that of requests
	// that were held and then refused.
	Again, Held float64
}

// Worth is the figure by which policies are ranked.
func (r Result) Worth() float64 {
	return wholeWeight*r.Whole + windowWeight*r.WorstWindows + kindWeight*r.WorstKind - r.Again - r.Held
}

// tally sums worth.
type tally struct {
	owed, earned, again, held float64
}

func (t *tally) share() float64 { return t.earned / max(t.owed, 1e-9) }

// size is the worth of a request by the length of its prompt.
func (c *caller) size() float64 {
	return min(4, 0.3+0.7*float64(c.prompt)/kinds[c.kind].prompt)
}

// heldInVain returns which part of its worth a request costs that was held
// without being sent, 0 to 1.
func (c *caller) heldInVain() float64 {
	free, whole := heldFree*kinds[c.kind].goal.Seconds(), heldWhole*kinds[c.kind].deadline.Seconds()
	held := 0.0
	for _, r := range c.attempts {
		if len(r.Dispatches) > 0 {
			return 0
		}
		held += (r.Ended - r.Submitted).Seconds()
	}
	return max(0, min(1, (held-free)/(whole-free)))
}

func (t *tally) add(c *caller) {
	k := kinds[c.kind]
	whole, inTime := c.served()
	t.owed += k.worth * c.size()
	switch {
	case inTime:
		t.earned += k.worth * c.size()
	case whole:
		t.earned += k.late * c.size()
	case c.cameBack():
		t.again += againPrice * k.worth * c.size()
	}
	if !whole {
		t.held += c.heldInVain() * k.worth * c.size()
	}
}

// result sums up. What an organisation asks beyond the tolerated use of its
// quota in a window is not owed.
func (r *run) result() Result {
	var all tally
	byKind := make([]tally, len(kinds))
	windows := make([]tally, trafficFor/windowLength)
	use := newUsage(r)
	for _, c := range r.callers {
		if len(c.attempts) == 0 || c.overQuota() && use.beyond(c) {
			continue
		}
		all.add(c)
		byKind[c.kind].add(c)
		windows[(c.at-trafficFrom)/windowLength].add(c)
	}
	out := Result{Whole: all.share(), WorstKind: 1, Again: all.again / max(all.owed, 1e-9), Held: all.held / max(all.owed, 1e-9)}
	for k := range byKind {
		out.WorstKind = min(out.WorstKind, byKind[k].share())
	}
	slices.SortFunc(windows, func(a, b tally) int { return cmp.Compare(a.share(), b.share()) })
	for i := range worstWindows {
		out.WorstWindows += windows[i].share() / worstWindows
	}
	return out
}

// usage is what each organisation has used of its quota.
type usage struct {
	run *run
	// granted holds the requests that were sent to engines, in order of arrival.
	granted [organisations][]*caller
}

func newUsage(r *run) *usage {
	u := &usage{run: r}
	for _, c := range r.callers {
		if len(c.attempts) > 0 && !c.overQuota() {
			u.granted[c.organisation] = append(u.granted[c.organisation], c)
		}
	}
	return u
}

// beyond reports whether the request did not fit into the window before it.
func (u *usage) beyond(c *caller) bool {
	lowered := c.at >= trafficFrom+eventAt
	o := config(u.run.pattern, lowered).Organisations[c.organisation]
	tolerated := (o.QuotaPerSecond*tolerance.Window.Seconds()+o.QuotaBurst)*(1+tolerance.Over) + tolerance.Slack
	used := c.cost()
	for _, g := range u.granted[c.organisation] {
		if g.at <= c.at && c.at-g.at < tolerance.Window {
			used += g.cost()
		}
	}
	return used > tolerated
}
