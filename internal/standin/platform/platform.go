// Package platform is a stand-in for the platform that citrongate runs on: an
// object API with versions, conditional writes and watches, and a lagging list
// of live and leaving instances. Its control API causes the failures that the
// design expects of a platform.
package platform

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// Config holds the properties of the stand-in.
type Config struct {
	// ReadsPerSecond and WritesPerSecond limit the object API; 0 means no limit.
	ReadsPerSecond, WritesPerSecond float64
	// ListLag is the age of the instance list in answers.
	ListLag time.Duration
	// InstanceTTL is the time after its last heartbeat that an instance stays listed.
	InstanceTTL time.Duration
	// Now reads the clock; time.Now if nil.
	Now func() time.Time
}

// Faults is the state that the control API sets.
type Faults struct {
	// Outage makes the object API answer 503.
	Outage bool `json:"outage"`
	// ListOutage makes the instance list answer 503 and ignore heartbeats.
	ListOutage bool `json:"list_outage"`
	// DelayMs holds up each object call before it takes effect. A call whose
	// caller gave up still takes effect.
	DelayMs int64 `json:"delay_ms"`
	// DropAnswers is the number of writes yet to be applied without an answer.
	DropAnswers int64 `json:"drop_answers"`
	// DropRequests is the number of writes yet to be lost without taking effect.
	DropRequests int64 `json:"drop_requests"`
	// StaleList freezes the instance list.
	StaleList bool `json:"stale_list"`
	// ListLagMs is the age of the instance list in answers.
	ListLagMs int64 `json:"list_lag_ms"`
	// ReadsPerSecond and WritesPerSecond are the rate limits; 0 means no limit.
	ReadsPerSecond  float64 `json:"reads_per_second"`
	WritesPerSecond float64 `json:"writes_per_second"`
}

// Counters count calls since the start.
type Counters struct {
	Reads      uint64 `json:"reads"`
	Writes     uint64 `json:"writes"`
	Watches    uint64 `json:"watches"`
	Lists      uint64 `json:"lists"`
	Heartbeats uint64 `json:"heartbeats"`
	Throttled  uint64 `json:"throttled"`
	Refused    uint64 `json:"refused"`
	Dropped    uint64 `json:"dropped"`
}

// Platform is one stand-in.
type Platform struct {
	now       func() time.Time
	objects   *objects
	instances *instances

	mu       sync.Mutex
	faults   Faults
	counters Counters
	reads    bucket
	writes   bucket
	// outage is closed when an outage starts, so that waiting watches end.
	outage chan struct{}
}

// New returns a stand-in without objects and instances.
func New(config Config) *Platform {
	if config.Now == nil {
		config.Now = time.Now
	}
	p := &Platform{
		now:       config.Now,
		objects:   newObjects(),
		instances: newInstances(config.InstanceTTL),
		outage:    make(chan struct{}),
	}
	p.faults = Faults{
		ListLagMs:       config.ListLag.Milliseconds(),
		ReadsPerSecond:  config.ReadsPerSecond,
		WritesPerSecond: config.WritesPerSecond,
	}
	return p
}

// AddUpstream lists an upstream until it is removed.
func (p *Platform) AddUpstream(name, incarnation string) {
	p.instances.keep(p.now(), Instance{Name: name, Incarnation: incarnation, Upstream: true})
}

// Run removes expired instances until the context ends.
func (p *Platform) Run(ctx context.Context) {
	ticker := time.NewTicker(200 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.instances.expire(p.now())
		}
	}
}

// Handler serves the platform protocol and the control API.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{key...}", p.guardRead(p.getObject))
	mux.HandleFunc("PUT /v1/objects/{key...}", p.guardWrite(p.putObject))
	mux.HandleFunc("DELETE /v1/objects/{key...}", p.guardWrite(p.deleteObject))
	mux.HandleFunc("GET /v1/objects", p.guardRead(p.listObjects))
	mux.HandleFunc("GET /v1/watch", p.guardRead(p.watch))
	mux.HandleFunc("GET /v1/instances", p.listInstances)
	mux.HandleFunc("POST /v1/instances", p.heartbeat)
	p.routeControl(mux)
	return mux
}

// bucket is a token bucket that holds one second of its rate, at least one call.
type bucket struct {
	tokens float64
	last   time.Time
}

// take uses one token if there is one.
func (b *bucket) take(now time.Time, rate float64) bool {
	if rate <= 0 {
		return true
	}
	size := max(rate, 1)
	if b.last.IsZero() {
		b.tokens = size
	} else {
		b.tokens = min(size, b.tokens+now.Sub(b.last).Seconds()*rate)
	}
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
