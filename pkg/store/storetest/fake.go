// Package storetest provides an in-memory object API with fault injection, for tests
// of the packages that use the store.
package storetest

import (
	"slices"
	"strings"

	"github.com/citrongate/citrongate/pkg/store"
)

// Fault is a fault injected into one call.
type Fault uint8

// Faults.
const (
	// None lets the call succeed or conflict as usual.
	None Fault = iota
	// Outage makes the store refuse the call; nothing is written.
	Outage
	// LostBefore loses the request: it has no effect and its status is Unknown.
	LostBefore
	// LostAfter loses the response: the call takes effect and its status is Unknown.
	LostAfter
	// Late loses the response and delays a write until RunLate is called for it.
	Late
	// Stale makes a read return the previous version of the object.
	Stale

	// FaultCount is the number of faults.
	FaultCount
)

// Object is one version of an object. Version 0 means that it does not exist.
type Object struct {
	Value   []byte
	Version uint64
}

// Fake is an in-memory object API. Calls take effect in the order of Execute and RunLate.
type Fake struct {
	// History holds all versions of each key, oldest first; deletions are
	// entries of version 0.
	History map[string][]Object
	// Writes counts the writes that took effect.
	Writes        int
	version       uint64
	delayedWrites []store.Op
}

// New returns an empty Fake.
func New() *Fake { return &Fake{History: map[string][]Object{}} }

// Current returns the current version of an object.
func (f *Fake) Current(key string) Object {
	h := f.History[key]
	if len(h) == 0 {
		return Object{}
	}
	return h[len(h)-1]
}

// Execute performs a call with the given fault.
func (f *Fake) Execute(op store.Op, fault Fault) store.Result {
	write := op.Kind == store.Create || op.Kind == store.Update || op.Kind == store.Delete
	switch fault {
	case Outage:
		return store.Result{Status: store.Unavailable}
	case LostBefore:
		return store.Result{Status: store.Unknown}
	case LostAfter:
		f.execute(op)
		return store.Result{Status: store.Unknown}
	case Late:
		if write {
			f.delayedWrites = append(f.delayedWrites, op)
		}
		return store.Result{Status: store.Unknown}
	case Stale:
		if op.Kind == store.Get {
			return f.readPrevious(op.Key)
		}
	}
	return f.execute(op)
}

// LateCount returns the number of delayed writes that have not been performed yet.
func (f *Fake) LateCount() int { return len(f.delayedWrites) }

// RunLate performs the delayed write i. Its condition is checked now.
func (f *Fake) RunLate(i int) {
	op := f.delayedWrites[i]
	f.delayedWrites = slices.Delete(f.delayedWrites, i, i+1)
	f.execute(op)
}

func (f *Fake) readPrevious(key string) store.Result {
	h := f.History[key]
	if len(h) < 2 {
		return store.Result{Status: store.NotFound}
	}
	return readResult(h[len(h)-2])
}

func readResult(o Object) store.Result {
	if o.Version == 0 {
		return store.Result{Status: store.NotFound}
	}
	return store.Result{Status: store.OK, Value: o.Value, Version: o.Version}
}

func (f *Fake) execute(op store.Op) store.Result {
	current := f.Current(op.Key)
	switch op.Kind {
	case store.Get:
		return readResult(current)
	case store.List:
		return f.list(op.Key)
	case store.Create:
		if current.Version != 0 {
			return store.Result{Status: store.Conflict}
		}
		return f.write(op.Key, op.Value)
	case store.Update:
		if current.Version == 0 {
			return store.Result{Status: store.NotFound}
		}
		if current.Version != op.Version {
			return store.Result{Status: store.Conflict}
		}
		return f.write(op.Key, op.Value)
	case store.Delete:
		if current.Version == 0 {
			return store.Result{Status: store.NotFound}
		}
		if current.Version != op.Version {
			return store.Result{Status: store.Conflict}
		}
		f.History[op.Key] = append(f.History[op.Key], Object{})
		f.Writes++
	}
	return store.Result{Status: store.OK}
}

func (f *Fake) write(key string, value []byte) store.Result {
	f.version++
	f.Writes++
	f.History[key] = append(f.History[key], Object{Value: slices.Clone(value), Version: f.version})
	return store.Result{Status: store.OK, Version: f.version}
}

func (f *Fake) list(prefix string) store.Result {
	r := store.Result{Status: store.OK}
	for key := range f.History {
		if o := f.Current(key); strings.HasPrefix(key, prefix) && o.Version != 0 {
			r.Entries = append(r.Entries, store.Entry{Key: key, Version: o.Version})
		}
	}
	slices.SortFunc(r.Entries, func(a, b store.Entry) int { return strings.Compare(a.Key, b.Key) })
	return r
}

// InFlight is a call in progress. The test chooses when the store performs it and,
// after that, when its result is delivered.
type InFlight struct {
	Call     store.Call
	Executed bool
	Result   store.Result
}

// CallsInFlight holds the calls of one instance that are in progress.
type CallsInFlight struct {
	Store *Fake
	Calls []InFlight
}

// Send adds calls in progress.
func (n *CallsInFlight) Send(calls []store.Call) {
	for _, c := range calls {
		n.Calls = append(n.Calls, InFlight{Call: c})
	}
}

// Advance performs call i at the store with the given fault or, if the call was
// already performed, removes it and returns its result for delivery.
func (n *CallsInFlight) Advance(i int, fault Fault) (id store.CallID, r store.Result, deliver bool) {
	c := &n.Calls[i]
	if !c.Executed {
		c.Executed = true
		c.Result = n.Store.Execute(c.Call.Op, fault)
		return 0, store.Result{}, false
	}
	id, r = c.Call.ID, c.Result
	n.Calls = slices.Delete(n.Calls, i, i+1)
	return id, r, true
}
