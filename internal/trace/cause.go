package trace

import (
	"fmt"
	"strings"
	"time"

	"github.com/citrongate/citrongate/internal/eventlog"
)

// Cause returns a sentence that explains why the request ended as it did.
func (l *History) Cause() string {
	var sent *eventlog.RequestSent
	for i := len(l.Entries) - 1; i >= 0; i-- {
		switch line := l.Entries[i].Line.(type) {
		case eventlog.RequestAnswered:
			return explainAnswer(line)
		case eventlog.RequestRefused:
			return explainRefusal(line, l.lastFailedSend())
		case eventlog.CallerDisconnected:
			return explainDisconnect(line)
		case eventlog.RequestSent:
			if sent == nil {
				sent = &line
			}
		}
	}
	failed := l.lastFailedSend()
	switch {
	case sent != nil:
		return l.explainUnfinished(sent)
	case failed != nil:
		return fmt.Sprintf("The send to %s ended as %q, and no line tells what followed.", failed.Upstream, failed.Status)
	case l.Torn > 0:
		return "The only lines that name it are torn."
	}
	return "No line names it: it reached none of these instances (a refused connection, or an instance that ended before it had read the request), or its lines were dropped."
}

// lastFailedSend returns the last send that failed.
func (l *History) lastFailedSend() *eventlog.SendFailed {
	for i := len(l.Entries) - 1; i >= 0; i-- {
		if line, ok := l.Entries[i].Line.(eventlog.SendFailed); ok {
			return &line
		}
	}
	return nil
}

// explainAnswer explains a request that was answered.
func explainAnswer(line eventlog.RequestAnswered) string {
	if line.Code >= 400 {
		return fmt.Sprintf("Upstream %s answered with its own status %d, which was passed on.", line.Upstream, line.Code)
	}
	text := fmt.Sprintf("It was answered with %d by %s in %s, of which it waited %s", line.Code, line.Upstream, ms(line.TotalMs), ms(line.QueuedMs))
	if line.Events > 0 {
		text += fmt.Sprintf("; the first event came %s after the send, the longest gap between events was %s", ms(line.FirstMs), ms(line.LongestGapMs))
	}
	return text + "."
}

// explainDisconnect explains a request whose caller disconnected.
func explainDisconnect(line eventlog.CallerDisconnected) string {
	if line.Upstream == "" {
		return fmt.Sprintf("Its caller closed the connection after %s, while it waited to be sent.", ms(line.WaitedMs))
	}
	return fmt.Sprintf("Its caller closed the connection after %s, while upstream %s was processing it (%d events were passed on).",
		ms(line.WaitedMs), line.Upstream, line.Events)
}

// refusalReasons explains the codes of refusals before a send. %s stands for the
// time that the request waited.
var refusalReasons = map[string]string{
	"limit_rate":          "the quota of its organisation was used up",
	"limit_in_flight":     "its organisation had reached its limit of requests in flight",
	"shed_overload":       "the upstreams had more work than they can do in time, and it could not have started soon enough",
	"expired_waiting":     "the upstreams had more work than they can do in time; it waited %s and could not start soon enough any more",
	"infeasible_deadline": "its deadline was too close for any upstream",
	"deadline_exceeded":   "its deadline passed after %s",
	"unauthenticated":     "its key is not in the configuration in force",
	"unknown_kind":        "no route of the configuration in force matches its host and path",
	"no_route":            "no upstream of its service was known",
	"part_blocked":        "a part of its prompt was blocked, since upstreams had ended under it",
	"not_ready":           "this instance was not ready to evaluate it",
	"draining":            "this instance was stopping",
	"bad_request":         "it was malformed",
	"too_large":           "its body was too large",
}

// explainRefusal explains a refused request; failure is its last failed send, or
// nil.
func explainRefusal(line eventlog.RequestRefused, failure *eventlog.SendFailed) string {
	var text strings.Builder
	switch {
	case line.Started:
		fmt.Fprintf(&text, "Its answer was cut %s after it was read", ms(line.WaitedMs))
	case line.Status == 0:
		fmt.Fprintf(&text, "Its connection was closed %s after it was read", ms(line.WaitedMs))
	default:
		fmt.Fprintf(&text, "It was answered with %d", line.Status)
	}
	if failure != nil && line.Sends > 0 {
		fmt.Fprintf(&text, ": the send to %s ended as %q after %s", failure.Upstream, failure.Status, ms(failure.AfterMs))
		if failure.Detail != "" {
			fmt.Fprintf(&text, " (%s)", failure.Detail)
		}
		fmt.Fprintf(&text, "; it was then refused as %s: %s", line.Reason, line.Detail)
	} else if reason, ok := refusalReasons[line.Reason]; ok && line.Sends == 0 {
		if strings.Contains(reason, "%s") {
			reason = fmt.Sprintf(reason, ms(line.WaitedMs))
		}
		fmt.Fprintf(&text, " before any send: %s (%s)", reason, line.Detail)
	} else {
		fmt.Fprintf(&text, ": %s (%s)", line.Reason, line.Detail)
	}
	fmt.Fprintf(&text, ". Whether it ran: %s.", line.Ran)
	return text.String()
}

// explainUnfinished explains a request that was sent and whose outcome is not
// logged.
func (l *History) explainUnfinished(sent *eventlog.RequestSent) string {
	text := fmt.Sprintf("It was sent to %s and no line tells its end", sent.Upstream)
	var sender string
	for _, e := range l.Entries {
		if s, ok := e.Line.(eventlog.RequestSent); ok && s == *sent {
			sender = e.Instance
		}
	}
	for _, e := range l.Entries {
		if _, ok := e.Line.(eventlog.InstanceStarted); ok && e.Instance == sender {
			return text + fmt.Sprintf(": the process of %s that held it ended, and another started at %s.", sender, e.At.Format(eventlog.TimeFormat))
		}
	}
	return text + fmt.Sprintf(": the process of %s ended, the request is still in progress, or its lines were dropped.", sender)
}

// ms formats milliseconds, rounded to 0.1 ms.
func ms(value float64) string {
	return eventlog.Duration(value).Round(100 * time.Microsecond).String()
}
