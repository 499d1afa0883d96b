package client

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/citrongate/citrongate/internal/httpconn"
	"github.com/citrongate/citrongate/pkg/answer"
)

// Ending is how one attempt ended.
type Ending int

// Endings of an attempt.
const (
	// Complete means that the complete answer to this request arrived.
	Complete Ending = iota
	// NotSent means that no connection was established, so that nothing ran.
	NotSent
	// Refused means that an entry instance answered with a refusal.
	Refused
	// Incomplete means that the request was sent and no complete answer arrived.
	Incomplete
)

// nextAction is what to do after an attempt.
type nextAction int

const (
	stop nextAction = iota
	// resend sends the request again with the same key, or without one.
	resend
	// resendWithNewKey sends it again with a key from a new ticket, which is
	// safe only if no attempt with the old key can have run.
	resendWithNewKey
)

// transientCodes lists the codes of refusals that are temporary or specific to one
// entry: another entry, or the same one later, may accept the request.
var transientCodes = map[string]bool{
	"limit_rate": true, "limit_in_flight": true, "limit_queue": true,
	"shed_overload": true, "expired_waiting": true, "draining": true, "not_ready": true,
	"connect_failed": true, "upstream_refused": true, "store_unavailable": true,
	"ticket_expired": true,
}

// brokenCodes are the codes of refusals by which an entry reports that the answer
// of the upstream was truncated or belonged to another request.
var brokenCodes = map[string]bool{"upstream_broke": true, "answer_mismatched": true}

// attemptState is what is known about a call after its latest attempt.
type attemptState struct {
	ending  Ending
	refusal Refusal
	// keyed is true if the request has an idempotency key, ticketed if the client
	// formed this key from a ticket and may form another one.
	keyed, ticketed bool
	// mayHaveRun is true if an attempt with the current key may have run.
	mayHaveRun bool
	// repeatable is true if the call may run twice without harm.
	repeatable bool
}

// decide returns what to do next. A call is sent again only if no attempt can
// have run, if the same idempotency key prevents a second run, or if the caller
// states that running it twice does no harm.
func decide(a attemptState) nextAction {
	switch a.ending {
	case Complete:
		return stop
	case NotSent:
		return a.safeRetry()
	case Refused:
		if a.refusal.Ran == "no" {
			return a.afterNotRun()
		}
		if a.keyed && a.mayRepeatKey() || a.repeatable && brokenCodes[a.refusal.Code] {
			return resend
		}
		return stop
	default:
		if a.keyed || a.repeatable {
			return resend
		}
		return stop
	}
}

// mayRepeatKey reports whether sending the same key again may yield an answer after
// a refusal that does not rule out that the call ran. That is so in two cases. If
// the instance that issued the ticket was unreachable only briefly, the recorded
// outcome may be readable again. And if an entry refuses a retry for a transient
// reason, that does not tell how the earlier attempts ended.
func (a attemptState) mayRepeatKey() bool {
	code := a.refusal.Code
	return code == "ticket_home_gone" || transientCodes[code] && code != "ticket_expired"
}

// afterNotRun returns what to do after a refusal that states that the call did not
// run.
func (a attemptState) afterNotRun() nextAction {
	if !transientCodes[a.refusal.Code] {
		return stop
	}
	// An entry that knows that an expired key did not run never runs it later, so
	// that a new key is safe.
	if a.refusal.Code == "ticket_expired" {
		if a.ticketed {
			return resendWithNewKey
		}
		return stop
	}
	return a.safeRetry()
}

// safeRetry returns how to send the call again after an attempt that did not run:
// with a new key only if no earlier attempt with the current one may have run.
func (a attemptState) safeRetry() nextAction {
	if a.ticketed && !a.mayHaveRun {
		return resendWithNewKey
	}
	return resend
}

// ranOf returns what the end of an attempt tells about whether it ran.
func ranOf(ending Ending, refusal Refusal) answer.Ran {
	switch ending {
	case Complete:
		return answer.RanYes
	case NotSent:
		return answer.RanNo
	case Refused:
		if refusal.Ran != "" {
			return answer.Ran(refusal.Ran)
		}
	}
	return answer.RanUnknown
}

// dialTimeout bounds the time to open a connection to an entry instance.
const dialTimeout = 2 * time.Second

const (
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 2 * time.Second
)

// backoff returns the time to wait after attempt number n, counted from 0. It grows
// exponentially and is at least the retry delay that the entry requested. jitter
// is in [0, 1).
func backoff(n int, retryAfter time.Duration, jitter float64) time.Duration {
	wait := min(initialBackoff<<min(n, 10), maxBackoff)
	wait = wait/2 + time.Duration(jitter*float64(wait)/2)
	return max(wait, retryAfter)
}

// notSent reports whether the error shows that no byte of the request was sent,
// because the connection was not established.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// NewHTTP returns an HTTP client that trusts the authorities in roots, or those of
// the system if roots is nil. It opens a new connection for each request: the entry
// could close a reused connection while the request is being sent, and it would
// then be unknown whether the request arrived.
func NewHTTP(roots *x509.CertPool) *http.Client {
	return &http.Client{Transport: httpconn.NewTransport(httpconn.Options{
		DialTimeout: dialTimeout, TLS: &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS12},
	})}
}
