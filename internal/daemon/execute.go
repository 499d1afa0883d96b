package daemon

import (
	"time"

	"github.com/citrongate/citrongate/internal/eventlog"
	"github.com/citrongate/citrongate/internal/upstream"
	"github.com/citrongate/citrongate/pkg/node"
	"github.com/citrongate/citrongate/pkg/store"
)

// execute carries out one action of the node. It runs on the loop's goroutine
// and never blocks.
func (d *Daemon) execute(action node.Action) {
	switch a := action.(type) {
	case node.Dispatch:
		if !d.requests.Deliver(a.ID, a) {
			d.loop.PostLocal(node.DispatchFailed{ID: a.ID})
		}
	case node.Refuse:
		d.requests.Deliver(a.ID, a)
	case node.ReplyRecorded:
		d.requests.Deliver(a.ID, a)
	case node.CancelUpstream:
		d.requests.Deliver(a.ID, a)
	case node.RunForwarded:
		d.runForwarded(a)
	case node.SendFrame:
		d.peers.Send(a.Address, a.Frame)
	case node.StoreCall:
		d.callStore(a)
	case node.ListInstances:
		d.listInstances()
	case node.SendOrder:
		d.sendOrder(a)
	case node.ChangeDone:
		d.changes.done(a.Change, a)
	case node.OrderResult:
		d.orderAnswers.done(a.Order, a)
	case node.ConfigInForce:
		d.configInForce(a)
	case node.Count:
		d.metrics.Count(a.Name, a.Reason)
	case node.Drained:
		close(d.drained)
	}
}

// callStore performs a call to the object API in the background.
func (d *Daemon) callStore(a node.StoreCall) {
	select {
	case d.storeCalls <- struct{}{}:
	default:
		d.loop.PostLocal(node.StoreDone{Call: a.Call, Result: store.Result{Status: store.Throttled}})
		return
	}
	d.goRun(func() {
		defer func() { <-d.storeCalls }()
		result := d.platform.Do(d.ctx, a.Op)
		d.metrics.StoreCall(opNames[a.Op.Kind], statusNames[result.Status])
		d.storeDown.Store(result.Status == store.Unavailable || result.Status == store.Unknown)
		d.loop.Post(node.StoreDone{Call: a.Call, Result: result})
	})
}

var opNames = map[store.OpKind]string{
	store.Get: "get", store.Create: "create", store.Update: "update", store.Delete: "delete", store.List: "list",
}

var statusNames = map[store.Status]string{
	store.OK: "ok", store.Conflict: "conflict", store.NotFound: "not_found",
	store.Unavailable: "unavailable", store.Throttled: "throttled", store.Unknown: "unknown",
}

// listInstances reads the instance list unless a read is in progress.
func (d *Daemon) listInstances() {
	if !d.listing.CompareAndSwap(false, true) {
		return
	}
	d.goRun(func() {
		list := d.platform.Instances(d.ctx)
		d.listing.Store(false)
		d.loop.Post(list)
	})
}

// sendOrder sends an order in the background, but not after the time that the
// node allows.
func (d *Daemon) sendOrder(a node.SendOrder) {
	notAfter := time.Now().Add(a.SendWithin)
	select {
	case d.orders <- struct{}{}:
	default:
		d.loop.PostLocal(node.OrderDone{Order: a.Order, Status: node.OrderNotSent})
		return
	}
	d.goRun(func() {
		defer func() { <-d.orders }()
		status := d.upstream.SendOrder(d.ctx, a.Address, upstream.Order{
			FencingNumber: a.FencingNumber, Verb: a.Verb, Argument: a.Argument,
		}, notAfter)
		d.log.Write(eventlog.OrderSent{Upstream: a.Upstream, Verb: a.Verb, FencingNumber: a.FencingNumber, Status: status.String()})
		d.loop.Post(node.OrderDone{Order: a.Order, Status: status})
	})
}
