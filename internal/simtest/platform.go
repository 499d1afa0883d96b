package simtest

import (
	"time"

	"github.com/citrongate/citrongate/pkg/node"
	"github.com/citrongate/citrongate/pkg/store"
	"github.com/citrongate/citrongate/pkg/store/storetest"
)

// callTimeout is the time after which an instance abandons a call to the platform.
const callTimeout = 2 * time.Second

// listVersion is the content of the instance list from a point in time on.
type listVersion struct {
	since   time.Duration
	entries []node.ListedInstance
}

type outage struct{ from, until time.Duration }

// Platform is a fake platform with an object API and an instance list. Tests
// switch its faults on and off.
type Platform struct {
	Objects *storetest.Fake
	// Outage refuses all calls; set it with SetOutage. AddedLatency is the largest delay
	// added to a call. LoseAnswers is the probability that a call is executed but
	// its answer is lost. CallsPerSecond is the rate limit; 0 means no limit.
	Outage         bool
	AddedLatency   time.Duration
	LoseAnswers    float64
	CallsPerSecond float64
	// ListLag is the age of the list that a read returns. With StaleReads, some reads
	// return a list that is older by StaleReadAge, as a read from a stale replica would.
	ListLag      time.Duration
	StaleReads   bool
	StaleReadAge time.Duration
	// IgnoreVersions is a mutation that a check must detect: conditional updates
	// succeed whatever version they name.
	IgnoreVersions bool

	// Calls counts the operations on objects by kind, and ListReads counts the reads of
	// the instance list; both include refused ones.
	Calls     map[store.OpKind]int
	ListReads int

	loop       *Loop
	versions   []listVersion
	tokens     float64
	refilledAt time.Duration
	outages    []outage
}

// NewPlatform returns an empty platform on the loop.
func NewPlatform(loop *Loop) *Platform {
	return &Platform{Objects: storetest.New(), Calls: map[store.OpKind]int{}, loop: loop}
}

// SetOutage starts or ends an outage.
func (p *Platform) SetOutage(on bool) {
	switch {
	case on && !p.Outage:
		p.outages = append(p.outages, outage{from: p.loop.Now(), until: -1})
	case !on && p.Outage:
		p.outages[len(p.outages)-1].until = p.loop.Now()
	}
	p.Outage = on
}

// OutageEndAfter returns the earliest time at or after t at which the platform can
// be read: t itself, or the end of an outage that is in progress at t or begins
// within the next 3 s. An outage that has not ended yet is not considered.
func (p *Platform) OutageEndAfter(t time.Duration) time.Duration {
	for _, o := range p.outages {
		if o.from <= t+3*time.Second && o.until > t {
			t = o.until
		}
	}
	return t
}

// SetList replaces the instance list.
func (p *Platform) SetList(entries []node.ListedInstance) {
	p.versions = append(p.versions, listVersion{p.loop.Now(), entries})
}

// List returns the instance list as a read at the current time sees it, and false
// if the read is refused.
func (p *Platform) List() ([]node.ListedInstance, bool) {
	p.ListReads++
	if p.Outage || !p.allowCall() {
		return nil, false
	}
	age := p.ListLag
	if p.StaleReads && p.loop.Rand.Float64() < 0.3 {
		age += p.StaleReadAge
	}
	at := p.loop.Now() - age
	var entries []node.ListedInstance
	for _, v := range p.versions {
		if v.since <= at {
			entries = v.entries
		}
	}
	return entries, true
}

// allowCall applies the rate limit, a token bucket that holds one second's calls.
func (p *Platform) allowCall() bool {
	if p.CallsPerSecond == 0 {
		return true
	}
	now := p.loop.Now()
	p.tokens = min(p.CallsPerSecond, p.tokens+(now-p.refilledAt).Seconds()*p.CallsPerSecond)
	p.refilledAt = now
	if p.tokens < 1 {
		return false
	}
	p.tokens--
	return true
}

// Call executes an operation after the platform's latency and passes the result to
// done. After callTimeout the result is store.Unknown; a slower write still takes
// effect.
func (p *Platform) Call(op store.Op, done func(store.Result)) {
	p.Calls[op.Kind]++
	latency := 3 * time.Millisecond
	if p.AddedLatency > 0 {
		latency += time.Duration(p.loop.Rand.Float64() * float64(p.AddedLatency))
	}
	answerLost := p.loop.Rand.Float64() < p.LoseAnswers
	answered := false
	p.loop.After(callTimeout, func() {
		if !answered {
			answered = true
			done(store.Result{Status: store.Unknown})
		}
	})
	p.loop.After(latency, func() {
		result := p.execute(op)
		if answered || answerLost {
			return
		}
		answered = true
		done(result)
	})
}

func (p *Platform) execute(op store.Op) store.Result {
	switch {
	case p.Outage:
		return store.Result{Status: store.Unavailable}
	case !p.allowCall():
		return store.Result{Status: store.Throttled}
	}
	if p.IgnoreVersions && op.Kind == store.Update {
		op.Version = p.Objects.Current(op.Key).Version
	}
	return p.Objects.Execute(op, storetest.None)
}
