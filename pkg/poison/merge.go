package poison

import (
	"cmp"
	"slices"
	"time"
)

// Merge applies a record of another instance, or one from the store, whose times are on
// this instance's clock. It returns true if requests are blocked since that were not before.
func (r *Registry) Merge(now time.Duration, other Record) (blocked bool) {
	if !r.Enabled() || other.State == 0 || other.State > Lifted {
		return false
	}
	own := r.records[other.Key]
	if own == nil {
		own = r.create(now, other.Key, Suspect)
	} else if order := compareRecords(*own, other); order >= 0 {
		return order == 0 && r.mergeSame(own, other)
	}
	before := own.State
	own.Generation, own.Round, own.Ends = other.Generation, other.Round, mergeEnds(nil, other.Ends, maxEnds)
	own.Until = min(other.Until, now+r.cfg.Trial*maxTrialFactor)
	own.Touched = now
	r.setState(own, other.State)
	r.setWith(own, other.With)
	if own.State != Blocked {
		return false
	}
	r.discount(own)
	return before != Blocked
}

// compareRecords orders two records of one part by which is newer.
func compareRecords(a, b Record) int {
	return cmp.Or(cmp.Compare(a.Generation, b.Generation), cmp.Compare(a.Round, b.Round), cmp.Compare(rank(a.State), rank(b.State)))
}

// Newer reports whether record a is newer than b, of the same part or empty.
func Newer(a, b Record) bool { return compareRecords(a, b) > 0 || b.State == 0 }

// rank orders the states within one generation and round.
func rank(s State) int {
	switch s {
	case Blocked:
		return 1
	case Trial:
		return 2
	}
	return 0
}

// mergeSame merges a record of the same state. The shorter block holds, since clocks start
// when a record arrives; it is joined with the parts that nothing has taken out at either
// instance. It returns true if these have become fewer, so that more requests are blocked.
func (r *Registry) mergeSame(own *Record, other Record) (fewer bool) {
	joined := len(own.With)
	own.Ends = mergeEnds(own.Ends, other.Ends, maxEnds)
	r.setWith(own, slices.DeleteFunc(own.With, func(part uint64) bool { return !slices.Contains(other.With, part) }))
	if own.State == Blocked {
		own.Until = min(own.Until, other.Until)
	}
	return own.State == Blocked && len(own.With) < joined
}

// mergeEnds returns the ends of both lists in order of time, at most the newest limit of them.
func mergeEnds(own, other []End, limit int) []End {
	for _, e := range other {
		if !slices.ContainsFunc(own, func(known End) bool { return known.Upstream == e.Upstream }) {
			own = append(own, e)
		}
	}
	slices.SortStableFunc(own, func(a, b End) int { return cmp.Compare(a.At, b.At) })
	return own[max(0, len(own)-limit):]
}
