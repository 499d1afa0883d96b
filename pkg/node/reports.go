package node

import (
	"math"
	"time"

	"github.com/citrongate/citrongate/pkg/dispatch"
	"github.com/citrongate/citrongate/pkg/routing"
	"github.com/citrongate/citrongate/pkg/scheduler"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

const (
	// reportWindow is the interval over which progress is observed. It leaves
	// an owner several observations within the 2 s in which a straggler must
	// be detected.
	reportWindow = 500 * time.Millisecond
	// maxReportInterval is the longest time between two reports on an upstream
	// with streams in progress, unless minReportInterval is longer.
	maxReportInterval = 2 * time.Second
	// reportChangeThreshold is the relative change of the time between tokens that is
	// reported at once.
	reportChangeThreshold = 0.25
	// reportSlowdownRatio is the ratio at which a slowdown beyond the target, or its
	// end, is reported at once in a cell of any size. It is below the ratio of
	// 1.8 at which an owner takes an upstream for a straggler.
	reportSlowdownRatio = 1.5
	// unthrottledEntries is the number of live entries up to which every change
	// is reported at once. Beyond it, reports on one upstream by all entries
	// together stay at about one per second: otherwise, in a cell of 61, reports
	// by each entry on each upstream exceed the budget of 2 KB/s several times.
	unthrottledEntries = 8
)

// reportKey identifies what is observed: one upstream for one holder.
type reportKey struct {
	pool     uint64
	upstream string
	holder   dispatch.Holder
}

// progressReport holds the observations of the current window and the values last
// sent.
type progressReport struct {
	streams, stalled uint32
	// tokenCount and tokenTime sum up the tokens of the streams that progressed
	// and the time in which they arrived.
	tokenCount uint32
	tokenTime  time.Duration

	// sentStalled, sentInterTokenUs and sentAt describe the last report sent.
	sentStalled, sentInterTokenUs uint32
	sentAt                        time.Duration
	// previousTokens and tokens hold the tokens of each stream at the end of the
	// last window and of this one.
	previousTokens, tokens map[dispatch.ID]uint32
}

// tickReports ends an observation window: it sums up the progress of this instance's
// streams by upstream and holder, and reports it where due.
func (n *Node) tickReports() {
	if n.now < n.nextReportWindow {
		return
	}
	n.nextReportWindow = n.now + reportWindow
	var order []reportKey
	n.table.Each(func(r *dispatch.Record) {
		if !r.InFlight() || r.HighOutput == 0 {
			return
		}
		key := reportKey{r.Pool, r.Upstream, r.Holder}
		rep := n.progressReports[key]
		if rep == nil {
			rep = &progressReport{previousTokens: map[dispatch.ID]uint32{}, tokens: map[dispatch.ID]uint32{}}
			n.progressReports[key] = rep
		}
		if rep.streams == 0 {
			order = append(order, key)
		}
		rep.observe(r)
	})
	for _, key := range order {
		n.sendReport(key, n.progressReports[key])
	}
	for key, rep := range n.progressReports {
		// An idle one is kept while it still delays the next report.
		if rep.streams == 0 && n.now-rep.sentAt >= n.minReportInterval() {
			delete(n.progressReports, key)
			continue
		}
		rep.startWindow()
	}
}

// observe adds one stream to the window.
func (rep *progressReport) observe(r *dispatch.Record) {
	rep.streams++
	if r.State != dispatch.Streaming {
		return
	}
	rep.tokens[r.ID] = r.Tokens
	previousTokens, observed := rep.previousTokens[r.ID]
	switch {
	case !observed:
		// The adapter may coalesce tokens, so a stream in its first window may
		// show none although it progresses.
	case r.Tokens == previousTokens:
		rep.stalled++
	case previousTokens > 0:
		rep.tokenCount += r.Tokens - previousTokens
		rep.tokenTime += reportWindow
	}
}

// startWindow starts a new window and drops the streams that have ended.
func (rep *progressReport) startWindow() {
	rep.streams, rep.stalled, rep.tokenCount, rep.tokenTime = 0, 0, 0, 0
	rep.previousTokens, rep.tokens = rep.tokens, rep.previousTokens
	clear(rep.tokens)
}

func (rep *progressReport) interToken() time.Duration {
	if rep.tokenCount == 0 {
		return 0
	}
	return rep.tokenTime / time.Duration(rep.tokenCount)
}

// sendReport sends a report when the progress has changed, or else after
// maxReportInterval. Reports that are not urgent are at least minReportInterval
// apart.
func (n *Node) sendReport(key reportKey, rep *progressReport) {
	now := &pb.Progress{Pool: key.pool, Upstream: key.upstream, Streams: rep.streams, Stalled: rep.stalled,
		InterTokenUs: uint32(rep.interToken() / time.Microsecond)}
	if h, here := n.hostedAt(key.pool, key.holder); here {
		if h != nil {
			n.applyProgress(h, n.self, now)
		}
		return
	}
	changed := now.Stalled != rep.sentStalled || relativeChange(now.InterTokenUs, rep.sentInterTokenUs) > reportChangeThreshold
	if !changed && n.now-rep.sentAt < maxReportInterval {
		return
	}
	if n.now-rep.sentAt < n.minReportInterval() && !n.urgent(rep, now) {
		return
	}
	rep.sentStalled, rep.sentInterTokenUs, rep.sentAt = now.Stalled, now.InterTokenUs, n.now
	n.send(key.holder.Owner, &pb.PeerMessage{Body: &pb.PeerMessage_Progress{Progress: now}})
}

// minReportInterval is the least time between two reports on one upstream, urgent
// ones apart.
func (n *Node) minReportInterval() time.Duration {
	return time.Second * time.Duration(max(0, n.view.LiveCount()-unthrottledEntries))
}

// urgent tells whether a report may show a straggler, or the end of one.
func (n *Node) urgent(rep *progressReport, now *pb.Progress) bool {
	if rep.sentAt == 0 || now.Stalled != rep.sentStalled {
		return true
	}
	target := float64(n.cfg.TargetInterToken / time.Microsecond)
	before, after := float64(rep.sentInterTokenUs), float64(now.InterTokenUs)
	if before == 0 || after == 0 {
		// No answer was streaming before, or none is now.
		return after > target
	}
	return max(before, after) > target && max(before, after) >= reportSlowdownRatio*min(before, after)
}

func relativeChange(a, b uint32) float64 {
	if a == b {
		return 0
	}
	return math.Abs(float64(a)-float64(b)) / float64(max(b, 1))
}

func (n *Node) onProgress(from uint64, m *pb.Progress) {
	if h := n.pools.get(routing.PoolID(m.Pool), false); h != nil {
		n.applyProgress(h, from, m)
	}
}

// applyProgress passes the progress that an entry observed to the scheduler.
func (n *Node) applyProgress(h *hostedPool, entry uint64, m *pb.Progress) {
	index, ok := h.upstreams[m.Upstream]
	if !ok {
		return
	}
	h.sched.Progress(n.now, scheduler.Observation{Entry: entry, Upstream: index, Streams: m.Streams, Stalled: m.Stalled,
		InterToken: time.Duration(m.InterTokenUs) * time.Microsecond})
	h.dirty = true
}
