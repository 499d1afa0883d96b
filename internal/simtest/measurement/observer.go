package measurement

import (
	"slices"
	"time"
)

// observer has a global view of all waiting and dispatched requests and counts
// exactly how often a request is shed while a lower tier is kept.
type observer struct {
	d deployment
	// waiting holds the number of waiting calls by tier and class.
	waiting [8][]int
	// lastDispatch holds the time of the last dispatch by upstream and tier.
	lastDispatch [][8]time.Duration
	// overlaps reports for each pair of classes whether they share an upstream.
	overlaps   [][]bool
	violations int
	sheds      int
}

func newObserver(d deployment) *observer {
	o := &observer{d: d, lastDispatch: make([][8]time.Duration, len(d.engines)+len(d.services))}
	for tier := range o.waiting {
		o.waiting[tier] = make([]int, len(d.classes))
	}
	for _, a := range d.classes {
		row := make([]bool, len(d.classes))
		for c, b := range d.classes {
			row[c] = slices.ContainsFunc(a, func(u uint32) bool { return slices.Contains(b, u) })
		}
		o.overlaps = append(o.overlaps, row)
	}
	return o
}

// startWaiting records that a call starts to wait. index selects this observer's
// entry in the call's waitingSince.
func (o *observer) startWaiting(c *call, index int, now time.Duration) {
	o.waiting[c.spec.tier][c.spec.class]++
	c.waitingSince[index] = now
}

func (o *observer) stopWaiting(c *call, _ int) { o.waiting[c.spec.tier][c.spec.class]-- }

func (o *observer) recordDispatch(c *call, upstream uint32, now time.Duration) {
	o.lastDispatch[upstream][c.spec.tier] = now
}

// recordShed counts a violation if lower-tier work for a shared upstream waits,
// or was dispatched there while the shed call waited.
func (o *observer) recordShed(c *call, index int) {
	o.sheds++
	for tier := int(c.spec.tier) + 1; tier < len(o.waiting); tier++ {
		for class, count := range o.waiting[tier] {
			if count > 0 && o.overlaps[c.spec.class][class] {
				o.violations++
				return
			}
		}
		for _, u := range o.d.classes[c.spec.class] {
			if o.lastDispatch[u][tier] > c.waitingSince[index] {
				o.violations++
				return
			}
		}
	}
}
