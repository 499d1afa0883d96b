package daemon

import (
	"time"

	"github.com/citrongate/citrongate/internal/eventlog"
	"github.com/citrongate/citrongate/internal/upstream"
	"github.com/citrongate/citrongate/pkg/node"
	"github.com/citrongate/citrongate/pkg/store"
)

// execute performs one action of the node. It runs on the loop's goroutine and
// must not block, so that slow actions run in the background.
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
		d.pendingChanges.complete(a.Change, a)
	case node.OrderResult:
		d.pendingOrders.complete(a.Order, a)
	case node.ConfigInForce:
		d.configInForce(a)
	case node.ConfigUnusable:
		d.log.Write(eventlog.InternalFault{What: "putting a configuration in force", Error: a.Err.Error()})
	case node.Count:
		d.metrics.Count(a.Name, a.Reason)
	case node.Drained:
		close(d.drained)
	}
}

// callStore performs a call to the object API in the background. Above
// maxConcurrentStoreCalls the call is reported as throttled.
func (d *Daemon) callStore(a node.StoreCall) {
	select {
	case d.storeCallSlots <- struct{}{}:
	default:
		d.loop.PostLocal(node.StoreDone{Call: a.Call, Result: store.Result{Status: store.Throttled}})
		return
	}
	number := d.storeStatus.begin()
	d.runInBackground(func() {
		defer func() { <-d.storeCallSlots }()
		result := d.platform.Execute(d.ctx, a.Op)
		d.metrics.StoreCall(opNames[a.Op.Kind], statusNames[result.Status])
		d.storeStatus.end(number, result.Status != store.Unavailable && result.Status != store.Unknown)
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

// listInstances reads the platform's instance list in the background, unless a
// read is in progress.
func (d *Daemon) listInstances() {
	if !d.listingInstances.CompareAndSwap(false, true) {
		return
	}
	d.runInBackground(func() {
		list := d.platform.Instances(d.ctx)
		d.listingInstances.Store(false)
		d.loop.Post(list)
	})
}

// sendOrder sends an order to an upstream in the background, but not later than
// a.SendWithin from now. Above maxConcurrentOrders the order is reported as not sent.
func (d *Daemon) sendOrder(a node.SendOrder) {
	notAfter := time.Now().Add(a.SendWithin)
	select {
	case d.orderSlots <- struct{}{}:
	default:
		d.loop.PostLocal(node.SendOrderDone{Order: a.Order, Status: node.OrderNotSent})
		return
	}
	d.runInBackground(func() {
		defer func() { <-d.orderSlots }()
		status := d.upstream.SendOrder(d.ctx, a.Address, upstream.Order{
			FencingNumber: a.FencingNumber, Verb: a.Verb, Argument: a.Argument,
		}, notAfter)
		d.log.Write(eventlog.OrderSent{Upstream: a.Upstream, Verb: a.Verb, FencingNumber: a.FencingNumber, Status: status.String()})
		d.loop.Post(node.SendOrderDone{Order: a.Order, Status: status})
	})
}
