package poison

import "time"

const (
	// knownGoodFactor multiplies the number of ends required against a part that was
	// answered before, or that may be unanswered by chance.
	knownGoodFactor = 2
	// noiseFactor multiplies it against a part that does not stand out among the ends of its
	// pool, so that others end for other reasons.
	noiseFactor = 2
	// standsOut is the share of the ends of a pool that a part has to be under to stand out;
	// standsOutEarly that if too few answers were seen to expect one with the part, and
	// standsOutJoined that from which ends at the same time count one by one. On generated
	// days, sound parts reach 0.75 of the ends before an answer was to be expected.
	standsOut       = 0.6
	standsOutEarly  = 0.9
	standsOutJoined = 0.8
	// minExpected is the number of answers with a part that have to be expected before it
	// says something that there was none. With 5, chance explains that in 1 of 150 cases;
	// with the double, required of a part that does not stand out, in 1 of 20,000.
	minExpected = 5
	// joinedFactor multiplies the number of ends required if those at the same time count
	// one by one. A common cause, such as a rack that loses power, ends upstreams whatever
	// runs there. Two times are required, since a part may be under all requests.
	joinedFactor = 2
	joinedTimes  = 2
	// tieMargin is the number of further ends required against a part while another part
	// has nearlyAsMany of its ends: by chance one of two that are under the same ends has
	// one more, of a few.
	tieMargin    = 2
	nearlyAsMany = 0.75
	// detectTime is the time within which an instance that is cut off is missed.
	detectTime = 2 * time.Second
	// unreportedWeight is the weight of an end without a request with a part, while an
	// instance is missed: one of its requests there may have had the part.
	unreportedWeight = 0.5
)

// ReportsMissing records that an instance of the cell is not heard from, so that requests
// under the ends of upstreams may be unknown. It is called again while that lasts.
func (r *Registry) ReportsMissing(now time.Duration) {
	since := max(0, now-detectTime)
	if r.unreported.to < since {
		r.unreported.from = since
	}
	r.unreported.to = now
}

// convicted reports whether a part is to be blocked. Upstreams that end for other reasons take
// various parts with them, so that no part stands out; a part that ends them is under each
// end. rivals are those of its pool.
func (r *Registry) convicted(key Key, rivals rivals) bool {
	record := r.records[key]
	// Most parts of a long prompt have few ends, which is never enough.
	if record == nil || record.State != Suspect || len(record.Ends) < min(r.cfg.Ends, joinedTimes) || r.inJointBlock(record) {
		return false
	}
	share, expected := r.share(record), r.pools[key.Pool].expectedAnswers(key.Part)
	knownGood := r.answered.has(key)
	unanswered := !knownGood && expected >= minExpected
	noisy := share < standsOut || !knownGood && !unanswered && share < standsOutEarly
	need := r.cfg.Ends
	if knownGood || noisy && expected < noiseFactor*minExpected {
		need *= knownGoodFactor
	}
	if noisy {
		need *= noiseFactor
	}
	// More ends than a record keeps can not be required.
	need = min(need, maxEnds-tieMargin)
	count := record.count()
	if unanswered && share >= standsOutJoined && count >= joinedTimes && len(record.Ends) >= joinedFactor*need {
		count = max(count, need)
	}
	if count < need {
		return false
	}
	leads, tied := rivals.compare(len(record.Ends), knownGood || noisy)
	return leads && (!tied || count >= need+tieMargin)
}

// rivals are the largest numbers of ends of suspects of one pool: of all of them, and of those
// that were not answered before.
type rivals struct{ all, unanswered topTwo }

// rivalsIn returns the rivals of a pool. It is called once for all parts under the ends that
// were found, since the prompts there may have thousands.
func (r *Registry) rivalsIn(pool uint64) (in rivals) {
	for key, record := range r.records {
		if key.Pool != pool || record.State != Suspect {
			continue
		}
		in.all.add(len(record.Ends))
		if !r.answered.has(key) {
			in.unanswered.add(len(record.Ends))
		}
	}
	return in
}

// compare compares a suspect that has the given number of ends with the others; withAnswered
// includes those that were answered before. leads is false if one has more ends, tied is true
// if one has nearly as many.
func (in rivals) compare(ends int, withAnswered bool) (leads, tied bool) {
	top := in.unanswered
	if withAnswered {
		top = in.all
	}
	most := top.others(ends)
	return most <= ends, float64(most) >= nearlyAsMany*float64(ends)
}

// topTwo are the two largest of some numbers above 0, or 0.
type topTwo struct{ first, second int }

func (t *topTwo) add(n int) {
	t.second = max(t.second, min(n, t.first))
	t.first = max(t.first, n)
}

// others returns the largest number without one that equals own.
func (t topTwo) others(own int) int {
	if own == t.first {
		return t.second
	}
	return t.first
}

// share returns the share of the ends in a part's pool, since the first that counts against
// it, that do.
func (r *Registry) share(record *Record) float64 {
	own, others := float64(len(record.Ends)), 0.0
	since := record.Ends[0].At
	for _, e := range r.pools[record.Pool].ends {
		switch {
		case e.At < since || record.hasEnd(e.Upstream):
		case e.At >= r.unreported.from && e.At <= r.unreported.to:
			others += unreportedWeight
		default:
			others++
		}
	}
	return own / (own + others)
}
