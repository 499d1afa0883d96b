// Package account evaluates the logs of gateways over a period: how each attempt
// of a caller ended and how the slots of the engines were used. It also computes
// an upper bound on the value that any schedule of the same requests could have
// earned.
package account

import (
	"cmp"
	"io"
	"slices"
	"time"

	"github.com/citrongate/citrongate/internal/eventlog"
)

// Outcome is how an attempt ended for its caller.
type Outcome uint8

// Outcomes of an attempt.
const (
	// Unknown means that the logs do not show how the attempt ended.
	Unknown Outcome = iota
	// InTime means that the answer kept all goals of its route.
	InTime
	// LateFirst means that the answer, or its first event if it is streamed, came
	// later than the goal of the route.
	LateFirst
	// LateGap means that a gap between two events exceeded the goal for gaps.
	LateGap
	// UpstreamError means that an HTTP error of the upstream itself was relayed.
	UpstreamError
	// Refused means that no part of an answer was relayed.
	Refused
	// CutOff means that the answer was cut off after a part of it was relayed.
	CutOff
	// CallerDisconnected means that the caller closed its connection before the end.
	CallerDisconnected
)

var outcomeNames = [...]string{"open", "in time", "late first", "late pause", "upstream error", "refused", "broken", "caller left"}

// String returns the name of the outcome as it is printed in tables.
func (o Outcome) String() string { return outcomeNames[o] }

// RouteClass groups attempts by the priority and goal of their route.
type RouteClass struct {
	// Priority is the priority of the route; 0 is the most urgent.
	Priority int
	// Goal is the time within which the answer, or its first event if it is
	// streamed, is due.
	Goal time.Duration
}

// Send is one send of an attempt to an upstream.
type Send struct {
	Upstream string
	// End is no later than the last line of the process that sent it.
	At, End time.Time
}

// Attempt is one request of a caller, as the instance that received it logged it.
type Attempt struct {
	RouteClass
	GapGoal        time.Duration
	Arrived, Ended time.Time
	Sends          []Send
	Outcome        Outcome
	// Reason is the code of the refusal if the outcome is Refused or CutOff.
	Reason string
	// Events and Prompt are the number of events and the prompt length in tokens of
	// a complete answer.
	Events, Prompt uint64
}

// Collector reads logs and assembles the attempts in them.
type Collector struct{ records []eventlog.Record }

// Read adds all records of one log.
func (c *Collector) Read(r io.Reader) error {
	return eventlog.Scan(r, func(_ []byte, records []eventlog.Record) { c.records = append(c.records, records...) })
}

// attemptKey identifies an attempt in the logs by process and request id.
type attemptKey struct {
	eventlog.Process
	id string
}

// Attempts returns the attempts in order of arrival. Requests without an id and
// those that ended before they were assigned to a route are left out.
func (c *Collector) Attempts() []*Attempt {
	starts := eventlog.StartTimes(c.records)
	byKey := map[attemptKey]*Attempt{}
	lastLine := map[eventlog.Process]time.Time{}
	var out []*Attempt
	for _, r := range c.records {
		process := r.Process()
		at := starts[process].Add(r.Up)
		if at.After(lastLine[process]) {
			lastLine[process] = at
		}
		id, about := eventlog.RequestIDOf(r.Line)
		if !about || id == "" {
			continue
		}
		key := attemptKey{process, id}
		a := byKey[key]
		if a == nil {
			a = &Attempt{}
			byKey[key] = a
			out = append(out, a)
		}
		a.addLine(at, r.Line)
	}
	// A send that is still open in the log lasts until the last line of its process.
	for key, a := range byKey {
		a.endSend(lastLine[key.Process])
	}
	out = slices.DeleteFunc(out, func(a *Attempt) bool { return a.Goal == 0 || a.Arrived.IsZero() })
	slices.SortStableFunc(out, func(a, b *Attempt) int { return cmp.Compare(a.Arrived.UnixNano(), b.Arrived.UnixNano()) })
	return out
}

// addLine applies one line about the attempt.
func (a *Attempt) addLine(at time.Time, line eventlog.Line) {
	switch l := line.(type) {
	case eventlog.RequestSent:
		a.RouteClass, a.GapGoal = RouteClass{l.Priority, eventlog.Duration(l.GoalMs)}, eventlog.Duration(l.GapGoalMs)
		a.setArrival(at.Add(-eventlog.Duration(l.QueuedMs)))
		a.Sends = append(a.Sends, Send{Upstream: l.Upstream, At: at})
	case eventlog.SendFailed:
		a.endSend(at)
	case eventlog.RequestAnswered:
		a.endSend(at)
		a.Ended, a.Events, a.Prompt = at, l.Events, l.Prompt
		a.Outcome = a.classifyAnswer(l)
	case eventlog.RequestRefused:
		a.RouteClass = RouteClass{l.Priority, eventlog.Duration(l.GoalMs)}
		a.setArrival(at.Add(-eventlog.Duration(l.WaitedMs)))
		a.endSend(at)
		a.Ended, a.Outcome, a.Reason = at, Refused, l.Reason
		if l.Started {
			a.Outcome = CutOff
		}
	case eventlog.CallerDisconnected:
		a.setArrival(at.Add(-eventlog.Duration(l.WaitedMs)))
		a.endSend(at)
		a.Ended, a.Outcome = at, CallerDisconnected
	}
}

// setArrival sets the time of arrival unless an earlier line has set it.
func (a *Attempt) setArrival(at time.Time) {
	if a.Arrived.IsZero() {
		a.Arrived = at
	}
}

// endSend sets the end of the last send unless it is already set.
func (a *Attempt) endSend(at time.Time) {
	if n := len(a.Sends); n > 0 && a.Sends[n-1].End.IsZero() {
		a.Sends[n-1].End = at
	}
}

// classifyAnswer classifies a complete answer by the goals of the route.
func (a *Attempt) classifyAnswer(l eventlog.RequestAnswered) Outcome {
	first := l.TotalMs
	if l.Events > 0 {
		first = l.QueuedMs + l.FirstMs
	}
	switch {
	case l.Code >= 400:
		return UpstreamError
	case eventlog.Duration(first) > a.Goal:
		return LateFirst
	case a.GapGoal > 0 && eventlog.Duration(l.LongestGapMs) > a.GapGoal:
		return LateGap
	}
	return InTime
}
