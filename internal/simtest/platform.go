package simtest

import (
	"time"

	"github.com/citrongate/citrongate/pkg/node"
	"github.com/citrongate/citrongate/pkg/store"
	"github.com/citrongate/citrongate/pkg/store/storetest"
)

// callTimeout is after how long an edge gives up a call to the platform.
const callTimeout = 2 * time.Second

// listVersion is the instance list from a moment on.
type listVersion struct {
	since time.Duration
	lines []node.ListedInstance
}

type outage struct{ from, until time.Duration }

// Platform is a fake of the platform: an object API and an instance list, both
// with faults. Faults are switched on and off by the test.
type Platform struct {
	Objects *storetest.Fake
	// Outage refuses all calls. Slow delays each call by up to the given time.
	// LoseAnswers is the probability that a write takes effect but its answer
	// is lost. CallsPerSecond throttles; 0 means no limit.
	Outage         bool
	Slow           time.Duration
	LoseAnswers    float64
	CallsPerSecond float64
	// ListLag is the age of the list that is returned. With Backward, a read
	// sometimes returns the list as it was ListBack ago.
	ListLag  time.Duration
	Backward bool
	ListBack time.Duration
	// IgnoreVersions is a mutation: conditional updates always succeed.
	IgnoreVersions bool

	// Calls counts the operations on objects by kind, and Lists the reads of the
	// instance list; refused ones are included.
	Calls map[store.OpKind]int
	Lists int

	loop     *Loop
	versions []listVersion
	tokens   float64
	refilled time.Duration
	outages  []outage
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

// OutageEndAfter returns when the platform could be read again at or after t:
// t itself, or the end of the outage in progress then or within the next 3 s.
func (p *Platform) OutageEndAfter(t time.Duration) time.Duration {
	for _, o := range p.outages {
		if o.from <= t+3*time.Second && o.until > t {
			t = o.until
		}
	}
	return t
}

// SetList replaces the instance list.
func (p *Platform) SetList(lines []node.ListedInstance) {
	p.versions = append(p.versions, listVersion{p.loop.Now(), lines})
}

// List returns the list as a read at this moment sees it.
func (p *Platform) List() ([]node.ListedInstance, bool) {
	p.Lists++
	if p.Outage || !p.admit() {
		return nil, false
	}
	age := p.ListLag
	if p.Backward && p.loop.Rand.Float64() < 0.3 {
		age += p.ListBack
	}
	at := p.loop.Now() - age
	var lines []node.ListedInstance
	for _, v := range p.versions {
		if v.since <= at {
			lines = v.lines
		}
	}
	return lines, true
}

func (p *Platform) admit() bool {
	if p.CallsPerSecond == 0 {
		return true
	}
	now := p.loop.Now()
	p.tokens = min(p.CallsPerSecond, p.tokens+(now-p.refilled).Seconds()*p.CallsPerSecond)
	p.refilled = now
	if p.tokens < 1 {
		return false
	}
	p.tokens--
	return true
}

// Call performs an operation and hands its result to done, in virtual time. A
// slow write takes effect also if its caller has given up by then.
func (p *Platform) Call(op store.Op, done func(store.Result)) {
	p.Calls[op.Kind]++
	latency := 3 * time.Millisecond
	if p.Slow > 0 {
		latency += time.Duration(p.loop.Rand.Float64() * float64(p.Slow))
	}
	lost := p.loop.Rand.Float64() < p.LoseAnswers
	answered := false
	p.loop.After(callTimeout, func() {
		if !answered {
			answered = true
			done(store.Result{Status: store.Unknown})
		}
	})
	p.loop.After(latency, func() {
		result := p.perform(op)
		if answered || lost {
			return
		}
		answered = true
		done(result)
	})
}

func (p *Platform) perform(op store.Op) store.Result {
	switch {
	case p.Outage:
		return store.Result{Status: store.Unavailable}
	case !p.admit():
		return store.Result{Status: store.Throttled}
	}
	if p.IgnoreVersions && op.Kind == store.Update {
		op.Version = p.Objects.Current(op.Key).Version
	}
	return p.Objects.Do(op, storetest.None)
}
