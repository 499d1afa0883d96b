package nodeloop

import (
	"context"
	"time"

	"github.com/citrongate/citrongate/internal/boottime"
	"github.com/citrongate/citrongate/pkg/node"
)

const (
	// TickInterval drives the node's timers.
	TickInterval = 20 * time.Millisecond
	// MaxEvents bounds the events that wait for the loop; senders wait above it.
	MaxEvents = 4096
	// maxQueries bounds the reads of the node's state that wait.
	maxQueries = 256
)

// Loop is the one goroutine that steps the node.
type Loop struct {
	// Machine may be used by execute and by the functions given to Query only.
	Machine Machine
	// execute carries out an action; it must not block.
	execute func(node.Action)
	started time.Duration
	events  chan node.Event
	queries chan func(now time.Duration)
	// local holds events that execute produced; only the loop's goroutine uses it.
	local   []node.Event
	actions []node.Action
	stopped chan struct{}
}

// New returns a loop that is not running. execute carries out an action; it
// runs on the loop's goroutine and must not block.
func New(machine Machine, execute func(node.Action)) *Loop {
	return &Loop{
		Machine: machine, execute: execute, started: boottime.Now(),
		events:  make(chan node.Event, MaxEvents),
		queries: make(chan func(time.Duration), maxQueries),
		stopped: make(chan struct{}),
	}
}

// Run steps the node until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.stopped)
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case ev := <-l.events:
			l.step(ev)
		case query := <-l.queries:
			query(l.Now())
		case <-ticker.C:
			l.step(node.Tick{})
		}
	}
}

// Stopped is closed once the loop has stopped.
func (l *Loop) Stopped() <-chan struct{} { return l.stopped }

// Now is the time since the loop was made, suspensions of the machine included.
func (l *Loop) Now() time.Duration { return boottime.Now() - l.started }

// Time returns the node's time at a boot time.
func (l *Loop) Time(boot time.Duration) time.Duration { return boot - l.started }

// BootTime returns the boot time at a time of the node.
func (l *Loop) BootTime(at time.Duration) time.Duration { return l.started + at }

// step handles one event and the events that its actions produce.
func (l *Loop) step(ev node.Event) {
	l.local = append(l.local, ev)
	for len(l.local) > 0 {
		next := l.local[0]
		l.local = l.local[1:]
		l.actions = l.Machine.Step(l.Now(), next, l.actions[:0])
		for i, action := range l.actions {
			l.execute(action)
			l.actions[i] = nil
		}
	}
	l.local = nil
}

// PostLocal adds an event from within execute.
func (l *Loop) PostLocal(ev node.Event) { l.local = append(l.local, ev) }

// Post waits until the loop's queue takes the event; it returns false if the
// loop has stopped. It must not be called by the loop's goroutine.
func (l *Loop) Post(ev node.Event) bool {
	select {
	case <-l.stopped:
		return false
	default:
	}
	select {
	case l.events <- ev:
		return true
	case <-l.stopped:
		return false
	}
}

// Query runs read on the loop's goroutine and waits for it. It returns false
// if ctx ended or the loop stopped before read ran.
func (l *Loop) Query(ctx context.Context, read func(now time.Duration)) bool {
	done := make(chan struct{})
	run := func(now time.Duration) {
		defer close(done)
		if ctx.Err() == nil {
			read(now)
		}
	}
	select {
	case l.queries <- run:
	case <-ctx.Done():
		return false
	case <-l.stopped:
		return false
	}
	select {
	case <-done:
		return ctx.Err() == nil
	case <-l.stopped:
		return false
	}
}

// WaitWhile waits until busy returns false or ctx ends.
func WaitWhile(ctx context.Context, busy func() bool) {
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	for busy() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
