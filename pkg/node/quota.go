package node

import (
	"maps"
	"slices"
	"time"

	"github.com/citrongate/citrongate/pkg/dispatch"
	"github.com/citrongate/citrongate/pkg/quota"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

const (
	// quotaWait is how long a request waits for quota from other instances.
	quotaWait = 40 * time.Millisecond
	// quotaEmptyBackoff is how long no quota is requested after the peers had
	// none to transfer.
	quotaEmptyBackoff = 100 * time.Millisecond
	// quotaFanout is the number of instances that are asked at once.
	quotaFanout = 4
	// quotaRequestRatio is the ratio of the total amount requested to the amount
	// missing, since not every instance asked has its portion left.
	quotaRequestRatio = 3
)

// quotaState enforces the quotas of organisations over all instances.
type quotaState struct {
	limits map[string]quota.Limit
	// ledger is nil until this instance starts to serve: before that it does not know
	// how many instances share the quotas.
	ledger *quota.Ledger
	// waiting holds the requests that wait for answers of peers, by organisation
	// in order of arrival.
	waiting map[string][]quotaRequest
	// pendingAnswers counts the answers that are due, by organisation.
	pendingAnswers map[string]int
	// emptyUntil is the time until which peers are taken to have no quota left.
	emptyUntil map[string]time.Duration
}

// quotaRequest is a request that waits for quota.
type quotaRequest struct {
	id    dispatch.ID
	until time.Duration
}

func newQuotaState() quotaState {
	return quotaState{
		waiting: map[string][]quotaRequest{}, pendingAnswers: map[string]int{}, emptyUntil: map[string]time.Duration{},
	}
}

// quotaLedger returns the buckets of this instance, or nil if it does not serve yet. They
// fill from the first call after it began to.
func (n *Node) quotaLedger() *quota.Ledger {
	if n.quotas.ledger == nil && n.startingReason() == "" {
		since := n.now
		if n.cfg.Mutations.QuotaFullAtStart {
			since -= time.Hour
		}
		n.quotas.ledger = quota.NewLedger(since)
	}
	return n.quotas.ledger
}

// setQuotas puts new quotas in force.
func (n *Node) setQuotas(limits map[string]quota.Limit) {
	n.quotas.limits = limits
	if n.quotas.ledger != nil {
		n.quotas.ledger.RetainOnly(limits)
	}
}

// charge charges a request to this instance's bucket. The results are those of
// quota.Ledger.Charge.
func (n *Node) charge(organisation string, limit quota.Limit, r quota.Request) (ok bool, missing float64, retryAfter time.Duration) {
	ledger := n.quotaLedger()
	if ledger == nil {
		return false, r.Cost, 0
	}
	return ledger.Charge(n.now, organisation, limit, r, n.view.LimitSharers(n.now))
}

// chargeQuota charges a request to its organisation's quota. It returns false if
// the request was refused or waits for an answer of peers.
func (n *Node) chargeQuota(id dispatch.ID, r *request) bool {
	limit, limited := n.quotas.limits[r.Organisation]
	if !limited || r.QuotaCost <= 0 {
		return true
	}
	counted := n.quotaRequest(r)
	ok, missing, retryAfter := n.charge(r.Organisation, limit, counted)
	if ok {
		return true
	}
	if n.askForQuota(r.Organisation, counted.Tier, missing) {
		n.count("quota", "waited")
		n.quotas.waiting[r.Organisation] = append(n.quotas.waiting[r.Organisation], quotaRequest{id, n.now + quotaWait})
		return false
	}
	n.refuseQuota(id, retryAfter)
	return false
}

// quotaRequest returns the cost and tier charged for a request. Requests that no
// route matches are refused once they have quota, whatever their tier.
func (n *Node) quotaRequest(r *request) quota.Request {
	target, err := n.routes.Resolve(r.route())
	if err != nil {
		return quota.Request{Cost: r.QuotaCost}
	}
	return quota.Request{Cost: r.QuotaCost, Tier: target.Tier}
}

// askForQuota asks peers for the missing quota. It returns false if nothing can be
// expected of them.
func (n *Node) askForQuota(organisation string, tier uint8, missing float64) bool {
	if n.quotas.pendingAnswers[organisation] > 0 {
		return true
	}
	if n.now < n.quotas.emptyUntil[organisation] {
		return false
	}
	peers := n.view.Sample(quotaFanout)
	// Quota above this instance's own burst does not refill, so no more than is
	// required soon is requested in total.
	amount := missing * quotaRequestRatio / float64(max(1, len(peers)))
	for _, to := range peers {
		message := &pb.PeerMessage{Body: &pb.PeerMessage_QuotaRequest{QuotaRequest: &pb.QuotaRequest{
			Organisation: organisation, Amount: amount, Tier: uint32(tier)}}}
		if n.send(to, message) {
			n.quotas.pendingAnswers[organisation]++
		}
	}
	return n.quotas.pendingAnswers[organisation] > 0
}

func (n *Node) refuseQuota(id dispatch.ID, retryAfter time.Duration) {
	n.refuseRequest(id, dispatch.Refusal{Code: "limit_rate", Ran: dispatch.RanNo, Reason: "the organisation's quota is used up",
		Remedy: "send less, or ask an operator for a larger quota", RetryAfter: retryAfter})
}

func (n *Node) onQuotaRequest(from uint64, m *pb.QuotaRequest) {
	granted := 0.0
	ledger := n.quotaLedger()
	if limit, ok := n.quotas.limits[m.Organisation]; ok && ledger != nil && len(n.quotas.waiting[m.Organisation]) == 0 && m.Amount > 0 {
		n.count("quota", "asked_by_another")
		granted = ledger.Transfer(n.now, m.Organisation, limit, uint8(m.Tier), m.Amount, n.view.LimitSharers(n.now))
	}
	n.send(from, &pb.PeerMessage{Body: &pb.PeerMessage_QuotaTransfer{QuotaTransfer: &pb.QuotaTransfer{
		Organisation: m.Organisation, Amount: granted}}})
}

func (n *Node) onQuotaTransfer(m *pb.QuotaTransfer) {
	limit, ok := n.quotas.limits[m.Organisation]
	ledger := n.quotaLedger()
	if !ok || ledger == nil {
		return
	}
	if m.Amount > 0 {
		n.count("quota", "received")
	}
	ledger.Receive(n.now, m.Organisation, limit, m.Amount, n.view.LimitSharers(n.now))
	n.quotas.pendingAnswers[m.Organisation] = max(0, n.quotas.pendingAnswers[m.Organisation]-1)
	n.retryQuota(m.Organisation)
}

// retryQuota serves the requests that wait for quota as far as it suffices now.
// Once no more answers are due, the remaining requests are refused.
func (n *Node) retryQuota(organisation string) {
	limit := n.quotas.limits[organisation]
	waiting := n.quotas.waiting[organisation]
	delete(n.quotas.waiting, organisation)
	for i, w := range waiting {
		r := n.requests[w.id]
		if r == nil {
			continue
		}
		ok, _, retryAfter := n.charge(organisation, limit, n.quotaRequest(r))
		switch {
		case ok:
			n.enqueue(w.id, r)
		case n.quotas.pendingAnswers[organisation] > 0 && n.now < w.until:
			n.quotas.waiting[organisation] = append(n.quotas.waiting[organisation], waiting[i])
		default:
			n.quotas.emptyUntil[organisation] = n.now + quotaEmptyBackoff
			n.refuseQuota(w.id, retryAfter)
		}
	}
}

// tickQuotas ends the wait for answers that did not arrive in time.
func (n *Node) tickQuotas() {
	_ = n.quotaLedger() // starts the buckets, without waiting for a request
	for _, organisation := range slices.Sorted(maps.Keys(n.quotas.waiting)) {
		waiting := n.quotas.waiting[organisation]
		if len(waiting) > 0 && n.now >= waiting[0].until {
			n.quotas.pendingAnswers[organisation] = 0
			n.retryQuota(organisation)
		}
	}
}
