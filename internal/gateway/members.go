package gateway

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/citrongate/citrongate/internal/eventlog"
	"github.com/citrongate/citrongate/pkg/ingress"
	"github.com/citrongate/citrongate/pkg/membership"
	"github.com/citrongate/citrongate/pkg/node"
)

const (
	// memberRefreshInterval is the time between updates of the readiness and of the
	// addresses in discovery answers, and so bounds their age.
	memberRefreshInterval = 100 * time.Millisecond
	// announceRetry is the time between attempts to announce this instance.
	announceRetry = time.Second
	// maxAddresses bounds the addresses in a discovery answer.
	maxAddresses = 64
)

// membersView is an immutable view of the instances that the node knows.
type membersView struct {
	// addresses are the caller addresses of instances that are alive and not
	// leaving.
	addresses []string
	// notReady is why the node is not ready; empty if it is.
	notReady string
	// limitSharers is the number of instances that share each quota; listRead is true
	// once this process has read the list of instances.
	limitSharers int
	listRead     bool
}

// refreshMembers keeps readiness and the addresses for callers up to date.
func (g *Gateway) refreshMembers() {
	ticker := time.NewTicker(memberRefreshInterval)
	defer ticker.Stop()
	nextPools := time.Duration(0)
	debug := g.log.Enabled(zerolog.DebugLevel)
	for {
		g.loop.Query(g.ctx, func(now time.Duration) {
			g.publishMembers(g.currentMembers())
			if debug && now >= nextPools {
				nextPools = now + poolLogInterval
				g.logPools(g.loop.Machine.PoolSummaries())
			}
		})
		g.log.ReportDropped()
		select {
		case <-ticker.C:
		case <-g.ctx.Done():
			return
		}
	}
}

// publishMembers publishes a view and logs a change of readiness, and of the number of
// instances that share limits.
func (g *Gateway) publishMembers(next *membersView) {
	before := g.members.Swap(next)
	if before.limitSharers != next.limitSharers || before.listRead != next.listRead {
		g.log.Write(eventlog.LimitSharersChanged{Sharers: next.limitSharers, ListRead: next.listRead})
	}
	if before.notReady != next.notReady {
		g.log.Write(eventlog.ReadinessChanged{Ready: next.notReady == "", Reason: next.notReady, Instances: len(next.addresses)})
	}
}

func (g *Gateway) currentMembers() *membersView {
	machine := g.loop.Machine
	view := &membersView{notReady: machine.NotReadyReason(), limitSharers: machine.LimitSharers(), listRead: machine.InstanceListRead()}
	for _, m := range machine.Members() {
		if m.State == membership.Dead {
			continue
		}
		if m.State == membership.Alive && !m.Leaving && m.CallerAddress != "" {
			view.addresses = append(view.addresses, m.CallerAddress)
		}
	}
	return view
}

// hasJoined reports whether this instance knows other live instances, so that it
// needs the list of instances only to find new ones. Before that, an outdated
// list could make it assume that it is the first instance.
func (v *membersView) hasJoined() bool { return v.notReady == "" && len(v.addresses) > 1 }

// discoveryAddresses returns addresses for one discovery answer, in random order.
func (v *membersView) discoveryAddresses() []string {
	out := slices.Clone(v.addresses)
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(len(out), maxAddresses)]
}

// announceUntilDone repeats the announcement of this instance until the store has
// accepted it.
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

// knownUpstreams holds the newest list of upstreams. It is read separately, but the
// node expects it together with each list of instances, and alone when it changes.
type knownUpstreams struct {
	mu        sync.Mutex
	upstreams []node.ListedInstance
}

// set replaces the upstreams and returns their list for the node.
func (l *knownUpstreams) set(upstreams []ingress.Upstream) node.UpstreamList {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.upstreams = l.upstreams[:0]
	for i := range upstreams {
		u := &upstreams[i]
		l.upstreams = append(l.upstreams, node.ListedInstance{
			Name: u.Name(), Incarnation: u.Incarnation, Upstream: true, Leaving: u.Leaving})
	}
	return node.UpstreamList{Upstreams: slices.Clone(l.upstreams)}
}

// withInstances returns the list of instances combined with the upstreams.
func (l *knownUpstreams) withInstances(instances []InstanceEntry) node.InstanceList {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := node.InstanceList{OK: true, Instances: make([]node.ListedInstance, 0, len(instances)+len(l.upstreams))}
	for _, i := range instances {
		list.Instances = append(list.Instances, node.ListedInstance{
			Name: i.Name, Incarnation: i.Incarnation, PeerAddress: i.PeerAddress, Leaving: i.Leaving})
	}
	list.Instances = append(list.Instances, l.upstreams...)
	return list
}

// listInstances reads the list of instances for the node.
func (g *Gateway) listInstances() {
	instances, faults, err := g.store.Instances(g.ctx, g.members.Load().hasJoined())
	g.countStoreCall("instances", err)
	if err != nil {
		g.loop.Post(node.InstanceList{})
		return
	}
	g.logFaults(&g.instanceFaultsLoggedAt, "instances", faults)
	g.loop.Post(g.known.withInstances(instances))
}
