package main

import (
	"runtime"
	"syscall"
	"time"

	"github.com/citrongate/citrongate/internal/simtest"
)

// Times of the measurement of a fleet at rest, in virtual time.
const (
	settleTime  = 60 * time.Second
	measureTime = 10 * time.Second
)

// cost is the processor time and the allocations of this process.
type cost struct {
	cpu     time.Duration
	mallocs uint64
}

func processCost() cost {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return cost{time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), memory.Mallocs}
}

func (c cost) since(before cost) cost { return cost{c.cpu - before.cpu, c.mallocs - before.mallocs} }

// measureRest measures a fleet without requests: bytes, processor time and
// allocations per node and second. Nothing else may run in this process meanwhile,
// since the processor time is that of the whole process.
func measureRest(r *report, s shape, seed uint64) {
	f := newFleet(s, options{seed: seed})
	f.Loop.RunUntil(settleTime)
	f.traffic.reset()
	before := processCost()
	f.Loop.RunUntil(settleTime + measureTime)
	used := processCost().since(before)
	nodeSeconds := float64(s.nodes) * measureTime.Seconds()
	r.add("membership_bytes", s.nodes, f.traffic.sentBytes(membershipClass)/nodeSeconds, "B/s/node")
	sent, received := f.traffic.busiestNode()
	r.add("reader_sent_bytes", s.nodes, sent/measureTime.Seconds(), "B/s")
	r.add("reader_received_bytes", s.nodes, received/measureTime.Seconds(), "B/s")
	r.add("rest_frames", s.nodes, float64(f.traffic.frames)/nodeSeconds, "frames/s/node")
	r.add("rest_allocations", s.nodes, float64(used.mallocs)/nodeSeconds, "allocations/s/node")
	r.add("rest_cpu", s.nodes, float64(used.cpu.Nanoseconds())/nodeSeconds, "ns/s/node")
	measureRestart(r, f, totalBytes(f.traffic))
}

func totalBytes(t *traffic) float64 {
	bytes := 0.0
	for c := range classCount {
		bytes += t.sentBytes(c)
	}
	return bytes
}

// measureRestart counts the bytes that a kill and the restart of one node cause in
// the whole fleet, beyond those at rest.
func measureRestart(r *report, f *fleet, rest float64) {
	const duration = 15 * time.Second
	f.traffic.reset()
	start := f.Loop.Now()
	victim := f.Instances[f.nodes/2]
	f.Kill(victim)
	f.Loop.RunUntil(start + 5*time.Second)
	f.Restart(victim)
	f.Loop.RunUntil(start + duration)
	r.add("restart_bytes", f.nodes, totalBytes(f.traffic)-rest*duration.Seconds()/measureTime.Seconds(), "B/restart")
}

// Load of the measurement with requests.
const (
	requestsPerNode = 3.0
	outputTokens    = 60
)

// measureRequests measures the bytes and the processor time that requests add.
func measureRequests(r *report, s shape, seed uint64) {
	f := newFleet(s, options{seed: seed, engines: true})
	f.Loop.RunUntil(settleTime)
	var pairs, samples float64
	started := 0
	interval := time.Duration(float64(time.Second) / (requestsPerNode * float64(s.nodes)))
	end := f.Loop.Now() + measureTime
	f.Loop.Every(interval, func() bool {
		i := f.Instances[f.Loop.Rand.IntN(s.nodes)]
		m := f.Loop.Rand.IntN(s.models)
		i.Submit(simtest.Spec{Kind: kindName(m), Model: modelName(m), Organisation: organisationName(f.Loop.Rand.IntN(s.organisations)),
			Prompt: 200, Output: outputTokens/2 + uint32(f.Loop.Rand.IntN(outputTokens)), Remaining: 20 * time.Second})
		started++
		return f.Loop.Now() < end
	})
	f.Loop.Every(time.Second, func() bool {
		pairs += float64(countOpenPairs(f))
		samples++
		return f.Loop.Now() < end
	})
	f.traffic.reset()
	before := processCost()
	f.Loop.RunUntil(end)
	used := processCost().since(before)
	requests := float64(started)
	r.add("permit_bytes", s.nodes, f.traffic.sentBytes(permitClass)/requests, "B/request")
	r.add("permit_messages", s.nodes, float64(f.traffic.messages[permitClass])/requests, "messages/request")
	inUse := pairs / samples * measureTime.Seconds()
	r.add("progress_bytes", s.nodes, f.traffic.sentBytes(progressClass)/inUse, "B/s/(entry,upstream in use)")
	r.add("progress_messages", s.nodes, float64(f.traffic.messages[progressClass])/inUse, "messages/s/(entry,upstream in use)")
	r.add("digest_bytes", s.nodes, f.traffic.sentBytes(digestClass)/requests, "B/request")
	r.add("request_cpu_with_fakes", s.nodes, float64(used.cpu.Nanoseconds())/requests, "ns/request")
	r.add("requests_answered", s.nodes, countAnswered(f)/requests, "share (rest: in progress, refused)")
}

// countOpenPairs counts the pairs of an entry and an upstream with an open stream
// between them.
func countOpenPairs(f *fleet) int {
	open := map[[2]string]bool{}
	for _, request := range f.Trace.Requests {
		if request.Outcome == simtest.OutcomeNone && len(request.Dispatches) > 0 {
			open[[2]string{request.Instance, request.Dispatches[0].Upstream}] = true
		}
	}
	return len(open)
}

func countAnswered(f *fleet) float64 {
	count := 0.0
	for _, request := range f.Trace.Requests {
		if request.Outcome == simtest.OutcomeAnswered {
			count++
		}
	}
	return count
}
