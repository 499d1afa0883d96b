package configstate

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/citrongate/citrongate/pkg/store"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// Config holds the settings of a Machine; zero values take the defaults.
type Config struct {
	// Incarnation makes change ids unique across instances.
	Incarnation uint64
	// IDs issues the ids of store calls.
	IDs *store.IDSource
	// Seed makes jitter repeatable.
	Seed uint64
	// ChangeTimeout bounds one change from Apply to its Done; default 10 s.
	ChangeTimeout time.Duration
	// PullTimeout is the time after which an unanswered pull may be replaced by
	// another; default 500 ms.
	PullTimeout time.Duration
	// MaxPushBytes bounds the segments in one ConfigPush; default 256 KiB. The
	// first one is sent whatever its size.
	MaxPushBytes int
	// MaxQueuedChanges bounds the changes that wait for the running one; default
	// 256.
	MaxQueuedChanges int
}

func (c Config) withDefaults() Config {
	if c.IDs == nil {
		c.IDs = &store.IDSource{}
	}
	if c.ChangeTimeout == 0 {
		c.ChangeTimeout = 10 * time.Second
	}
	if c.PullTimeout == 0 {
		c.PullTimeout = 500 * time.Millisecond
	}
	if c.MaxPushBytes == 0 {
		c.MaxPushBytes = 256 << 10
	}
	if c.MaxQueuedChanges == 0 {
		c.MaxQueuedChanges = 256
	}
	return c
}

// Change is an operator's change of one or more objects.
type Change struct {
	// ID identifies the Done of this change; it is local to the instance.
	ID   uint64
	Puts []*pb.Object
	// Deletes name objects to remove.
	Deletes []*pb.ObjectMeta
	// Conditional is true if meta.version must equal the current version of
	// every object named; 0 in a put means that the object must not exist.
	Conditional bool
	// DryRun checks the change against the newest set and writes nothing.
	DryRun bool
}

// Codes of a Done that was not accepted.
const (
	CodeConflict         = "conflict"
	CodeInvalid          = "invalid"
	CodeStoreUnavailable = "store_unavailable"
	CodeOutcomeUnknown   = "outcome_unknown"
)

// Done is the result of a Change.
type Done struct {
	ID uint64
	// Accepted is true if the change is in the store, or for a dry run if it
	// would be accepted. Revision is the revision that contains it.
	Accepted bool
	Revision uint64
	// Code is empty if accepted.
	Code string
	// Problems lists the reasons why the change was not accepted.
	Problems []string
}

// Pull asks a peer for the segments that this instance lacks.
type Pull struct {
	// Peer is the incarnation to ask.
	Peer    uint64
	Message *pb.ConfigPull
}

// Output is what the caller of a Machine must do after a step.
type Output struct {
	Calls []store.Call
	Pulls []Pull
	Done  []Done
	// InForce is the revision that came into force since the last Output; 0 if
	// none did. The caller announces it to the instance's peers.
	InForce uint64
	// BadSegments counts heads and segments that could not be applied because
	// their content is not valid.
	BadSegments uint64
}

// timer is a callback that Step runs once its time has come.
type timer struct {
	at  time.Duration
	run func(now time.Duration)
}

// Machine owns the configuration in force at one instance.
//
// Invariants:
//   - the revision in force never decreases;
//   - a set comes into force only with every segment that its head names;
//   - a change is reported as accepted only once its head update is known to be
//     in effect, and as store_unavailable only if it never will be.
type Machine struct {
	cfg     Config
	current *Set
	// currentSegments are the segments of current.
	currentSegments segments
	out             Output
	calls           map[store.CallID]func(now time.Duration, r store.Result)
	timers          []timer

	readingHead bool
	pull        pullSession
	changes     changeQueue
	cleanup     cleanup
	retry       *store.Backoff
}

// New returns a Machine with the empty set of revision 0 in force.
func New(cfg Config) *Machine {
	cfg = cfg.withDefaults()
	return &Machine{
		cfg:     cfg,
		current: NewSet(0, nil),
		calls:   map[store.CallID]func(time.Duration, store.Result){},
		retry:   store.NewBackoff(50*time.Millisecond, 2*time.Second, cfg.Seed),
	}
}

// Current returns the set in force. It is immutable and never nil.
func (m *Machine) Current() *Set { return m.current }

// TakeOutput returns the pending output and clears it.
func (m *Machine) TakeOutput() Output {
	out := m.out
	m.out = Output{}
	return out
}

// OnStoreResult handles the result of a store call. It returns false if the call
// is not one of this machine's.
func (m *Machine) OnStoreResult(now time.Duration, id store.CallID, r store.Result) bool {
	handle, ok := m.calls[id]
	if !ok {
		return false
	}
	delete(m.calls, id)
	handle(now, r)
	return true
}

// Step runs the timers that are due.
func (m *Machine) Step(now time.Duration) {
	var due []timer
	var later []timer
	for _, t := range m.timers {
		if t.at <= now {
			due = append(due, t)
		} else {
			later = append(later, t)
		}
	}
	m.timers = later
	for _, t := range due {
		t.run(now)
	}
}

// NextWake returns when the next timer is due; a negative value means that there
// is none.
func (m *Machine) NextWake(now time.Duration) time.Duration {
	wake := time.Duration(-1)
	for _, t := range m.timers {
		if wake < 0 || t.at < wake {
			wake = t.at
		}
	}
	if wake >= 0 {
		wake = max(wake, now)
	}
	return wake
}

// after runs a callback at a given time, from Step.
func (m *Machine) after(at time.Duration, run func(now time.Duration)) {
	m.timers = append(m.timers, timer{at: at, run: run})
}

// call queues a store call for the next Output; handle receives its result.
func (m *Machine) call(op store.Op, priority store.Priority, reason store.Reason, handle func(now time.Duration, r store.Result)) {
	id := m.cfg.IDs.Next()
	m.calls[id] = handle
	m.out.Calls = append(m.out.Calls, store.Call{ID: id, Op: op, Priority: priority, Reason: reason})
}

// install brings the set of a head into force if all its segments are given and
// valid, and it is newer than the one in force. It returns whether the set in
// force is then at least as new as the head.
func (m *Machine) install(head *pb.ConfigHead, from segments) bool {
	if head.GetRevision() <= m.current.Revision {
		return true
	}
	if !validHead(head) || !from.matches(head) {
		return false
	}
	for i, segment := range from {
		if segment != nil && !validSegment(segment, i, head.SegmentRevisions[i]) {
			m.out.BadSegments++
			return false
		}
	}
	m.current = NewSet(head.GetRevision(), from.objects())
	m.currentSegments = from
	m.out.InForce = head.GetRevision()
	return true
}

// parseHead decodes a head; it returns false if it is not valid.
func (m *Machine) parseHead(data []byte) (*pb.ConfigHead, bool) {
	head := &pb.ConfigHead{}
	if proto.Unmarshal(data, head) != nil || !validHead(head) {
		m.out.BadSegments++
		return nil, false
	}
	return head, true
}
