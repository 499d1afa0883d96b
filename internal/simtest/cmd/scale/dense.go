package main

import (
	"time"

	"github.com/citrongate/citrongate/internal/simtest"
)

// denseCell is one cell at the target's load: 61 entries, 217 engines and 25.7
// requests/s per entry with 277 tokens on average.
func denseCell() shape {
	return shape{nodes: 61, cellSize: 61, upstreams: targetUpstreams / targetCells, organisations: 50, models: targetModels, concurrency: 160}
}

const (
	denseRequests = float64(targetRequests) / targetNodes
	denseTokens   = targetTokens / targetRequests
	denseWarmUp   = 40 * time.Second
	denseTime     = 4 * time.Second
)

// measureDense measures one cell at the target's load. The number of streams per
// entry and upstream determines how many load reports there are and how many are
// sent in one frame, so the result can't be extrapolated from a lighter load.
func measureDense(r *report, seed uint64) {
	s := denseCell()
	f := newFleet(s, options{seed: seed, engines: true})
	f.Loop.RunUntil(settleTime)
	end := f.Loop.Now() + denseWarmUp + denseTime
	interval := time.Duration(float64(time.Second) / (denseRequests * float64(s.nodes)))
	f.Loop.Every(interval, func() bool {
		m := f.Loop.Rand.IntN(s.models)
		f.Instances[f.Loop.Rand.IntN(s.nodes)].Submit(simtest.Spec{Kind: kindName(m), Model: modelName(m),
			Organisation: organisationName(f.Loop.Rand.IntN(s.organisations)), Prompt: 200,
			Output: denseTokens/2 + uint32(f.Loop.Rand.IntN(denseTokens)), Remaining: 60 * time.Second})
		return f.Loop.Now() < end
	})
	f.Loop.RunUntil(end - denseTime)
	f.traffic.reset()
	first := len(f.Trace.Requests)
	before := processCost()
	f.Loop.RunUntil(end)
	used := processCost().since(before)
	requests := float64(len(f.Trace.Requests) - first)
	nodeSeconds := float64(s.nodes) * denseTime.Seconds()
	r.add("dense_streams", s.nodes, float64(countOpenStreams(f))/float64(s.nodes), "streams/entry")
	r.add("dense_upstreams_in_use", s.nodes, float64(countOpenPairs(f))/float64(s.nodes), "upstreams/entry")
	r.add("dense_requests", s.nodes, requests/nodeSeconds, "requests/s/entry")
	r.add("dense_refused", s.nodes, countRefused(f)/float64(len(f.Trace.Requests)), "share")
	for c := range classCount {
		r.add("dense_"+classNames[c]+"_bytes", s.nodes, f.traffic.sentBytes(c)/nodeSeconds, "B/s/node")
	}
	r.add("dense_progress_messages", s.nodes, float64(f.traffic.messages[progressClass])/nodeSeconds, "messages/s/node")
	r.add("dense_digest_messages", s.nodes, float64(f.traffic.messages[digestClass])/nodeSeconds, "messages/s/node")
	r.add("dense_permit_bytes", s.nodes, f.traffic.sentBytes(permitClass)/requests, "B/request")
	r.add("dense_cpu_with_fakes", s.nodes, float64(used.cpu.Nanoseconds())/nodeSeconds, "ns/s/node")
	r.add("dense_allocations", s.nodes, float64(used.mallocs)/nodeSeconds, "allocations/s/node")
}

// measureFlood measures a cell in which requests wait all the time. Entries then
// monitor the owners of their pools closely, which costs the most messages.
func measureFlood(r *report, nodes int, seed uint64) {
	s := shapeOfNodes(nodes)
	s.concurrency = 2
	f := newFleet(s, options{seed: seed, engines: true})
	f.Loop.RunUntil(settleTime)
	end := f.Loop.Now() + 10*time.Second
	f.Loop.Every(time.Duration(float64(time.Second)/(denseRequests*float64(nodes))), func() bool {
		m := f.Loop.Rand.IntN(s.models)
		f.Instances[f.Loop.Rand.IntN(nodes)].Submit(simtest.Spec{Kind: kindName(m), Model: modelName(m),
			Organisation: organisationName(0), Prompt: 200, Output: denseTokens, Remaining: 30 * time.Second})
		return f.Loop.Now() < end
	})
	f.Loop.RunUntil(end - denseTime)
	f.traffic.reset()
	f.Loop.RunUntil(end)
	nodeSeconds := float64(nodes) * denseTime.Seconds()
	for c := range classCount {
		r.add("flood_"+classNames[c]+"_bytes", nodes, f.traffic.sentBytes(c)/nodeSeconds, "B/s/node")
	}
	r.add("flood_refused", nodes, countRefused(f)/float64(len(f.Trace.Requests)), "share")
}

func countOpenStreams(f *fleet) int {
	open := 0
	for _, request := range f.Trace.Requests {
		if request.Outcome == simtest.OutcomeNone && len(request.Dispatches) > 0 {
			open++
		}
	}
	return open
}

func countRefused(f *fleet) float64 {
	count := 0.0
	for _, request := range f.Trace.Requests {
		if request.Outcome == simtest.OutcomeRefused {
			count++
		}
	}
	return count
}
