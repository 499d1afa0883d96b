package poison

import (
	"cmp"
	"slices"
)

// Limits of the parts that are kept. Of prompts with more parts more are kept, so that a part
// that ends upstreams is not displaced by the others of the prompts it comes with.
const (
	// minRecords is the limit of records while prompts are short. Long prompts raise it to the
	// parts of recordedPrompts of them, at most to maxRecords, which take some 6 MB.
	minRecords, maxRecords = 512, 32_768
	recordedPrompts        = 16
	// minAnswered, maxAnswered and answeredPrompts are the same for the parts that are
	// remembered as answered, which take at most some 4 MB.
	minAnswered, maxAnswered = 4096, 65_536
	answeredPrompts          = 64
	// One in displacedShare of the records is removed when they reach the limit.
	displacedShare = 8
)

// noteLength takes note of the number of parts of a prompt.
func (r *Registry) noteLength(parts []uint64) { r.longest = max(r.longest, len(parts)) }

func (r *Registry) recordLimit() int {
	return min(max(minRecords, recordedPrompts*r.longest), maxRecords)
}

func (r *Registry) answeredLimit() int {
	return min(max(minAnswered, answeredPrompts*r.longest), maxAnswered)
}

// displace removes the records that matter least.
func (r *Registry) displace() {
	keys := r.keys()
	slices.SortStableFunc(keys, func(a, b Key) int { return compareWeight(r.records[a], r.records[b]) })
	for _, key := range keys[:max(1, len(keys)/displacedShare)] {
		r.remove(key)
	}
}

// compareWeight orders records by what it would cost to forget them: those with few and old ends
// come first, those of parts that were blocked once last but for those that are blocked.
func compareWeight(a, b *Record) int {
	return cmp.Or(cmp.Compare(btoi(a.State == Blocked), btoi(b.State == Blocked)), cmp.Compare(btoi(a.Kept()), btoi(b.Kept())),
		cmp.Compare(len(a.Ends), len(b.Ends)), cmp.Compare(a.Touched, b.Touched))
}
