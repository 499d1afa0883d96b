// Package store describes calls to the platform's object API as data, so that
// packages without I/O can request them. It defines the types of operations and
// results, the call budget and the retry backoff. It never performs a call.
package store

// OpKind is the kind of a call to the object API.
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

// CallID identifies a call within one instance and associates the result with it.
type CallID uint64

// Op is one call to the object API.
type Op struct {
	Kind OpKind
	Key  string
	// Value is the new content for Create and Update, at most 1 MB.
	Value []byte
	// Version is the version that Update and Delete require the object to have.
	Version uint64
}

// Status is the outcome of a call as far as it is known.
type Status uint8

// Statuses of a call.
const (
	// OK means that the call took effect or the read succeeded.
	OK Status = iota + 1
	// Conflict means that the condition failed and nothing was written.
	Conflict
	// NotFound means that the object does not exist.
	NotFound
	// Unavailable means that the store refused the call or could not be reached, so
	// that nothing was written.
	Unavailable
	// Throttled means that the store refused the call because of its rate limit.
	Throttled
	// Unknown means that the response was lost. A write may have taken effect or may
	// still do so; only reading the object back shows it.
	Unknown
)

// Entry is one object in a List result.
type Entry struct {
	Key     string
	Version uint64
}

// Result is the status of a call and the data that it returned.
type Result struct {
	Status Status
	// Value is the content read by Get.
	Value []byte
	// Version is the version read, or the new version after a write.
	Version uint64
	// Entries is the result of List.
	Entries []Entry
}
