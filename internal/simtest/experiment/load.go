// Package experiment compares scheduling policies in virtual time under named load
// patterns. It simulates complete nodes, model engines of different speeds, and
// callers that disconnect, honour retry delays and retry. The network and the store
// do not fail in it.
package experiment

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/citrongate/citrongate/internal/simtest"
	"github.com/citrongate/citrongate/pkg/ingress"
	"github.com/citrongate/citrongate/pkg/quota"
)

// kind describes one kind of request.
type kind struct {
	name          string
	priority      int
	goal, gapGoal time.Duration
	deadline      time.Duration
	// value is earned by a complete answer that meets the goals, lateValue by another
	// complete answer.
	value, lateValue float64
	// prompt is the mean prompt length in tokens, events the mean number of events.
	prompt, events float64
	// perSecond is the arrival rate over all organisations at load 1.
	perSecond float64
	maxSends  int
	resumable bool
}

var kinds = []kind{
	{name: "long", priority: 0, goal: 800 * time.Millisecond, gapGoal: 200 * time.Millisecond, deadline: 15 * time.Second,
		value: 7.5, lateValue: 2.2, prompt: 6600, events: 55, perSecond: 37, maxSends: 1},
	{name: "short", priority: 1, goal: 300 * time.Millisecond, gapGoal: 200 * time.Millisecond, deadline: 15 * time.Second,
		value: 1.6, lateValue: 0.48, prompt: 630, events: 42, perSecond: 42, maxSends: 2, resumable: true},
	{name: "batch", priority: 2, goal: 400 * time.Millisecond, gapGoal: 200 * time.Millisecond, deadline: 3 * time.Second,
		value: 0.36, lateValue: 0.1, prompt: 1800, events: 4, perSecond: 51, maxSends: 1},
}

const (
	instances      = 6
	engines        = 18
	slots          = 10
	tokensPerEvent = 5
	engineMemory   = 700_000
	// lengthSigma is the standard deviation of the logarithm of the lengths.
	lengthSigma = 0.9
	// maxLengthFactor bounds the lengths, as a multiple of their mean.
	maxLengthFactor = 8

	organisations = 5
	// organisationSkew is the exponent of the Zipf distribution of load over organisations.
	organisationSkew = 1.2
	// quotaFactor is the quota of an organisation as a multiple of its mean rate at load 1.
	quotaFactor = 1.8
	// burstSeconds is the burst of a quota, in seconds of its rate.
	burstSeconds = 1.0

	service = "engines"
	host    = "h"
)

// slowness holds factors on the step times of the engines, assigned in turn.
var slowness = []float64{0.68, 0.68, 3.0}

var tolerance = quota.Tolerance{Window: 8 * time.Second, Over: 0.1, Slack: 140_000}

// Start and duration of the traffic, and duration of the run; the rest after the
// traffic lets the last requests reach their deadlines.
const (
	trafficStart    = 4 * time.Second
	trafficDuration = 30 * time.Second
	runDuration     = trafficStart + trafficDuration + 16*time.Second
)

// Pattern is a named load pattern.
type Pattern struct {
	Name string
	// load multiplies all arrival rates.
	load float64
	// burstKind is the kind whose rate is multiplied by burstFactor for burstDuration;
	// -1 for none.
	burstKind     int
	burstFactor   float64
	burstDuration time.Duration
	// hotFactor multiplies the rate of hotOrganisation for hotDuration; 0 for no change.
	hotFactor   float64
	hotDuration time.Duration
	// loweredQuotaFactor multiplies the quota of hotOrganisation from disturbanceAt on;
	// 0 for no change.
	loweredQuotaFactor float64
	// crashed is the number of engines that are unavailable for crashDuration.
	crashed       int
	crashDuration time.Duration
}

// disturbanceAt is the time from the start of the traffic to the disturbance of a
// pattern: its burst, quota change or crash.
const disturbanceAt = 5 * time.Second

// Patterns returns the load patterns, the calm one without a disturbance first.
func Patterns() []Pattern {
	return []Pattern{
		{Name: "calm", load: 0.8, burstKind: -1},
		{Name: "burst-of-urgent", load: 1, burstKind: 0, burstFactor: 3, burstDuration: 4 * time.Second},
		{Name: "burst-of-batch", load: 1, burstKind: 2, burstFactor: 6, burstDuration: 5 * time.Second},
		{Name: "hot-organisation", load: 1, burstKind: -1, hotFactor: 6, hotDuration: 7 * time.Second},
		{Name: "lowered-quota", load: 0.8, burstKind: -1, loweredQuotaFactor: 0.28},
		{Name: "crash", load: 1.2, burstKind: -1, crashed: 6, crashDuration: 4 * time.Second},
	}
}

// arrival is a request of the load: its time, kind, organisation and lengths.
type arrival struct {
	at             time.Duration
	kind           int
	organisation   int
	prompt, events uint32
}

// cost returns the amount that is charged to the organisation's quota, in tokens.
func (a arrival) cost() float64 { return float64(a.prompt) + tokensPerEvent*float64(a.events) }

// organisationWeights returns each organisation's fraction of the load.
func organisationWeights() (list [organisations]float64) {
	sum := 0.0
	for i := range list {
		list[i] = 1 / math.Pow(float64(i+1), organisationSkew)
		sum += list[i]
	}
	for i := range list {
		list[i] /= sum
	}
	return list
}

// hotOrganisation is the index of the organisation that sends a burst or whose quota
// is lowered.
const hotOrganisation = 1

// drawArrivals draws the arrivals of a pattern, in order of time: a Poisson process
// whose rate changes with the disturbance.
func drawArrivals(p Pattern, seed uint64) []arrival {
	random := simtest.NewRand(seed, 7)
	var list []arrival
	for at := time.Duration(0); at < trafficDuration; {
		rate := 0.0
		rates := make([][organisations]float64, len(kinds))
		for k := range kinds {
			for o, weight := range organisationWeights() {
				rates[k][o] = kinds[k].perSecond * p.load * weight * p.rateFactor(at, k, o)
				rate += rates[k][o]
			}
		}
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if a, ok := pickSource(rates, random.Float64()*rate); ok && at < trafficDuration {
			a.at = trafficStart + at
			a.prompt, a.events = drawLength(random, kinds[a.kind].prompt), drawLength(random, kinds[a.kind].events)
			list = append(list, a)
		}
	}
	return list
}

// rateFactor returns the factor on the rate of a kind and organisation at a time after
// the start of the traffic.
func (p Pattern) rateFactor(at time.Duration, kind, organisation int) float64 {
	factor := 1.0
	if kind == p.burstKind && at >= disturbanceAt && at < disturbanceAt+p.burstDuration {
		factor *= p.burstFactor
	}
	if organisation == hotOrganisation && p.hotFactor > 0 && at >= disturbanceAt && at < disturbanceAt+p.hotDuration {
		factor *= p.hotFactor
	}
	return factor
}

// pickSource returns the kind and organisation whose rate covers the position at in
// the sum of all rates, so that each is drawn with a probability proportional to its rate.
func pickSource(rates [][organisations]float64, at float64) (arrival, bool) {
	for k := range rates {
		for o, rate := range rates[k] {
			if at -= rate; at < 0 {
				return arrival{kind: k, organisation: o}, true
			}
		}
	}
	return arrival{}, false
}

// drawLength draws from a log-normal distribution with the given mean.
func drawLength(random *rand.Rand, mean float64) uint32 {
	x := mean * math.Exp(lengthSigma*random.NormFloat64()-lengthSigma*lengthSigma/2)
	return uint32(max(1, min(x, maxLengthFactor*mean)))
}

// configuration returns the configuration of a pattern, before or after its quota is
// lowered.
func configuration(p Pattern, quotaLowered bool) *ingress.Config {
	c := &ingress.Config{
		Version: 1, KeysRequired: true,
		Services: []ingress.Service{{Name: service, ModelEngine: true, Slots: slots, TokensPerEvent: tokensPerEvent, KVCacheTokens: engineMemory}},
	}
	for _, k := range kinds {
		c.Routes = append(c.Routes, ingress.Route{
			Name: k.name, Host: host, PathPrefix: "/" + k.name + "/", Kind: ingress.Stream, ModelCall: true, Timeout: k.deadline,
			Goal: k.goal, EventGapGoal: k.gapGoal, Priority: k.priority, MaxSends: k.maxSends, Resumable: k.resumable,
			Backends: []ingress.Backend{{Service: service, Weight: 1}},
		})
	}
	tokens := 0.0
	for _, k := range kinds {
		tokens += k.perSecond * (k.prompt + tokensPerEvent*k.events)
	}
	for o, weight := range organisationWeights() {
		rate := quotaFactor * weight * tokens
		if quotaLowered && o == hotOrganisation && p.loweredQuotaFactor > 0 {
			rate *= p.loweredQuotaFactor
		}
		c.Organisations = append(c.Organisations, ingress.Organisation{
			Name: organisationName(o), Keys: []string{organisationName(o)}, QuotaInTokens: true, QuotaPerSecond: rate, QuotaBurst: burstSeconds * rate})
	}
	return c
}

func organisationName(o int) string { return string(rune('a' + o)) }

func upstreams() []ingress.Upstream {
	var list []ingress.Upstream
	for e := range engines {
		list = append(list, ingress.Upstream{ID: "e" + string(rune('a'+e)), Incarnation: "1", Service: service, Address: "10.1.0.1:1"})
	}
	return list
}

// engineConfig returns the step costs and the capacity of the e-th engine.
func engineConfig(e int, name string) simtest.EngineConfig {
	scaled := func(ms float64) time.Duration {
		return time.Duration(ms * slowness[e%len(slowness)] * float64(time.Millisecond))
	}
	return simtest.EngineConfig{
		Name: name, StepBase: scaled(3.82), StepPerSequence: scaled(0.0227), StepPerContextToken: scaled(0.00000256), PrefillPerToken: scaled(1 / 68.2),
		ChunkTokens: 1024, MemoryTokens: engineMemory, MaxSequences: slots, GrowingMemory: true,
	}
}
