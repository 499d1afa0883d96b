// Package ingress holds the configuration of a gateway: routes by host and path
// prefix, and the organisations with their keys. It determines the route and the
// organisation of a request, and translates the configuration into the objects that
// the scheduler routes by. It does no I/O and reads no clock.
//
// Invariants:
//   - a Table is immutable, and a request is classified by a single Table;
//   - a Tracker never returns to an older configuration version;
//   - a configuration counts as confirmed from the start of the read that
//     returned it, never from the end of that read.
package ingress

import (
	"strings"
	"time"

	"github.com/citrongate/citrongate/pkg/quota"
)

// RouteKind tells whether the requests of a route may run more than once.
type RouteKind uint8

// Kinds of routes.
const (
	// NonIdempotent calls run at most once.
	NonIdempotent RouteKind = iota + 1
	// Idempotent calls may run more than once.
	Idempotent
	// Stream requests are answered by event streams; they count as non-idempotent
	// unless the route is resumable.
	Stream
)

// Backend is one target service of a route.
type Backend struct {
	Service string
	// Weight is proportional to the fraction of the route's requests that the
	// service receives.
	Weight float64
}

// Route sends the requests of one host and path prefix to services.
type Route struct {
	Name, Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       RouteKind
	// Timeout is the longest time that a request may wait for its answer.
	Timeout time.Duration
	// Goal is the latency goal: the time within which an answer has its full value.
	// For streams it applies to the first event.
	Goal time.Duration
	// EventGapGoal is the latency goal for the time between two events of a stream.
	EventGapGoal time.Duration
	Priority     int
	Backends     []Backend
	// MaxSends limits the number of servers that one request may be sent to.
	MaxSends int
	// Public routes need no key.
	Public bool
	// Resumable streams can be continued after a given event.
	Resumable bool
	// NumberedEvents is true if each event of a stream has an id and the ids are
	// increasing numbers, so that other bytes in the stream can be told from events.
	NumberedEvents bool
	// ModelCall is true if requests carry prompts for a model.
	ModelCall bool
}

// Repeatable reports whether a request that may have run may be sent again.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// AbandonAfter is how long callers of a stream route wait for its first event before
// they disconnect.
func (r *Route) AbandonAfter() time.Duration {
	return max(minAbandonTime, abandonGoalMultiple*r.Goal, abandonGapMultiple*r.EventGapGoal)
}

// StartWithin is the time that a request may wait in the queue; 0 if only its deadline
// bounds it. In an overload a longer queue serves no more requests, but all of them late.
func (r *Route) StartWithin() time.Duration {
	if r.Kind == Stream {
		return time.Duration(float64(r.Goal) * streamStartFraction)
	}
	return r.Goal
}

// streamStartFraction is the fraction of a route's goal that a stream may wait. A caller
// that is refused at once can retry while its answer can still be in time; a caller that
// waits longer is refused as often, only later. Calls to plain services may wait for all
// of it: they are shorter than their goal, and many of them follow each other on a slot.
const streamStartFraction = 0.15

// Callers disconnect from a stream without an event after the longest of
// minAbandonTime and these multiples of the route's Goal and EventGapGoal.
const (
	minAbandonTime      = 2 * time.Second
	abandonGoalMultiple = 4
	abandonGapMultiple  = 8
)

// Service is a group of upstreams that can serve the same requests.
type Service struct {
	Name string
	// MaxConnections limits the connections of all callers to one upstream.
	MaxConnections int
	// ModelEngine is true if the upstreams are model engines, false for plain services.
	ModelEngine bool
	// Slots is the number of requests that a model engine runs concurrently; 0 if its
	// upstreams register their own number, as those of plain services do.
	Slots int
	// TokensPerEvent is the number of output tokens in one event of a stream.
	TokensPerEvent int
	// KVCacheTokens is the capacity of a model engine's KV cache in tokens; 0 for
	// plain services.
	KVCacheTokens int
}

// Organisation is a customer with its API keys and its quota.
type Organisation struct {
	Name string
	Keys []string
	// Priority takes precedence over that of a route if HasPriority.
	Priority    int
	HasPriority bool
	// QuotaPerSecond and QuotaBurst limit its requests over all instances; a
	// QuotaPerSecond of 0 means no limit.
	QuotaPerSecond, QuotaBurst float64
	// QuotaInTokens is true if the quota counts tokens instead of requests.
	QuotaInTokens bool
	// PlainTokens is the number of tokens that a request without a prompt counts as.
	PlainTokens uint32
}

// Limits are the limits on requests and connections of callers.
type Limits struct {
	HeaderBytes, BodyBytes int
	HeaderTimeout          time.Duration
	IdleTimeout            time.Duration
}

// Config is one version of the operator's configuration.
type Config struct {
	Version       uint64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	// KeysRequired is true if requests on routes that are not public need a key, also
	// while there are no organisations: then no key is valid.
	KeysRequired bool
	Limits       Limits
}

// Quotas returns the quotas of the organisations that have one, each increased by
// the tolerance.
func (c *Config) Quotas(t quota.Tolerance) map[string]quota.Limit {
	limits := map[string]quota.Limit{}
	for i := range c.Organisations {
		if o := &c.Organisations[i]; o.QuotaPerSecond > 0 {
			limits[o.Name] = quota.Limit{PerSecond: o.QuotaPerSecond, Burst: o.QuotaBurst}.Widened(t)
		}
	}
	return limits
}

// Upstream is one server as registered in the store.
type Upstream struct {
	// ID identifies the server; Incarnation changes with each start of it.
	ID          string
	Incarnation string
	Service     string
	// Address is an IP address and a port.
	Address       string
	FailureDomain string
	Version       string
	Slots         int
	Leaving       bool
	// ColdLeft is the remaining time of the server's warm-up, during which it is slow.
	ColdLeft time.Duration
}

// nameSeparator separates id and incarnation in a name. Ids may contain it,
// incarnations do not.
const nameSeparator = "/"

// Name identifies one incarnation of the server among all upstreams.
func (u *Upstream) Name() string { return u.ID + nameSeparator + u.Incarnation }

// IncarnationOf returns the incarnation in a name returned by Upstream.Name.
func IncarnationOf(name string) string {
	return name[strings.LastIndex(name, nameSeparator)+1:]
}

// IDOf returns the id in a name returned by Upstream.Name.
func IDOf(name string) string {
	return name[:max(0, strings.LastIndex(name, nameSeparator))]
}
