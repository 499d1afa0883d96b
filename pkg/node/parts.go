package node

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/citrongate/citrongate/pkg/dispatch"
	"github.com/citrongate/citrongate/pkg/membership"
	"github.com/citrongate/citrongate/pkg/poison"
	"github.com/citrongate/citrongate/pkg/routing"
	"github.com/citrongate/citrongate/pkg/scheduler"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

const (
	// partExchangeInterval is the time after which each instance sends records to one
	// other, so that an instance that missed a change or has started learns of it.
	partExchangeInterval = time.Second
	// minExchanged is the number of records that are sent at a time, and minAnsweredExchanged
	// that of parts that were answered; more are sent in turn. Of many, one in exchangedShare is
	// sent at a time, up to the maxima: 16 KB and 8 KB.
	minExchanged, maxExchanged                 = 24, 512
	minAnsweredExchanged, maxAnsweredExchanged = 64, 1024
	exchangedShare                             = 64
)

const (
	partBlockedCode   = "part_blocked"
	partBlockedRemedy = "leave the part out of the prompt, or have an operator check the model and lift the block"
)

// refusalOfParts returns a refusal if a part of the request's prompt is blocked.
func (n *Node) refusalOfParts(r *request) dispatch.Refusal {
	if len(r.Parts) == 0 || !n.poison.AnyBlocked() {
		return dispatch.Refusal{}
	}
	target, err := n.routes.Resolve(r.route())
	if err != nil {
		return dispatch.Refusal{} // refused later with its reason
	}
	part, left, blocked := n.poison.Find(n.now, uint64(target.Pool), r.Parts)
	if !blocked {
		return dispatch.Refusal{}
	}
	return partRefusal(part, left)
}

// partRefusal is the refusal of a request with a blocked part.
func partRefusal(part uint64, left time.Duration) dispatch.Refusal {
	return dispatch.Refusal{Code: partBlockedCode, Ran: dispatch.RanNo, RetryAfter: left, Remedy: partBlockedRemedy,
		Reason: fmt.Sprintf("the part %x of the prompt is blocked, since upstreams ended under it", part)}
}

// tryParts reports whether a request must not be queued in a pool hosted here, because of a
// part of its prompt. One that is queued already may stay.
func (n *Node) tryParts(h *hostedPool, d scheduler.Descriptor) (part uint64, left time.Duration, blocked bool) {
	if h.ledger.get(d.ID) != nil {
		return 0, 0, false
	}
	return n.poison.Try(n.now, uint64(h.id), d.Parts)
}

// noteFirstToken records the first token of a request in a pool hosted here.
func (n *Node) noteFirstToken(h *hostedPool, id scheduler.GlobalID, ttft time.Duration) {
	n.noteRolloutToken(h, id, ttft)
	it := h.ledger.get(id)
	if it == nil || !it.granted || it.upstream == noUpstream {
		return
	}
	it.firstTokenAt = n.now
	n.noteAlive(h, h.upstreamDigest(it))
}

// noteAlive records a sign of life of an upstream, which takes back an end of it.
func (n *Node) noteAlive(h *hostedPool, upstream uint64) {
	if watch := n.watches[uint64(h.id)]; watch != nil && watch.Alive(n.now, upstream) {
		n.poison.UpstreamAlive(n.now, uint64(h.id), upstream)
	}
}

// upstreamDigest identifies the upstream of a permit.
func (h *hostedPool) upstreamDigest(it *item) uint64 {
	return xxhash.Sum64String(h.def.Upstreams[it.upstream].Name)
}

// noteRelease records how a request ended in a pool hosted here, before its permit is
// released.
func (n *Node) noteRelease(h *hostedPool, it *item, outcome scheduler.Outcome) {
	if !it.granted || it.upstream == noUpstream || !n.poison.Enabled() {
		return
	}
	upstream, parts := h.upstreamDigest(it), it.descriptor.Parts
	switch outcome {
	case scheduler.Complete:
		n.noteAlive(h, upstream)
		if it.firstTokenAt > 0 {
			if len(parts) > 0 && it.descriptor.ID.Entry != n.self { // those of this instance are counted in noteOwnResult
				n.poison.CountAnswer(n.now, uint64(h.id))
			}
			n.poison.Answered(n.now, uint64(h.id), parts)
		}
	case scheduler.Failed, scheduler.Refused:
		n.noteAlive(h, upstream)
	case scheduler.ConnectRefused:
		if watch := n.watches[uint64(h.id)]; watch != nil {
			watch.Refused(upstream)
		}
	case scheduler.Broken:
		if !poison.Young(n.now, it.firstTokenAt) {
			n.poison.Answered(n.now, uint64(h.id), parts)
			parts = nil
		}
		n.watch(h).Broke(n.now, upstream, func() int { return h.ledger.inFlightAt(it.upstream) }, parts)
	}
}

// watch returns the watch of a pool, which it creates on first use.
func (n *Node) watch(h *hostedPool) *poison.Watch {
	watch := n.watches[uint64(h.id)]
	if watch == nil {
		watch = &poison.Watch{}
		n.watches[uint64(h.id)] = watch
	}
	return watch
}

// judgeEnds counts the ends of upstreams that were found, and removes idle watches.
func (n *Node) judgeEnds() {
	if len(n.watches) > 0 && n.reportsMissing() {
		n.poison.ReportsMissing(n.now)
	}
	for _, pool := range slices.Sorted(maps.Keys(n.watches)) {
		watch := n.watches[pool]
		endings := watch.Step(n.now)
		for range endings {
			n.count("upstream_ends", "seen")
		}
		n.poison.UpstreamEnded(n.now, pool, endings...)
		if watch.Idle() {
			delete(n.watches, pool)
		}
	}
}

// reportsMissing reports whether a member of the cell is not heard from and may have requests
// at upstreams.
func (n *Node) reportsMissing() bool {
	return slices.ContainsFunc(n.view.Members(), func(m membership.Member) bool {
		return m.Incarnation != n.self && !m.Leaving && m.State != membership.Alive
	})
}

// noteOwnResult records how a request of this instance ended at its upstream. Each instance
// knows which parts it saw answered, so that it can take over a pool. An answer without a
// token, such as an error, shows nothing.
func (n *Node) noteOwnResult(e UpstreamDone) {
	record := n.table.Record(dispatch.ID(e.ID))
	if record == nil || len(record.Parts) == 0 {
		return
	}
	switch {
	case e.Result == ResultComplete && record.FirstTokenAt > 0:
		n.poison.CountAnswer(n.now, record.Pool)
		n.poison.Answered(n.now, record.Pool, record.Parts)
	case e.Result == ResultBroken:
		n.partStore.brokeAt = n.now
	}
}

// inFlightAt returns the number of permits at an upstream.
func (l *ledger) inFlightAt(upstream uint32) (count int) {
	for _, it := range l.items {
		if it.granted && it.upstream == upstream {
			count++
		}
	}
	return count
}

// tickParts judges the ends of upstreams and exchanges records.
func (n *Node) tickParts() {
	if !n.poison.Enabled() {
		return
	}
	n.judgeEnds()
	n.announceParts()
	if n.now >= n.partStore.nextExchange {
		n.partStore.nextExchange = n.now + partExchangeInterval
		for _, record := range n.poison.Tick(n.now) {
			n.partChanged(record, false)
		}
		n.exchangeParts()
	}
	n.tickPartStore()
}

// announceParts tells all live instances what changed here, and has it written to the store.
func (n *Node) announceParts() {
	changes := n.poison.TakeChanges()
	if len(changes) == 0 {
		return
	}
	message := n.partsMessage(changes)
	n.view.EachLive(func(m membership.Member) { n.send(m.Incarnation, message) })
	for _, record := range changes {
		if record.Kept() {
			n.partChanged(record, true)
			n.partStore.write(record.Key)
		}
	}
}

// partChanged reports a change and ends the requests that wait with a blocked part.
func (n *Node) partChanged(record poison.Record, here bool) {
	n.count("prompt_parts", record.State.String())
	n.emit(PartChanged{Record: record, Here: here})
	if record.State == poison.Blocked {
		n.refuseWaiting(record.Pool)
	}
}

// refuseWaiting refuses the waiting requests of a pool that have a blocked part, both those
// of this instance and those of others that wait here.
func (n *Node) refuseWaiting(pool uint64) {
	var waiting []*dispatch.Record
	n.table.Each(func(r *dispatch.Record) {
		if r.Pool == pool && r.State == dispatch.Waiting {
			waiting = append(waiting, r)
		}
	})
	for _, r := range waiting {
		if part, left, blocked := n.poison.Find(n.now, pool, r.Parts); blocked {
			n.table.Refuse(n.now, r.ID, partRefusal(part, left))
		}
	}
	h := n.pools.get(routing.PoolID(pool), false)
	if h == nil {
		return
	}
	for _, id := range h.ledger.order {
		it := h.ledger.get(id)
		if it == nil || it.granted || id.Entry == n.self {
			continue
		}
		if _, left, blocked := n.poison.Find(n.now, pool, it.descriptor.Parts); blocked {
			attempt := it.descriptor.Attempt
			h.drop(n.now, id, scheduler.Unused)
			n.shed(h, scheduler.Decision{ID: id, Attempt: attempt, Reason: scheduler.PartBlocked, RetryAfter: left})
		}
	}
}

// exchangeParts sends records, and parts that were answered, to one live instance, to each in
// turn. An instance that is cut off or takes over a pool must know which parts are sound.
func (n *Node) exchangeParts() {
	var live []uint64
	n.view.EachLive(func(m membership.Member) { live = append(live, m.Incarnation) })
	if len(live) == 0 {
		return
	}
	records := n.poison.Records()
	answered := n.poison.NextAnswered(exchanged(n.poison.AnsweredCount(), minAnsweredExchanged, maxAnsweredExchanged))
	if len(records) == 0 && len(answered) == 0 {
		return
	}
	// Instances start at different members, so that each is told by some soon.
	to := live[(n.self+n.partStore.exchanges)%uint64(len(live))]
	size := exchanged(len(records), minExchanged, maxExchanged)
	if windows := uint64((len(records) + size - 1) / size); windows > 0 {
		first := int(n.partStore.exchanges/uint64(len(live))%windows) * size
		records = records[first:min(first+size, len(records))]
	}
	message := n.partsMessage(records)
	message.GetPromptParts().Answered = answeredToProto(answered)
	n.send(to, message)
	n.partStore.exchanges++
}

// exchanged returns how many of a number of entries are sent at a time.
func exchanged(entries, least, most int) int {
	return min(max(least, entries/exchangedShare), most)
}

// answeredToProto groups keys, which are in order, by pool.
func answeredToProto(keys []poison.Key) (groups []*pb.AnsweredParts) {
	for _, key := range keys {
		if len(groups) == 0 || groups[len(groups)-1].Pool != key.Pool {
			groups = append(groups, &pb.AnsweredParts{Pool: key.Pool})
		}
		group := groups[len(groups)-1]
		group.Parts = append(group.Parts, key.Part)
	}
	return groups
}

// onPromptParts merges the records of another instance.
func (n *Node) onPromptParts(m *pb.PromptParts) {
	for _, part := range m.Parts {
		n.mergePart(n.partFromProto(part))
	}
	for _, group := range m.Answered {
		for _, part := range group.GetParts() {
			n.poison.AnsweredElsewhere(poison.Key{Pool: group.GetPool(), Part: part})
		}
	}
}

// mergePart merges a record of another instance or of the store.
func (n *Node) mergePart(record poison.Record) {
	if n.poison.Merge(n.now, record) {
		n.partChanged(record, false)
	}
}

var partStateToProto = map[poison.State]pb.PromptPartState{
	poison.Suspect: pb.PromptPartState_PROMPT_PART_STATE_SUSPECT,
	poison.Blocked: pb.PromptPartState_PROMPT_PART_STATE_BLOCKED,
	poison.Trial:   pb.PromptPartState_PROMPT_PART_STATE_TRIAL,
	poison.Lifted:  pb.PromptPartState_PROMPT_PART_STATE_LIFTED,
}

// partsMessage encodes records; their times become ages.
func (n *Node) partsMessage(records []poison.Record) *pb.PeerMessage {
	parts := &pb.PromptParts{}
	for _, r := range records {
		part := &pb.PromptPart{Pool: r.Pool, Part: r.Part, State: partStateToProto[r.State],
			Generation: r.Generation, Round: r.Round, LeftMs: milliseconds(r.Until - n.now), With: r.With}
		for _, end := range r.Ends {
			part.Ends = append(part.Ends, &pb.UpstreamEnd{Upstream: end.Upstream, AgeMs: milliseconds(n.now - end.At)})
		}
		parts.Parts = append(parts.Parts, part)
	}
	return &pb.PeerMessage{Body: &pb.PeerMessage_PromptParts{PromptParts: parts}}
}

// partFromProto decodes a record, with its times on this instance's clock.
func (n *Node) partFromProto(m *pb.PromptPart) poison.Record {
	r := poison.Record{Key: poison.Key{Pool: m.GetPool(), Part: m.GetPart()}, Generation: m.GetGeneration(), Round: m.GetRound(),
		Until: n.now + time.Duration(m.GetLeftMs())*time.Millisecond, With: m.GetWith(), Touched: n.now}
	for state, other := range partStateToProto {
		if other == m.GetState() {
			r.State = state
		}
	}
	for _, end := range m.GetEnds() {
		r.Ends = append(r.Ends, poison.End{Upstream: end.GetUpstream(), At: n.now - time.Duration(end.GetAgeMs())*time.Millisecond})
	}
	return r
}
