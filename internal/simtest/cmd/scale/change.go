package main

import (
	"sync"
	"time"

	"github.com/citrongate/citrongate/internal/simtest"
	"github.com/citrongate/citrongate/pkg/node"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

const (
	// regionDelay is the one-way delay between distant regions; applying it to every
	// frame is the worst case.
	regionDelay = 75 * time.Millisecond
	// changeLimit ends the wait for a change; it is beyond the bound of 5 s.
	changeLimit    = 20 * time.Second
	changesPerSeed = 3
	// startTime is enough for all nodes to find their cells.
	startTime = 6 * time.Second
)

// propagation is the result of the changes of one seed.
type propagation struct {
	// slowest is the longest time from acceptance until the last node has a change in
	// force; changeLimit if it did not come into force everywhere.
	slowest time.Duration
	bytes   float64
	// accepted is the number of changes that were accepted.
	accepted int
}

// startAndConfigure starts a fleet without a configuration, submits the first one,
// and waits until it is in force everywhere.
func startAndConfigure(s shape, o options) (*fleet, bool) {
	o.learnsConfig = true
	f := newFleet(s, o)
	f.Loop.RunUntil(startTime)
	f.Instances[0].Change(node.ApplyChange{Change: 1, Puts: s.objects()})
	ok := f.waitInForce(1, f.Loop.Now()+changeLimit)
	return f, ok
}

func (f *fleet) waitInForce(revision uint64, until time.Duration) bool {
	for f.Loop.Now() < until {
		if f.inForce(revision) {
			return true
		}
		f.Loop.RunUntil(f.Loop.Now() + 10*time.Millisecond)
	}
	return f.inForce(revision)
}

func (f *fleet) inForce(revision uint64) bool {
	for _, i := range f.Live() {
		if set := i.Node.ConfigSet(); set == nil || set.Revision < revision {
			return false
		}
	}
	return true
}

// submitChange makes one operator's change at a node and returns when and as which
// revision it was accepted.
func (f *fleet) submitChange(i *simtest.Instance, id uint64, put *pb.Object) (at time.Duration, revision uint64, ok bool) {
	resultsBefore := len(f.Trace.Changes)
	i.Change(node.ApplyChange{Change: id, Puts: []*pb.Object{put}})
	until := f.Loop.Now() + changeLimit
	for f.Loop.Now() < until {
		for _, done := range f.Trace.Changes[resultsBefore:] {
			if done.Done.Change == id && done.Instance == i.Incarnation {
				return done.At, done.Done.Revision, done.Done.Accepted
			}
		}
		f.Loop.RunUntil(f.Loop.Now() + time.Millisecond)
	}
	return 0, 0, false
}

// measureChanges makes changes at random nodes with lost frames.
func measureChanges(s shape, seed uint64) propagation {
	f, ok := startAndConfigure(s, options{seed: seed, delay: regionDelay, loss: 0.01})
	if !ok {
		return propagation{slowest: changeLimit}
	}
	f.traffic.reset()
	p := propagation{}
	for n := range changesPerSeed {
		at, revision, accepted := f.submitChange(f.Instances[f.Loop.Rand.IntN(s.nodes)], uint64(10+n), changedOrganisation(n, 2))
		if !accepted {
			continue
		}
		p.accepted++
		if !f.waitInForce(revision, at+changeLimit) {
			p.slowest = changeLimit
			break
		}
		p.slowest = max(p.slowest, f.Loop.Now()-at)
	}
	p.bytes = f.traffic.sentBytes(configClass) / float64(max(p.accepted, 1)) / float64(s.nodes)
	return p
}

// measureSeeds runs measureChanges with consecutive seeds, up to workers at once.
func measureSeeds(s shape, seed uint64, seeds, workers int) []propagation {
	results := make([]propagation, seeds)
	slots := make(chan struct{}, workers)
	var wait sync.WaitGroup
	for n := range seeds {
		slots <- struct{}{}
		wait.Go(func() {
			results[n] = measureChanges(s, seed+uint64(n))
			<-slots
		})
	}
	wait.Wait()
	return results
}

func reportChanges(r *report, s shape, results []propagation) {
	slowest, bytes, accepted := 0.0, 0.0, 0
	for _, p := range results {
		slowest = max(slowest, p.slowest.Seconds())
		bytes += p.bytes / float64(len(results))
		accepted += p.accepted
	}
	r.add("change_in_force_slowest", s.nodes, slowest, "s")
	r.add("change_bytes_small_set", s.nodes, bytes, "B/change/node")
	r.add("changes_accepted", s.nodes, float64(accepted)/float64(changesPerSeed*len(results)), "share")
}
