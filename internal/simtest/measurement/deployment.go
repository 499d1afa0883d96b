// Package measurement runs scheduling policies against simulated upstreams on the
// same arrivals and computes the measures of the design (docs/design.md, section 2.2).
package measurement

import (
	"math"
	"time"

	"github.com/citrongate/citrongate/internal/simtest"
)

// kindSpec describes one kind of request.
type kindSpec struct {
	name string
	tier uint8
	// class is an index into deployment.classes.
	class uint32
	// service marks calls to plain services.
	service bool
	// calm is the number of requests per second in the calm scenario.
	calm float64
	// Median and spread (standard deviation of the logarithm) of the lengths, in
	// tokens.
	promptMedian, promptSpread float64
	outputMedian, outputSpread float64
	// outputCap is the caller's limit on the output, 0 for maxOutput.
	outputCap uint32
	deadline  time.Duration
	// tightDeadline replaces the deadline in the scenarios with tight deadlines,
	// 0 for no change. Long answers cannot meet it at the target inter-token
	// time.
	tightDeadline time.Duration
}

// Lengths are clamped to these ranges; the longest is a hundred times the shortest.
const (
	minPrompt, maxPrompt = 60, 6000
	minOutput, maxOutput = 10, 1000
)

// deployment describes one of the simulated deployments (docs/design.md, section 2.3).
type deployment struct {
	name        string
	entries     int
	domains     int
	crossDelay  time.Duration
	localDelay  time.Duration
	clientDelay time.Duration
	engines     []simtest.EngineConfig
	services    []simtest.ServiceConfig
	// classes are sets of upstream indexes; engines come first, then services.
	classes [][]uint32
	kinds   []kindSpec
	// orgFractions are the organisations' fractions of the load.
	orgFractions []float64
	// These kinds flood in the scenarios that flood the lowest and the highest tier.
	lowTierFloodKind, highTierFloodKind int
	// largeCallerKind is the kind in which one large organisation floods.
	largeCallerKind int
}

func firstUpstreams(n int) []uint32 { return upstreamRange(0, n) }

func upstreamRange(from, to int) []uint32 {
	var list []uint32
	for i := from; i < to; i++ {
		list = append(list, uint32(i))
	}
	return list
}

const engineCount = 20

// engines returns two hardware generations that differ in speed by a factor of
// about two, with a spread of 15% inside each.
func engines() []simtest.EngineConfig {
	var list []simtest.EngineConfig
	for i := range engineCount {
		spread := 0.85 + 0.3*float64(i*7%engineCount)/engineCount
		c := simtest.EngineConfig{
			Name:     "engine-" + string(rune('a'+i)),
			StepBase: 12 * time.Millisecond, StepPerSequence: 350 * time.Microsecond,
			PrefillPerToken: 50 * time.Microsecond, ChunkTokens: 512,
			MemoryTokens: 120_000, CacheTokens: 30_000, MaxSequences: 96, LoadInterval: time.Second,
		}
		if i%5 >= 3 { // two in five are of the older generation
			c.StepBase, c.StepPerSequence = 18*time.Millisecond, 550*time.Microsecond
			c.PrefillPerToken, c.ChunkTokens, c.MemoryTokens = 90*time.Microsecond, 256, 60_000
		}
		c.StepBase = time.Duration(float64(c.StepBase) * spread)
		c.StepPerSequence = time.Duration(float64(c.StepPerSequence) * spread)
		c.PrefillPerToken = time.Duration(float64(c.PrefillPerToken) * spread)
		list = append(list, c)
	}
	return list
}

func services(count int, duration time.Duration) []simtest.ServiceConfig {
	var list []simtest.ServiceConfig
	for i := range count {
		list = append(list, simtest.ServiceConfig{
			Name: "service-" + string(rune('a'+i)), Duration: duration, Concurrency: 16,
		})
	}
	return list
}

// deploymentA models a price desk: 8 instances in 4 failure domains.
func deploymentA() deployment {
	return deployment{
		name: "A", entries: 8, domains: 4,
		crossDelay: 1500 * time.Microsecond, localDelay: 250 * time.Microsecond, clientDelay: time.Millisecond,
		engines: engines(), services: services(4, 40*time.Millisecond),
		classes: [][]uint32{firstUpstreams(20), upstreamRange(0, 12), upstreamRange(8, 20), upstreamRange(20, 24)},
		kinds: []kindSpec{
			{name: "quote", tier: 0, class: 0, calm: 24, promptMedian: 500, promptSpread: 0.8, outputMedian: 60, outputSpread: 0.8, outputCap: 200, deadline: 12 * time.Second, tightDeadline: 8 * time.Second},
			{name: "alert", tier: 0, class: 1, calm: 8, promptMedian: 300, promptSpread: 0.8, outputMedian: 40, outputSpread: 0.8, outputCap: 150, deadline: 10 * time.Second, tightDeadline: 6 * time.Second},
			{name: "explain", tier: 1, class: 0, calm: 14, promptMedian: 800, promptSpread: 0.9, outputMedian: 150, outputSpread: 0.8, outputCap: 400, deadline: 25 * time.Second},
			{name: "report", tier: 1, class: 2, calm: 6, promptMedian: 1500, promptSpread: 0.8, outputMedian: 200, outputSpread: 0.7, outputCap: 650, deadline: 40 * time.Second},
			{name: "batch", tier: 2, class: 0, calm: 10, promptMedian: 900, promptSpread: 0.9, outputMedian: 150, outputSpread: 0.9, deadline: 60 * time.Second},
			{name: "index", tier: 2, class: 2, calm: 6, promptMedian: 1200, promptSpread: 0.8, outputMedian: 40, outputSpread: 0.8, deadline: 60 * time.Second},
			{name: "ledger", tier: 0, class: 3, service: true, calm: 300, deadline: 2 * time.Second},
		},
		orgFractions:     []float64{0.45, 0.25, 0.15, 0.10, 0.05},
		lowTierFloodKind: 4, highTierFloodKind: 0, largeCallerKind: 2,
	}
}

// deploymentB models a battery maker: 7 instances in 3 failure domains.
func deploymentB() deployment {
	return deployment{
		name: "B", entries: 7, domains: 3,
		crossDelay: 500 * time.Microsecond, localDelay: 250 * time.Microsecond, clientDelay: 3 * time.Millisecond,
		engines: engines(), services: services(3, 60*time.Millisecond),
		classes: [][]uint32{firstUpstreams(20), upstreamRange(0, 14), upstreamRange(10, 20), upstreamRange(20, 23)},
		kinds: []kindSpec{
			{name: "line-stop", tier: 0, class: 0, calm: 10, promptMedian: 400, promptSpread: 0.8, outputMedian: 80, outputSpread: 0.8, outputCap: 240, deadline: 15 * time.Second, tightDeadline: 8 * time.Second},
			{name: "quality", tier: 0, class: 1, calm: 8, promptMedian: 900, promptSpread: 0.8, outputMedian: 60, outputSpread: 0.7, outputCap: 200, deadline: 12 * time.Second, tightDeadline: 7 * time.Second},
			{name: "planning", tier: 1, class: 0, calm: 12, promptMedian: 1200, promptSpread: 0.9, outputMedian: 200, outputSpread: 0.8, outputCap: 500, deadline: 30 * time.Second},
			{name: "purchasing", tier: 1, class: 0, calm: 10, promptMedian: 700, promptSpread: 0.8, outputMedian: 120, outputSpread: 0.8, outputCap: 500, deadline: 30 * time.Second},
			{name: "archive", tier: 2, class: 0, calm: 8, promptMedian: 1500, promptSpread: 0.9, outputMedian: 120, outputSpread: 0.9, deadline: 60 * time.Second},
			{name: "training", tier: 2, class: 2, calm: 6, promptMedian: 600, promptSpread: 0.9, outputMedian: 200, outputSpread: 0.8, deadline: 60 * time.Second},
			{name: "ordering", tier: 1, class: 3, service: true, calm: 150, deadline: 3 * time.Second},
		},
		orgFractions:     []float64{0.4, 0.3, 0.15, 0.10, 0.05},
		lowTierFloodKind: 4, highTierFloodKind: 0, largeCallerKind: 2,
	}
}

// mix accumulates the lengths of a set of requests.
type mix struct {
	count                     int
	prompt, output, occupancy float64
}

// add includes one request; cached is the number of its prompt tokens found in
// a prefix cache.
func (m *mix) add(prompt, output, cached uint32) {
	m.count++
	m.prompt += float64(prompt - cached)
	m.output += float64(output)
	m.occupancy += float64(prompt+output) * float64(output)
}

// capacityBound returns the highest rate of requests of the mix, per second, that
// the engines can serve with a mean inter-token time within the target. With n
// sequences a step takes StepBase + n*StepPerSequence plus the prefill of the
// sequences that replace finished ones. A step processes at most ChunkTokens of
// prompts, so no more sequences can decode than new prompts can replace.
// downFraction is the fraction of the time in which the faulty engine is down.
func (m *mix) capacityBound(configs []simtest.EngineConfig, target time.Duration, downFraction float64) float64 {
	if m.count == 0 {
		return 0
	}
	prompt, output := m.prompt/float64(m.count), m.output/float64(m.count)
	memoryPerSequence := m.occupancy / m.output
	total := 0.0
	for i, e := range configs {
		best := 0.0
		maxReplaced := float64(e.ChunkTokens) * output / math.Max(1, prompt)
		maxSequences := min(float64(e.MaxSequences), float64(e.MemoryTokens)/memoryPerSequence, maxReplaced)
		for n := 1; float64(n) <= maxSequences; n++ {
			decode := e.StepBase.Seconds() + float64(n)*e.StepPerSequence.Seconds()
			perRequest := output*decode/float64(n) + prompt*e.PrefillPerToken.Seconds()
			interToken := perRequest * float64(n) / output
			if interToken <= target.Seconds() {
				best = math.Max(best, 1/perRequest)
			}
		}
		if i == faultyEngine {
			best *= 1 - downFraction
		}
		total += best
	}
	return total
}
