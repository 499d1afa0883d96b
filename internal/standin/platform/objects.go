package platform

import (
	"sort"
	"strings"
	"sync"
)

// MaxValueBytes bounds the value of one object.
const MaxValueBytes = 1 << 20

// maxTombstones bounds the deletions that a watch can still report.
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

// objects is the versioned map behind the object API. Versions grow across
// all keys, so that one number orders all changes.
type objects struct {
	mu         sync.Mutex
	byKey      map[string]object
	last       uint64
	tombstones []Event
	// oldest is the version after which all deletions are still known.
	oldest uint64
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
	return o.put(key, value), written
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
	return o.put(key, value), written
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
	o.last++
	o.tombstones = append(o.tombstones, Event{Key: key, Version: o.last, Deleted: true})
	if len(o.tombstones) > maxTombstones {
		o.oldest = o.tombstones[0].Version
		o.tombstones = o.tombstones[1:]
	}
	o.notify()
	return o.last, written
}

// put stores the value under a new version; the caller holds the lock.
func (o *objects) put(key string, value []byte) uint64 {
	o.last++
	o.byKey[key] = object{value: value, version: o.last}
	o.notify()
	return o.last
}

func (o *objects) notify() {
	close(o.changed)
	o.changed = make(chan struct{})
}

// list returns keys and versions of all objects with the prefix, by key.
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

// since returns the changes below prefix after the version in their order, the
// newest version, and a channel that closes on the next change. ok is false
// if deletions after the version are no longer known.
func (o *objects) since(prefix string, after uint64) (events []Event, newest uint64, changed <-chan struct{}, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if after < o.oldest {
		return nil, o.last, o.changed, false
	}
	for key, value := range o.byKey {
		if value.version > after && strings.HasPrefix(key, prefix) {
			events = append(events, Event{Key: key, Version: value.version})
		}
	}
	for _, gone := range o.tombstones {
		_, again := o.byKey[gone.Key]
		if gone.Version > after && strings.HasPrefix(gone.Key, prefix) && !again {
			events = append(events, gone)
		}
	}
	sort.Slice(events, func(i, j int) bool { return events[i].Version < events[j].Version })
	return events, o.last, o.changed, true
}
