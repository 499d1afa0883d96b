package measurement

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/citrongate/citrongate/internal/simtest"
)

// Times of a run. Arrivals from measureFrom to measureTo are counted; during the
// warm-up before, the limits and predictions settle.
const (
	measureFrom = 30 * time.Second
	measureTo   = 70 * time.Second
	runUntil    = 140 * time.Second
	// Answers that end from servedFrom to measureTo count against the capacity
	// bound; the first answers of a flood take some seconds to end.
	servedFrom = 40 * time.Second
	// faultAt is when slowdowns, kills and outages begin.
	faultAt = 40 * time.Second
	// engineDown is how long a killed engine stays down.
	engineDown = 15 * time.Second
)

// Scenario describes the load and the faults of a run.
type Scenario struct {
	Name string
	// floodKind returns the kind that floods at overloadFactor times the capacity
	// bound, -1 for none.
	floodKind func(deployment) int
	// largeCaller makes one organisation send the flood.
	largeCaller bool
	straggler   bool
	engineDeath bool
	ownerDeath  bool
	// storeOutage takes effect only in runs of complete nodes.
	storeOutage bool
	// bursts limits the flood to the first second of each burstPeriod.
	bursts bool
	// tightDeadline selects the tight deadlines of the kinds that have one.
	tightDeadline bool
}

func noFlood(deployment) int { return -1 }

// Scenarios lists the measured scenarios, calm first.
func Scenarios() []Scenario {
	low := func(d deployment) int { return d.lowTierFloodKind }
	high := func(d deployment) int { return d.highTierFloodKind }
	largeCallerKind := func(d deployment) int { return d.largeCallerKind }
	return []Scenario{
		{Name: "calm", floodKind: noFlood},
		{Name: "flood-lowest", floodKind: low},
		{Name: "flood-highest", floodKind: high},
		{Name: "bursts-highest", floodKind: high, bursts: true},
		{Name: "large-caller", floodKind: largeCallerKind, largeCaller: true},
		{Name: "straggler", floodKind: noFlood, straggler: true},
		{Name: "engine-death", floodKind: noFlood, engineDeath: true},
		{Name: "owner-death", floodKind: noFlood, ownerDeath: true},
		{Name: "flood-straggler", floodKind: low, straggler: true},
		{Name: "tight-calm", floodKind: noFlood, tightDeadline: true},
		{Name: "tight-flood-lowest", floodKind: low, tightDeadline: true},
		{Name: "flood-engine-death", floodKind: low, engineDeath: true},
	}
}

// calmName returns the name of the scenario that a flood is compared with.
func (s Scenario) calmName() string {
	if s.tightDeadline {
		return "tight-calm"
	}
	return "calm"
}

// downFraction is the fraction of the served time in which the faulty engine is down.
func (s Scenario) downFraction() float64 {
	if !s.engineDeath {
		return 0
	}
	return engineDown.Seconds() / (measureTo - servedFrom).Seconds()
}

func (s Scenario) isCalm() bool { return s.Name == s.calmName() }

// overloadFactor is the rate of a flood as a multiple of the capacity bound.
const overloadFactor = 2.0

// burstPeriod is the time between the starts of two bursts. With one second of
// flood in each period, the engines have enough capacity for all work on average.
const burstPeriod = 6 * time.Second

// largeOrg is the organisation that floods in the large-caller scenario.
const largeOrg = 0

// prefixesPerFlow is the number of distinct prompt prefixes of a kind and
// organisation.
const prefixesPerFlow = 6

// arrival is one request of the open-loop load.
type arrival struct {
	at             time.Duration
	sequence       uint64
	entry          int
	kind           int
	org            uint32
	prompt, output uint32
	prefix         uint64
	prefixTokens   uint32
}

// arrivals draws the load of a scenario. The calm requests are the same in all
// scenarios of a seed.
func arrivals(d deployment, s Scenario, seed uint64) []arrival {
	var list []arrival
	for kind, spec := range d.kinds {
		random := simtest.NewRand(seed, uint64(1+kind))
		list = append(list, poissonArrivals(d, kind, spec.calm, 0, measureTo, random, -1)...)
	}
	if flood := s.floodKind(d); flood >= 0 {
		random := simtest.NewRand(seed, 100)
		org := -1
		if s.largeCaller {
			org = largeOrg
		}
		rate := overloadFactor * kindMix(d, flood).capacityBound(d.engines, targetInterToken, 0)
		for _, a := range poissonArrivals(d, flood, rate, measureFrom, measureTo, random, org) {
			if !s.bursts || (a.at-measureFrom)%burstPeriod < time.Second {
				list = append(list, a)
			}
		}
	}
	slices.SortStableFunc(list, func(a, b arrival) int { return int(a.at - b.at) })
	for i := range list {
		list[i].sequence = uint64(i + 1)
	}
	return list
}

// poissonArrivals draws arrivals of one kind; org is -1 to draw the organisations
// by their usual fractions.
func poissonArrivals(d deployment, kind int, rate float64, from, to time.Duration, random *rand.Rand, org int) []arrival {
	var list []arrival
	for at := from; ; {
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at >= to {
			return list
		}
		list = append(list, drawArrival(d, kind, at, random, org))
	}
}

func drawArrival(d deployment, kind int, at time.Duration, random *rand.Rand, org int) arrival {
	spec := d.kinds[kind]
	a := arrival{at: at, entry: random.IntN(d.entries), kind: kind, org: uint32(pickWeighted(d.orgFractions, random))}
	if org >= 0 {
		a.org = uint32(org)
	}
	if spec.service {
		return a
	}
	a.prompt = drawLength(spec.promptMedian, spec.promptSpread, minPrompt, maxPrompt, random)
	a.output = drawLength(spec.outputMedian, spec.outputSpread, minOutput, maxOutput, random)
	if spec.outputCap > 0 {
		a.output = min(a.output, spec.outputCap)
	}
	flow := uint64(kind)<<16 | uint64(a.org)<<8
	a.prefix = 1<<32 | flow | uint64(random.IntN(prefixesPerFlow))
	a.prefixTokens = min(a.prompt-1, uint32(spec.promptMedian/2))
	return a
}

func drawLength(median, spread float64, low, high uint32, random *rand.Rand) uint32 {
	value := median * math.Exp(spread*random.NormFloat64())
	return uint32(max(float64(low), min(float64(high), value)))
}

func pickWeighted(fractions []float64, random *rand.Rand) int {
	value := random.Float64()
	for i, fraction := range fractions {
		if value < fraction {
			return i
		}
		value -= fraction
	}
	return len(fractions) - 1
}

// kindMix returns the lengths of a fixed sample of requests of a kind.
func kindMix(d deployment, kind int) *mix {
	random := simtest.NewRand(1, 200)
	m := &mix{}
	for range 2000 {
		a := drawArrival(d, kind, 0, random, -1)
		m.add(a.prompt, a.output, 0)
	}
	return m
}
