// Package account tells from the logs of gateways what became of the attempts
// of a day and of the time of the engines' places, and bounds what any order of
// the same work could have earned.
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

// Outcomes.
const (
	// Open means that the logs do not tell the end.
	Open Outcome = iota
	InTime
	// LateFirst means that the answer, or its first event, came after the goal.
	LateFirst
	// LatePause means that a pause between two events was over its goal.
	LatePause
	// UpstreamError means that the upstream's own error was relayed.
	UpstreamError
	// Refused means that no part of an answer was relayed.
	Refused
	// Broken means that the answer ended midway.
	Broken
	// CallerLeft means that the caller closed its connection first.
	CallerLeft
)

var outcomeNames = [...]string{"open", "in time", "late first", "late pause", "upstream error", "refused", "broken", "caller left"}

// String returns the name for tables.
func (o Outcome) String() string { return outcomeNames[o] }

// Kind tells attempts by what their route asks for.
type Kind struct {
	// Priority is that of the route; 0 is the most urgent.
	Priority int
	// Goal is the time to the answer or its first event.
	Goal time.Duration
}

// Send is one send of an attempt.
type Send struct {
	Upstream string
	// End is at the latest that of the process' log.
	At, End time.Time
}

// Attempt is one request of a caller at one instance.
type Attempt struct {
	Kind
	GapGoal        time.Duration
	Arrived, Ended time.Time
	Sends          []Send
	Outcome        Outcome
	// Reason is the code of a refusal or break.
	Reason string
	// Events and Prompt are those of a whole answer; Prompt is in tokens.
	Events, Prompt uint64
}

// Collector reads logs.
type Collector struct{ records []eventlog.Record }

// Read takes in one log.
func (c *Collector) Read(r io.Reader) error {
	return eventlog.Scan(r, func(_ []byte, records []eventlog.Record) { c.records = append(c.records, records...) })
}

// lifeKey identifies an attempt in the logs.
type lifeKey struct {
	eventlog.Process
	id string
}

// Attempts returns the attempts in order of arrival. Requests without an id and
// those that ended before they were judged are left out.
func (c *Collector) Attempts() []*Attempt {
	starts := eventlog.Starts(c.records)
	byKey := map[lifeKey]*Attempt{}
	last := map[eventlog.Process]time.Time{}
	var out []*Attempt
	for _, r := range c.records {
		process := r.Process()
		at := starts[process].Add(r.Up)
		if at.After(last[process]) {
			last[process] = at
		}
		id, about := eventlog.RequestOf(r.Line)
		if !about || id == "" {
			continue
		}
		key := lifeKey{process, id}
		a := byKey[key]
		if a == nil {
			a = &Attempt{}
			byKey[key] = a
			out = append(out, a)
		}
		a.take(at, r.Line)
	}
	// What is open when its process ends is open until then.
	for key, a := range byKey {
		a.endSend(last[key.Process])
	}
	out = slices.DeleteFunc(out, func(a *Attempt) bool { return a.Goal == 0 || a.Arrived.IsZero() })
	slices.SortStableFunc(out, func(a, b *Attempt) int { return cmp.Compare(a.Arrived.UnixNano(), b.Arrived.UnixNano()) })
	return out
}

// take takes in one line on the attempt.
func (a *Attempt) take(at time.Time, line eventlog.Line) {
	switch l := line.(type) {
	case eventlog.RequestSent:
		a.Kind, a.GapGoal = Kind{l.Priority, eventlog.Duration(l.GoalMs)}, eventlog.Duration(l.GapGoalMs)
		a.arrive(at.Add(-eventlog.Duration(l.QueuedMs)))
		a.Sends = append(a.Sends, Send{Upstream: l.Upstream, At: at})
	case eventlog.SendFailed:
		a.endSend(at)
	case eventlog.RequestAnswered:
		a.endSend(at)
		a.Ended, a.Events, a.Prompt = at, l.Events, l.Prompt
		a.Outcome = a.answered(l)
	case eventlog.RequestRefused:
		a.Kind = Kind{l.Priority, eventlog.Duration(l.GoalMs)}
		a.arrive(at.Add(-eventlog.Duration(l.WaitedMs)))
		a.endSend(at)
		a.Ended, a.Outcome, a.Reason = at, Refused, l.Reason
		if l.Started {
			a.Outcome = Broken
		}
	case eventlog.CallerLeft:
		a.arrive(at.Add(-eventlog.Duration(l.WaitedMs)))
		a.endSend(at)
		a.Ended, a.Outcome = at, CallerLeft
	}
}

func (a *Attempt) arrive(at time.Time) {
	if a.Arrived.IsZero() {
		a.Arrived = at
	}
}

// endSend ends the newest send unless it has ended.
func (a *Attempt) endSend(at time.Time) {
	if n := len(a.Sends); n > 0 && a.Sends[n-1].End.IsZero() {
		a.Sends[n-1].End = at
	}
}

func (a *Attempt) answered(l eventlog.RequestAnswered) Outcome {
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
		return LatePause
	}
	return InTime
}
