// Package experiment compares policies of the scheduler in virtual time: whole
// nodes, model engines of unlike speeds and callers that give up, heed advice
// and come back, under named patterns of load. It is a model of upstreams and
// callers around the node library; the network and the store do not fail in it.
package experiment

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/citrongate/citrongate/internal/simtest"
	"github.com/citrongate/citrongate/pkg/ingress"
	"github.com/citrongate/citrongate/pkg/quota"
)

// kind is one kind of request.
type kind struct {
	name          string
	priority      int
	goal, gapGoal time.Duration
	deadline      time.Duration
	// worth is earned by an answer in time, late by a later one.
	worth, late float64
	// prompt is the mean in tokens, events the mean number of events.
	prompt, events float64
	// perSecond is the rate at load 1.
	perSecond float64
	maxSends  int
	resumable bool
}

var kinds = []kind{
	{name: "long", priority: 0, goal: 800 * time.Millisecond, gapGoal: 200 * time.Millisecond, deadline: 15 * time.Second,
		worth: 7.5, late: 2.2, prompt: 6600, events: 55, perSecond: 37, maxSends: 1},
	{name: "short", priority: 1, goal: 300 * time.Millisecond, gapGoal: 200 * time.Millisecond, deadline: 15 * time.Second,
		worth: 1.6, late: 0.48, prompt: 630, events: 42, perSecond: 42, maxSends: 2, resumable: true},
	{name: "batch", priority: 2, goal: 400 * time.Millisecond, gapGoal: 200 * time.Millisecond, deadline: 3 * time.Second,
		worth: 0.36, late: 0.1, prompt: 1800, events: 4, perSecond: 51, maxSends: 1},
}

const (
	instances      = 6
	engines        = 18
	slots          = 10
	tokensPerEvent = 5
	engineMemory   = 700_000
	// spread is the standard deviation of the logarithm of lengths.
	spread = 0.9
	// maxLength bounds lengths as a multiple of their mean.
	maxLength = 8

	organisations = 5
	// skew is the exponent by which organisations differ in size.
	skew = 1.2
	// quotaOfUsual is the quota of an organisation as a multiple of what it sends.
	quotaOfUsual = 1.8
	// burstSeconds is the burst of a quota in seconds of its rate.
	burstSeconds = 1.0

	service = "engines"
	host    = "h"
)

// slowness holds the factors on the time of the engines, in turn.
var slowness = []float64{0.68, 0.68, 3.0}

var tolerance = quota.Tolerance{Window: 8 * time.Second, Over: 0.1, Slack: 140_000}

// Times of a run.
const (
	trafficFrom = 4 * time.Second
	trafficFor  = 30 * time.Second
	runFor      = trafficFrom + trafficFor + 16*time.Second
)

// Pattern is a named pattern of load.
type Pattern struct {
	Name string
	// load multiplies all rates.
	load float64
	// burstKind sends burstTimes as much for burstFor, -1 for none.
	burstKind  int
	burstTimes float64
	burstFor   time.Duration
	// hotTimes is how much more the second organisation sends for hotFor.
	hotTimes float64
	hotFor   time.Duration
	// quotaTo is the part of its quota that the second organisation keeps from
	// eventAt on; 0 leaves it.
	quotaTo float64
	// crashed is the number of engines that are away for crashFor.
	crashed  int
	crashFor time.Duration
}

// eventAt is when the disturbance of a pattern begins, after the traffic's start.
const eventAt = 5 * time.Second

// Patterns lists the patterns of load, the calm one first.
func Patterns() []Pattern {
	return []Pattern{
		{Name: "calm", load: 0.8, burstKind: -1},
		{Name: "burst-of-urgent", load: 1, burstKind: 0, burstTimes: 3, burstFor: 4 * time.Second},
		{Name: "burst-of-batch", load: 1, burstKind: 2, burstTimes: 6, burstFor: 5 * time.Second},
		{Name: "hot-organisation", load: 1, burstKind: -1, hotTimes: 6, hotFor: 7 * time.Second},
		{Name: "lowered-quota", load: 0.8, burstKind: -1, quotaTo: 0.28},
		{Name: "crash", load: 1.2, burstKind: -1, crashed: 6, crashFor: 4 * time.Second},
	}
}

// work is one request that callers want answered.
type work struct {
	at             time.Duration
	kind           int
	organisation   int
	prompt, events uint32
}

// cost is what the request counts against its organisation's quota, in tokens.
func (w work) cost() float64 { return float64(w.prompt) + tokensPerEvent*float64(w.events) }

// weights returns the parts of the organisations in the load.
func weights() (list [organisations]float64) {
	sum := 0.0
	for i := range list {
		list[i] = 1 / math.Pow(float64(i+1), skew)
		sum += list[i]
	}
	for i := range list {
		list[i] /= sum
	}
	return list
}

// hotOrganisation is the one that floods or whose quota is lowered.
const hotOrganisation = 1

// draw returns the work of a pattern in order.
func draw(p Pattern, seed uint64) []work {
	random := simtest.NewRand(seed, 7)
	var list []work
	for at := time.Duration(0); at < trafficFor; {
		rate := 0.0
		rates := make([][organisations]float64, len(kinds))
		for k := range kinds {
			for o, weight := range weights() {
				rates[k][o] = kinds[k].perSecond * p.load * weight * p.times(at, k, o)
				rate += rates[k][o]
			}
		}
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if w, ok := pick(rates, random.Float64()*rate); ok && at < trafficFor {
			w.at = trafficFrom + at
			w.prompt, w.events = length(random, kinds[w.kind].prompt), length(random, kinds[w.kind].events)
			list = append(list, w)
		}
	}
	return list
}

// times is the factor on the rate of a kind and organisation at a time.
func (p Pattern) times(at time.Duration, kind, organisation int) float64 {
	factor := 1.0
	if kind == p.burstKind && at >= eventAt && at < eventAt+p.burstFor {
		factor *= p.burstTimes
	}
	if organisation == hotOrganisation && p.hotTimes > 0 && at >= eventAt && at < eventAt+p.hotFor {
		factor *= p.hotTimes
	}
	return factor
}

func pick(rates [][organisations]float64, at float64) (work, bool) {
	for k := range rates {
		for o, rate := range rates[k] {
			if at -= rate; at < 0 {
				return work{kind: k, organisation: o}, true
			}
		}
	}
	return work{}, false
}

// length draws a log-normal length with the mean.
func length(random *rand.Rand, mean float64) uint32 {
	x := mean * math.Exp(spread*random.NormFloat64()-spread*spread/2)
	return uint32(max(1, min(x, maxLength*mean)))
}

// config is the configuration of a pattern; lowered is whether the quota is.
func config(p Pattern, lowered bool) *ingress.Config {
	c := &ingress.Config{
		Version: 1, KeysRequired: true,
		Services: []ingress.Service{{Name: service, Slots: slots, TokensPerEvent: tokensPerEvent, MemoryTokens: engineMemory}},
	}
	for _, k := range kinds {
		c.Routes = append(c.Routes, ingress.Route{
			Name: k.name, Host: host, PathPrefix: "/" + k.name + "/", Kind: ingress.Stream, ModelCall: true, Timeout: k.deadline,
			Goal: k.goal, GapGoal: k.gapGoal, Priority: k.priority, MaxSends: k.maxSends, Resumable: k.resumable,
			Backends: []ingress.Backend{{Service: service, Weight: 1}},
		})
	}
	tokens := 0.0
	for _, k := range kinds {
		tokens += k.perSecond * (k.prompt + tokensPerEvent*k.events)
	}
	for o, weight := range weights() {
		rate := quotaOfUsual * weight * tokens
		if lowered && o == hotOrganisation && p.quotaTo > 0 {
			rate *= p.quotaTo
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

// engineConfig returns the speed and size of an engine.
func engineConfig(e int, name string) simtest.EngineConfig {
	slow := func(ms float64) time.Duration {
		return time.Duration(ms * slowness[e%len(slowness)] * float64(time.Millisecond))
	}
	return simtest.EngineConfig{
		Name: name, StepBase: slow(3.82), StepPerSequence: slow(0.0227), StepPerContextToken: slow(0.00000256), PrefillPerToken: slow(1 / 68.2),
		ChunkTokens: 1024, MemoryTokens: engineMemory, MaxSequences: slots, GrowingMemory: true,
	}
}
