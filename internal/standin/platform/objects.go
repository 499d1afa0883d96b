package platform

import (
	"sort"
	"strings"
	"sync"
)

// MaxValueBytes is the maximum size of an object's value.
const MaxValueBytes = 1 << 20

// maxTombstones is the number of deletions kept for watches.
const maxTombstones = 4096

// object is one stored value.
type object struct {
	value   []byte
	version uint64
}

// Event is one change reported by a watch.
type Event struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Deleted bool   `json:"deleted,omitempty"`
}

// writeStatus is the result of a conditional write.
type writeStatus int

const (
	written writeStatus = iota
	conditionFailed
	missing
)

// objects is the versioned map behind the object API. Versions are assigned from one
// counter for all keys, so that they order all changes.
type objects struct {
	mu          sync.Mutex
	byKey       map[string]object
	lastVersion uint64
	tombstones  []Event
	// deletionsKnownAfter is the version after which all deletions are in tombstones.
	deletionsKnownAfter uint64
	// changed is closed and replaced on every change.
	changed chan struct{}
}

func newObjects() *objects {
	return &objects{byKey: map[string]object{}, changed: make(chan struct{})}
}

func (o *objects) get(key string) (object, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	found, ok := o.byKey[key]
	return found, ok
}

// create writes the object only if it does not exist.
func (o *objects) create(key string, value []byte) (uint64, writeStatus) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if found, ok := o.byKey[key]; ok {
		return found.version, conditionFailed
	}
	return o.storeValue(key, value), written
}

// update writes the object only if it still has the version.
func (o *objects) update(key string, value []byte, version uint64) (uint64, writeStatus) {
	o.mu.Lock()
	defer o.mu.Unlock()
	found, ok := o.byKey[key]
	if !ok {
		return 0, missing
	}
	if found.version != version {
		return found.version, conditionFailed
	}
	return o.storeValue(key, value), written
}

// remove deletes the object only if it still has the version.
func (o *objects) remove(key string, version uint64) (uint64, writeStatus) {
	o.mu.Lock()
	defer o.mu.Unlock()
	found, ok := o.byKey[key]
	if !ok {
		return 0, missing
	}
	if found.version != version {
		return found.version, conditionFailed
	}
	delete(o.byKey, key)
	o.lastVersion++
	o.tombstones = append(o.tombstones, Event{Key: key, Version: o.lastVersion, Deleted: true})
	if len(o.tombstones) > maxTombstones {
		o.deletionsKnownAfter = o.tombstones[0].Version
		o.tombstones = o.tombstones[1:]
	}
	o.notify()
	return o.lastVersion, written
}

// storeValue stores the value under a new version; the caller holds the lock.
func (o *objects) storeValue(key string, value []byte) uint64 {
	o.lastVersion++
	o.byKey[key] = object{value: value, version: o.lastVersion}
	o.notify()
	return o.lastVersion
}

func (o *objects) notify() {
	close(o.changed)
	o.changed = make(chan struct{})
}

// list returns keys and versions of all objects with the prefix, sorted by key.
func (o *objects) list(prefix string) []Event {
	o.mu.Lock()
	defer o.mu.Unlock()
	found := []Event{}
	for key, value := range o.byKey {
		if strings.HasPrefix(key, prefix) {
			found = append(found, Event{Key: key, Version: value.version})
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found
}

// since returns the changes to keys with the prefix after the version, in order,
// the newest version, and a channel that closes on the next change. ok is false if
// some deletions after the version are no longer known.
func (o *objects) since(prefix string, after uint64) (events []Event, newest uint64, changed <-chan struct{}, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if after < o.deletionsKnownAfter {
		return nil, o.lastVersion, o.changed, false
	}
	for key, value := range o.byKey {
		if value.version > after && strings.HasPrefix(key, prefix) {
			events = append(events, Event{Key: key, Version: value.version})
		}
	}
	for _, deletion := range o.tombstones {
		_, recreated := o.byKey[deletion.Key]
		if deletion.Version > after && strings.HasPrefix(deletion.Key, prefix) && !recreated {
			events = append(events, deletion)
		}
	}
	sort.Slice(events, func(i, j int) bool { return events[i].Version < events[j].Version })
	return events, o.lastVersion, o.changed, true
}
