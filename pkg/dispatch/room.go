package dispatch

import (
	"slices"
	"time"

	"github.com/citrongate/citrongate/pkg/scheduler"
)

// waitingSet lists the records of each tier that may be waiting, oldest first.
// Records that have ended are dropped when a list has grown to twice the bound
// on records, so that adding one costs constant time on average.
type waitingSet [scheduler.MaxTiers][]*Record

func (s *waitingSet) add(r *Record, maxRecords int) {
	tier := min(int(r.Tier), scheduler.MaxTiers-1)
	if len(s[tier]) >= 2*maxRecords {
		s[tier] = slices.DeleteFunc(s[tier], func(r *Record) bool { return r.State == Done })
	}
	s[tier] = append(s[tier], r)
}

// newestBelow returns the newest waiting record of the lowest tier that is
// lower than tier, or nil.
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

// makeRoom sheds one waiting request of a lower tier if the table is full. A
// full table must not refuse a higher tier while it keeps a lower one (P2).
func (t *Table) makeRoom(tier uint8) bool {
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
