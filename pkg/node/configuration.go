package node

import (
	"maps"
	"slices"
	"time"

	"github.com/citrongate/citrongate/pkg/configstate"
	"github.com/citrongate/citrongate/pkg/dispatch"
	"github.com/citrongate/citrongate/pkg/membership"
	"github.com/citrongate/citrongate/pkg/routing"
	"github.com/citrongate/citrongate/pkg/store"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

const (
	// headReadInterval is the time between a reader's reads of the head of the
	// stored configuration.
	headReadInterval = time.Second
	// noPeerTimeout is the time without a frame from a peer after which an
	// instance reads the head itself.
	noPeerTimeout = 3 * time.Second
	// announceFanout is how many members an instance tells about a revision
	// that it learned; the accepting instance and readers tell all of their cell.
	announceFanout = 3
)

func (n *Node) revision() uint64 {
	if n.set == nil {
		return 0
	}
	return n.set.Revision
}

// activateConfig puts a configuration set in force.
func (n *Node) activateConfig(set *configstate.Set) {
	routes, err := routing.BuildWith(set, routing.Options{
		FailureDomains: n.cfg.CellFailureDomains, IDsBySelector: n.cfg.ExternalConfig})
	if err != nil {
		// Accepted sets are validated, so an error here is a bug in this release.
		n.count("config", "build_failed")
		n.emit(ConfigUnusable{Revision: set.Revision, Err: err})
		return
	}
	n.trackRemovedUpstreams(set)
	n.set, n.routes = set, routes
	n.kinds.clearLimits()
	n.orgs.clearLimits()
	// In sorted order, so that the interned numbers do not depend on map order.
	for _, name := range slices.Sorted(maps.Keys(set.Kinds)) {
		spec := set.Kinds[name].GetRequestKind()
		n.kinds.set(name, spec.GetWeight(), spec.GetLimits())
	}
	for _, name := range slices.Sorted(maps.Keys(set.Organisations)) {
		spec := set.Organisations[name].GetOrganisation()
		n.orgs.set(name, spec.GetWeight(), spec.GetLimits())
	}
	n.poolOf = map[string]routing.PoolID{}
	for _, pool := range routes.Pools() {
		for _, u := range pool.Upstreams {
			n.poolOf[u.Name] = pool.ID
		}
	}
	n.view.SetConfigRevision(set.Revision)
	n.emit(ConfigInForce{Revision: set.Revision})
	moved := n.reroute()
	n.updateOwnership()
	for _, pool := range moved {
		n.updateTableOwner(pool)
		n.syncToOwner(pool)
	}
}

// useConfiguration puts a set in force that was accepted outside the node.
func (n *Node) useConfiguration(e UseConfiguration) {
	if n.cfg.ExternalConfig && e.Set.Revision > n.revision() {
		n.setQuotas(e.Quotas)
		n.setTargets(e.TargetTTFT, e.TargetInterToken, e.PromptSlowdown)
		n.useRollouts(e.Rollouts, e.Set)
		n.activateConfig(e.Set)
	}
}

// removedUpstreamRetention is how long an upstream that left the configuration is
// remembered. Every other instance learns of the removal well within this time.
const removedUpstreamRetention = time.Minute

// trackRemovedUpstreams records the upstreams that the next set removes, and
// forgets learned addresses that the next set makes obsolete.
func (n *Node) trackRemovedUpstreams(next *configstate.Set) {
	if !n.cfg.ExternalConfig {
		return
	}
	if n.set != nil {
		for name := range n.set.Upstreams {
			if next.Upstreams[name] == nil {
				n.removedUpstreams[name] = n.now
			}
		}
	}
	for name, at := range n.removedUpstreams {
		if next.Upstreams[name] != nil || n.now-at > removedUpstreamRetention {
			delete(n.removedUpstreams, name)
		}
	}
	for name := range n.learnedAddresses {
		if _, left := n.removedUpstreams[name]; left || next.Upstreams[name] != nil {
			delete(n.learnedAddresses, name)
		}
	}
}

// maxLearnedAddresses bounds the addresses that are known only from grants.
const maxLearnedAddresses = 4096

// learnAddress keeps the address of an upstream that an owner grants and that
// this instance has not seen in the store yet.
func (n *Node) learnAddress(name, address string) {
	_, left := n.removedUpstreams[name]
	if !n.cfg.ExternalConfig || address == "" || left || n.set == nil || n.set.Upstreams[name] != nil || len(n.learnedAddresses) >= maxLearnedAddresses {
		return
	}
	n.learnedAddresses[name] = address
}

// setTargets changes the latency targets of all pools.
func (n *Node) setTargets(ttft, interToken time.Duration, promptSlowdown float64) {
	if promptSlowdown > 0 {
		n.cfg.PromptSlowdown = promptSlowdown
	}
	if ttft > 0 {
		n.cfg.TargetTTFT = ttft
	}
	if interToken > 0 {
		n.cfg.TargetInterToken = interToken
	}
	for _, h := range n.pools.list {
		h.sched.SetTargets(ttft, interToken, promptSlowdown)
	}
}

// reroute resolves all requests again: labels or selectors may have changed.
// Waiting requests move to their new class and pool; the permits of dispatched
// ones count in the pool that their upstream belongs to now. It returns the
// pools that received dispatched requests, whose owners must be told.
func (n *Node) reroute() (moved []routing.PoolID) {
	var records []*dispatch.Record
	n.table.Each(func(r *dispatch.Record) { records = append(records, r) })
	for _, r := range records {
		if r.InFlight() {
			pool, ok := n.poolOf[r.Upstream]
			if ok && n.table.MoveToPool(r.ID, uint64(pool)) && !slices.Contains(moved, pool) {
				moved = append(moved, pool)
			}
			continue
		}
		request := n.requests[r.ID]
		if request == nil {
			continue
		}
		target, err := n.routes.Resolve(request.route())
		if err != nil {
			n.table.Refuse(n.now, r.ID, resolveRefusal(err))
			continue
		}
		n.table.Reroute(n.now, r.ID, uint64(target.Pool), uint64(target.Class), target.Tier)
	}
	return moved
}

func (n *Node) tickConfig() {
	if n.cfg.ExternalConfig {
		return
	}
	n.configs.Step(n.now)
	if n.cfg.Bootstrap != nil || n.now < n.nextHeadRead {
		return
	}
	noPeers := n.now-n.lastFrameAt >= noPeerTimeout || n.view.LiveCount() == 1
	if n.view.Settled(n.now) && (n.view.Reader() || noPeers) {
		n.nextHeadRead = n.now + headReadInterval
		n.configs.ReadHead(n.now)
	}
}

func (n *Node) applyChange(e ApplyChange) {
	n.configs.Apply(n.now, configstate.Change{ID: e.Change, Puts: e.Puts, Deletes: e.Deletes,
		Conditional: e.Conditional, DryRun: e.DryRun})
}

// applyConfigOutput applies the output of the configuration state machine and
// reports whether there was any.
func (n *Node) applyConfigOutput() bool {
	out := n.configs.TakeOutput()
	n.submitCalls(out.Calls)
	for _, pull := range out.Pulls {
		n.send(pull.Peer, &pb.PeerMessage{Body: &pb.PeerMessage_ConfigPull{ConfigPull: pull.Message}})
	}
	accepted := false
	if out.InForce > n.revision() {
		n.activateConfig(n.configs.Current())
	}
	for _, done := range out.Done {
		accepted = accepted || done.Accepted
		n.emit(ChangeDone{Change: done.ID, Accepted: done.Accepted, Revision: done.Revision, Code: done.Code, Problems: done.Problems})
	}
	if out.InForce != 0 {
		n.announce(accepted)
	}
	return len(out.Calls)+len(out.Done) > 0 || out.InForce != 0
}

// announce tells peers that a new revision is in force. They pull it. A reader
// is usually the first of its cell to learn of a change in another cell, so it
// tells the whole cell, as the accepting instance does.
func (n *Node) announce(accepted bool) {
	if accepted || n.view.Reader() {
		n.view.EachLive(func(m membership.Member) { n.announceRevision(m.Incarnation) })
	}
	for _, id := range n.view.Sample(announceFanout) {
		n.announceRevision(id)
	}
	for _, id := range n.view.Contacts() {
		n.announceRevision(id)
	}
}

func (n *Node) onConfigPull(from uint64, m *pb.ConfigPull) {
	if n.cfg.ExternalConfig {
		return
	}
	if push := n.configs.OnPull(m); push != nil {
		n.send(from, &pb.PeerMessage{Body: &pb.PeerMessage_ConfigPush{ConfigPush: push}})
	}
}

func (n *Node) submitCalls(calls []store.Call) {
	for _, call := range calls {
		n.budget.Submit(n.now, call)
	}
}

// flushStore starts the store calls that the budget allows.
func (n *Node) flushStore() {
	for {
		start, rejected := n.budget.Step(n.now)
		for _, call := range start {
			n.count("store_calls", string(call.Reason))
			n.emit(StoreCall{Call: call.ID, Op: call.Op})
		}
		if len(rejected) == 0 {
			return
		}
		for _, call := range rejected {
			n.count("store_calls_rejected", string(call.Reason))
			n.storeResult(call.ID, store.Result{Status: store.Unavailable})
		}
		n.applyPending()
	}
}

func (n *Node) storeDone(id store.CallID, result store.Result) {
	n.budget.OnResult(n.now, result.Status)
	n.storeResult(id, result)
}

// storeResult passes a result to the component that made the call.
func (n *Node) storeResult(id store.CallID, result store.Result) {
	_ = n.configs.OnStoreResult(n.now, id, result) ||
		n.claims.OnStoreResult(n.now, id, result) ||
		n.leases.OnStoreResult(n.now, id, result)
}
