package engine

import (
	"context"
	"slices"
	"time"
)

// idlePollInterval is the interval at which an idle or stalled engine looks for work
// and for streams without readers.
const idlePollInterval = 50 * time.Millisecond

// Run processes batches until the context ends.
func (e *Engine) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		duration, work := e.beginStep(time.Now())
		if work {
			timer.Reset(duration)
			select {
			case <-ctx.Done():
				return
			case <-timer.C:
			}
			e.endStep(time.Now())
			continue
		}
		timer.Reset(idlePollInterval)
		select {
		case <-ctx.Done():
			return
		case <-e.wake:
		case <-timer.C:
		}
	}
}

// beginStep adds waiting sequences to the batch and returns the duration of the
// step; false if there is nothing to process.
func (e *Engine) beginStep(now time.Time) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sweep(now)
	for len(e.waiting) > 0 && len(e.running) < e.config.MaxBatch {
		e.running = append(e.running, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	e.sampleLoad(now)
	if e.faults.Stall || len(e.running) == 0 {
		return 0, false
	}
	decoding, chunk := 0, 0
	for _, s := range e.running {
		if s.prefilled >= s.promptTokens {
			decoding++
			continue
		}
		e.lookupCache(s)
		chunk += min(s.promptTokens-s.prefilled, e.config.PrefillChunk-chunk)
	}
	duration := e.config.StepBase + time.Duration(decoding)*e.config.StepPerSequence
	duration += time.Duration(float64(chunk) / e.config.PrefillTokensPerSecond * float64(time.Second))
	if e.faults.Slowdown > 0 {
		duration = time.Duration(float64(duration) * e.faults.Slowdown)
	}
	return duration, true
}

// lookupCache uses the cached prefix, once, before the first prefill chunk. The
// last prompt token is always computed, since it yields the first output token.
func (e *Engine) lookupCache(s *sequence) {
	if s.prefilled > 0 {
		return
	}
	s.cached = min(e.cache.match(s.prompt)*blockTokens, s.promptTokens-1)
	s.prefilled = s.cached
}

// endStep produces the tokens of the step and removes finished sequences.
func (e *Engine) endStep(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	budget := e.config.PrefillChunk
	for _, s := range e.running {
		if s.canceled {
			continue
		}
		if s.prefilled < s.promptTokens {
			chunk := min(s.promptTokens-s.prefilled, budget)
			budget -= chunk
			s.prefilled += chunk
			e.counters.PrefillTokens += uint64(chunk)
			if s.prefilled < s.promptTokens {
				continue
			}
			e.cache.insert(now, s.prompt)
		}
		e.produce(now, s)
	}
	e.running = slices.DeleteFunc(e.running, func(s *sequence) bool { return s.canceled || s.finished() })
}

// produce adds one output token.
func (e *Engine) produce(now time.Time, s *sequence) {
	s.produced++
	e.counters.OutputTokens++
	if s.finished() {
		e.counters.Completed++
		s.idleSince = now
	}
	s.notify()
}

// sweep cancels sequences that had no reader for the grace period and forgets
// finished ones whose time for resuming is over.
func (e *Engine) sweep(now time.Time) {
	for id, s := range e.sequences {
		idle := now.Sub(s.idleSince)
		switch {
		case s.readers > 0:
		case s.finished() && idle > e.config.Retention:
			delete(e.sequences, id)
		case !s.finished() && idle > e.config.ReaderGrace:
			e.cancelAndForget(s)
		}
	}
}

// cancelAndForget cancels a sequence and forgets it; the caller holds the lock.
func (e *Engine) cancelAndForget(s *sequence) {
	delete(e.sequences, s.id)
	if s.finished() || s.canceled {
		return
	}
	s.canceled = true
	e.counters.Canceled++
	e.counters.PrefillWasted += uint64(max(0, s.prefilled-s.cached))
	e.waiting = slices.DeleteFunc(e.waiting, func(other *sequence) bool { return other == s })
	s.notify()
}

// loadSample is the load at one time.
type loadSample struct {
	at               time.Time
	running, waiting int
}

// sampleLoad records the load for delayed reports; the caller holds the lock.
func (e *Engine) sampleLoad(now time.Time) {
	last := len(e.loads) - 1
	if last >= 0 && now.Sub(e.loads[last].at) < idlePollInterval {
		return
	}
	e.loads = append(e.loads, loadSample{at: now, running: len(e.running), waiting: len(e.waiting)})
	for len(e.loads) > 1 && now.Sub(e.loads[1].at) > e.config.LoadLag {
		e.loads = e.loads[1:]
	}
}
