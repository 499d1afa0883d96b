package node

import (
	"time"

	"github.com/citrongate/citrongate/pkg/configstate"
	"github.com/citrongate/citrongate/pkg/poison"
	"github.com/citrongate/citrongate/pkg/quota"
	"github.com/citrongate/citrongate/pkg/refresh"
	"github.com/citrongate/citrongate/pkg/rollout"
	"github.com/citrongate/citrongate/pkg/scheduler"
	"github.com/citrongate/citrongate/pkg/store"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// RequestID identifies a request within one instance. It is never used twice
// by the same incarnation. The surrounding process uses ids below 1<<63; the
// node uses the rest for calls that another instance forwarded (RunForwarded).
type RequestID uint64

// Incarnation identifies one run of an instance. It is drawn from the system's
// random generator and is never zero and never used twice.
type Incarnation uint64

// Event is an input of a Node.
type Event interface{ isEvent() }

// SubmitRequest is a request from an authenticated caller.
type SubmitRequest struct {
	ID           RequestID
	Organisation string
	Kind         string
	// Model is empty for calls to plain services.
	Model  string
	Labels map[string]string
	// PromptTokens is the estimated prompt length; 0 for plain services.
	PromptTokens uint32
	// MaxOutputTokens is the caller's bound; 0 means the kind's.
	MaxOutputTokens uint32
	// Remaining is the time left until the deadline; 0 means the kind's default.
	Remaining time.Duration
	// Prefix is the digest of the prompt's prefix; 0 if none.
	Prefix uint64
	// Shared holds shorter prefixes of the prompt that other prompts have too.
	Shared scheduler.SharedPrefixes
	// Parts identifies the parts of the prompt that other prompts may have too.
	Parts []uint64
	// IdempotencyKey is set for non-idempotent calls.
	IdempotencyKey string
	// FirstAttempt is true if the caller declares that it sent no call with
	// this key before.
	FirstAttempt bool
	// Body and ContentType are set for non-idempotent calls only, since these
	// may be forwarded to the home of their key.
	Body        []byte
	ContentType string
	// MaxSends bounds how many upstreams the request may be sent to, one after
	// the other; 0 means 1.
	MaxSends uint32
	// Repeatable is true if the request may be sent again although it may have run.
	Repeatable bool
	// StartWithin is the time within which the request must start to be useful,
	// because the caller disconnects without a first token; 0 if only the
	// deadline counts.
	StartWithin time.Duration
	// QuotaCost is the amount charged to the organisation's quota.
	QuotaCost float64
}

// CallerDisconnected reports that the caller's connection closed before the answer ended.
type CallerDisconnected struct{ ID RequestID }

// DispatchFailed reports that no byte of the request reached the upstream's
// connection (connect refused or timed out).
type DispatchFailed struct{ ID RequestID }

// UpstreamFirstToken reports the first token, or the first byte of a plain
// service's answer.
type UpstreamFirstToken struct {
	ID RequestID
	// SlowdownPercent is how long work takes at the upstream now, as it reports, in
	// percent of the usual time; 0 if it did not say.
	SlowdownPercent uint32
}

// UpstreamTokens reports how many output tokens have arrived in total. The
// adapter may coalesce these reports.
type UpstreamTokens struct {
	ID    RequestID
	Total uint32
}

// UpstreamResult says how a dispatched request ended at its upstream.
type UpstreamResult uint8

// Results of a dispatched request.
const (
	// ResultComplete means that the end marker and the request id were seen.
	ResultComplete UpstreamResult = iota + 1
	// ResultRefused means that the upstream refused explicitly before it started.
	ResultRefused
	// ResultBroken means that the connection broke and the stream could not be resumed.
	ResultBroken
	// ResultFailed means that the upstream ran the request and reported a failure.
	ResultFailed
	// ResultFailureRelayed is ResultFailed with the failure already relayed to
	// the caller.
	ResultFailureRelayed
	// ResultMismatched means that the answer carried another request's id.
	ResultMismatched
	// ResultExpired means that the deadline passed during the answer.
	ResultExpired
)

// UpstreamDone ends a dispatched request.
type UpstreamDone struct {
	ID           RequestID
	Result       UpstreamResult
	OutputTokens uint32
	// CachedPromptTokens is the prefix-cache hit reported by the engine.
	CachedPromptTokens uint32
	// Outcome is the answer of a non-idempotent call, for its record.
	Outcome *pb.BindingOutcome
	// NoRepeat is true if no other answer can be used, since the caller has received a
	// part of this one that cannot be continued.
	NoRepeat bool
	// SlowdownPercent is as in UpstreamFirstToken.
	SlowdownPercent uint32
	// Slots is what the upstream said of its slots with its answer.
	Slots scheduler.SlotReport
}

// FrameReceived is a frame from another instance.
type FrameReceived struct{ Frame *pb.Frame }

// StoreDone is the result of a StoreCall.
type StoreDone struct {
	Call   store.CallID
	Result store.Result
}

// ListedInstance is one line of the platform's instance list.
type ListedInstance struct {
	// Name is the instance's name; for upstreams the configuration object's name.
	Name string
	// Incarnation distinguishes restarts of the same name.
	Incarnation string
	Upstream    bool
	// PeerAddress is set for entry instances.
	PeerAddress string
	Leaving     bool
}

// InstanceList is the result of a ListInstances action. OK is false if the
// platform did not answer.
type InstanceList struct {
	OK        bool
	Instances []ListedInstance
}

// UpstreamList is a list of upstreams that was read without the list of instances.
type UpstreamList struct{ Upstreams []ListedInstance }

// UpstreamLeaves reports that an upstream said in an answer that it leaves, which the
// lists may not show yet, or never.
type UpstreamLeaves struct{ Upstream, Incarnation string }

// UpstreamHoldsOff reports that an upstream has turned the request away and wants no other one
// from this instance for a time.
type UpstreamHoldsOff struct {
	ID       RequestID
	Upstream string
	For      time.Duration
}

// OrderUpstream requests that an order be sent to an upstream, for example to
// load a model. It is sent under the upstream's lease; OrderResult answers it.
type OrderUpstream struct {
	// Order identifies the answer; it is local to the instance.
	Order    uint64
	Upstream string
	Verb     string
	Argument string
}

// SendOrderDone is the result of a SendOrder action.
type SendOrderDone struct {
	Order  uint64
	Status OrderStatus
}

// OrderStatus is the known status of an order to an upstream.
type OrderStatus uint8

// Statuses of an order.
const (
	OrderApplied OrderStatus = iota + 1
	OrderRefusedFencing
	OrderNotSent
	OrderUnknown
)

var orderStatusNames = [...]string{"", "applied", "refused for its fencing number", "not sent", "unknown"}

// String returns the name for log lines.
func (s OrderStatus) String() string { return orderStatusNames[s] }

// CacheEvents reports prefix digests that an engine cached or evicted. Events
// arrive late and with gaps, so they are hints only.
type CacheEvents struct {
	Upstream string
	Cached   []uint64
	Evicted  []uint64
	// Gap is true if events were lost before these.
	Gap bool
}

// ApplyChange is an operator's change of one or more objects.
type ApplyChange struct {
	// Change identifies the answer; it is local to the instance.
	Change uint64
	Puts   []*pb.Object
	// Deletes name objects to remove; meta.version is the condition.
	Deletes []*pb.ObjectMeta
	// Conditional is true if the versions in puts must match (0: must not exist).
	Conditional bool
	DryRun      bool
}

// UseConfiguration puts a configuration set in force that another component
// has accepted. It is for nodes with Config.ExternalConfig; a set whose revision
// is not above the one in force is ignored.
type UseConfiguration struct {
	Set *configstate.Set
	// Quotas holds the quotas of organisations over all instances.
	Quotas map[string]quota.Limit
	// TargetTTFT and TargetInterToken replace those of Config if they are positive.
	TargetTTFT, TargetInterToken time.Duration
	// PromptSlowdown replaces that of Config if it is positive.
	PromptSlowdown float64
	// Rollouts holds the orders to move services to another version, one for each service
	// at most.
	Rollouts []RolloutOrder
}

// RolloutOrder is an order to move a service to another version, as read from the store.
type RolloutOrder struct {
	Order rollout.Order
	// Record is what the store has of the order; the zero value if it has nothing.
	Record rollout.Record
	// Command is the operator's command on this order; 0 if there is none.
	Command rollout.Command
	// Age is the time since the order was given, as far as known.
	Age time.Duration
	// Current and Target name the service's upstreams of other versions and of the ordered one.
	Current, Target []string
}

// RolloutWritten is the result of a WriteRollout action.
type RolloutWritten struct {
	Service string
	Result  rollout.WriteResult
}

// StoreReadDone is the result of a ReadStore action.
type StoreReadDone struct {
	Part refresh.Part
	// Started is when the read began, OK whether the store had Version then.
	Started time.Duration
	OK      bool
	Version uint64
}

// PartRecordsRead is the result of a ReadPartRecords action. Record.Until is as in
// WritePartRecord.
type PartRecordsRead struct {
	OK      bool
	Records []poison.Record
	// Lifts are the parts that an operator lifts.
	Lifts []poison.Key
}

// PartRecordWritten is the result of a WritePartRecord action.
type PartRecordWritten struct {
	Key poison.Key
	OK  bool
}

// Drain starts a planned stop.
type Drain struct{}

// Tick drives all timers. The daemon sends one every 20 ms.
type Tick struct{}

func (SubmitRequest) isEvent()      {}
func (CallerDisconnected) isEvent() {}
func (UpstreamLeaves) isEvent()     {}
func (UpstreamHoldsOff) isEvent()   {}
func (DispatchFailed) isEvent()     {}
func (UpstreamFirstToken) isEvent() {}
func (UpstreamTokens) isEvent()     {}
func (UpstreamDone) isEvent()       {}
func (FrameReceived) isEvent()      {}
func (StoreDone) isEvent()          {}
func (InstanceList) isEvent()       {}
func (UpstreamList) isEvent()       {}
func (OrderUpstream) isEvent()      {}
func (SendOrderDone) isEvent()      {}
func (CacheEvents) isEvent()        {}
func (ApplyChange) isEvent()        {}
func (UseConfiguration) isEvent()   {}
func (StoreReadDone) isEvent()      {}
func (PartRecordsRead) isEvent()    {}
func (PartRecordWritten) isEvent()  {}
func (RolloutWritten) isEvent()     {}
func (Drain) isEvent()              {}
func (Tick) isEvent()               {}
