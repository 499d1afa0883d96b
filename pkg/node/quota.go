package node

import (
	"time"

	"github.com/citrongate/citrongate/pkg/dispatch"
	"github.com/citrongate/citrongate/pkg/quota"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

const (
	// quotaWait is how long a request waits for parts of other instances' quota.
	quotaWait = 40 * time.Millisecond
	// quotaDry is how long nothing is asked for after others had nothing to give.
	quotaDry = 100 * time.Millisecond
	// quotaFanout is the number of instances that are asked at once.
	quotaFanout = 4
	// quotaAhead is the ratio of what is asked for in all to what is missing,
	// since not all of those asked have their part.
	quotaAhead = 3
)

// quotaState enforces the quotas of organisations over all instances.
type quotaState struct {
	limits map[string]quota.Limit
	ledger *quota.Ledger
	// waiting holds the requests that wait for others' answers, by organisation
	// in order of arrival.
	waiting map[string][]quotaRequest
	// asked counts the answers that are due.
	asked map[string]int
	// dryUntil is the time until which others have nothing to give.
	dryUntil map[string]time.Duration
}

// quotaRequest is a request that waits for quota.
type quotaRequest struct {
	id    dispatch.ID
	until time.Duration
}

func newQuotaState(c Config) quotaState {
	started := c.Started
	if c.Mutations.QuotaFullAtStart {
		started -= time.Hour
	}
	return quotaState{
		ledger: quota.NewLedger(started), waiting: map[string][]quotaRequest{},
		asked: map[string]int{}, dryUntil: map[string]time.Duration{},
	}
}

// setQuotas puts other quotas in force.
func (n *Node) setQuotas(limits map[string]quota.Limit) {
	n.quotas.limits = limits
	n.quotas.ledger.Forget(limits)
}

// takeQuota counts a request against its organisation's quota. It returns
// false if the request was refused or waits for an answer of others.
func (n *Node) takeQuota(id dispatch.ID, r *request) bool {
	limit, limited := n.quotas.limits[r.Organisation]
	if !limited || r.QuotaCost <= 0 {
		return true
	}
	counted := n.quotaRequest(r)
	ok, missing, after := n.quotas.ledger.Take(n.now, r.Organisation, limit, counted, n.view.SharingCount(n.now))
	if ok {
		return true
	}
	if n.askForQuota(r.Organisation, counted.Tier, missing) {
		n.count("quota", "waited")
		n.quotas.waiting[r.Organisation] = append(n.quotas.waiting[r.Organisation], quotaRequest{id, n.now + quotaWait})
		return false
	}
	n.refuseQuota(id, after)
	return false
}

// quotaRequest is what counts of the request. Requests that no route matches
// are refused once they have quota, whatever their tier.
func (n *Node) quotaRequest(r *request) quota.Request {
	target, err := n.routes.Resolve(r.route())
	if err != nil {
		return quota.Request{Cost: r.QuotaCost}
	}
	return quota.Request{Cost: r.QuotaCost, Tier: target.Tier}
}

// askForQuota asks other instances for what is missing. It returns false if
// nothing can be expected of them.
func (n *Node) askForQuota(organisation string, tier uint8, missing float64) bool {
	if n.quotas.asked[organisation] > 0 {
		return true
	}
	if n.now < n.quotas.dryUntil[organisation] {
		return false
	}
	others := n.view.Sample(quotaFanout)
	// What comes above the own burst does not grow, so no more than is needed
	// soon is asked for in all.
	amount := missing * quotaAhead / float64(max(1, len(others)))
	for _, to := range others {
		message := &pb.PeerMessage{Body: &pb.PeerMessage_QuotaRequest{QuotaRequest: &pb.QuotaRequest{
			Organisation: organisation, Amount: amount, Tier: uint32(tier)}}}
		if n.send(to, message) {
			n.quotas.asked[organisation]++
		}
	}
	return n.quotas.asked[organisation] > 0
}

func (n *Node) refuseQuota(id dispatch.ID, after time.Duration) {
	n.refuseRequest(id, dispatch.Refusal{Code: "limit_rate", Ran: dispatch.RanNo, Reason: "the organisation's quota is used up",
		Remedy: "send less, or ask an operator for a larger quota", RetryAfter: after})
}

func (n *Node) onQuotaRequest(from uint64, m *pb.QuotaRequest) {
	given := 0.0
	if limit, ok := n.quotas.limits[m.Organisation]; ok && len(n.quotas.waiting[m.Organisation]) == 0 && m.Amount > 0 {
		n.count("quota", "asked_by_another")
		given = n.quotas.ledger.Give(n.now, m.Organisation, limit, uint8(m.Tier), m.Amount, n.view.SharingCount(n.now))
	}
	n.send(from, &pb.PeerMessage{Body: &pb.PeerMessage_QuotaTransfer{QuotaTransfer: &pb.QuotaTransfer{
		Organisation: m.Organisation, Amount: given}}})
}

func (n *Node) onQuotaTransfer(m *pb.QuotaTransfer) {
	limit, ok := n.quotas.limits[m.Organisation]
	if !ok {
		return
	}
	if m.Amount > 0 {
		n.count("quota", "received")
	}
	n.quotas.ledger.Receive(n.now, m.Organisation, limit, m.Amount, n.view.SharingCount(n.now))
	n.quotas.asked[m.Organisation] = max(0, n.quotas.asked[m.Organisation]-1)
	n.retryQuota(m.Organisation)
}

// retryQuota serves the requests that wait for quota as far as there is some
// now. Once nothing more is due, the others are refused.
func (n *Node) retryQuota(organisation string) {
	limit := n.quotas.limits[organisation]
	waiting := n.quotas.waiting[organisation]
	delete(n.quotas.waiting, organisation)
	for i, w := range waiting {
		r := n.requests[w.id]
		if r == nil {
			continue
		}
		ok, _, after := n.quotas.ledger.Take(n.now, organisation, limit, n.quotaRequest(r), n.view.SharingCount(n.now))
		switch {
		case ok:
			n.enqueue(w.id, r)
		case n.quotas.asked[organisation] > 0 && n.now < w.until:
			n.quotas.waiting[organisation] = append(n.quotas.waiting[organisation], waiting[i])
		default:
			n.quotas.dryUntil[organisation] = n.now + quotaDry
			n.refuseQuota(w.id, after)
		}
	}
}

// tickQuotas ends the wait for answers that did not come.
func (n *Node) tickQuotas() {
	for organisation, waiting := range n.quotas.waiting {
		if len(waiting) > 0 && n.now >= waiting[0].until {
			n.quotas.asked[organisation] = 0
			n.retryQuota(organisation)
		}
	}
}
