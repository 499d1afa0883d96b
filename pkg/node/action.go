package node

import (
	"time"

	"github.com/citrongate/citrongate/pkg/answer"
	"github.com/citrongate/citrongate/pkg/poison"
	"github.com/citrongate/citrongate/pkg/refresh"
	"github.com/citrongate/citrongate/pkg/rollout"
	"github.com/citrongate/citrongate/pkg/store"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// Action is an output of a Node: something that the surrounding process must do.
type Action interface{ isAction() }

// Ran says whether a refused request ran.
type Ran = answer.Ran

// Values of Ran.
const (
	RanNo      = answer.RanNo
	RanYes     = answer.RanYes
	RanUnknown = answer.RanUnknown
)

// Dispatch tells the upstream adapter to send the request. It is emitted at most
// once per request unless a DispatchFailed came between. The adapter reports
// DispatchFailed only if no byte was handed to the upstream's connection.
type Dispatch struct {
	ID       RequestID
	Upstream string
	Address  string
	// Remaining is the time left until the deadline.
	Remaining time.Duration
}

// Refuse tells the caller's adapter that the request ends without an answer.
type Refuse struct {
	ID RequestID
	answer.Refusal
}

// ReplyRecorded answers a non-idempotent call with a recorded outcome. The call
// that ran is not answered this way: its adapter relays the upstream's answer.
type ReplyRecorded struct {
	ID      RequestID
	Outcome *pb.BindingOutcome
}

// CancelUpstream tells the upstream adapter to cancel a dispatched request.
type CancelUpstream struct{ ID RequestID }

// RunForwarded registers a non-idempotent call that another instance forwarded
// to this one. The adapter keeps its body under ID for the Dispatch that follows.
type RunForwarded struct {
	ID   RequestID
	Call *pb.BindingCall
}

// SendFrame sends a frame to another instance. Frames may be lost. To is 0 if
// only the address is known, while the instance joins.
type SendFrame struct {
	To      Incarnation
	Address string
	Frame   *pb.Frame
}

// StoreCall performs a call to the object API.
type StoreCall struct {
	Call store.CallID
	Op   store.Op
}

// ListInstances reads the platform's instance list.
type ListInstances struct{}

// ReadStore reads a part of the store's state; a StoreReadDone follows. It is emitted
// only if Config.RefreshWithin is set.
type ReadStore struct{ Part refresh.Part }

// CopyConfirmed reports that, according to another instance, the store had
// Version of Part at the time At.
type CopyConfirmed struct {
	Part    refresh.Part
	Version uint64
	At      time.Duration
}

// PartChanged reports that a part of prompts was blocked, is on trial or was lifted.
type PartChanged struct {
	Record poison.Record
	// Here is true if this instance decided it.
	Here bool
}

// WritePartRecord writes what is held of a part of prompts to the store, so that it outlives
// all instances. Record.Until is the time that is left of a block. A PartRecordWritten
// follows.
type WritePartRecord struct{ Record poison.Record }

// DeletePartRecord deletes the stored record of a part that is no longer held.
type DeletePartRecord struct{ Key poison.Key }

// ReadPartRecords reads all records of parts from the store; a PartRecordsRead follows. An
// answer that is a few seconds old, which costs the store less, will do unless Current.
type ReadPartRecords struct{ Current bool }

// WriteRollout writes what is known of an order to the store if the object still has the
// record's Revision. A RolloutWritten follows.
type WriteRollout struct {
	Service string
	Record  rollout.Record
}

// RolloutChanged reports that the phase of an order changed, as far as known here.
type RolloutChanged struct {
	Service string
	// Order is rollout.Order.ID.
	Order uint64
	Phase rollout.Phase
	// Reason and Status say why; they are known only to the instance that decided it.
	Reason string
	Status rollout.Status
	// Here is true if this instance decided it.
	Here bool
}

// SendOrder sends an order to an upstream.
type SendOrder struct {
	Order         uint64
	Upstream      string
	Address       string
	FencingNumber uint64
	Verb          string
	Argument      string
	// SendWithin is the time after which the adapter must not start to send.
	SendWithin time.Duration
}

// OrderResult answers an OrderUpstream.
type OrderResult struct {
	Order  uint64
	Status OrderStatus
}

// ChangeDone answers an ApplyChange.
type ChangeDone struct {
	Change uint64
	// Accepted is true if the change is in the store; Revision is then its revision.
	Accepted bool
	Revision uint64
	// Code is empty or one of "conflict", "invalid", "store_unavailable", "outcome_unknown".
	Code string
	// Problems lists everything that is wrong with the change.
	Problems []string
}

// ConfigInForce reports that a new configuration revision is in force.
type ConfigInForce struct{ Revision uint64 }

// ConfigUnusable reports that a configuration revision can not be put in force, and that the
// one before it stays.
type ConfigUnusable struct {
	Revision uint64
	Err      error
}

// Count adds one to a counter, for example ("refusals", "shed_overload").
type Count struct{ Name, Reason string }

// Drained reports that no work is left after a Drain.
type Drained struct{}

func (Dispatch) isAction()         {}
func (Refuse) isAction()           {}
func (ReplyRecorded) isAction()    {}
func (CancelUpstream) isAction()   {}
func (RunForwarded) isAction()     {}
func (SendFrame) isAction()        {}
func (StoreCall) isAction()        {}
func (ListInstances) isAction()    {}
func (ReadStore) isAction()        {}
func (CopyConfirmed) isAction()    {}
func (PartChanged) isAction()      {}
func (WritePartRecord) isAction()  {}
func (ReadPartRecords) isAction()  {}
func (DeletePartRecord) isAction() {}
func (WriteRollout) isAction()     {}
func (RolloutChanged) isAction()   {}
func (SendOrder) isAction()        {}
func (OrderResult) isAction()      {}
func (ChangeDone) isAction()       {}
func (ConfigInForce) isAction()    {}
func (ConfigUnusable) isAction()   {}
func (Count) isAction()            {}
func (Drained) isAction()          {}
