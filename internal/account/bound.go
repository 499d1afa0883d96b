package account

import (
	"cmp"
	"slices"
)

// Engine describes the speed of one model engine.
type Engine struct {
	// A decoding step with n requests lasts StepMs + n*SlotMs and produces one
	// token for each of them.
	StepMs, SlotMs float64
	// PromptPerMs is the number of prompt tokens processed per millisecond.
	PromptPerMs float64
	// Batch is the number of requests that run concurrently.
	Batch int
	// Slowness is a factor on all times; 1 is the nominal speed.
	Slowness float64
}

// requestTimeMs returns the time of the engine that a request takes in a full batch,
// if no part of its prompt is in the KV cache.
func (e Engine) requestTimeMs(prompt, tokens float64) float64 {
	batch := float64(e.Batch)
	return e.Slowness * (prompt/e.PromptPerMs + tokens*(e.StepMs+batch*e.SlotMs)/batch)
}

// Demand describes the counted requests of one kind: their number, value and mean
// lengths.
type Demand struct {
	// Requests is the number of requests; Worth is the value that each earns if it
	// is answered in time.
	Requests, Worth float64
	// Prompt and Tokens are the mean lengths of prompt and answer in tokens.
	Prompt, Tokens float64
}

// MaxValue returns an upper bound on the value that the engines could earn in dayMs
// milliseconds. It assumes that all requests are known in advance, that every
// engine works, that batches are always full and that requests may run at any
// time within the period. Requests with the most value per engine time are served
// first.
func MaxValue(demands []Demand, engines []Engine, dayMs float64) float64 {
	unit, leftMs := referenceEngine(engines, dayMs)
	order := slices.Clone(demands)
	density := func(d Demand) float64 { return d.Worth / unit.requestTimeMs(d.Prompt, d.Tokens) }
	slices.SortFunc(order, func(a, b Demand) int { return cmp.Compare(density(b), density(a)) })
	earned := 0.0
	for _, d := range order {
		cost := unit.requestTimeMs(d.Prompt, d.Tokens)
		served := min(d.Requests, leftMs/cost)
		earned += served * d.Worth
		leftMs -= served * cost
	}
	return earned
}

// LoadRatio returns the ratio of the engine time that the demands require to the time
// that the engines have in dayMs; above 1 the engines cannot serve all of them.
func LoadRatio(demands []Demand, engines []Engine, dayMs float64) float64 {
	unit, availableMs := referenceEngine(engines, dayMs)
	requiredMs := 0.0
	for _, d := range demands {
		requiredMs += d.Requests * unit.requestTimeMs(d.Prompt, d.Tokens)
	}
	return requiredMs / availableMs
}

// referenceEngine returns an engine of nominal speed like the given ones, which may
// differ only in slowness, and the total time of the given engines in dayMs,
// converted to the time of that engine.
func referenceEngine(engines []Engine, dayMs float64) (unit Engine, availableMs float64) {
	unit = engines[0]
	unit.Slowness = 1
	for _, e := range engines {
		availableMs += dayMs / e.Slowness
	}
	return unit, availableMs
}
