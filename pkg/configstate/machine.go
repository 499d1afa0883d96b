package configstate

import (
	"time"

	"github.com/citrongate/citrongate/pkg/store"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// Config holds the constants of a Machine; zero durations take defaults.
type Config struct {
	// Incarnation makes change ids unique across instances.
	Incarnation uint64
	// IDs issues the ids of store calls.
	IDs *store.IDSource
	// Seed makes jitter repeatable.
	Seed uint64
	// ChangeTimeout bounds one change from Apply to its Done; default 10 s.
	ChangeTimeout time.Duration
	// PullTimeout is when a pull without an answer is repeated; default 500 ms.
	PullTimeout time.Duration
	// MaxPushBytes bounds the segments in one ConfigPush; default 256 KiB.
	// One segment is always sent.
	MaxPushBytes int
}

// Change is an operator's change of one or more objects.
type Change struct {
	// ID identifies the answer; it is local to the instance.
	ID   uint64
	Puts []*pb.Object
	// Deletes name objects to remove.
	Deletes []*pb.ObjectMeta
	// Conditional is true if meta.version must equal the present version of
	// every object named; 0 in a put means that it must not exist.
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

// Done answers a Change.
type Done struct {
	ID uint64
	// Accepted is true if the change is in the store, or for a dry run if it
	// would be accepted. Revision is the revision that contains it.
	Accepted bool
	Revision uint64
	// Code is empty if accepted.
	Code string
	// Problems lists everything that is wrong with the change.
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
	// none did. The node announces it to its peers.
	InForce uint64
}

// Machine owns the configuration in force at one instance.
type Machine struct{}

// New returns a Machine with the empty set of revision 0 in force.
func New(cfg Config) *Machine { return &Machine{} }

// Current returns the set in force. It is immutable and never nil.
func (m *Machine) Current() *Set { return nil }

// Apply starts a change; its Done follows in a later Output.
func (m *Machine) Apply(now time.Duration, c Change) {}

// ReadHead reads the head from the store, unless a read is in progress.
func (m *Machine) ReadHead(now time.Duration) {}

// OnStoreResult hands in the result of a call. It returns false if the call
// is not one of this machine's.
func (m *Machine) OnStoreResult(now time.Duration, id store.CallID, r store.Result) bool {
	return false
}

// OnPeerRevision tells the machine which revision a peer has in force.
func (m *Machine) OnPeerRevision(now time.Duration, peer, revision uint64) {}

// OnPull answers a peer's pull; nil if the peer lacks nothing.
func (m *Machine) OnPull(p *pb.ConfigPull) *pb.ConfigPush { return nil }

// OnPush takes the segments that a peer sent.
func (m *Machine) OnPush(now time.Duration, peer uint64, p *pb.ConfigPush) {}

// Step runs timers.
func (m *Machine) Step(now time.Duration) {}

// NextWake returns when Step has something to do; a negative value means never.
func (m *Machine) NextWake(now time.Duration) time.Duration { return -1 }

// Take returns and clears what must be done.
func (m *Machine) Take() Output { return Output{} }
