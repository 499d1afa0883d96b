package measurement

import (
	"slices"
	"time"
)

// observer sees all waiting and dispatched requests at once and counts
// violations of promise P2 exactly.
type observer struct {
	d deployment
	// waiting counts by tier and class.
	waiting [8][]int
	// last is the time of the last dispatch by upstream and tier.
	last [][8]time.Duration
	// overlaps is true for classes that share an upstream.
	overlaps   [][]bool
	violations int
	sheds      int
}

func newObserver(d deployment) *observer {
	o := &observer{d: d, last: make([][8]time.Duration, len(d.engines)+len(d.services))}
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

// waits records that a call starts to wait. which selects the call's record of
// this observer.
func (o *observer) waits(c *call, which int, now time.Duration) {
	o.waiting[c.spec.tier][c.spec.class]++
	c.since[which] = now
}

func (o *observer) leaves(c *call, _ int) { o.waiting[c.spec.tier][c.spec.class]-- }

func (o *observer) dispatched(c *call, upstream uint32, now time.Duration) {
	o.last[upstream][c.spec.tier] = now
}

// shed counts a violation if lower-tier work for a shared upstream waits, or
// was dispatched there while the shed call waited.
func (o *observer) shed(c *call, which int) {
	o.sheds++
	for tier := int(c.spec.tier) + 1; tier < len(o.waiting); tier++ {
		for class, count := range o.waiting[tier] {
			if count > 0 && o.overlaps[c.spec.class][class] {
				o.violations++
				return
			}
		}
		for _, u := range o.d.classes[c.spec.class] {
			if o.last[u][tier] > c.since[which] {
				o.violations++
				return
			}
		}
	}
}
