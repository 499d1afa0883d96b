package scheduler

import "time"

// speed is the time in nanoseconds that a request takes on an upstream: fixed,
// for each prompt token, and for each output token.
type speed struct {
	fixed, perPrompt, perOutput float64
}

func (s speed) serviceTime(prompt, output uint32) time.Duration {
	return time.Duration(s.fixed + float64(prompt)*s.perPrompt + float64(output)*s.perOutput)
}

// least takes the smaller value of each part.
func (s speed) least(other speed) speed {
	return speed{
		min(s.fixed, other.fixed), min(s.perPrompt, other.perPrompt), min(s.perOutput, other.perOutput),
	}
}

// add adds a speed with a weight.
func (s *speed) add(other speed, weight float64) {
	s.fixed += weight * other.fixed
	s.perPrompt += weight * other.perPrompt
	s.perOutput += weight * other.perOutput
}

func (u *upstream) speedAt(inFlight uint32) speed {
	if u.Service {
		return speed{fixed: u.slotTime}
	}
	return speed{perPrompt: u.prefillPerToken, perOutput: u.expectedInterToken(inFlight)}
}

// finishCost estimates the time in nanoseconds until a request would finish on
// an upstream: prompts that wait there, its own prompt without the probably
// cached part, and its output.
func (u *upstream) finishCost(r *request, cached int64) float64 {
	if u.Service {
		return u.slotTime * float64(u.inFlight+1) / max(1, u.limit)
	}
	prefill := float64(u.pendingPrefill+max(0, int64(r.Prompt)-cached)) * u.prefillPerToken
	return prefill + float64(r.OutMean)*u.expectedInterToken(u.inFlight+1)
}

// suits reports whether an upstream may read the prompt of a request without
// making its streams pause for longer than the target. Engines are only spared
// while the class has others that can, and until the request has waited for a
// part of its time: a late answer is better than none.
func (p *Pool) suits(now time.Duration, u *upstream, r *request) bool {
	if p.holdsGap(u) || !p.classes[r.Class].holdsGap || now >= r.anyFrom {
		return true
	}
	prefill := float64(u.pendingPrefill+int64(r.Prompt)) * u.prefillPerToken
	return prefill <= float64(p.config.TargetInterToken)-u.expectedInterToken(u.inFlight+1)
}

// holdsGap reports whether an engine holds the target between tokens also while
// it reads a prompt.
func (p *Pool) holdsGap(u *upstream) bool {
	return u.Service || u.expectedInterToken(uint32(u.limit))*p.config.PromptSlowdown <= float64(p.config.TargetInterToken)
}

// place returns the free upstream with the least expected finish time, or nil
// if no free one suits the request. Those that fail many requests come last.
// Equal times go to the upstream with the smaller part of its limit in use.
func (p *Pool) place(now time.Duration, r *request) *upstream {
	hints := p.hints.of(r)
	var best *upstream
	var bestCost, bestLoad float64
	for _, index := range p.classes[r.Class].upstreams {
		u := p.upstreams[index]
		if !u.free || !p.suits(now, u, r) {
			continue
		}
		cost := u.finishCost(r, hints.cached(index, r))
		load := float64(u.inFlight) / u.limit
		switch {
		case best == nil:
		case best.failing != u.failing:
			if u.failing {
				continue
			}
		case cost > bestCost || cost == bestCost && load >= bestLoad:
			continue
		}
		best, bestCost, bestLoad = u, cost, load
	}
	return best
}

const (
	// hintSets times hintWays bounds the prefixes that are remembered.
	hintSets = 2048
	hintWays = 4
)

// hint says that an upstream probably has a prefix in its cache.
type hint struct {
	prefix   uint64
	upstream int32
	// tokens is the cached length that was seen, 0 if not known yet.
	tokens uint32
	used   uint64
}

// hintTable is a bounded set of hints, evicted least recently used within sets.
type hintTable struct {
	sets  [][hintWays]hint
	seed  uint64
	clock uint64
}

func newHintTable(seed uint64) hintTable {
	return hintTable{sets: make([][hintWays]hint, hintSets), seed: seed}
}

// hintSet is the set that holds all hints of one prefix.
type hintSet struct {
	prefix uint64
	ways   *[hintWays]hint
}

func (t *hintTable) lookup(prefix uint64) hintSet {
	if prefix == 0 {
		return hintSet{}
	}
	return hintSet{prefix, &t.sets[mix(prefix^t.seed)%hintSets]}
}

// tokens returns the length that is probably cached at an upstream. Until a
// length was seen, half of the prompt is assumed.
func (s hintSet) tokens(upstream uint32, prompt uint32) int64 {
	switch h := s.find(upstream); {
	case h == nil:
		return 0
	case h.tokens == 0:
		return int64(prompt / 2)
	default:
		return int64(min(h.tokens, prompt))
	}
}

// promptHints are the hints on all prefixes of one prompt.
type promptHints struct {
	prefix hintSet
	shared [MaxSharedParts]hintSet
}

func (t *hintTable) of(r *request) promptHints {
	h := promptHints{prefix: t.lookup(r.Prefix)}
	for i, part := range r.Shared {
		h.shared[i] = t.lookup(part.Digest)
	}
	return h
}

// cached returns how many tokens of the prompt an upstream probably has.
func (h *promptHints) cached(upstream uint32, r *request) int64 {
	most := h.prefix.tokens(upstream, r.Prompt)
	for i, part := range r.Shared {
		if h.shared[i].find(upstream) != nil {
			most = max(most, int64(min(part.Tokens, r.Prompt)))
		}
	}
	return most
}

// find returns the hint on the prefix at an upstream, or nil.
func (s hintSet) find(upstream uint32) *hint {
	if s.ways == nil {
		return nil
	}
	for i := range s.ways {
		if h := &s.ways[i]; h.prefix == s.prefix && h.upstream == int32(upstream) {
			return h
		}
	}
	return nil
}

// learnPrompt records that an upstream gets a prompt.
func (t *hintTable) learnPrompt(r *request, upstream int) {
	t.learn(r.Prefix, upstream, 0)
	for _, part := range r.Shared {
		t.learn(part.Digest, upstream, part.Tokens)
	}
}

// learn records a prefix at an upstream; tokens is 0 if the length is not known.
func (t *hintTable) learn(prefix uint64, upstream int, tokens uint32) {
	set := t.lookup(prefix)
	if set.ways == nil {
		return
	}
	t.clock++
	if h := set.find(uint32(upstream)); h != nil {
		h.used = t.clock
		if tokens > 0 {
			h.tokens = tokens
		}
		return
	}
	victim := &set.ways[0]
	for i := range set.ways {
		if h := &set.ways[i]; h.used < victim.used {
			victim = h
		}
	}
	*victim = hint{prefix, int32(upstream), tokens, t.clock}
}

func (t *hintTable) forget(prefix uint64, upstream int) {
	if h := t.lookup(prefix).find(uint32(upstream)); h != nil {
		*h = hint{}
	}
}

// remap follows upstreams to their new numbers and drops those that are gone.
func (t *hintTable) remap(old, current []*upstream) {
	if len(old) == 0 {
		return
	}
	for s := range t.sets {
		for w := range t.sets[s] {
			h := &t.sets[s][w]
			if h.prefix == 0 {
				continue
			}
			u := old[h.upstream]
			if u.index < len(current) && current[u.index] == u {
				h.upstream = int32(u.index)
			} else {
				*h = hint{}
			}
		}
	}
}

// CacheEvent takes in a cache event of an upstream: a prefix was cached or
// evicted there. Events are hints; they may be late or missing.
func (p *Pool) CacheEvent(upstream uint32, prefix uint64, cached bool) {
	if int(upstream) >= len(p.upstreams) {
		return
	}
	if cached {
		p.hints.learn(prefix, int(upstream), 0)
	} else {
		p.hints.forget(prefix, int(upstream))
	}
}
