package account

import (
	"cmp"
	"slices"
)

// Engine is the speed of one engine.
type Engine struct {
	// StepMs, SlotMs: a step with n requests lasts StepMs + n*SlotMs and brings
	// one token to each.
	StepMs, SlotMs float64
	// PromptPerMs is the number of prompt tokens read in a millisecond.
	PromptPerMs float64
	// Batch is the number of requests that run at once.
	Batch int
	// Slowness multiplies all times.
	Slowness float64
}

// timeMs returns the engine's time that a request takes in a full batch, with
// nothing of its prompt kept.
func (e Engine) timeMs(prompt, tokens float64) float64 {
	batch := float64(e.Batch)
	return e.Slowness * (prompt/e.PromptPerMs + tokens*(e.StepMs+batch*e.SlotMs)/batch)
}

// Demand is the work of one kind that counts.
type Demand struct {
	// Requests is how many, Worth what each earns if it is answered in time.
	Requests, Worth float64
	// Prompt and Tokens are the mean lengths in tokens.
	Prompt, Tokens float64
}

// Bound returns the largest worth that the engines could earn in dayMs, with
// the future known, every engine sound, batches always full and work moved
// freely within the day. The kinds that earn most in an engine's time go first.
func Bound(demands []Demand, engines []Engine, dayMs float64) float64 {
	unit, left := unitOf(engines, dayMs)
	order := slices.Clone(demands)
	density := func(d Demand) float64 { return d.Worth / unit.timeMs(d.Prompt, d.Tokens) }
	slices.SortFunc(order, func(a, b Demand) int { return cmp.Compare(density(b), density(a)) })
	earned := 0.0
	for _, d := range order {
		cost := unit.timeMs(d.Prompt, d.Tokens)
		served := min(d.Requests, left/cost)
		earned += served * d.Worth
		left -= served * cost
	}
	return earned
}

// Load returns the part of the engines' time in dayMs that the demands take.
func Load(demands []Demand, engines []Engine, dayMs float64) float64 {
	unit, had := unitOf(engines, dayMs)
	asked := 0.0
	for _, d := range demands {
		asked += d.Requests * unit.timeMs(d.Prompt, d.Tokens)
	}
	return asked / had
}

// unitOf returns an engine like the others with slowness 1, and the time of
// such an engine that all of them have together in dayMs.
func unitOf(engines []Engine, dayMs float64) (unit Engine, hadMs float64) {
	unit = engines[0]
	unit.Slowness = 1
	for _, e := range engines {
		hadMs += dayMs / e.Slowness
	}
	return unit, hadMs
}
