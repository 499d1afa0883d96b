package main

import (
	"time"

	"github.com/citrongate/citrongate/internal/simtest"
	"github.com/citrongate/citrongate/pkg/node"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// regionRun is the result of a network partition between two regions.
type regionRun struct {
	// accepted and refused count the changes in the region with the store;
	// acceptedWithoutStore counts the changes that the other region accepted.
	accepted, refused, acceptedWithoutStore int
	// refusedUnavailable counts the changes that the region without the store refused
	// with store_unavailable.
	refusedUnavailable int
	// answeredWithStore and answeredWithoutStore are the fractions of requests answered
	// in the region with and without the store during the partition.
	answeredWithStore, answeredWithoutStore float64
	// reverted counts the decreases of the revision in force at an instance.
	reverted int
	// caughtUp is the time from the end of the partition until all nodes have the newest
	// revision; changeLimit if they did not reach it.
	caughtUp time.Duration
	// idleFrames and rejoinFrames are frames per second and node before the partition
	// and in the busiest second after its end.
	idleFrames, rejoinFrames float64
	// rejoinBytes is the most that one node sent per second, on average over the first
	// 10 s after the partition.
	rejoinBytes float64
}

// regionShape has two regions of two cells; the first half of the nodes is in the
// region that keeps the store.
func regionShape(nodes int) shape {
	return shape{nodes: nodes, cellSize: nodes / 4, upstreams: 8, organisations: 10, models: 1, concurrency: 64}
}

// runRegionLoss partitions two regions for a time, with operators' changes and
// requests in both, and reconnects them. With platformUnreachable the second region
// doesn't reach the platform after the partition either, so it learns the
// configuration from peers.
func runRegionLoss(s shape, seed uint64, partitionTime time.Duration, platformUnreachable bool) regionRun {
	f, ok := startAndConfigure(s, options{seed: seed, engines: true})
	if !ok {
		return regionRun{caughtUp: changeLimit}
	}
	var run regionRun
	f.Loop.RunUntil(f.Loop.Now() + 10*time.Second)
	f.traffic.reset()
	f.Loop.RunUntil(f.Loop.Now() + 10*time.Second)
	run.idleFrames = float64(f.traffic.frames) / 10 / float64(s.nodes)
	withStore, withoutStore := f.Instances[:s.nodes/2], f.Instances[s.nodes/2:]
	f.partition(withStore, withoutStore)
	end := f.Loop.Now() + partitionTime
	f.runWorkload(withStore, withoutStore, end, &run)
	run.answeredWithStore, run.answeredWithoutStore = f.answeredRatio(withStore), f.answeredRatio(withoutStore)
	f.Heal()
	if !platformUnreachable {
		f.PlatformUnreachable = nil
	}
	f.rejoin(&run)
	run.reverted = f.countReverted()
	return run
}

func (f *fleet) partition(withStore, withoutStore []*simtest.Instance) {
	f.PlatformUnreachable = map[string]bool{}
	for _, b := range withoutStore {
		f.PlatformUnreachable[b.Address] = true
		for _, a := range withStore {
			f.Cut(a.Address, b.Address)
			f.Cut(b.Address, a.Address)
		}
	}
}

// runWorkload makes a change in each region every 20 s, as often as 4,000 a day, and
// sends one request a second in each region.
func (f *fleet) runWorkload(withStore, withoutStore []*simtest.Instance, end time.Duration, run *regionRun) {
	f.Trace.Changes = nil
	request := func(side []*simtest.Instance) {
		side[f.Loop.Rand.IntN(len(side))].Submit(simtest.Spec{Kind: kindName(0), Model: modelName(0), Organisation: organisationName(0),
			Prompt: 50, Output: 20, Remaining: 10 * time.Second})
	}
	for second := 0; f.Loop.Now() < end-15*time.Second; second++ {
		request(withStore)
		request(withoutStore)
		if second%20 == 0 {
			change := changedOrganisation(second/20%f.organisations, float64(2+second))
			withStore[f.Loop.Rand.IntN(len(withStore))].Change(node.ApplyChange{Change: uint64(100 + second), Puts: []*pb.Object{change}})
			other := changedOrganisation(second/20%f.organisations, 0.5)
			withoutStore[f.Loop.Rand.IntN(len(withoutStore))].Change(node.ApplyChange{Change: uint64(1_000_000 + second), Puts: []*pb.Object{other}})
		}
		f.Loop.RunUntil(f.Loop.Now() + time.Second)
	}
	f.Loop.RunUntil(end)
	for _, c := range f.Trace.Changes {
		switch {
		case c.Done.Change >= 1_000_000 && c.Done.Accepted:
			run.acceptedWithoutStore++
		case c.Done.Change >= 1_000_000 && c.Done.Code == "store_unavailable":
			run.refusedUnavailable++
		case c.Done.Change >= 1_000_000:
		case c.Done.Accepted:
			run.accepted++
		default:
			run.refused++
		}
	}
}

func (f *fleet) answeredRatio(side []*simtest.Instance) float64 {
	names := map[string]bool{}
	for _, i := range side {
		names[i.Name] = true
	}
	answered, all := 0.0, 0.0
	for _, r := range f.Trace.Requests {
		if names[r.Instance] {
			all++
			if r.Outcome == simtest.OutcomeAnswered {
				answered++
			}
		}
	}
	return answered / all
}

func (f *fleet) rejoin(run *regionRun) {
	newest := uint64(0)
	for _, i := range f.Instances {
		newest = max(newest, i.Node.ConfigSet().Revision)
	}
	joined := f.Loop.Now()
	run.caughtUp = changeLimit
	f.traffic.reset()
	last := 0
	for step := range 200 {
		f.Loop.RunUntil(f.Loop.Now() + 100*time.Millisecond)
		if run.caughtUp == changeLimit && f.inForce(newest) {
			run.caughtUp = f.Loop.Now() - joined
		}
		if step%10 == 9 {
			run.rejoinFrames = max(run.rejoinFrames, float64(f.traffic.frames-last)/float64(f.nodes))
			last = f.traffic.frames
		}
		if step == 99 {
			sent, _ := f.traffic.busiestNode()
			run.rejoinBytes = sent / 10
		}
	}
}

// countReverted counts how often an instance put a lower revision in force.
func (f *fleet) countReverted() int {
	highest := map[uint64]uint64{}
	count := 0
	for _, e := range f.Trace.InForce {
		if e.Revision < highest[e.Instance] {
			count++
		}
		highest[e.Instance] = max(highest[e.Instance], e.Revision)
	}
	return count
}

// reportRegionLoss partitions two regions for an hour.
func reportRegionLoss(r *report, seed uint64) {
	const nodes = 16
	run := runRegionLoss(regionShape(nodes), seed, time.Hour, false)
	r.add("region_loss_changes_accepted", nodes, float64(run.accepted), "changes on the side with the store")
	r.add("region_loss_changes_accepted_without_store", nodes, float64(run.acceptedWithoutStore), "changes")
	r.add("region_loss_served_with_store", nodes, run.answeredWithStore, "share")
	r.add("region_loss_served_without_store", nodes, run.answeredWithoutStore, "share")
	r.add("region_loss_reverted", nodes, float64(run.reverted), "nodes")
	r.add("region_join_caught_up", nodes, run.caughtUp.Seconds(), "s")
	r.add("region_join_frames_busiest_second", nodes, run.rejoinFrames, "frames/s/node")
	r.add("region_rest_frames", nodes, run.idleFrames, "frames/s/node")
}
