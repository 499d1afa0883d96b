package simtest

import (
	"time"

	"github.com/citrongate/citrongate/pkg/scheduler"
)

// EngineConfig sets the speed and size of a fake engine.
type EngineConfig struct {
	Name string
	// A batch step lasts StepBase + StepPerSequence for each sequence that
	// decodes + PrefillPerToken for each prompt token processed in the step.
	StepBase, StepPerSequence, PrefillPerToken time.Duration
	// StepPerContextToken adds to that for each token of the contexts that decode.
	StepPerContextToken time.Duration
	// GrowingMemory counts the memory of a sequence as it grows. When it runs out
	// the newest sequence is put back and starts again. Without it the whole
	// length is reserved at admission.
	GrowingMemory bool
	// ChunkTokens bounds the prompt tokens processed in one step.
	ChunkTokens uint32
	// MemoryTokens bounds the KV memory of all admitted sequences.
	MemoryTokens uint32
	// CacheTokens bounds the prefix cache, which is separate from MemoryTokens.
	CacheTokens uint32
	// MaxSequences bounds the batch.
	MaxSequences int
	// LoadInterval is the age that a load report reaches before it is replaced.
	LoadInterval time.Duration
}

// EngineResult says how a stream at a fake engine ended.
type EngineResult uint8

// Results of a stream.
const (
	StreamComplete EngineResult = iota + 1
	// StreamBroken means that the engine died during the stream.
	StreamBroken
)

// EngineRequest is one stream at a fake engine. Callbacks may be nil. They run
// inside the event loop.
type EngineRequest struct {
	ID scheduler.GlobalID
	// Prompt and Output are the exact lengths in tokens.
	Prompt, Output uint32
	// Prefix identifies the first PrefixTokens tokens of the prompt; 0 if none.
	Prefix       uint64
	PrefixTokens uint32
	OnFirstToken func()
	OnToken      func(total uint32)
	OnDone       func(result EngineResult, outputTokens, cachedPrompt uint32)
}

// LoadReport is what an engine publishes about itself.
type LoadReport struct {
	Running, Waiting int
	SampledAt        time.Duration
}

type sequence struct {
	EngineRequest
	prefillLeft uint32
	chunk       uint32
	cached      uint32
	produced    uint32
	computed    uint32
	// skip is the number of tokens that were sent before the sequence was put back.
	skip uint32
	gone bool
}

// Engine is a fake model engine with continuous batching and chunked prefill.
// It admits requests first come, first served and knows no priorities.
type Engine struct {
	EngineConfig
	// Received counts the requests received for each id.
	Received map[scheduler.GlobalID]int
	// PrefillDone counts prompt tokens processed; cache hits are not counted.
	PrefillDone uint64
	// OutputDone counts tokens generated.
	OutputDone uint64
	// PrefillBroken counts prompt tokens processed for streams that Kill broke or
	// that were put back, Preempted how often one was.
	PrefillBroken uint64
	Preempted     int

	loop       *Loop
	waiting    []*sequence
	running    []*sequence
	memory     uint32
	cache      prefixCache
	stepping   bool
	dead       bool
	generation int
	slow       float64
	load       LoadReport
}

// NewEngine returns an idle engine on the loop.
func NewEngine(loop *Loop, config EngineConfig) *Engine {
	e := &Engine{
		EngineConfig: config,
		Received:     map[scheduler.GlobalID]int{},
		loop:         loop,
		slow:         1,
		cache:        prefixCache{capacity: config.CacheTokens},
	}
	if config.LoadInterval > 0 {
		loop.Every(config.LoadInterval, func() bool { e.sampleLoad(); return true })
	}
	return e
}

// Submit adds a stream. It returns false, and has no effect, if the engine
// refuses connections because it is dead.
func (e *Engine) Submit(request EngineRequest) bool {
	if e.dead {
		return false
	}
	e.Received[request.ID]++
	e.waiting = append(e.waiting, &sequence{EngineRequest: request})
	e.startStep()
	return true
}

// Cancel removes a stream and calls none of its callbacks. It returns the
// number of prompt tokens that were processed for it.
func (e *Engine) Cancel(id scheduler.GlobalID) (prefillDone uint32) {
	for i, s := range e.waiting {
		if s.ID == id {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			return 0
		}
	}
	for i, s := range e.running {
		if s.ID == id {
			e.running = append(e.running[:i], e.running[i+1:]...)
			e.memory -= e.held(s)
			s.gone = true
			return s.computed
		}
	}
	return 0
}

// SetSlowdown multiplies the duration of later steps; 1 is full speed.
func (e *Engine) SetSlowdown(factor float64) { e.slow = factor }

// Kill breaks all streams and refuses new ones until Restart.
func (e *Engine) Kill() {
	broken := append(append([]*sequence(nil), e.running...), e.waiting...)
	e.running, e.waiting, e.memory = nil, nil, 0
	e.dead, e.stepping = true, false
	e.generation++
	e.cache = prefixCache{capacity: e.CacheTokens}
	for _, s := range broken {
		s.gone = true
		e.PrefillBroken += uint64(s.computed)
		if s.OnDone != nil {
			s.OnDone(StreamBroken, s.produced, s.cached)
		}
	}
}

// Restart makes a killed engine accept streams again, with an empty cache.
func (e *Engine) Restart() { e.dead = false }

// Alive reports whether the engine accepts connections.
func (e *Engine) Alive() bool { return !e.dead }

// Load returns the last published load report, which is out of date by up to
// LoadInterval.
func (e *Engine) Load() LoadReport { return e.load }

// InProgress returns the exact number of streams, for checks in tests.
func (e *Engine) InProgress() int { return len(e.running) + len(e.waiting) }

func (e *Engine) sampleLoad() {
	e.load = LoadReport{Running: len(e.running), Waiting: len(e.waiting), SampledAt: e.loop.Now()}
}

// admit moves waiting streams into the batch while memory and batch size allow.
func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.MaxSequences {
		next := e.waiting[0]
		need := e.reserved(next)
		if e.memory+need > e.MemoryTokens && len(e.running) > 0 {
			return
		}
		e.memory += need
		e.waiting = e.waiting[1:]
		if next.Prefix != 0 && e.cache.touch(next.Prefix) {
			next.cached = min(next.PrefixTokens, next.Prompt-min(1, next.Prompt))
		}
		next.prefillLeft = next.Prompt - next.cached
		e.running = append(e.running, next)
	}
}

func (e *Engine) startStep() {
	if e.stepping || e.dead {
		return
	}
	e.admit()
	if len(e.running) == 0 {
		return
	}
	budget, decoding, context := e.ChunkTokens, 0, uint32(0)
	for _, s := range e.running {
		s.chunk = min(s.prefillLeft, budget)
		budget -= s.chunk
		if s.prefillLeft == 0 {
			decoding++
			context += s.Prompt + s.produced
		}
	}
	duration := e.StepBase + time.Duration(decoding)*e.StepPerSequence + time.Duration(context)*e.StepPerContextToken +
		time.Duration(e.ChunkTokens-budget)*e.PrefillPerToken
	e.stepping = true
	generation := e.generation
	e.loop.After(time.Duration(float64(duration)*e.slow), func() {
		if e.generation == generation {
			e.stepping = false
			e.finishStep()
			e.startStep()
		}
	})
}

// reserved is the memory that a sequence takes at admission, held what it has
// now, in tokens.
func (e *Engine) reserved(s *sequence) uint32 {
	if e.GrowingMemory {
		return s.Prompt
	}
	return s.Prompt + s.Output
}

func (e *Engine) held(s *sequence) uint32 {
	if e.GrowingMemory {
		return s.Prompt + s.produced
	}
	return s.Prompt + s.Output
}

// makeRoom puts back the newest sequences until one token for each of the
// others fits.
func (e *Engine) makeRoom() {
	for e.GrowingMemory && len(e.running) > 1 && e.memory+uint32(len(e.running)) > e.MemoryTokens {
		newest := e.running[len(e.running)-1]
		e.running = e.running[:len(e.running)-1]
		e.memory -= e.held(newest)
		e.Preempted++
		e.PrefillBroken += uint64(newest.computed)
		back := &sequence{EngineRequest: newest.EngineRequest, skip: max(newest.produced, newest.skip)}
		newest.gone = true
		e.waiting = append([]*sequence{back}, e.waiting...)
	}
}

func (e *Engine) finishStep() {
	e.makeRoom()
	stepped := append([]*sequence(nil), e.running...)
	for _, s := range stepped {
		if s.gone || s.chunk == 0 && s.prefillLeft > 0 {
			continue
		}
		if s.prefillLeft > 0 {
			e.prefill(s)
			if s.prefillLeft > 0 {
				continue
			}
		}
		e.emit(s)
		if e.dead {
			return
		}
	}
}

func (e *Engine) prefill(s *sequence) {
	s.prefillLeft -= s.chunk
	s.computed += s.chunk
	e.PrefillDone += uint64(s.chunk)
	s.chunk = 0
	if s.prefillLeft == 0 && s.Prefix != 0 {
		e.cache.insert(s.Prefix, s.PrefixTokens)
	}
}

// emit produces one token of a stream whose prefill is complete.
func (e *Engine) emit(s *sequence) {
	s.produced++
	e.OutputDone++
	if e.GrowingMemory {
		e.memory++
	}
	if s.produced <= s.skip {
		return
	}
	if s.produced == 1 && s.OnFirstToken != nil {
		s.OnFirstToken()
	}
	if s.OnToken != nil && !s.gone {
		s.OnToken(s.produced)
	}
	if s.gone || s.produced < s.Output || !e.remove(s) {
		return
	}
	if s.OnDone != nil {
		s.OnDone(StreamComplete, s.produced, s.cached)
	}
}

// remove takes a stream out of the batch. It returns false if a callback has
// canceled it already.
func (e *Engine) remove(s *sequence) bool {
	for i, other := range e.running {
		if other == s {
			e.running = append(e.running[:i], e.running[i+1:]...)
			e.memory -= e.held(s)
			return true
		}
	}
	return false
}

// prefixCache is a small least-recently-used set; the last entry is the most recent.
type prefixCache struct {
	capacity, used uint32
	entries        []cachedPrefix
}

type cachedPrefix struct {
	prefix uint64
	tokens uint32
}

func (c *prefixCache) touch(prefix uint64) bool {
	for i, entry := range c.entries {
		if entry.prefix == prefix {
			c.entries = append(append(c.entries[:i], c.entries[i+1:]...), entry)
			return true
		}
	}
	return false
}

func (c *prefixCache) insert(prefix uint64, tokens uint32) {
	if tokens > c.capacity || c.touch(prefix) {
		return
	}
	c.entries = append(c.entries, cachedPrefix{prefix, tokens})
	c.used += tokens
	for c.used > c.capacity {
		c.used -= c.entries[0].tokens
		c.entries = c.entries[1:]
	}
}
