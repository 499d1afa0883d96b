// Package engine is a stand-in for a language-model server: continuous batching
// with a step time that depends on batch and prefill, a bounded prefix cache, no
// notion of priority, streams that can be resumed and cancelled, and reports
// that arrive late.
package engine

import (
	"net/http"
	"sync"
	"time"
)

// Config holds the properties of one engine.
type Config struct {
	// Models are the models loaded at the start.
	Models []string
	// MaxBatch is the number of sequences processed together.
	MaxBatch int
	// MaxWaiting is the number of admitted sequences that may wait for the
	// batch; further requests are refused before they start.
	MaxWaiting int
	// StepBase and StepPerSequence make up the time of one decode step.
	StepBase, StepPerSequence time.Duration
	// PrefillTokensPerSecond is the speed of prefill; PrefillChunk bounds the
	// prompt tokens of one step.
	PrefillTokensPerSecond float64
	PrefillChunk           int
	// CacheBlocks is the capacity of the prefix cache in blocks of 16 tokens.
	CacheBlocks int
	// LoadLag and CacheEventLag are the ages of reports.
	LoadLag, CacheEventLag time.Duration
	// CacheEventGap loses each CacheEventGap-th cache event; 0 loses none.
	CacheEventGap int
	// CheckFencing makes the engine refuse orders with an old fencing number.
	CheckFencing bool
	// Grace is the time that a sequence runs on without a reader.
	Grace time.Duration
	// Keep is the time that a finished stream can be resumed.
	Keep time.Duration
}

// Defaults returns the configuration of a fast engine.
func Defaults() Config {
	return Config{
		MaxBatch: 32, MaxWaiting: 256,
		StepBase: 10 * time.Millisecond, StepPerSequence: 300 * time.Microsecond,
		PrefillTokensPerSecond: 20000, PrefillChunk: 512, CacheBlocks: 4096,
		LoadLag: time.Second, CacheEventLag: 500 * time.Millisecond, CacheEventGap: 10,
		Grace: 5 * time.Second, Keep: 30 * time.Second,
	}
}

// Faults is the state that the control API sets.
type Faults struct {
	// Slowdown multiplies the step time; 0 means 1.
	Slowdown float64 `json:"slowdown"`
	// Stall stops all steps.
	Stall bool `json:"stall"`
	// Refuse makes the engine refuse new requests before they start.
	Refuse bool `json:"refuse"`
	// BreakStreams is the number of answers yet to be cut after BreakAfter tokens.
	BreakStreams int `json:"break_streams"`
	BreakAfter   int `json:"break_after"`
	// ForgetBroken makes the engine forget a stream that it cut, so that it
	// can't be resumed.
	ForgetBroken bool `json:"forget_broken"`
	// MismatchAnswers is the number of answers yet to carry another request's id.
	MismatchAnswers int `json:"mismatch_answers"`
}

// Counters count work since the start.
type Counters struct {
	Started   uint64 `json:"started"`
	Completed uint64 `json:"completed"`
	Canceled  uint64 `json:"canceled"`
	Refused   uint64 `json:"refused"`
	Resumed   uint64 `json:"resumed"`
	// PrefillTokens were computed; PrefillWasted of them for sequences that did not complete.
	PrefillTokens uint64 `json:"prefill_tokens"`
	PrefillWasted uint64 `json:"prefill_wasted"`
	OutputTokens  uint64 `json:"output_tokens"`
}

// Engine is one stand-in. Run must be called for it to make progress.
type Engine struct {
	config Config
	// wake tells the step loop that there is work.
	wake chan struct{}

	mu        sync.Mutex
	sequences map[string]*sequence
	waiting   []*sequence
	running   []*sequence
	cache     *prefixCache
	events    eventLog
	loads     []loadSample
	models    map[string]bool
	fencing   uint64
	orders    []Order
	faults    Faults
	counters  Counters
	// runs counts how often each request id was started.
	runs map[string]int
}

// New returns an idle engine.
func New(config Config) *Engine {
	e := &Engine{
		config:    config,
		wake:      make(chan struct{}, 1),
		sequences: map[string]*sequence{},
		models:    map[string]bool{},
		runs:      map[string]int{},
		events:    eventLog{lag: config.CacheEventLag, gap: config.CacheEventGap},
	}
	e.cache = newPrefixCache(config.CacheBlocks, e.events.add)
	for _, model := range config.Models {
		e.models[model] = true
	}
	return e
}

// Handler serves the engine protocol and the control API.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.chat)
	mux.HandleFunc("GET /v1/streams/{id}", e.resume)
	mux.HandleFunc("DELETE /v1/streams/{id}", e.cancel)
	mux.HandleFunc("GET /v1/load", e.load)
	mux.HandleFunc("GET /v1/cache-events", e.cacheEvents)
	mux.HandleFunc("POST /v1/orders", e.order)
	e.routeControl(mux)
	return mux
}

// notify wakes the step loop; it never blocks.
func (e *Engine) notify() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}
