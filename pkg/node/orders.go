package node

import (
	"time"

	"github.com/citrongate/citrongate/pkg/lease"
)

// sentOrder is an order that was sent and whose result is not known yet.
type sentOrder struct {
	upstream      string
	fencingNumber uint64
}

// orderUpstream queues an order. It is sent once this instance holds the
// upstream's lease.
func (n *Node) orderUpstream(e OrderUpstream) {
	spec := n.upstreamSpec(e.Upstream)
	if spec == nil {
		n.emit(OrderResult{Order: e.Order, Status: OrderNotSent})
		return
	}
	n.leases.Submit(n.now, lease.Order{ID: e.Order, Upstream: e.Upstream, Verb: e.Verb, Argument: e.Argument,
		ChecksFencing: spec.GetChecksFencing()})
}

// applyLeaseOutput applies the output of the lease manager and reports whether
// there was any.
func (n *Node) applyLeaseOutput() bool {
	calls, sends, notSent := n.leases.TakeOutputs()
	n.submitCalls(calls)
	for _, s := range sends {
		n.sentOrders[s.Order.ID] = sentOrder{s.Order.Upstream, s.FencingNumber}
		n.emit(SendOrder{Order: s.Order.ID, Upstream: s.Order.Upstream, Address: n.addressOf(s.Order.Upstream),
			FencingNumber: s.FencingNumber, Verb: s.Order.Verb, Argument: s.Order.Argument,
			SendWithin: max(s.SendBy-n.now, time.Duration(0))})
	}
	for _, id := range notSent {
		n.emit(OrderResult{Order: id, Status: OrderNotSent})
	}
	return len(calls)+len(sends)+len(notSent) > 0
}

func (n *Node) orderDone(e SendOrderDone) {
	sent, ok := n.sentOrders[e.Order]
	if !ok {
		return
	}
	delete(n.sentOrders, e.Order)
	if e.Status == OrderRefusedFencing {
		n.leases.OnFencingRefused(sent.upstream, sent.fencingNumber)
	}
	n.emit(OrderResult(e))
}
