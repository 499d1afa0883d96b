package ingress

import "time"

// Bounds are the times within which a change of the configuration must count.
type Bounds struct {
	// Apply is that for routes and keys that are added or changed.
	Apply time.Duration
	// Revoke is that for keys that are taken away; with 0 a key that the
	// configuration in force has is accepted whatever the age.
	Revoke time.Duration
}

// maxSendMargin and sendShare bound the part of Bounds.Revoke that is left for
// a request on its way to its upstream.
const (
	maxSendMargin = 500 * time.Millisecond
	sendShare     = 0.25
)

// sendUntil is the age of a confirmation up to which requests with keys are sent.
func (b Bounds) sendUntil() time.Duration {
	return b.Revoke - min(maxSendMargin, time.Duration(float64(b.Revoke)*sendShare))
}

// Confirmation says when the configuration in force was last known to be the
// newest one. Its zero value means never.
type Confirmation struct {
	// At is the start of the read that showed it.
	At    time.Duration
	Known bool
}

// Within reports whether the confirmation is younger than age.
func (c Confirmation) Within(now, age time.Duration) bool { return c.Known && now-c.At < age }

// KeysHold reports whether a key that was taken away would be known by now, so
// that a request with a key may be sent.
func (c Confirmation) KeysHold(now time.Duration, b Bounds) bool {
	return b.Revoke == 0 || c.Within(now, b.sendUntil())
}

// Verdict is the judgement of a request by the configuration.
type Verdict uint8

// Verdicts. An unconfirmed one says that the configuration in force may be too
// old to judge the request, which another instance may do.
const (
	Admitted Verdict = iota + 1
	NoRoute
	NoKey
	RouteUnconfirmed
	KeyUnconfirmed
	RevocationUnconfirmed
)

// Judgement is a verdict with what it was found by.
type Judgement struct {
	Verdict Verdict
	// Route is nil for NoRoute and RouteUnconfirmed.
	Route *Route
	// Organisation is nil if the request needs no key, or was not admitted.
	Organisation *Organisation
}

// Judge finds route and organisation of a request with the given key. What a
// configuration lacks is held against a request only while it is confirmed.
func (t *Table) Judge(now time.Duration, c Confirmation, b Bounds, host, path, key string) Judgement {
	fresh := c.Within(now, b.Apply)
	j := Judgement{Verdict: Admitted, Route: t.Route(host, path)}
	switch {
	case j.Route == nil && fresh:
		j.Verdict = NoRoute
	case j.Route == nil:
		j.Verdict = RouteUnconfirmed
	case !t.config.KeysRequired || j.Route.Public:
	case !c.KeysHold(now, b):
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
