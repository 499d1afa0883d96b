package scheduler

import "time"

// reportMaxAge bounds how long an entry's report is used. Entries with streams
// report at least every 2 s; one whose streams have ended does not report.
const reportMaxAge = 5 * time.Second

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
	streams, stalled, mean := u.combineReports(now)
	if mean > 0 {
		smooth(&u.interToken, mean, smoothing)
		if !u.quarantined && u.suspectSince == 0 {
			u.learnProfile(now, u.inFlight, mean)
		}
	}
	p.updateSuspicion(now, u, mean, streams, stalled)
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

// combineReports returns the number of streams of all entries, how many of them
// stall, and the mean inter-token time weighted by streams, 0 if unknown.
func (u *upstream) combineReports(now time.Duration) (streams, stalled uint32, mean float64) {
	var sum, weight float64
	kept := u.reports[:0]
	for _, report := range u.reports {
		if report.Streams == 0 || now-report.at > reportMaxAge {
			continue
		}
		kept = append(kept, report)
		streams += report.Streams
		stalled += report.Stalled
		if report.InterToken > 0 {
			sum += float64(report.InterToken) * float64(report.Streams)
			weight += float64(report.Streams)
		}
	}
	u.reports = kept
	if weight > 0 {
		mean = sum / weight
	}
	return streams, stalled, mean
}
