package dispatch

import (
	"math"
	"time"
)

// Limits bound the requests of one kind or organisation over all instances of the
// cell; 0 means no limit.
type Limits struct {
	RequestsPerSecond float64
	Burst             uint32
	InFlight, Queued  uint32
}

// usage counts the requests of one kind or organisation at this instance and
// holds the token bucket of its rate limit.
type usage struct {
	waiting, inFlight uint32
	tokens            float64
	refilled          time.Duration
	started           bool
}

// flowKey identifies a request kind or an organisation.
type flowKey struct {
	organisation bool
	name         string
}

// limiter enforces this instance's share of the limits: a limit divided by the
// number of live entry instances, but at least one request.
type limiter struct {
	flows map[flowKey]*usage
}

func newLimiter() limiter { return limiter{flows: map[flowKey]*usage{}} }

func (l *limiter) usage(key flowKey) *usage {
	u, ok := l.flows[key]
	if !ok {
		u = &usage{}
		l.flows[key] = u
	}
	return u
}

// instanceShare divides a limit by the number of entry instances. It rounds up, so
// that a limit below that number still lets each instance serve one request.
func instanceShare(limit uint32, entries int) uint32 {
	if limit == 0 {
		return math.MaxUint32
	}
	n := uint32(max(entries, 1))
	return (limit + n - 1) / n
}

// exceededLimit returns the code of the limit that a new request would exceed, or "".
func (u *usage) exceededLimit(now time.Duration, limits Limits, entries int) (code string, retryAfter time.Duration) {
	if u.inFlight >= instanceShare(limits.InFlight, entries) {
		return "limit_in_flight", time.Second
	}
	if u.waiting >= instanceShare(limits.Queued, entries) {
		return "limit_queue", time.Second
	}
	if limits.RequestsPerSecond <= 0 {
		return "", 0
	}
	rate := u.refill(now, limits, entries)
	if u.tokens >= 1 {
		return "", 0
	}
	wait := time.Duration((1 - u.tokens) / rate * float64(time.Second))
	return "limit_rate", wait
}

// refill adds the tokens earned since the last call and returns the rate per second.
func (u *usage) refill(now time.Duration, limits Limits, entries int) (rate float64) {
	n := float64(max(entries, 1))
	rate = limits.RequestsPerSecond / n
	burst := max(1, float64(limits.Burst)/n)
	if limits.Burst == 0 {
		burst = max(1, rate)
	}
	if !u.started {
		u.started, u.tokens, u.refilled = true, burst, now
	}
	u.tokens = min(burst, u.tokens+rate*(now-u.refilled).Seconds())
	u.refilled = now
	return rate
}

// admit checks the limits of a request's kind and organisation and takes one rate
// token from each. No token is taken unless both limits allow the request. If one
// does not, admit returns the refusal code, the limited kind or organisation and
// the retry delay.
func (l *limiter) admit(now time.Duration, r *Request, kind, org Limits, entries int) (code, flow string, retryAfter time.Duration) {
	k := l.usage(flowKey{name: r.Kind})
	o := l.usage(flowKey{organisation: true, name: r.Organisation})
	if code, after := k.exceededLimit(now, kind, entries); code != "" {
		return code, "kind " + r.Kind, after
	}
	if code, after := o.exceededLimit(now, org, entries); code != "" {
		return code, "organisation " + r.Organisation, after
	}
	if kind.RequestsPerSecond > 0 {
		k.tokens--
	}
	if org.RequestsPerSecond > 0 {
		o.tokens--
	}
	return "", "", 0
}

// countTransition updates the waiting and in-flight counts of a record's kind and
// organisation for a change of state.
func (l *limiter) countTransition(r *Record, from, to State) {
	for _, key := range []flowKey{{name: r.Kind}, {organisation: true, name: r.Organisation}} {
		u := l.usage(key)
		u.addToState(from, ^uint32(0))
		u.addToState(to, 1)
	}
}

// addToState adds delta to the count of a state. Unsigned wrap-around makes
// ^uint32(0) subtract one.
func (u *usage) addToState(s State, delta uint32) {
	switch s {
	case Waiting, Granted:
		u.waiting += delta
	case Dispatched, Streaming:
		u.inFlight += delta
	}
}
