package main

import (
	"time"

	"github.com/citrongate/citrongate/internal/simtest"
	"github.com/citrongate/citrongate/pkg/node"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// regionRun is what happened while two regions were parted and after.
type regionRun struct {
	// accepted and refused are changes on the side with the store; lost is the
	// number of changes that the side without it accepted.
	accepted, refused, lost int
	// unavailable is the number of changes that the other side refused as such.
	unavailable int
	// servedNear and servedFar are the shares of requests answered on the side
	// with and without the store while parted.
	servedNear, servedFar float64
	// reverted counts instances whose revision in force decreased.
	reverted int
	// caughtUp is from the join until all nodes have the newest revision;
	// changeLimit if they did not.
	caughtUp time.Duration
	// restFrames and joinFrames are frames per second and node before the part
	// and in the busiest second after the join.
	restFrames, joinFrames float64
	// joinBytes is the most that one node sent in the first 10 s after the join, per second.
	joinBytes float64
}

// regionShape has two regions of two cells; the first half of the nodes is in
// the region that keeps the store.
func regionShape(nodes int) shape {
	return shape{nodes: nodes, cellSize: nodes / 4, upstreams: 8, organisations: 10, models: 1, concurrency: 64}
}

// runRegionLoss parts two regions for a time, with operators' changes on both
// sides and requests, and joins them. With byPeers the second region still does
// not reach the platform after the join.
func runRegionLoss(s shape, seed uint64, parted time.Duration, byPeers bool) regionRun {
	f, ok := startLearned(s, options{seed: seed, engines: true})
	if !ok {
		return regionRun{caughtUp: changeLimit}
	}
	var run regionRun
	f.Loop.RunUntil(f.Loop.Now() + 10*time.Second)
	f.traffic.reset()
	f.Loop.RunUntil(f.Loop.Now() + 10*time.Second)
	run.restFrames = float64(f.traffic.frames) / 10 / float64(s.nodes)
	near, far := f.Instances[:s.nodes/2], f.Instances[s.nodes/2:]
	f.part(near, far)
	end := f.Loop.Now() + parted
	f.operate(near, far, end, &run)
	run.servedNear, run.servedFar = f.served(near), f.served(far)
	f.Heal()
	if !byPeers {
		f.NoPlatform = nil
	}
	f.join(&run)
	run.reverted = f.reverts()
	return run
}

func (f *fleet) part(near, far []*simtest.Instance) {
	f.NoPlatform = map[string]bool{}
	for _, b := range far {
		f.NoPlatform[b.Address] = true
		for _, a := range near {
			f.Cut(a.Address, b.Address)
			f.Cut(b.Address, a.Address)
		}
	}
}

// operate makes a change on each side every 20 s, as often as 4,000 a day, and
// sends one request a second to each side.
func (f *fleet) operate(near, far []*simtest.Instance, end time.Duration, run *regionRun) {
	f.Trace.Changes = nil
	request := func(side []*simtest.Instance) {
		side[f.Loop.Rand.IntN(len(side))].Submit(simtest.Spec{Kind: kindName(0), Model: modelName(0), Organisation: organisationName(0),
			Prompt: 50, Output: 20, Remaining: 10 * time.Second})
	}
	for second := 0; f.Loop.Now() < end-15*time.Second; second++ {
		request(near)
		request(far)
		if second%20 == 0 {
			change := changedOrganisation(second/20%f.organisations, float64(2+second))
			near[f.Loop.Rand.IntN(len(near))].Change(node.ApplyChange{Change: uint64(100 + second), Puts: []*pb.Object{change}})
			other := changedOrganisation(second/20%f.organisations, 0.5)
			far[f.Loop.Rand.IntN(len(far))].Change(node.ApplyChange{Change: uint64(1_000_000 + second), Puts: []*pb.Object{other}})
		}
		f.Loop.RunUntil(f.Loop.Now() + time.Second)
	}
	f.Loop.RunUntil(end)
	for _, c := range f.Trace.Changes {
		switch {
		case c.Done.Change >= 1_000_000 && c.Done.Accepted:
			run.lost++
		case c.Done.Change >= 1_000_000 && c.Done.Code == "store_unavailable":
			run.unavailable++
		case c.Done.Change >= 1_000_000:
		case c.Done.Accepted:
			run.accepted++
		default:
			run.refused++
		}
	}
}

func (f *fleet) served(side []*simtest.Instance) float64 {
	names := map[string]bool{}
	for _, i := range side {
		names[i.Name] = true
	}
	whole, all := 0.0, 0.0
	for _, r := range f.Trace.Requests {
		if names[r.Instance] {
			all++
			if r.Outcome == simtest.OutcomeAnswered {
				whole++
			}
		}
	}
	return whole / all
}

func (f *fleet) join(run *regionRun) {
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
			run.joinFrames = max(run.joinFrames, float64(f.traffic.frames-last)/float64(f.nodes))
			last = f.traffic.frames
		}
		if step == 99 {
			sent, _ := f.traffic.most()
			run.joinBytes = sent / 10
		}
	}
}

// reverts counts the instances that put a lower revision in force.
func (f *fleet) reverts() int {
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

// reportRegionLoss parts two regions for an hour.
func reportRegionLoss(r *report, seed uint64) {
	const nodes = 16
	run := runRegionLoss(regionShape(nodes), seed, time.Hour, false)
	r.add("region_loss_changes_accepted", nodes, float64(run.accepted), "changes on the side with the store")
	r.add("region_loss_changes_accepted_without_store", nodes, float64(run.lost), "changes")
	r.add("region_loss_served_with_store", nodes, run.servedNear, "share")
	r.add("region_loss_served_without_store", nodes, run.servedFar, "share")
	r.add("region_loss_reverted", nodes, float64(run.reverted), "nodes")
	r.add("region_join_caught_up", nodes, run.caughtUp.Seconds(), "s")
	r.add("region_join_frames_busiest_second", nodes, run.joinFrames, "frames/s/node")
	r.add("region_rest_frames", nodes, run.restFrames, "frames/s/node")
}
