// Package platform is a stand-in for the platform that citrongate runs on: an
// object API with versions, conditional writes and watches, and a lagging list
// of live and leaving instances. Its control API injects the platform failures that
// citrongate must tolerate.
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
	// ListLag is the age of the instance list that is returned.
	ListLag time.Duration
	// InstanceTTL is the time for which an instance stays listed after its last heartbeat.
	InstanceTTL time.Duration
	// Now returns the current time; time.Now if nil.
	Now func() time.Time
}

// Faults are the injected faults, set through the control API.
type Faults struct {
	// Outage makes the object API answer 503.
	Outage bool `json:"outage"`
	// ListOutage makes the instance list answer 503 and ignore heartbeats.
	ListOutage bool `json:"list_outage"`
	// DelayMs delays each object API call before it takes effect. A call whose
	// caller has given up still takes effect.
	DelayMs int64 `json:"delay_ms"`
	// DropAnswers is the number of further writes that are applied but not answered.
	DropAnswers int64 `json:"drop_answers"`
	// DropRequests is the number of further writes that are neither applied nor
	// answered.
	DropRequests int64 `json:"drop_requests"`
	// StaleList freezes the instance list.
	StaleList bool `json:"stale_list"`
	// ListLagMs is the age of the instance list that is returned.
	ListLagMs int64 `json:"list_lag_ms"`
	// ReadsPerSecond and WritesPerSecond are the rate limits; 0 means no limit.
	ReadsPerSecond  float64 `json:"reads_per_second"`
	WritesPerSecond float64 `json:"writes_per_second"`
}

// Counters count calls since the process started.
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

// Platform is one stand-in platform.
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

// New returns a stand-in without objects or instances.
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
	p.instances.addPermanent(p.now(), Instance{Name: name, Incarnation: incarnation, Upstream: true})
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
	mux.HandleFunc("GET /v1/objects/{key...}", p.withReadFaults(p.getObject))
	mux.HandleFunc("PUT /v1/objects/{key...}", p.withWriteFaults(p.putObject))
	mux.HandleFunc("DELETE /v1/objects/{key...}", p.withWriteFaults(p.deleteObject))
	mux.HandleFunc("GET /v1/objects", p.withReadFaults(p.listObjects))
	mux.HandleFunc("GET /v1/watch", p.withReadFaults(p.watch))
	mux.HandleFunc("GET /v1/instances", p.listInstances)
	mux.HandleFunc("POST /v1/instances", p.heartbeat)
	p.registerControl(mux)
	return mux
}

// bucket is a token bucket whose capacity is one second of its rate, at least one token.
type bucket struct {
	tokens float64
	last   time.Time
}

// takeToken consumes one token; it returns false if there is none.
func (b *bucket) takeToken(now time.Time, rate float64) bool {
	if rate <= 0 {
		return true
	}
	capacity := max(rate, 1)
	if b.last.IsZero() {
		b.tokens = capacity
	} else {
		b.tokens = min(capacity, b.tokens+now.Sub(b.last).Seconds()*rate)
	}
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
