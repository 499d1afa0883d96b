package nodeloop

import (
	"context"
	"time"

	"github.com/citrongate/citrongate/internal/boottime"
	"github.com/citrongate/citrongate/pkg/node"
)

const (
	// TickInterval is the period of the Tick events that run the node's timers.
	TickInterval = 20 * time.Millisecond
	// MaxQueuedEvents is the length of the event queue; Post blocks while it is full.
	MaxQueuedEvents = 4096
	// maxQueuedQueries is the length of the queue of reads of the node's state.
	maxQueuedQueries = 256
)

// Loop runs the node on a single goroutine: it steps the node with events and timer
// ticks and runs queries of its state, one at a time.
type Loop struct {
	// Machine may be used only by execute and by functions passed to Query.
	Machine Machine
	// execute performs an action; it must not block.
	execute   func(node.Action)
	startedAt time.Duration
	events    chan node.Event
	queries   chan func(now time.Duration)
	// localEvents holds events posted by execute; only the loop's goroutine uses it.
	localEvents  []node.Event
	actionBuffer []node.Action
	stopped      chan struct{}
}

// New returns a loop that is not running. execute performs the node's actions; it
// runs on the loop's goroutine and must not block.
func New(machine Machine, execute func(node.Action)) *Loop {
	return &Loop{
		Machine: machine, execute: execute, startedAt: boottime.Now(),
		events:  make(chan node.Event, MaxQueuedEvents),
		queries: make(chan func(time.Duration), maxQueuedQueries),
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

// Stopped returns a channel that is closed once the loop has stopped.
func (l *Loop) Stopped() <-chan struct{} { return l.stopped }

// Now returns the node's time: the time since the loop was created, including
// time during which the machine was suspended.
func (l *Loop) Now() time.Duration { return boottime.Now() - l.startedAt }

// FromBootTime converts a boot time (see package boottime) to the node's time.
func (l *Loop) FromBootTime(boot time.Duration) time.Duration { return boot - l.startedAt }

// ToBootTime converts the node's time to a boot time.
func (l *Loop) ToBootTime(at time.Duration) time.Duration { return l.startedAt + at }

// step steps the node with an event and then with the events that executing its
// actions produced.
func (l *Loop) step(ev node.Event) {
	l.localEvents = append(l.localEvents, ev)
	for len(l.localEvents) > 0 {
		next := l.localEvents[0]
		l.localEvents = l.localEvents[1:]
		l.actionBuffer = l.Machine.Step(l.Now(), next, l.actionBuffer[:0])
		for i, action := range l.actionBuffer {
			l.execute(action)
			l.actionBuffer[i] = nil
		}
	}
	l.localEvents = nil
}

// PostLocal queues an event from within execute, where Post could block the loop
// on its own queue. The event is handled before any other queued event.
func (l *Loop) PostLocal(ev node.Event) { l.localEvents = append(l.localEvents, ev) }

// Post queues an event and blocks while the queue is full. It returns false if the
// loop has stopped. It must not be called on the loop's goroutine.
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

// Query runs query on the loop's goroutine and waits until it has returned. It
// returns false if ctx ended or the loop stopped; query may then have run or not.
func (l *Loop) Query(ctx context.Context, query func(now time.Duration)) bool {
	done := make(chan struct{})
	guardedQuery := func(now time.Duration) {
		defer close(done)
		if ctx.Err() == nil {
			query(now)
		}
	}
	select {
	case l.queries <- guardedQuery:
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

// WaitWhile polls busy at each TickInterval until it returns false or ctx ends.
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
