package scheduler

import "time"

const (
	// reportMaxAge bounds how long an entry's report is used. Entries with streams
	// report at least every 2 s in a small cell; one whose streams have ended does not
	// report.
	reportMaxAge = 5 * time.Second
	// representativeAge bounds the age of the reports that show the usual time between
	// tokens: a little more than the longest interval between reports in a small cell.
	representativeAge = 2500 * time.Millisecond
	// evidenceAge bounds the age of the reports that show a straggler: two windows of
	// 500 ms, and the time of a message.
	evidenceAge = 1200 * time.Millisecond
)

type entryReport struct {
	Observation
	at time.Duration
}

// Progress records what an entry observed at one upstream. Entries report when
// the rate changes and when streams stall, so a report is valid until the next one.
func (p *Pool) Progress(now time.Duration, o Observation) {
	if int(o.Upstream) >= len(p.upstreams) {
		return
	}
	u := p.upstreams[o.Upstream]
	u.storeReport(now, o)
	if mean := u.meanInterToken(now); mean > 0 && u.representative(now) {
		smooth(&u.interToken, mean, smoothing)
		if !u.quarantined && u.suspectSince == 0 {
			u.learnProfile(now, u.inFlight, mean)
		}
	}
	p.updateSuspicion(now, u)
}

// representative reports whether the recent reports cover at least half of the requests
// in flight. In a large cell entries report little but what is unusual, so that their
// mean would be too slow.
func (u *upstream) representative(now time.Duration) bool {
	var streams uint32
	for _, report := range u.reports {
		if now-report.at <= representativeAge {
			streams += report.Streams
		}
	}
	return 2*streams >= u.inFlight
}

func (u *upstream) storeReport(now time.Duration, o Observation) {
	for i := range u.reports {
		if u.reports[i].Entry == o.Entry {
			u.reports[i] = entryReport{o, now}
			return
		}
	}
	u.reports = append(u.reports, entryReport{o, now})
}

// meanInterToken returns the mean inter-token time over all entries, weighted by streams,
// and 0 if it is unknown. It drops outdated reports.
func (u *upstream) meanInterToken(now time.Duration) float64 {
	var sum, weight float64
	kept := u.reports[:0]
	for _, report := range u.reports {
		if report.Streams == 0 || now-report.at > reportMaxAge {
			continue
		}
		kept = append(kept, report)
		if report.InterToken > 0 {
			sum += float64(report.InterToken) * float64(report.Streams)
			weight += float64(report.Streams)
		}
	}
	u.reports = kept
	if weight == 0 {
		return 0
	}
	return sum / weight
}

// evidence counts the streams at an upstream that recent reports show, and those among
// them that stall or are slow.
type evidence struct{ streams, stalled, slow uint32 }

// evidenceAt returns what recent reports show. Streams of an entry are slow if their mean
// inter-token time is above slowFrom.
func (u *upstream) evidenceAt(now time.Duration, slowFrom float64) (e evidence) {
	for _, report := range u.reports {
		if now-report.at > evidenceAge {
			continue
		}
		e.streams += report.Streams
		e.stalled += report.Stalled
		if float64(report.InterToken) > slowFrom {
			e.slow += report.Streams
		}
	}
	return e
}
