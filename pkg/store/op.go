// Package store describes calls to the platform's object API as data, so that
// the decision packages can ask for them without doing I/O. It owns the types
// of operations and results, the call budget and the retry backoff. It never
// performs a call.
package store

// OpKind is the type of a call to the object API.
type OpKind uint8

// Operations of the object API. Each counts as one call against the budget.
const (
	// Get reads one object.
	Get OpKind = iota + 1
	// Create writes an object only if it does not exist.
	Create
	// Update writes an object only if it still has Op.Version.
	Update
	// Delete removes an object only if it still has Op.Version.
	Delete
	// List reads the keys and versions of all objects with prefix Op.Key.
	List
)

// CallID identifies a call within one instance; results carry it back.
type CallID uint64

// Op is one call to the object API.
type Op struct {
	Kind OpKind
	Key  string
	// Value is the new content for Create and Update, at most 1 MB.
	Value []byte
	// Version is the condition of Update and Delete.
	Version uint64
}

// Status is what is known after a call.
type Status uint8

// Statuses of a call.
const (
	// OK means that the call took effect or the read succeeded.
	OK Status = iota + 1
	// Conflict means that the condition failed and nothing was written.
	Conflict
	// NotFound means that the object does not exist.
	NotFound
	// Unavailable means that the store refused the call or was not reached, so that nothing was written.
	Unavailable
	// Throttled means that the store refused the call because of its rate limit.
	Throttled
	// Unknown means that the answer was lost: a write may or may not have taken
	// effect, now or later, until it is read back.
	Unknown
)

// Entry is one object in a List result.
type Entry struct {
	Key     string
	Version uint64
}

// Result is the outcome of a call.
type Result struct {
	Status Status
	// Value is the content read by Get.
	Value []byte
	// Version is the version read, or the new version after a write.
	Version uint64
	// Entries is the result of List.
	Entries []Entry
}
