package platform

import (
	"sort"
	"sync"
	"time"
)

// maxSnapshots bounds the history from which a lagging list is answered.
const maxSnapshots = 4096

// Instance is one line of the instance list.
type Instance struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	// Upstream is true for engines and services, false for entries.
	Upstream      bool   `json:"upstream"`
	PeerAddress   string `json:"peer_address,omitempty"`
	CallerAddress string `json:"caller_address,omitempty"`
	AdminAddress  string `json:"admin_address,omitempty"`
	FailureDomain string `json:"failure_domain,omitempty"`
	Leaving       bool   `json:"leaving"`
}

type instanceKey struct{ name, incarnation string }

type listed struct {
	instance Instance
	// seen is the time of the last heartbeat; zero for instances that stay
	// listed without heartbeats.
	seen time.Time
}

type snapshot struct {
	at        time.Time
	instances []Instance
}

// instances is the instance list with its history.
type instances struct {
	mu      sync.Mutex
	ttl     time.Duration
	byKey   map[instanceKey]listed
	history []snapshot
	// frozen is answered instead of the current list while the list is stale.
	frozen *snapshot
}

func newInstances(ttl time.Duration) *instances {
	return &instances{ttl: ttl, byKey: map[instanceKey]listed{}}
}

// heartbeat lists the instance until the time to live has passed. Leaving
// stays set once it is set.
func (l *instances) heartbeat(now time.Time, instance Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.set(now, listed{instance: instance, seen: now})
}

// keep lists the instance until it is removed.
func (l *instances) keep(now time.Time, instance Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.set(now, listed{instance: instance})
}

func (l *instances) set(now time.Time, entry listed) {
	key := instanceKey{entry.instance.Name, entry.instance.Incarnation}
	before, known := l.byKey[key]
	entry.instance.Leaving = entry.instance.Leaving || before.instance.Leaving
	l.byKey[key] = entry
	if !known || before.instance != entry.instance {
		l.record(now)
	}
}

// markLeaving marks every incarnation of the name; it reports whether there is one.
func (l *instances) markLeaving(now time.Time, name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := false
	for key, entry := range l.byKey {
		if key.name == name {
			entry.instance.Leaving = true
			l.byKey[key] = entry
			found = true
		}
	}
	l.record(now)
	return found
}

// remove takes every incarnation of the name off the list.
func (l *instances) remove(now time.Time, name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := false
	for key := range l.byKey {
		if key.name == name {
			delete(l.byKey, key)
			found = true
		}
	}
	l.record(now)
	return found
}

// expire removes instances whose heartbeats stopped.
func (l *instances) expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	changed := false
	for key, entry := range l.byKey {
		if !entry.seen.IsZero() && now.Sub(entry.seen) > l.ttl {
			delete(l.byKey, key)
			changed = true
		}
	}
	if changed {
		l.record(now)
	}
}

// record appends the current list to the history; the caller holds the lock.
func (l *instances) record(now time.Time) {
	current := make([]Instance, 0, len(l.byKey))
	for _, entry := range l.byKey {
		current = append(current, entry.instance)
	}
	sort.Slice(current, func(i, j int) bool {
		a, b := current[i], current[j]
		return a.Name < b.Name || a.Name == b.Name && a.Incarnation < b.Incarnation
	})
	l.history = append(l.history, snapshot{at: now, instances: current})
	if len(l.history) > maxSnapshots {
		l.history = l.history[1:]
	}
}

// at returns the list as it was lag before now, or as it was when it was frozen.
func (l *instances) at(now time.Time, lag time.Duration) []Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.frozen != nil {
		return l.frozen.instances
	}
	return l.lookup(now.Add(-lag))
}

func (l *instances) lookup(at time.Time) []Instance {
	for i := len(l.history) - 1; i >= 0; i-- {
		if !l.history[i].at.After(at) {
			return l.history[i].instances
		}
	}
	return []Instance{}
}

// freeze makes the list stale, or current again.
func (l *instances) freeze(now time.Time, stale bool, lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !stale {
		l.frozen = nil
		return
	}
	if l.frozen == nil {
		l.frozen = &snapshot{at: now, instances: l.lookup(now.Add(-lag))}
	}
}
