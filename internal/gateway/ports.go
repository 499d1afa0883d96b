// Package gateway runs one instance of citrongate on a platform whose operator
// keeps the configuration in a store. It routes requests by host and path and
// forwards them unchanged; the node decides to which upstream and when each is
// sent. All access to the platform goes through the interfaces Store and Codec.
package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/citrongate/citrongate/internal/forward"
	"github.com/citrongate/citrongate/pkg/ingress"
	"github.com/citrongate/citrongate/pkg/poison"
	"github.com/citrongate/citrongate/pkg/rollout"
	"github.com/citrongate/citrongate/pkg/scheduler"
)

// InstanceEntry is the entry of one instance in the store.
type InstanceEntry struct {
	Name, Incarnation          string
	PeerAddress, CallerAddress string
	FailureDomain              string
	Leaving                    bool
}

// Store reads and writes the platform's store. Its methods are safe for
// concurrent use; each makes one call or one listing and never retries, unless it says so.
type Store interface {
	// Config reads the newest configuration. An unchanged one may be returned as
	// the same value again.
	Config(ctx context.Context) (*ingress.Config, error)
	// Upstreams lists the registered upstreams; faults are the errors of entries
	// that could not be read as an upstream.
	Upstreams(ctx context.Context) (upstreams []ingress.Upstream, faults []error, err error)
	// Instances lists the announced instances. With mayBeOld the list may be a few
	// seconds old, which costs the store less.
	Instances(ctx context.Context, mayBeOld bool) (instances []InstanceEntry, faults []error, err error)
	// WriteInstance writes this instance's entry.
	WriteInstance(ctx context.Context, i InstanceEntry) error
	// PartRecords lists the records of parts of prompts. With mayBeOld the list may be a few
	// seconds old. faults are the errors of records that could not be read.
	PartRecords(ctx context.Context, mayBeOld bool) (stored PartRecords, faults []error, err error)
	// WritePartRecord creates or replaces a record, and DeletePartRecord deletes one, if
	// it exists. Until is the time that is left of a block.
	WritePartRecord(ctx context.Context, record poison.Record) error
	DeletePartRecord(ctx context.Context, key poison.Key) error
	// Rollouts lists the orders to move services to another version; faults are the errors of
	// orders that could not be read, whose services are among those refused.
	Rollouts(ctx context.Context) (orders ingress.Orders, faults []error, err error)
	// RolloutCommands lists the operators' commands on orders, by service. With mayBeOld the
	// list may be a few seconds old. faults are the errors of commands that could not be read.
	RolloutCommands(ctx context.Context, mayBeOld bool) (commands map[string]ingress.RolloutCommand, faults []error, err error)
	// WriteRollout writes the record of an order if the object still has the record's
	// Revision. It may read the object to find out what the store has. err is nil if the result
	// is acknowledged or a conflict.
	WriteRollout(ctx context.Context, order rollout.Order, record rollout.Record) (rollout.WriteResult, error)
}

// PartRecords are the stored records of parts of prompts.
type PartRecords struct {
	// Records are those of instances; their Until is the time that is left of a block.
	Records []poison.Record
	// Lifts are the parts whose block an operator lifts.
	Lifts []poison.Key
}

// RequestHead holds the values that the gateway reads from the headers of a request.
type RequestHead struct {
	// ID is the caller's id of this attempt.
	ID string
	// PromptTokens and OutputTokens are the prompt's length and the bound on the
	// output, if HasTokens.
	PromptTokens, OutputTokens uint32
	HasTokens                  bool
	// OutputHint is the caller's estimate of the output; 0 if none.
	OutputHint uint32
	// Prefix identifies the prompt in the KV caches of upstreams; 0 if none.
	Prefix uint64
	// Shared holds the prompt's prefixes that are shared with other requests.
	Shared scheduler.SharedPrefixes
	// Parts identifies the parts of the prompt that other prompts may have too, each once.
	Parts []uint64
	// Remaining is how long the caller will wait, if HasDeadline.
	Remaining   time.Duration
	HasDeadline bool
	// Key is the key that identifies the caller's organisation; empty if none.
	Key string
	// LastEvent is the id of the last event that the caller received of a broken
	// stream.
	LastEvent string
}

// SendHeaders holds the values that are added to the headers of one send to an upstream.
type SendHeaders struct {
	UpstreamID   string
	Organisation string
	Remaining    time.Duration
	// LastEvent is the id of the event after which a stream is to continue; empty
	// for a stream from its start.
	LastEvent string
}

// CallKind distinguishes the platform's calls to an instance.
type CallKind uint8

// Kinds of calls.
const (
	// NotPlatformCall is a request that is not one of the platform's calls.
	NotPlatformCall CallKind = iota
	// ReadyCall asks whether this instance is ready for callers.
	ReadyCall
	// DiscoveryCall asks which addresses callers should use.
	DiscoveryCall
)

// Codec reads and writes the platform's headers and the bodies of its own calls.
type Codec interface {
	// ReadRequest reads the headers of a caller's request.
	ReadRequest(header http.Header) (RequestHead, error)
	// UpstreamHeader returns the headers of a send, made from the caller's.
	UpstreamHeader(caller http.Header, send SendHeaders) http.Header
	// ReadAnswerHead reads the headers of an upstream's answer.
	ReadAnswerHead(code int, header http.Header) forward.AnswerHead
	// CallerHeader returns the headers for the caller, made from the upstream's.
	CallerHeader(upstream http.Header) http.Header
	// SetRetryAfter sets the retry delay of a refusal.
	SetRetryAfter(header http.Header, after time.Duration)
	// ClassifyCall returns which of the platform's calls a request is.
	ClassifyCall(r *http.Request) CallKind
	// DiscoveryAnswer returns the body of a discovery answer.
	DiscoveryAnswer(addresses []string, ttl time.Duration) ([]byte, error)
}
