package ingress

import "time"

// Bounds are the times within which a change of the configuration must take effect.
type Bounds struct {
	// Apply is the bound for routes and keys that are added or changed.
	Apply time.Duration
	// Revoke is the bound for keys that are revoked. With 0, a key in the
	// configuration in force is accepted however old the confirmation is.
	Revoke time.Duration
}

// The margin subtracted from Bounds.Revoke for the time that a request takes to reach
// its upstream: a fraction of Revoke, at most maxSendMargin.
const (
	maxSendMargin      = 500 * time.Millisecond
	sendMarginFraction = 0.25
)

// maxSendAge is the age of a confirmation up to which requests with keys are sent.
func (b Bounds) maxSendAge() time.Duration {
	return b.Revoke - min(maxSendMargin, time.Duration(float64(b.Revoke)*sendMarginFraction))
}

// Confirmation tells when the configuration in force was last known to be the
// newest one. The zero value means never.
type Confirmation struct {
	// At is the start of the read that returned the configuration or its version.
	At    time.Duration
	Known bool
}

// FresherThan reports whether the configuration was confirmed less than age ago.
func (c Confirmation) FresherThan(now, age time.Duration) bool { return c.Known && now-c.At < age }

// CoversRevocations reports whether a request with a key may be sent: the confirmation is so
// recent that a key revoked b.Revoke before the request reaches its upstream would be
// known to be revoked. It is always true if b.Revoke is 0.
func (c Confirmation) CoversRevocations(now time.Duration, b Bounds) bool {
	return b.Revoke == 0 || c.FresherThan(now, b.maxSendAge())
}

// Verdict tells whether the configuration admits a request, or why not.
type Verdict uint8

// Verdicts. The unconfirmed ones mean that the configuration in force may be too old
// to classify the request; another instance may be able to.
const (
	Admitted Verdict = iota + 1
	NoRoute
	NoKey
	RouteUnconfirmed
	KeyUnconfirmed
	RevocationUnconfirmed
)

// Admission is a verdict with the route and the organisation of the request.
type Admission struct {
	Verdict Verdict
	// Route is nil for NoRoute and RouteUnconfirmed.
	Route *Route
	// Organisation is nil if the request needs no key, or was not admitted.
	Organisation *Organisation
}

// Admit determines the route and the organisation of a request with the given key. A
// request is refused for an unknown route or key only while the configuration is
// confirmed within b.Apply, since the route or key may have been added since.
func (t *Table) Admit(now time.Duration, c Confirmation, b Bounds, host, path, key string) Admission {
	fresh := c.FresherThan(now, b.Apply)
	j := Admission{Verdict: Admitted, Route: t.Route(host, path)}
	switch {
	case j.Route == nil && fresh:
		j.Verdict = NoRoute
	case j.Route == nil:
		j.Verdict = RouteUnconfirmed
	case !t.config.KeysRequired || j.Route.Public:
	case !c.CoversRevocations(now, b):
		j.Verdict = RevocationUnconfirmed
	default:
		j.Organisation = t.Organisation(key)
		if j.Organisation == nil {
			j.Verdict = KeyUnconfirmed
			if fresh {
				j.Verdict = NoKey
			}
		}
	}
	return j
}
