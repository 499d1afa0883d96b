package scheduler

import "time"

// speed is the time in nanoseconds that a request takes on an upstream: a fixed
// time, and a time for each prompt token and each output token.
type speed struct {
	fixed, perPrompt, perOutput float64
}

func (s speed) serviceTime(prompt, output uint32) time.Duration {
	return time.Duration(s.fixed + float64(prompt)*s.perPrompt + float64(output)*s.perOutput)
}

// minimum takes the smaller value of each component.
func (s speed) minimum(other speed) speed {
	return speed{
		min(s.fixed, other.fixed), min(s.perPrompt, other.perPrompt), min(s.perOutput, other.perOutput),
	}
}

// add adds another speed with a weight.
func (s *speed) add(other speed, weight float64) {
	s.fixed += weight * other.fixed
	s.perPrompt += weight * other.perPrompt
	s.perOutput += weight * other.perOutput
}

func (u *upstream) speedAt(now time.Duration, inFlight uint32) speed {
	usual := u.slowdown.usual(now)
	if u.Service {
		return speed{fixed: usual * u.slotTime}
	}
	return speed{
		fixed: usual * u.prefill.fixed, perPrompt: usual * u.prefill.perToken,
		perOutput: usual * u.expectedInterToken(inFlight),
	}
}

// finishTime estimates the time in nanoseconds until a request would finish on
// an upstream: prefill of the prompts that wait there and of its own prompt
// without the probably cached tokens, and decoding of its output. All of it takes
// longer while the upstream reports that it is slowed down.
func (u *upstream) finishTime(now time.Duration, r *request, cached int64) float64 {
	slowed := u.slowdown.expected(now)
	if u.Service {
		return slowed * u.slotTime * float64(u.inFlight+1) / max(1, u.limit)
	}
	firstToken := u.prefill.firstToken(u.pendingPrefill + max(0, int64(r.PromptLength)-cached))
	return slowed * (firstToken + float64(r.MeanOutput)*u.expectedInterToken(u.inFlight+1))
}

// prefillFits reports whether an upstream may prefill the prompt of a request
// without pausing its streams for longer than the inter-token target. Engines
// are avoided only while the class has others that meet the target, and until
// the request has waited for selectiveFraction of the time until its latest
// start: a late answer is better than none.
func (p *Pool) prefillFits(now time.Duration, u *upstream, r *request) bool {
	if p.meetsInterToken(now, u) || !p.classes[r.Class].meetsInterToken || now >= r.anyUpstreamFrom {
		return true
	}
	prefill := u.prefill.prefill(u.pendingPrefill + int64(r.PromptLength))
	pause := u.slowdown.usual(now) * (prefill + u.expectedInterToken(u.inFlight+1))
	return pause <= float64(p.config.TargetInterToken)
}

// meetsInterToken reports whether an engine meets the inter-token target even
// while it prefills a prompt.
func (p *Pool) meetsInterToken(now time.Duration, u *upstream) bool {
	if u.Service {
		return true
	}
	interToken := u.slowdown.usual(now) * u.expectedInterToken(uint32(u.limit)) * p.config.PromptSlowdown
	return interToken <= float64(p.config.TargetInterToken)
}

// chooseUpstream returns the free upstream with the least expected finish time,
// or nil if the prompt fits no free one or all hold its entry off. Failing upstreams come last. Equal times
// go to the upstream with the smaller fraction of its limit in use. Limited upstreams come
// first, failing or not: their allowance is meant to be used, to find out how they behave.
func (p *Pool) chooseUpstream(now time.Duration, r *request) *upstream {
	hints := p.hints.forRequest(r)
	var best *upstream
	var bestTime, bestLoad float64
	for _, index := range p.classes[r.Class].upstreams {
		u := p.upstreams[index]
		if !u.free || u.holdsOff(r.ID.Entry) > now || !p.prefillFits(now, u, r) {
			continue
		}
		finish := u.finishTime(now, r, hints.cachedTokens(index, r))
		load := float64(u.inFlight) / u.limit
		switch {
		case best == nil:
		case best.limited() != u.limited():
			if best.limited() {
				continue
			}
		case !u.limited() && best.failing != u.failing:
			if u.failing {
				continue
			}
		case finish > bestTime || finish == bestTime && load >= bestLoad:
			continue
		}
		best, bestTime, bestLoad = u, finish, load
	}
	return best
}

const (
	// hintSets times hintWays bounds the number of hints.
	hintSets = 2048
	hintWays = 4
)

// hint says that an upstream probably has a prefix in its cache.
type hint struct {
	prefix   uint64
	upstream int32
	// cachedLength is the cached number of tokens that was observed, 0 if not known yet.
	cachedLength uint32
	used         uint64
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

// hintSet is the set that contains all hints on one prefix.
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

// cachedLength returns the number of tokens that are probably cached at an
// upstream. Until a cached length is observed, half of the prompt is assumed.
func (s hintSet) cachedLength(upstream uint32, prompt uint32) int64 {
	switch h := s.find(upstream); {
	case h == nil:
		return 0
	case h.cachedLength == 0:
		return int64(prompt / 2)
	default:
		return int64(min(h.cachedLength, prompt))
	}
}

// promptHints are the hints on all prefixes of one prompt.
type promptHints struct {
	prefix hintSet
	shared [MaxSharedPrefixes]hintSet
}

func (t *hintTable) forRequest(r *request) promptHints {
	h := promptHints{prefix: t.lookup(r.Prefix)}
	for i, sharedPrefix := range r.Shared {
		h.shared[i] = t.lookup(sharedPrefix.Digest)
	}
	return h
}

// cachedTokens returns how many tokens of the prompt an upstream probably has cached.
func (h *promptHints) cachedTokens(upstream uint32, r *request) int64 {
	longest := h.prefix.cachedLength(upstream, r.PromptLength)
	for i, sharedPrefix := range r.Shared {
		if h.shared[i].find(upstream) != nil {
			longest = max(longest, int64(min(sharedPrefix.Tokens, r.PromptLength)))
		}
	}
	return longest
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

// learnPrompt records that an upstream receives a prompt.
func (t *hintTable) learnPrompt(r *request, upstream int) {
	t.learn(r.Prefix, upstream, 0)
	for _, sharedPrefix := range r.Shared {
		t.learn(sharedPrefix.Digest, upstream, sharedPrefix.Tokens)
	}
}

// learn records a prefix at an upstream; cachedLength is 0 if it is not known.
func (t *hintTable) learn(prefix uint64, upstream int, cachedLength uint32) {
	set := t.lookup(prefix)
	if set.ways == nil {
		return
	}
	t.clock++
	if h := set.find(uint32(upstream)); h != nil {
		h.used = t.clock
		if cachedLength > 0 {
			h.cachedLength = cachedLength
		}
		return
	}
	victim := &set.ways[0]
	for i := range set.ways {
		if h := &set.ways[i]; h.used < victim.used {
			victim = h
		}
	}
	*victim = hint{prefix, int32(upstream), cachedLength, t.clock}
}

func (t *hintTable) forget(prefix uint64, upstream int) {
	if h := t.lookup(prefix).find(uint32(upstream)); h != nil {
		*h = hint{}
	}
}

// remap translates upstream indices and drops the hints on removed upstreams.
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

// CacheEvent records a cache event of an upstream: a prefix was cached or
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
