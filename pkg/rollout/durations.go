package rollout

import (
	"math"
	"sort"
	"time"
)

// drainQuantile of the answers of the current version end within the time set aside for the
// shift.
const drainQuantile = 0.999

// durations tells how long answers of the current version take.
type durations struct{ seen histogram }

func (d *durations) add(duration time.Duration) {
	if duration > 0 {
		d.seen[binOf(duration)]++
	}
}

// drain returns how long the requests in progress at the current version take to end.
func (d *durations) drain() time.Duration {
	if d.seen.total() == 0 {
		return 0
	}
	bin := float64(d.seen.quantile(drainQuantile)) + 0.5
	return time.Duration(float64(lowestLatency) * math.Exp2(bin/binsPerDoubling))
}

// typical returns the duration within which half of the answers end.
func (d *durations) typical() time.Duration {
	if d.seen.total() == 0 {
		return 0
	}
	return time.Duration(float64(lowestLatency) * math.Exp2(float64(d.seen.quantile(0.5))/binsPerDoubling))
}

const (
	// markEvery is the time between two marks of the grants; maxMarks bounds them.
	markEvery = 20 * time.Millisecond
	maxMarks  = 2048
	// overdueLeast and overduePart of the recent grants are the requests in progress for longer
	// than those at the current version from which a version is not shifted or completed, and
	// overdueRevert times as many revert it. Answers of a slow version are not seen before
	// they end.
	overdueLeast  = 5
	overduePart   = 0.05
	overdueRevert = 3
)

// grantMark is the number of grants to the version before a time.
type grantMark struct {
	at     time.Duration
	before uint64
}

// grantMarks tells how many requests were granted within a time.
type grantMarks []grantMark

func (m *grantMarks) add(now time.Duration, before uint64) {
	if n := len(*m); n > 0 && now-(*m)[n-1].at < markEvery {
		return
	}
	if len(*m) == maxMarks {
		*m = append((*m)[:0], (*m)[maxMarks/2:]...)
	}
	*m = append(*m, grantMark{now, before})
}

// since returns the number of grants since a time, of all so far.
func (m grantMarks) since(at time.Duration, all uint64) uint64 {
	i := sort.Search(len(m), func(i int) bool { return m[i].at >= at })
	if i == 0 || all < m[i-1].before {
		return all
	}
	return all - m[i-1].before
}

// overdue returns how many requests are at the version for longer than any at the current one,
// and from which number on the version is suspected. Requests are taken to end in the order of
// their grants.
func (r *Rollout) overdue() (requests, suspected float64) {
	expected := r.durations.drain()
	if expected == 0 {
		return 0, overdueLeast
	}
	recent := r.marks.since(r.now-expected, r.granted)
	within := r.marks.since(r.now-2*expected, r.granted)
	return max(0, float64(r.targetInFlight)-float64(recent)), max(overdueLeast, overduePart*float64(within))
}

const (
	// lagSlower and lagDeviations are by which factor and by how many standard deviations the
	// requests in progress exceed those expected from the current version's durations if the
	// version is suspected; lagRevert is the factor that reverts it.
	lagSlower     = 1.35
	lagRevert     = 1.6
	lagDeviations = 5.0
	// lagLeast is the number of answers of the current version from which durations are known.
	lagLeast = 100
	// lagEvery is the least time between two comparisons, which look at all marks.
	lagEvery = 10 * time.Millisecond
)

// lagState is the result of the newest comparison.
type lagState struct {
	lagAt                    time.Duration
	lagSuspected, lagCertain bool
}

// lag reports whether more requests are in progress at the version than if it were as fast as the
// current one. It shows a slow version before its answers end. It holds for all upstreams of the
// version together only, since a few may be of the slow kind.
func (r *Rollout) lag() (suspected, certain bool) {
	if r.phase != Shifting || r.durations.seen.total() < lagLeast {
		return false, false
	}
	if r.lagAt > 0 && r.now-r.lagAt < lagEvery {
		return r.lagSuspected, r.lagCertain
	}
	r.lagAt = r.now
	expected, variance := r.durations.inProgress(r.marks, r.now, r.granted)
	margin := lagDeviations * math.Sqrt(variance+1)
	present := float64(r.targetInFlight)
	r.lagSuspected = present > lagSlower*expected+margin
	r.lagCertain = present > lagRevert*expected+margin
	return r.lagSuspected, r.lagCertain
}

// inProgress returns how many of the marked grants are expected to be in progress.
func (d *durations) inProgress(marks grantMarks, now time.Duration, granted uint64) (expected, variance float64) {
	var longer [latencyBins + 1]float64 // share of the durations in or above each bin
	total := float64(d.seen.total())
	for bin := latencyBins - 1; bin >= 0; bin-- {
		longer[bin] = longer[bin+1] + float64(d.seen[bin])/total
	}
	oldest := now - d.drain()
	next := granted
	for i := len(marks) - 1; i >= 0 && marks[i].at >= oldest; i-- {
		n := float64(next - min(next, marks[i].before))
		next = marks[i].before
		part := longer[binOf(now-marks[i].at)]
		expected += n * part
		variance += n * part * (1 - part)
	}
	return expected, variance
}
