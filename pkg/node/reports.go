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
	// reportAtLeast is the longest time between two reports on an upstream
	// with streams in progress.
	reportAtLeast = 2 * time.Second
	// reportChange is the relative change of the time between tokens that is
	// reported at once.
	reportChange = 0.25
	// reportSlower is the ratio at which a slowdown beyond the target, or its
	// end, is reported at once in a cell of any size. It is below the ratio of
	// 1.8 at which an owner takes an upstream for a straggler.
	reportSlower = 1.5
	// reportCell is the number of live entries up to which every change is
	// reported at once. Beyond it, reports on one upstream by all entries
	// together stay at about one per second: otherwise reports by each entry on
	// each server of a cell of 61 exceed the budget of 2 KB/s several times.
	reportCell = 8
)

// reportKey identifies what is observed: one upstream for one holder.
type reportKey struct {
	pool     uint64
	upstream string
	holder   dispatch.Holder
}

// report is what was observed in the present window and last sent.
type report struct {
	streams, stalled uint32
	gaps             uint32
	gapSum           time.Duration

	// sent is what was last reported.
	sentStalled, sentInterTokenUs uint32
	sentAt                        time.Duration
	// before and tokens hold the tokens of each stream at the end of the last
	// window and of this one.
	before, tokens map[dispatch.ID]uint32
}

func (n *Node) tickReports() {
	if n.now < n.reportDue {
		return
	}
	n.reportDue = n.now + reportWindow
	var order []reportKey
	n.table.Each(func(r *dispatch.Record) {
		if !r.InFlight() || r.OutHigh == 0 {
			return
		}
		key := reportKey{r.Pool, r.Upstream, r.Holder}
		rep := n.reports[key]
		if rep == nil {
			rep = &report{before: map[dispatch.ID]uint32{}, tokens: map[dispatch.ID]uint32{}}
			n.reports[key] = rep
		}
		if rep.streams == 0 {
			order = append(order, key)
		}
		rep.observe(r)
	})
	for _, key := range order {
		n.sendReport(key, n.reports[key])
	}
	for key, rep := range n.reports {
		// An idle one is kept while it holds back the next report.
		if rep.streams == 0 && n.now-rep.sentAt >= n.reportPause() {
			delete(n.reports, key)
			continue
		}
		rep.next()
	}
}

// observe adds one stream to the window.
func (rep *report) observe(r *dispatch.Record) {
	rep.streams++
	if r.State != dispatch.Streaming {
		return
	}
	rep.tokens[r.ID] = r.Tokens
	before, observed := rep.before[r.ID]
	switch {
	case !observed:
		// The edge may coalesce tokens, so a stream in its first window may
		// show none although it progresses.
	case r.Tokens == before:
		rep.stalled++
	case before > 0:
		rep.gaps += r.Tokens - before
		rep.gapSum += reportWindow
	}
}

// next starts a new window and forgets the streams that have ended.
func (rep *report) next() {
	rep.streams, rep.stalled, rep.gaps, rep.gapSum = 0, 0, 0, 0
	rep.before, rep.tokens = rep.tokens, rep.before
	clear(rep.tokens)
}

func (rep *report) interToken() time.Duration {
	if rep.gaps == 0 {
		return 0
	}
	return rep.gapSum / time.Duration(rep.gaps)
}

// sendReport reports by exception: when something changed, or now and then.
func (n *Node) sendReport(key reportKey, rep *report) {
	now := &pb.Progress{Pool: key.pool, Upstream: key.upstream, Streams: rep.streams, Stalled: rep.stalled,
		InterTokenUs: uint32(rep.interToken() / time.Microsecond)}
	if h, here := n.hostedAt(key.pool, key.holder); here {
		if h != nil {
			n.progress(h, n.self, now)
		}
		return
	}
	changed := now.Stalled != rep.sentStalled || relativeChange(now.InterTokenUs, rep.sentInterTokenUs) > reportChange
	if !changed && n.now-rep.sentAt < reportAtLeast {
		return
	}
	if n.now-rep.sentAt < n.reportPause() && !n.urgent(rep, now) {
		return
	}
	rep.sentStalled, rep.sentInterTokenUs, rep.sentAt = now.Stalled, now.InterTokenUs, n.now
	n.send(key.holder.Owner, &pb.PeerMessage{Body: &pb.PeerMessage_Progress{Progress: now}})
}

// reportPause is the least time between two reports on one upstream, urgent
// ones apart.
func (n *Node) reportPause() time.Duration {
	return time.Second * time.Duration(max(0, n.view.LiveCount()-reportCell))
}

// urgent tells whether a report may show a straggler, or the end of one.
func (n *Node) urgent(rep *report, now *pb.Progress) bool {
	if rep.sentAt == 0 || now.Stalled != rep.sentStalled {
		return true
	}
	target := float64(n.cfg.TargetInterToken / time.Microsecond)
	before, after := float64(rep.sentInterTokenUs), float64(now.InterTokenUs)
	if before == 0 || after == 0 {
		// There was no streaming answer yet, or there is none any more.
		return after > target
	}
	return max(before, after) > target && max(before, after) >= reportSlower*min(before, after)
}

func relativeChange(a, b uint32) float64 {
	if a == b {
		return 0
	}
	return math.Abs(float64(a)-float64(b)) / float64(max(b, 1))
}

func (n *Node) onProgress(from uint64, m *pb.Progress) {
	if h := n.pools.get(routing.PoolID(m.Pool), false); h != nil {
		n.progress(h, from, m)
	}
}

func (n *Node) progress(h *hostedPool, entry uint64, m *pb.Progress) {
	index, ok := h.upstreams[m.Upstream]
	if !ok {
		return
	}
	h.sched.Progress(n.now, scheduler.Observation{Entry: entry, Upstream: index, Streams: m.Streams, Stalled: m.Stalled,
		InterToken: time.Duration(m.InterTokenUs) * time.Microsecond})
	h.dirty = true
}
