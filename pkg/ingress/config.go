// Package ingress owns the configuration of a gateway: routes by host and path
// prefix, the organisations' keys, and how both become the objects that the
// scheduler routes by. It decides which route and which organisation a request
// belongs to. It does no I/O and reads no clock.
//
// Invariants:
//   - a Table is immutable; a request is judged by one Table;
//   - a Tracker never goes back to an older configuration version;
//   - a configuration counts as confirmed from the start of the read that
//     returned it, never from its end.
package ingress

import (
	"strings"
	"time"

	"github.com/citrongate/citrongate/pkg/quota"
)

// RouteKind says what may be repeated.
type RouteKind uint8

// Kinds of routes.
const (
	// NonIdempotent calls run at most once.
	NonIdempotent RouteKind = iota + 1
	// Idempotent calls may run more than once.
	Idempotent
	// Stream answers are event streams; they count as non-idempotent unless
	// the route is resumable.
	Stream
)

// Backend is one target service of a route.
type Backend struct {
	Service string
	// Weight is the service's part of the route's requests, relative to the
	// other backends.
	Weight float64
}

// Route sends the requests of one host and path prefix to services.
type Route struct {
	Name, Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       RouteKind
	// Timeout is the longest time that a request is kept waiting for its answer.
	Timeout time.Duration
	// Goal is the time within which an answer earns its full worth; for streams,
	// the time to the first event.
	Goal time.Duration
	// GapGoal is the longest pause between two events of a timely stream.
	GapGoal  time.Duration
	Priority int
	Backends []Backend
	// MaxSends bounds the servers that one request may be sent to.
	MaxSends int
	// Public routes need no key.
	Public    bool
	Resumable bool
	// ModelCall is true if requests carry prompts.
	ModelCall bool
}

// Repeatable reports whether a request that may have run may be sent again.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Patience is how long callers of a stream route wait for its first event.
func (r *Route) Patience() time.Duration {
	return max(minPatience, goalPatience*r.Goal, gapPatience*r.GapGoal)
}

// StartWithin is the time within which a stream has to be sent to an upstream,
// so that its first event comes before the caller leaves.
func (r *Route) StartWithin() time.Duration {
	return time.Duration(float64(r.Goal) * startShare)
}

// startShare is the part of a route's goal that a request may wait. A caller that
// is refused at once comes back while its answer can still be in time; one that
// is held for longer is refused as often, and later.
const startShare = 0.15

// Callers leave a stream without an event after the longest of these.
const (
	minPatience  = 2 * time.Second
	goalPatience = 4
	gapPatience  = 8
)

// Service is a group of upstreams that serve the same requests.
type Service struct {
	Name string
	// MaxConnections bounds the connections of all callers to one upstream.
	MaxConnections int
	// Slots is the number of requests that a model engine runs at once; 0 for
	// plain services, whose upstreams tell theirs.
	Slots int
	// TokensPerEvent is the number of output tokens in one event of a stream.
	TokensPerEvent int
	// MemoryTokens is the number of tokens that a model engine keeps; 0 for
	// plain services.
	MemoryTokens int
}

// Organisation is a customer with its keys and its quota.
type Organisation struct {
	Name string
	Keys []string
	// Priority takes precedence over that of a route if HasPriority.
	Priority    int
	HasPriority bool
	// QuotaPerSecond and QuotaBurst bound its requests over all instances; a
	// QuotaPerSecond of 0 means no limit.
	QuotaPerSecond, QuotaBurst float64
	// QuotaInTokens is true if the quota counts tokens, and not requests.
	QuotaInTokens bool
	// PlainTokens is what a request without a prompt counts as.
	PlainTokens uint32
}

// Limits bound what callers may send.
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
	// KeysRequired is true if requests on routes that are not public need a key.
	KeysRequired bool
	Limits       Limits
}

// Quotas returns the quotas of the organisations that have one, widened by the
// tolerance.
func (c *Config) Quotas(t quota.Tolerance) map[string]quota.Limit {
	limits := map[string]quota.Limit{}
	for i := range c.Organisations {
		if o := &c.Organisations[i]; o.QuotaPerSecond > 0 {
			limits[o.Name] = quota.Limit{PerSecond: o.QuotaPerSecond, Burst: o.QuotaBurst}.Widened(t)
		}
	}
	return limits
}

// Upstream is one server as it is registered.
type Upstream struct {
	// ID names the server; Incarnation distinguishes its starts.
	ID          string
	Incarnation string
	Service     string
	// Address is IP and port.
	Address       string
	FailureDomain string
	Version       string
	Slots         int
	Leaving       bool
	// ColdLeft is how much longer the server stays slow after its start.
	ColdLeft time.Duration
}

// nameSeparator stands between id and incarnation in a name. Ids may hold it,
// incarnations do not.
const nameSeparator = "/"

// Name identifies one incarnation of the server among all upstreams.
func (u *Upstream) Name() string { return u.ID + nameSeparator + u.Incarnation }

// IDOf returns the id that is part of a name.
func IDOf(name string) string {
	return name[:max(0, strings.LastIndex(name, nameSeparator))]
}
