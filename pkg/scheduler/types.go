// Package scheduler decides, for one pool of upstreams, which waiting request is
// dispatched next and to which upstream, and which requests are shed. It owns the
// queues, the learned concurrency limits and the permits. It does no I/O and
// reads no clock.
//
// An entry is the instance that received a request from its caller and dispatches
// it. The owner is the instance whose Pool decides for a pool of upstreams. A
// permit is the record of a granted request, from the grant until its release.
//
// Invariants:
//   - a permit is granted at most once per submitted attempt;
//   - no request is granted while a request of a higher tier waits that could
//     use the same upstream;
//   - when a request is shed, no request of a lower tier that shares an
//     upstream with it is left waiting.
package scheduler

import "time"

// MaxTiers is the number of tier ranks; rank 0 is the most urgent.
const MaxTiers = 16

// GlobalID identifies a request across instances.
type GlobalID struct {
	// Entry is the incarnation of the instance that holds the request.
	Entry uint64
	// Sequence is the request's number at that instance.
	Sequence uint64
}

// Descriptor describes a request to the pool.
type Descriptor struct {
	ID GlobalID
	// Attempt is echoed in the decision, so that an entry can ignore decisions
	// on an earlier attempt.
	Attempt uint32
	// Tier is the rank of the tier; 0 is the most urgent.
	Tier uint8
	// Kind and Org are the interned numbers of the request kind and the
	// organisation; the caller of the package assigns them.
	Kind, Org uint32
	// Class is an index into Topology.Classes.
	Class uint32
	// PromptLength is the number of prompt tokens; 0 for plain services.
	PromptLength uint32
	// MeanOutput and HighOutput are the mean and the 0.9 quantile of the predicted output tokens.
	MeanOutput, HighOutput uint32
	// Deadline is on the local monotonic clock.
	Deadline time.Duration
	// StartBy is the time until which a grant is useful; 0 if only Deadline counts.
	StartBy time.Duration
	// Prefix is the digest of the prompt prefix; 0 if none.
	Prefix uint64
	// Shared holds shorter prefixes, contained in Prefix, that other prompts share.
	Shared SharedPrefixes
	// Parts identifies the parts of the prompt that other prompts may have too. The pool
	// does not use them.
	Parts []uint64
}

// MaxSharedPrefixes is the maximum number of shared prefixes recorded for a prompt.
const MaxSharedPrefixes = 2

// SharedPrefixes holds the shared prefixes of a prompt, shortest first. Unused
// elements have no digest.
type SharedPrefixes [MaxSharedPrefixes]SharedPrefix

// SharedPrefix is a prefix of a prompt, up to and including a part that other
// prompts share.
type SharedPrefix struct {
	// Digest identifies the prefix.
	Digest uint64
	// Tokens is its length from the start of the prompt.
	Tokens uint32
}

// Config holds the parameters of a pool.
type Config struct {
	// TargetTTFT and TargetInterToken are targets for the 95th percentile.
	TargetTTFT, TargetInterToken time.Duration
	// PromptSlowdown is the ratio of the inter-token time of an engine's streams
	// while it prefills a prompt to that without. Engines that would then miss
	// TargetInterToken get short prompts only. 0 disables this.
	PromptSlowdown float64
	// MaxQueue bounds the number of waiting requests.
	MaxQueue int
	// Seed makes all random choices repeatable.
	Seed uint64
	// Transit is the usual maximum time of a message from an entry to the pool.
	// A lower-tier request that arrives within this time after a higher tier was
	// shed may already have been waiting at its entry then, and is shed too.
	// 0 means 10 ms.
	Transit time.Duration
	// LimitDivisor divides every upstream's limit. It is 1 for an owner, and the number
	// of live entries for the local pool that an entry uses when no owner is
	// reachable.
	LimitDivisor int
}

// Upstream is the configuration of one upstream of the pool.
type Upstream struct {
	Name string
	// Service is true for plain services, whose limit is fixed.
	Service bool
	// Concurrency is the initial limit; MaxConcurrency bounds the learned limit.
	Concurrency, MaxConcurrency uint32
	// FixedLimit is true for an engine that is known to run Concurrency requests
	// at once; its limit is not learned.
	FixedLimit bool
	// PrefillTokensPerSecond and DecodePerToken are initial estimates of the
	// speed; 0 takes a default.
	PrefillTokensPerSecond float64
	DecodePerToken         time.Duration
	// Leaving upstreams receive no grants.
	Leaving bool
	// Group is the set of upstreams that get requests only while its allowance lasts (see
	// Pool.SetAllowance); 0 if there is no such limit.
	Group uint32
}

// Class is a set of eligible upstreams, as indices into Topology.Upstreams.
type Class struct {
	Upstreams []uint32
}

// FlowLimit bounds the work of one kind or organisation in the pool; 0 means no limit.
type FlowLimit struct {
	// Weight is the fair-queueing weight; 0 means 1.
	Weight   float64
	InFlight uint32
	Queued   uint32
}

// Topology is the configuration of a pool. Upstreams keep their learned state
// across changes, matched by name. A class index is valid within one topology
// only; Remap[i] gives the new index of old class i, or -1 if it was removed.
type Topology struct {
	Upstreams []Upstream
	Classes   []Class
	Remap     []int32
	// Kinds and Orgs return the limits of a flow. They must be fast and must not allocate.
	Kinds func(kind uint32) FlowLimit
	Orgs  func(org uint32) FlowLimit
}

// InFlight is a dispatched request reported by an entry after a change of owner.
type InFlight struct {
	Descriptor Descriptor
	// Upstream is an index into Topology.Upstreams.
	Upstream     uint32
	OutputTokens uint32
	Age          time.Duration
}

// Observation is what an entry observed at one upstream over a window.
type Observation struct {
	Entry    uint64
	Upstream uint32
	// Streams is the number of streams in progress, of which Stalled produced no
	// token in the window.
	Streams, Stalled uint32
	// InterToken is the mean time between tokens in the window.
	InterToken time.Duration
}

// Outcome says how a permit ended.
type Outcome uint8

// Outcomes of a permit.
const (
	// Unused means that nothing was dispatched.
	Unused Outcome = iota + 1
	// Complete means that the answer was complete and in time.
	Complete
	// Late means that the deadline passed.
	Late
	// Broken means that the answer was cut off.
	Broken
	// ConnectRefused means that the connection to the upstream was refused before the first byte.
	ConnectRefused
	// Refused means that the upstream explicitly rejected the request.
	Refused
	// Canceled means that the caller abandoned the request.
	Canceled
	// Failed means that the upstream's answer was complete and says that the request failed.
	Failed
)

// Completion describes the end of a permit.
type Completion struct {
	ID           GlobalID
	Outcome      Outcome
	OutputTokens uint32
	TTFT         time.Duration
	// InterToken is the mean time between tokens; 0 if unknown.
	InterToken time.Duration
	// CachedPrompt is the number of prompt tokens found in the prefix cache.
	CachedPrompt uint32
	// SlowdownPercent is how long work takes at the upstream now, as it reports, in
	// percent of the usual time; 0 if it did not say.
	SlowdownPercent uint32
	// HoldOff is how long the upstream wants no further request from the entry; 0 if it
	// did not say.
	HoldOff time.Duration
	// Slots is what the upstream said of its slots.
	Slots SlotReport
	// Attempt is the attempt whose permit ends; the permit of a later attempt
	// stays. 0 means any.
	Attempt uint32
}

// SlotReport is what an upstream says of its slots when it answers. The zero value means
// that it says nothing.
type SlotReport struct {
	Known bool
	// Free is the number of idle slots, or, if negative, of requests that wait there.
	Free int32
}

// ShedReason says why a waiting request was shed.
type ShedReason uint8

// Reasons of a shed decision.
const (
	// Overload means that the expected wait was too long, the queue was full, or
	// a higher tier was shed.
	Overload ShedReason = iota + 1
	// Expired means that the latest start time passed while the request waited.
	Expired
	// Infeasible means that even an idle upstream could not meet the deadline.
	Infeasible
	// LimitInFlight means that the in-flight limit of the kind or organisation
	// blocked the request until its latest start time.
	LimitInFlight
	// LimitQueue means that the queue limit of the kind or organisation was reached.
	LimitQueue
	// NoUpstream means that the class has no upstream that accepts requests.
	NoUpstream
	// PartBlocked means that a part of the prompt is blocked. The pool itself never sheds
	// for this reason.
	PartBlocked
	// HeldOff means that every upstream of the class holds the entry off until after the
	// latest start time.
	HeldOff
)

// Decision is an output of Pool.Step: a grant if Reason is 0, else a shed.
type Decision struct {
	ID      GlobalID
	Attempt uint32
	// Upstream is an index into Topology.Upstreams, for grants.
	Upstream uint32
	Reason   ShedReason
	// RetryAfter is an estimate of when the same request could be accepted.
	RetryAfter time.Duration
}

// TierSummary counts the requests of one tier.
type TierSummary struct {
	Waiting, InFlight uint32
}

// UpstreamSummary is the observed state of one upstream.
type UpstreamSummary struct {
	Name            string
	Limit, InFlight uint32
	// TTFT and InterToken are smoothed observations.
	TTFT, InterToken time.Duration
	Straggler        bool
}

// Summary is a snapshot of a pool for metrics and status.
type Summary struct {
	Tiers     [MaxTiers]TierSummary
	Upstreams []UpstreamSummary
}
