// Package engine is a stand-in for a language-model server. It has continuous
// batching with a step time that depends on batch size and prefill, a bounded
// prefix cache, no priorities, streams that can be resumed and canceled, and load
// and cache reports that are delayed.
package engine

import (
	"net/http"
	"sync"
	"time"
)

// Config holds the properties of one engine.
type Config struct {
	// Models are the names of the models loaded initially.
	Models []string
	// MaxBatch is the maximum number of sequences processed in one step.
	MaxBatch int
	// MaxWaiting is the number of admitted sequences that may wait for the
	// batch; further requests are refused before they start.
	MaxWaiting int
	// A decode step takes StepBase plus StepPerSequence for each decoding sequence.
	StepBase, StepPerSequence time.Duration
	// PrefillTokensPerSecond is the prefill rate; PrefillChunk is the maximum
	// number of prompt tokens per step.
	PrefillTokensPerSecond float64
	PrefillChunk           int
	// CacheBlocks is the capacity of the prefix cache in blocks of 16 tokens.
	CacheBlocks int
	// LoadLag and CacheEventLag are the delays of load reports and cache events.
	LoadLag, CacheEventLag time.Duration
	// CacheEventGap makes the engine lose every CacheEventGap-th cache event; 0 loses none.
	CacheEventGap int
	// CheckFencing makes the engine refuse orders with an outdated fencing number.
	CheckFencing bool
	// ReaderGrace is the time for which a sequence continues without a reader.
	ReaderGrace time.Duration
	// Retention is the time for which a finished stream can still be resumed.
	Retention time.Duration
}

// Defaults returns the configuration of a fast engine.
func Defaults() Config {
	return Config{
		MaxBatch: 32, MaxWaiting: 256,
		StepBase: 10 * time.Millisecond, StepPerSequence: 300 * time.Microsecond,
		PrefillTokensPerSecond: 20000, PrefillChunk: 512, CacheBlocks: 4096,
		LoadLag: time.Second, CacheEventLag: 500 * time.Millisecond, CacheEventGap: 10,
		ReaderGrace: 5 * time.Second, Retention: 30 * time.Second,
	}
}

// Faults are the injected faults, set through the control API.
type Faults struct {
	// Slowdown multiplies the step time; 0 means 1.
	Slowdown float64 `json:"slowdown"`
	// Stall stops all processing steps.
	Stall bool `json:"stall"`
	// Refuse makes the engine refuse new requests before they start.
	Refuse bool `json:"refuse"`
	// BreakStreams is the number of further answers whose connection is aborted
	// after BreakAfter tokens.
	BreakStreams int `json:"break_streams"`
	BreakAfter   int `json:"break_after"`
	// ForgetBroken makes the engine forget a stream that it aborted, so that the
	// stream can't be resumed.
	ForgetBroken bool `json:"forget_broken"`
	// MismatchAnswers is the number of further answers that carry the wrong request id.
	MismatchAnswers int `json:"mismatch_answers"`
}

// Counters count work since the process started.
type Counters struct {
	Started   uint64 `json:"started"`
	Completed uint64 `json:"completed"`
	Canceled  uint64 `json:"canceled"`
	Refused   uint64 `json:"refused"`
	Resumed   uint64 `json:"resumed"`
	// PrefillTokens counts computed prompt tokens; PrefillWasted counts those of
	// them that belong to sequences that did not complete.
	PrefillTokens uint64 `json:"prefill_tokens"`
	PrefillWasted uint64 `json:"prefill_wasted"`
	OutputTokens  uint64 `json:"output_tokens"`
}

// Engine is one stand-in engine. It processes requests only while Run is running.
type Engine struct {
	config Config
	// wake signals new work to the step loop.
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
	// runs counts the starts of each request id, including refused duplicates.
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
	e.registerControl(mux)
	return mux
}

// notify wakes the step loop; it never blocks.
func (e *Engine) notify() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}
