package daemon

import (
	"context"
	"time"

	"github.com/citrongate/citrongate/pkg/node"
)

const (
	// tickInterval drives the node's timers.
	tickInterval = 20 * time.Millisecond
	// maxEvents bounds the events that wait for the loop; senders wait above it.
	maxEvents = 4096
	// maxQueries bounds the reads of the node's state that wait.
	maxQueries = 256
)

// loop is the one goroutine that steps the node.
type loop struct {
	machine Machine
	// execute carries out an action; it must not block.
	execute func(node.Action)
	started time.Time
	events  chan node.Event
	queries chan func(now time.Duration)
	// local holds events that execute produced; only the loop's goroutine uses it.
	local   []node.Event
	actions []node.Action
	stopped chan struct{}
}

func newLoop(machine Machine, started time.Time, execute func(node.Action)) *loop {
	return &loop{
		machine: machine, execute: execute, started: started,
		events:  make(chan node.Event, maxEvents),
		queries: make(chan func(time.Duration), maxQueries),
		stopped: make(chan struct{}),
	}
}

// run steps the node until ctx ends.
func (l *loop) run(ctx context.Context) {
	defer close(l.stopped)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case ev := <-l.events:
			l.step(ev)
		case query := <-l.queries:
			query(l.now())
		case <-ticker.C:
			l.step(node.Tick{})
		}
	}
}

// now is the process time on the monotonic clock.
func (l *loop) now() time.Duration { return time.Since(l.started) }

// step handles one event and the events that its actions produce.
func (l *loop) step(ev node.Event) {
	l.local = append(l.local, ev)
	for len(l.local) > 0 {
		next := l.local[0]
		l.local = l.local[1:]
		l.actions = l.machine.Step(l.now(), next, l.actions[:0])
		for i, action := range l.actions {
			l.execute(action)
			l.actions[i] = nil
		}
	}
	l.local = nil
}

// postLocal adds an event from within execute.
func (l *loop) postLocal(ev node.Event) { l.local = append(l.local, ev) }

// post waits until the loop's queue takes the event; it returns false if the
// loop has stopped. It must not be called by the loop's goroutine.
func (l *loop) post(ev node.Event) bool {
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

// query runs read on the loop's goroutine and waits for it. It returns false
// if ctx ended or the loop stopped before read ran.
func (l *loop) query(ctx context.Context, read func(now time.Duration)) bool {
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
