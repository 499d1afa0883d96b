package gateway

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/citrongate/citrongate/internal/eventlog"
	"github.com/citrongate/citrongate/pkg/ingress"
	"github.com/citrongate/citrongate/pkg/membership"
	"github.com/citrongate/citrongate/pkg/node"
)

const (
	// memberInterval is the age of readiness and of discovery answers.
	memberInterval = 100 * time.Millisecond
	// announceRetry is the time between attempts to announce this instance.
	announceRetry = time.Second
	// maxAddresses bounds the addresses in a discovery answer.
	maxAddresses = 64
)

// membersView is what the node knows of the instances. It is immutable.
type membersView struct {
	// addresses are those that callers may use.
	addresses []string
	notReady  string
}

// refreshMembers keeps readiness and the addresses for callers up to date.
func (g *Gateway) refreshMembers() {
	ticker := time.NewTicker(memberInterval)
	defer ticker.Stop()
	nextPools := time.Duration(0)
	debug := g.log.Enabled(zerolog.DebugLevel)
	for {
		g.loop.Query(g.ctx, func(now time.Duration) {
			g.setMembers(g.readMembers())
			if debug && now >= nextPools {
				nextPools = now + poolInterval
				g.logPools(g.loop.Machine.PoolSummaries())
			}
		})
		g.log.Tell()
		select {
		case <-ticker.C:
		case <-g.ctx.Done():
			return
		}
	}
}

// setMembers publishes a view and logs a change of readiness.
func (g *Gateway) setMembers(next *membersView) {
	if before := g.members.Swap(next); before.notReady != next.notReady {
		g.log.Write(eventlog.ReadinessChanged{Ready: next.notReady == "", Reason: next.notReady, Instances: len(next.addresses)})
	}
}

func (g *Gateway) readMembers() *membersView {
	view := &membersView{notReady: g.loop.Machine.NotReadyReason()}
	for _, m := range g.loop.Machine.Members() {
		if m.State == membership.Dead {
			continue
		}
		if m.State == membership.Alive && !m.Leaving && m.CallerAddress != "" {
			view.addresses = append(view.addresses, m.CallerAddress)
		}
	}
	return view
}

// settled reports whether this instance has found others, so that the list of
// instances only has to show it newcomers. Before that an old list could make it
// take itself for the first one.
func (v *membersView) settled() bool { return v.notReady == "" && len(v.addresses) > 1 }

// pick returns addresses for one discovery answer, in random order.
func (v *membersView) pick() []string {
	out := slices.Clone(v.addresses)
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(len(out), maxAddresses)]
}

// announceUntilDone announces this instance once the store takes it.
func (g *Gateway) announceUntilDone() {
	ticker := time.NewTicker(announceRetry)
	defer ticker.Stop()
	for !g.announce(g.ctx) {
		select {
		case <-ticker.C:
		case <-g.ctx.Done():
			return
		}
	}
}

// instanceLines holds the newest lists of instances and upstreams, since the
// node takes both as one list.
type instanceLines struct {
	mu        sync.Mutex
	instances []node.ListedInstance
	upstreams []node.ListedInstance
	// faultsAt is when entries of instances were last reported, in boot time.
	faultsAt atomic.Int64
}

// setUpstreams replaces the upstreams and returns the list for the node.
func (l *instanceLines) setUpstreams(upstreams []ingress.Upstream) node.InstanceList {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.upstreams = l.upstreams[:0]
	for i := range upstreams {
		u := &upstreams[i]
		l.upstreams = append(l.upstreams, node.ListedInstance{
			Name: u.Name(), Incarnation: u.Incarnation, Upstream: true, Leaving: u.Leaving})
	}
	return l.list()
}

func (l *instanceLines) setInstances(instances []Instance) node.InstanceList {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.instances = l.instances[:0]
	for _, i := range instances {
		l.instances = append(l.instances, node.ListedInstance{
			Name: i.Name, Incarnation: i.Incarnation, PeerAddress: i.PeerAddress, Leaving: i.Leaving})
	}
	return l.list()
}

func (l *instanceLines) list() node.InstanceList {
	return node.InstanceList{OK: true, Instances: append(slices.Clone(l.instances), l.upstreams...)}
}

// listInstances answers the node's wish for the list of instances.
func (g *Gateway) listInstances() {
	instances, faults, err := g.store.Instances(g.ctx, g.members.Load().settled())
	g.countCall("instances", err)
	if err != nil {
		g.loop.Post(node.InstanceList{})
		return
	}
	g.logFaults(&g.lines.faultsAt, "instances", faults)
	g.loop.Post(g.lines.setInstances(instances))
}
