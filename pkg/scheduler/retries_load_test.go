package scheduler

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	loadTick = time.Millisecond
	// loadTail is the last part of a load, whose callers are not counted.
	loadTail  = 6 * time.Second
	lateValue = 0.3
)

// loadKind is one kind of request of a generated load.
type loadKind struct {
	tier         uint8
	prompt, out  uint32
	service      time.Duration
	goal         time.Duration
	deadline     time.Duration
	startsWithin time.Duration // 0 for calls
	perSecond    float64
}

// load is a generated load without a network. Of the callers, early is the fraction
// that retry after 0.2 to 0.6 of the time that they were told.
type load struct {
	kinds     []loadKind
	orgShares []float64
	early     float64
	slots     uint32
	engines   int
	plain     bool
	impatient bool // the callers of organisation 0 return early, no others do
	burst     bool // 1.5 times the capacity for 3 s of every 6 s, else throughout
	length    time.Duration
}

type loadCaller struct {
	kind, org  int
	early      bool
	at         time.Duration
	attempts   int
	refused    int
	sequence   uint64
	answeredAt time.Duration
}

// loadGroup sums up what happened to some callers.
type loadGroup struct {
	callers, refusedTwice, served, inTime int
}

func (g *loadGroup) add(c *loadCaller, k *loadKind) {
	g.callers++
	if c.refused > 1 {
		g.refusedTwice++
	}
	if c.answeredAt > 0 {
		g.served++
		if c.answeredAt-k.service-c.at <= k.goal {
			g.inTime++
		}
	}
}

func (g *loadGroup) fraction(part int) float64 { return float64(part) / float64(max(g.callers, 1)) }

type loadResult struct {
	obeying, early, all loadGroup
	// orgs is the work answered for each organisation during the load.
	orgs []float64
	// idle is the fraction of slots that are free after the steps that refused.
	idle      float64
	decisions []Decision
	schedule  retrySchedule
}

// value is the worth of the answers: 1 in time, lateValue late.
func (r *loadResult) value() float64 {
	return r.all.fraction(r.all.inTime) + lateValue*r.all.fraction(r.all.served-r.all.inTime)
}

type loadRun struct {
	load
	pool      *Pool
	random    *rand.Rand
	now       time.Duration
	sequence  uint64
	callers   []*loadCaller
	waiting   map[uint64]*loadCaller
	due       map[time.Duration][]func()
	free      [2]float64
	decisions []Decision
}

func (l load) run(seed uint64, adjust func(*retrySchedule)) loadResult {
	upstreams := make([]Upstream, l.engines)
	for i := range upstreams {
		upstreams[i] = Upstream{Name: string(rune('a' + i)), Service: l.plain, Concurrency: l.slots, MaxConcurrency: l.slots, FixedLimit: true}
	}
	r := &loadRun{load: l, pool: poolWith(Config{Seed: seed, TargetInterToken: time.Second}, upstreams...),
		random: rand.New(rand.NewPCG(seed, 1)), waiting: map[uint64]*loadCaller{}, due: map[time.Duration][]func(){}}
	if adjust != nil {
		adjust(&r.pool.retries)
	}
	for r.now = loadTick; r.now < l.length+15*time.Second; r.now += loadTick {
		r.arrive()
		for _, f := range r.due[r.now] {
			f()
		}
		delete(r.due, r.now)
		r.step()
	}
	return r.result()
}

func (r *loadRun) after(delay time.Duration, f func()) {
	at := (r.now + max(delay, loadTick)).Round(loadTick)
	r.due[at] = append(r.due[at], f)
}

func (r *loadRun) arrive() {
	if r.now > r.length {
		return
	}
	for i := range r.kinds {
		rate := r.kinds[i].perSecond * loadTick.Seconds()
		if r.burst && r.now/(3*time.Second)%2 == 1 {
			rate *= 0.5
		}
		for ; rate > 0; rate-- {
			if r.random.Float64() < rate {
				c := &loadCaller{kind: i, org: r.pickOrg(), early: r.random.Float64() < r.early, at: r.now}
				if r.impatient {
					c.early = c.org == 0
				}
				r.callers = append(r.callers, c)
				r.send(c)
			}
		}
	}
}

func (r *loadRun) pickOrg() int {
	x := r.random.Float64()
	for org, share := range r.orgShares {
		if x -= share; x < 0 {
			return org
		}
	}
	return 0
}

func (r *loadRun) send(c *loadCaller) {
	k := &r.kinds[c.kind]
	r.sequence++
	c.sequence = r.sequence
	c.attempts++
	r.waiting[c.sequence] = c
	d := Descriptor{ID: GlobalID{1, c.sequence}, Attempt: 1, Tier: k.tier, Kind: uint32(c.kind), Org: uint32(c.org),
		PromptLength: k.prompt, MeanOutput: k.out, HighOutput: k.out, Deadline: c.at + k.deadline + r.transit()}
	if k.startsWithin > 0 {
		d.StartBy = r.now + k.startsWithin
	}
	r.pool.Submit(r.now, d)
}

func (r *loadRun) step() {
	refused := false
	for _, d := range r.pool.Step(r.now, nil) {
		r.decisions = append(r.decisions, d)
		c := r.waiting[d.ID.Sequence]
		delete(r.waiting, d.ID.Sequence)
		if d.Reason != 0 {
			refused = true
			r.refuse(c, d.RetryAfter)
			continue
		}
		r.serve(c, d.ID)
	}
	if refused {
		for _, u := range r.pool.upstreams {
			r.free[0] += float64(u.Concurrency - min(u.inFlight, u.Concurrency))
			r.free[1] += float64(u.Concurrency)
		}
	}
}

func (r *loadRun) refuse(c *loadCaller, retryAfter time.Duration) {
	c.refused++
	left := c.at + r.kinds[c.kind].deadline - r.now
	if c.attempts == 2 || left <= 0 {
		return
	}
	delay := min(retryAfter, time.Duration(honouredFraction*float64(left)))
	if c.early {
		delay = time.Duration((0.2 + 0.4*r.random.Float64()) * float64(delay))
	}
	r.after(delay+r.transit(), func() { r.send(c) })
}

// transit is the time that a message takes.
func (r *loadRun) transit() time.Duration {
	return time.Duration(r.random.Int64N(int64(8 * time.Millisecond)))
}

func (r *loadRun) serve(c *loadCaller, id GlobalID) {
	k := &r.kinds[c.kind]
	took := time.Duration(float64(k.service) * (0.8 + 0.4*r.random.Float64()))
	if !r.plain {
		r.after(took/10, func() { r.pool.FirstToken(r.now, id, took/10, 0) })
	}
	r.after(took, func() {
		outcome := Complete
		if r.now > c.at+k.deadline {
			outcome = Late
		} else {
			c.answeredAt = r.now
		}
		done := Completion{ID: id, Outcome: outcome, OutputTokens: k.out, TTFT: took / 10}
		if !r.plain {
			done.InterToken = took * 9 / 10 / time.Duration(k.out)
		}
		r.pool.Release(r.now, done)
	})
}

func (r *loadRun) result() loadResult {
	out := loadResult{orgs: make([]float64, len(r.orgShares)), decisions: r.decisions, schedule: r.pool.retries}
	for _, c := range r.callers {
		k := &r.kinds[c.kind]
		if c.answeredAt > 0 && c.answeredAt <= r.length {
			out.orgs[c.org] += float64(costOf(k.prompt, k.out))
		}
		if c.at > r.length-loadTail {
			continue // its retry finds the load gone
		}
		out.all.add(c, k)
		if c.early {
			out.early.add(c, k)
		} else {
			out.obeying.add(c, k)
		}
	}
	out.idle = r.free[0] / max(r.free[1], 1)
	return out
}

func callLoad() load {
	k := loadKind{out: 1, service: 30 * time.Millisecond, goal: 150 * time.Millisecond, deadline: time.Second, perSecond: 600}
	return load{kinds: []loadKind{k, k}, orgShares: []float64{0.6, 0.2, 0.2}, early: 0.5, slots: 6, engines: 4, plain: true, length: 30 * time.Second}
}

// streamLoad has the streams of the work of December 2026 in three tiers, or one kind alone.
func streamLoad(alone bool) load {
	l := load{kinds: []loadKind{
		{tier: 0, prompt: 2000, out: 300, service: 800 * time.Millisecond, goal: 800 * time.Millisecond, deadline: 12 * time.Second,
			startsWithin: 600 * time.Millisecond, perSecond: 40},
		{tier: 1, prompt: 688, out: 100, service: 300 * time.Millisecond, goal: 400 * time.Millisecond, deadline: 10 * time.Second,
			startsWithin: 300 * time.Millisecond, perSecond: 130},
		{tier: 2, prompt: 1860, out: 10, service: 100 * time.Millisecond, goal: 400 * time.Millisecond, deadline: 2500 * time.Millisecond,
			startsWithin: 300 * time.Millisecond, perSecond: 235},
	}, orgShares: []float64{0.6, 0.2, 0.2}, early: 0.5, slots: 7, engines: 9, length: 30 * time.Second}
	if alone {
		l.kinds = l.kinds[1:2]
		l.kinds[0].perSecond = 315
	}
	return l
}

// loadSum adds up the results of several seeds.
type loadSum struct {
	obeying, early, all, value, idle, inTime float64
	orgs                                     [3]float64
}

func sumOf(l load, adjust func(*retrySchedule)) (s loadSum) {
	const seeds = 5
	for seed := range uint64(seeds) {
		r := l.run(seed, adjust)
		s.obeying += r.obeying.fraction(r.obeying.refusedTwice) / seeds
		s.early += r.early.fraction(r.early.refusedTwice) / seeds
		s.all += r.all.fraction(r.all.refusedTwice) / seeds
		s.inTime += r.all.fraction(r.all.inTime) / seeds
		s.value += r.value() / seeds
		s.idle += r.idle / seeds
		for i, work := range r.orgs {
			s.orgs[i] += work / seeds
		}
	}
	return s
}

func withoutSchedule(s *retrySchedule) { s.limit = 0 }

// TestRetriesUnderLoad guards against callers that obey Retry-After and are refused
// again as often as those that return early, or more often than without the schedule,
// against newcomers that retries starve, against organisations that gain by being
// refused, and against capacity that is idle while requests are refused.
func TestRetriesUnderLoad(t *testing.T) {
	cases := map[string]struct {
		load
		// burstBound bounds the fraction of obeying callers that are refused twice in bursts,
		// relative to that without the schedule.
		burstBound float64
	}{"calls": {callLoad(), 0.97}, "streams": {streamLoad(false), 1}, "one stream": {streamLoad(true), 0.6}}
	for name, c := range cases {
		for _, burst := range []bool{false, true} {
			c.burst = burst
			bound := 1.0
			if burst {
				bound = c.burstBound
			}
			before, after := sumOf(c.load, withoutSchedule), sumOf(c.load, nil)
			t.Logf("%s, bursts %v: before %.4f, after %.4f", name, burst, before, after)
			require.Less(t, after.obeying, after.early, name)
			require.Less(t, after.obeying, bound*before.obeying, name)
			require.Greater(t, before.obeying-after.obeying, before.early-after.early, name)
			require.Less(t, after.all, before.all+0.01, name)
			require.Greater(t, after.inTime, 0.93*before.inTime, name)
			require.Less(t, after.idle, 0.005, name)
			for org := range after.orgs {
				require.Greater(t, after.orgs[org], 0.97*before.orgs[org], "%s, organisation %d", name, org)
			}
		}
	}
}

// TestImpatientOrganisation guards against an organisation that gains work, or takes it
// from others, since its callers return early.
func TestImpatientOrganisation(t *testing.T) {
	l := streamLoad(true)
	l.impatient = true
	before, after := sumOf(l, withoutSchedule), sumOf(l, nil)
	t.Logf("before %.4f, after %.4f", before, after)
	require.Less(t, after.orgs[0], 1.02*before.orgs[0])
	require.Greater(t, after.orgs[1], 0.98*before.orgs[1])
	require.Greater(t, after.orgs[2], 0.98*before.orgs[2])
}

// TestNoShedsNoSchedule guards against a schedule that costs or changes anything while
// nothing is shed, and against decisions that differ for the same events.
func TestNoShedsNoSchedule(t *testing.T) {
	l := streamLoad(true)
	require.True(t, slices.Equal(l.run(1, nil).decisions, l.run(1, nil).decisions))
	for i := range l.kinds {
		l.kinds[i].perSecond *= 0.4
	}
	with, without := l.run(1, nil), l.run(1, withoutSchedule)
	require.True(t, slices.Equal(without.decisions, with.decisions))
	require.Nil(t, with.schedule.slots)
}
