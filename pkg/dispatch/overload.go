package dispatch

import (
	"slices"
	"time"

	"github.com/citrongate/citrongate/pkg/scheduler"
)

// waitingSet lists the records of each tier that may be waiting, oldest first.
// Records that have ended are removed once a list has grown to twice the bound on
// records, so that adding a record takes amortised constant time.
type waitingSet [scheduler.MaxTiers][]*Record

func (s *waitingSet) add(r *Record, maxRecords int) {
	tier := min(int(r.Tier), scheduler.MaxTiers-1)
	if len(s[tier]) >= 2*maxRecords {
		s[tier] = slices.DeleteFunc(s[tier], func(r *Record) bool { return r.State == Done })
	}
	s[tier] = append(s[tier], r)
}

// newestBelow removes and returns the newest waiting record of the lowest tier that
// has one and is lower than the given tier; nil if there is none.
func (s *waitingSet) newestBelow(tier uint8) *Record {
	for t := scheduler.MaxTiers - 1; t > int(tier); t-- {
		for i, r := range slices.Backward(s[t]) {
			if r.State == Waiting {
				s[t] = slices.Delete(s[t], i, i+1)
				return r
			}
		}
	}
	return nil
}

// ensureCapacity sheds one waiting request of a lower tier if the table is full. It
// returns false if the table is full and there is no such request. A higher tier must
// never be refused while a lower tier is kept.
func (t *Table) ensureCapacity(tier uint8) bool {
	if len(t.records) < t.cfg.MaxRequests {
		return true
	}
	victim := t.waiting.newestBelow(tier)
	if victim == nil {
		return false
	}
	t.withdraw(victim)
	t.end(victim, instanceFull("a request of a higher tier took its place"))
	return true
}

func instanceFull(detail string) Refusal {
	return Refusal{Code: "shed_overload", Ran: RanNo,
		Reason: "this instance holds as many requests as max_requests allows; " + detail,
		Remedy: "retry at another instance of the discovery answer", RetryAfter: time.Second}
}
