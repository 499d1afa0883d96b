package simtest

import (
	"time"

	"github.com/citrongate/citrongate/pkg/scheduler"
)

// EngineConfig sets the step costs and the capacity of a fake engine.
type EngineConfig struct {
	Name string
	// The duration of a batch step is StepBase + StepPerSequence for each decoding
	// sequence + PrefillPerToken for each prompt token processed in the step.
	StepBase, StepPerSequence, PrefillPerToken time.Duration
	// StepPerContextToken is added for each context token of the decoding sequences.
	StepPerContextToken time.Duration
	// GrowingMemory allocates KV memory as a sequence grows. When the memory is
	// exhausted, the newest sequence is preempted: it returns to the queue and is
	// computed again from the start. Otherwise the memory for prompt and output is
	// reserved at admission.
	GrowingMemory bool
	// ChunkTokens bounds the prompt tokens processed in one step.
	ChunkTokens uint32
	// MemoryTokens bounds the KV memory of all admitted sequences; a sequence that
	// runs alone may exceed it.
	MemoryTokens uint32
	// CacheTokens bounds the prefix cache, which is separate from MemoryTokens.
	CacheTokens uint32
	// MaxSequences is the largest number of sequences in the batch.
	MaxSequences int
	// LoadInterval is the interval between load reports; 0 disables them.
	LoadInterval time.Duration
}

// EngineResult is how a stream at a fake engine ended.
type EngineResult uint8

// Results of a stream.
const (
	StreamComplete EngineResult = iota + 1
	// StreamBroken means that the engine was killed before the stream completed.
	StreamBroken
)

// EngineRequest is one stream at a fake engine. The callbacks may be nil and run
// on the event loop.
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

// LoadReport is the load that an engine publishes.
type LoadReport struct {
	Running, Waiting int
	SampledAt        time.Duration
}

// sequence is a stream that waits or runs at an engine.
type sequence struct {
	EngineRequest
	prefillLeft uint32 // prompt tokens not yet processed
	chunk       uint32 // prompt tokens processed in the current step
	cached      uint32 // prompt tokens taken from the prefix cache
	produced    uint32 // output tokens generated
	prefilled   uint32 // prompt tokens processed
	// alreadySent is the number of tokens that were sent before the sequence was
	// preempted; they are generated again but not sent again.
	alreadySent uint32
	removed     bool
}

// Engine is a fake model engine with continuous batching and chunked prefill.
// It admits requests in order of arrival, without priorities.
type Engine struct {
	EngineConfig
	// Received counts the requests received for each id.
	Received map[scheduler.GlobalID]int
	// PrefillDone counts prompt tokens processed; tokens from the cache are not counted.
	PrefillDone uint64
	// OutputDone counts tokens generated.
	OutputDone uint64
	// PrefillBroken counts the prompt tokens that were processed in vain for streams
	// that Kill broke or that were preempted. Preempted counts preemptions.
	PrefillBroken uint64
	Preempted     int

	loop       *Loop
	waiting    []*sequence
	running    []*sequence
	memoryUsed uint32
	cache      prefixCache
	stepping   bool // a batch step is in progress
	dead       bool
	generation int // counts kills; a step from before a kill has no effect
	slowdown   float64
	load       LoadReport
}

// NewEngine returns an idle engine on the loop.
func NewEngine(loop *Loop, config EngineConfig) *Engine {
	e := &Engine{
		EngineConfig: config,
		Received:     map[scheduler.GlobalID]int{},
		loop:         loop,
		slowdown:     1,
		cache:        prefixCache{capacity: config.CacheTokens},
	}
	if config.LoadInterval > 0 {
		loop.Every(config.LoadInterval, func() bool { e.sampleLoad(); return true })
	}
	return e
}

// Submit adds a stream. It returns false, and has no effect, if the engine was
// killed and refuses connections.
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
			e.memoryUsed -= e.heldMemory(s)
			s.removed = true
			return s.prefilled
		}
	}
	return 0
}

// SetSlowdown multiplies the duration of later steps; 1 is full speed.
func (e *Engine) SetSlowdown(factor float64) { e.slowdown = factor }

// Kill breaks all streams and refuses new ones until Restart.
func (e *Engine) Kill() {
	broken := append(append([]*sequence(nil), e.running...), e.waiting...)
	e.running, e.waiting, e.memoryUsed = nil, nil, 0
	e.dead, e.stepping = true, false
	e.generation++
	e.cache = prefixCache{capacity: e.CacheTokens}
	for _, s := range broken {
		s.removed = true
		e.PrefillBroken += uint64(s.prefilled)
		if s.OnDone != nil {
			s.OnDone(StreamBroken, s.produced, s.cached)
		}
	}
}

// Restart makes a killed engine accept streams again, with an empty cache.
func (e *Engine) Restart() { e.dead = false }

// Alive reports whether the engine accepts connections.
func (e *Engine) Alive() bool { return !e.dead }

// Load returns the last published load report, which is up to LoadInterval old.
func (e *Engine) Load() LoadReport { return e.load }

// InProgress returns the current number of streams, running and waiting; tests
// use it where Load would be out of date.
func (e *Engine) InProgress() int { return len(e.running) + len(e.waiting) }

func (e *Engine) sampleLoad() {
	e.load = LoadReport{Running: len(e.running), Waiting: len(e.waiting), SampledAt: e.loop.Now()}
}

// admit moves waiting streams into the batch while memory and batch size allow it.
// An empty batch takes the first stream whatever its size, so that a stream larger
// than the memory does not block the queue for ever.
func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.MaxSequences {
		next := e.waiting[0]
		required := e.reservedMemory(next)
		if e.memoryUsed+required > e.MemoryTokens && len(e.running) > 0 {
			return
		}
		e.memoryUsed += required
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
	e.loop.After(time.Duration(float64(duration)*e.slowdown), func() {
		if e.generation == generation {
			e.stepping = false
			e.finishStep()
			e.startStep()
		}
	})
}

// reservedMemory returns the KV memory, in tokens, that a sequence takes at admission.
func (e *Engine) reservedMemory(s *sequence) uint32 {
	if e.GrowingMemory {
		return s.Prompt
	}
	return s.Prompt + s.Output
}

// heldMemory returns the KV memory, in tokens, that an admitted sequence occupies.
func (e *Engine) heldMemory(s *sequence) uint32 {
	if e.GrowingMemory {
		return s.Prompt + s.produced
	}
	return s.Prompt + s.Output
}

// preemptNewest returns the newest sequences to the queue until the memory fits one
// more token for each remaining sequence.
func (e *Engine) preemptNewest() {
	for e.GrowingMemory && len(e.running) > 1 && e.memoryUsed+uint32(len(e.running)) > e.MemoryTokens {
		newest := e.running[len(e.running)-1]
		e.running = e.running[:len(e.running)-1]
		e.memoryUsed -= e.heldMemory(newest)
		e.Preempted++
		e.PrefillBroken += uint64(newest.prefilled)
		requeued := &sequence{EngineRequest: newest.EngineRequest, alreadySent: max(newest.produced, newest.alreadySent)}
		newest.removed = true
		e.waiting = append([]*sequence{requeued}, e.waiting...)
	}
}

func (e *Engine) finishStep() {
	e.preemptNewest()
	stepped := append([]*sequence(nil), e.running...)
	for _, s := range stepped {
		if s.removed || s.chunk == 0 && s.prefillLeft > 0 {
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
	s.prefilled += s.chunk
	e.PrefillDone += uint64(s.chunk)
	s.chunk = 0
	if s.prefillLeft == 0 && s.Prefix != 0 {
		e.cache.insert(s.Prefix, s.PrefixTokens)
	}
}

// emit generates one token of a stream whose prefill is complete, and ends the
// stream at its last token.
func (e *Engine) emit(s *sequence) {
	s.produced++
	e.OutputDone++
	if e.GrowingMemory {
		e.memoryUsed++
	}
	if s.produced <= s.alreadySent {
		return
	}
	if s.produced == 1 && s.OnFirstToken != nil {
		s.OnFirstToken()
	}
	if s.OnToken != nil && !s.removed {
		s.OnToken(s.produced)
	}
	if s.removed || s.produced < s.Output || !e.remove(s) {
		return
	}
	if s.OnDone != nil {
		s.OnDone(StreamComplete, s.produced, s.cached)
	}
}

// remove takes a stream out of the batch. It returns false if a callback has
// already canceled the stream.
func (e *Engine) remove(s *sequence) bool {
	for i, other := range e.running {
		if other == s {
			e.running = append(e.running[:i], e.running[i+1:]...)
			e.memoryUsed -= e.heldMemory(s)
			return true
		}
	}
	return false
}

// prefixCache is an LRU cache of prompt prefixes, ordered from the least to the
// most recently used.
type prefixCache struct {
	capacity, used uint32
	entries        []cachedPrefix
}

type cachedPrefix struct {
	prefix uint64
	tokens uint32
}

// touch marks a prefix as the most recently used and reports whether it is cached.
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
