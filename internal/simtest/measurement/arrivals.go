package measurement

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/citrongate/citrongate/internal/simtest"
)

// Times of a run. Arrivals from measureFrom to measureTo are counted; the
// warm-up lets the limits and predictions settle.
const (
	measureFrom = 30 * time.Second
	measureTo   = 70 * time.Second
	runUntil    = 140 * time.Second
	// servedFrom to measureTo is when answers count against the capacity bound;
	// a flood needs some seconds before its first answers end.
	servedFrom = 40 * time.Second
	// faultAt is when stragglers, deaths and outages begin.
	faultAt = 40 * time.Second
	// engineDown is how long a killed engine stays away.
	engineDown = 15 * time.Second
)

// Scenario says what happens during the measured time.
type Scenario struct {
	Name string
	// floodKind floods with floodRate times the capacity, -1 for none.
	floodKind func(deployment) int
	// largeCaller makes one organisation send the flood.
	largeCaller bool
	straggler   bool
	engineDeath bool
	ownerDeath  bool
	// storeOutage takes part only in runs of whole nodes.
	storeOutage bool
	// bursts limits the flood to one second in burstPeriod.
	bursts bool
	// tight uses the tight deadlines.
	tight bool
}

func none(deployment) int { return -1 }

// Scenarios lists what is measured, calm first.
func Scenarios() []Scenario {
	low := func(d deployment) int { return d.floodLow }
	high := func(d deployment) int { return d.floodHigh }
	large := func(d deployment) int { return d.large }
	return []Scenario{
		{Name: "calm", floodKind: none},
		{Name: "flood-lowest", floodKind: low},
		{Name: "flood-highest", floodKind: high},
		{Name: "bursts-highest", floodKind: high, bursts: true},
		{Name: "large-caller", floodKind: large, largeCaller: true},
		{Name: "straggler", floodKind: none, straggler: true},
		{Name: "engine-death", floodKind: none, engineDeath: true},
		{Name: "owner-death", floodKind: none, ownerDeath: true},
		{Name: "flood-straggler", floodKind: low, straggler: true},
		{Name: "tight-calm", floodKind: none, tight: true},
		{Name: "tight-flood-lowest", floodKind: low, tight: true},
		{Name: "flood-engine-death", floodKind: low, engineDeath: true},
	}
}

// calmName is the scenario that a flood is compared with.
func (s Scenario) calmName() string {
	if s.tight {
		return "tight-calm"
	}
	return "calm"
}

// down is the part of the served time in which the faulty engine is away.
func (s Scenario) down() float64 {
	if !s.engineDeath {
		return 0
	}
	return engineDown.Seconds() / (measureTo - servedFrom).Seconds()
}

func (s Scenario) isCalm() bool { return s.Name == s.calmName() }

// overload is the rate of a flood as a multiple of the capacity bound.
const overload = 2.0

// burstPeriod separates the starts of bursts. With one second of flood in each,
// the engines have enough time for all work on average.
const burstPeriod = 6 * time.Second

// largeOrg is the organisation that floods in the large-caller scenario.
const largeOrg = 0

// prefixesPerFlow is the number of prompt prefixes of a kind and organisation.
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

// arrivals draws the load of a scenario. The calm part is the same in all
// scenarios of a seed.
func arrivals(d deployment, s Scenario, seed uint64) []arrival {
	var list []arrival
	for kind, spec := range d.kinds {
		random := simtest.NewRand(seed, uint64(1+kind))
		list = append(list, poisson(d, kind, spec.calm, 0, measureTo, random, -1)...)
	}
	if flood := s.floodKind(d); flood >= 0 {
		random := simtest.NewRand(seed, 100)
		org := -1
		if s.largeCaller {
			org = largeOrg
		}
		rate := overload * kindMix(d, flood).bound(d.engines, targetInterToken, 0)
		for _, a := range poisson(d, flood, rate, measureFrom, measureTo, random, org) {
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

// poisson draws arrivals of one kind; org is -1 for the usual shares.
func poisson(d deployment, kind int, rate float64, from, to time.Duration, random *rand.Rand, org int) []arrival {
	var list []arrival
	for at := from; ; {
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at >= to {
			return list
		}
		list = append(list, draw(d, kind, at, random, org))
	}
}

func draw(d deployment, kind int, at time.Duration, random *rand.Rand, org int) arrival {
	spec := d.kinds[kind]
	a := arrival{at: at, entry: random.IntN(d.entries), kind: kind, org: uint32(pick(d.orgShares, random))}
	if org >= 0 {
		a.org = uint32(org)
	}
	if spec.service {
		return a
	}
	a.prompt = length(spec.promptMedian, spec.promptSpread, minPrompt, maxPrompt, random)
	a.output = length(spec.outputMedian, spec.outputSpread, minOutput, maxOutput, random)
	if spec.outputCap > 0 {
		a.output = min(a.output, spec.outputCap)
	}
	flow := uint64(kind)<<16 | uint64(a.org)<<8
	a.prefix = 1<<32 | flow | uint64(random.IntN(prefixesPerFlow))
	a.prefixTokens = min(a.prompt-1, uint32(spec.promptMedian/2))
	return a
}

func length(median, spread float64, low, high uint32, random *rand.Rand) uint32 {
	value := median * math.Exp(spread*random.NormFloat64())
	return uint32(max(float64(low), min(float64(high), value)))
}

func pick(shares []float64, random *rand.Rand) int {
	value := random.Float64()
	for i, share := range shares {
		if value < share {
			return i
		}
		value -= share
	}
	return len(shares) - 1
}

// kindMix returns the mean lengths of a kind, from a fixed sample.
func kindMix(d deployment, kind int) *mix {
	random := simtest.NewRand(1, 200)
	m := &mix{}
	for range 2000 {
		a := draw(d, kind, 0, random, -1)
		m.add(a.prompt, a.output, 0)
	}
	return m
}
