package platform

import (
	"sort"
	"sync"
	"time"
)

// maxSnapshots is the maximum length of the history from which a lagging list is
// answered.
const maxSnapshots = 4096

// Instance is one entry of the instance list.
type Instance struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	// Upstream is true for engines and services, false for citrongate instances.
	Upstream      bool   `json:"upstream"`
	PeerAddress   string `json:"peer_address,omitempty"`
	CallerAddress string `json:"caller_address,omitempty"`
	AdminAddress  string `json:"admin_address,omitempty"`
	FailureDomain string `json:"failure_domain,omitempty"`
	Leaving       bool   `json:"leaving"`
}

type instanceKey struct{ name, incarnation string }

type listEntry struct {
	instance Instance
	// lastHeartbeat is zero for instances that stay listed without heartbeats.
	lastHeartbeat time.Time
}

type snapshot struct {
	at        time.Time
	instances []Instance
}

// instances is the instance list with its history.
type instances struct {
	mu      sync.Mutex
	ttl     time.Duration
	byKey   map[instanceKey]listEntry
	history []snapshot
	// frozen is the list that is answered while the stale_list fault is set; else nil.
	frozen *snapshot
}

func newInstances(ttl time.Duration) *instances {
	return &instances{ttl: ttl, byKey: map[instanceKey]listEntry{}}
}

// heartbeat lists the instance until the time to live has passed. Leaving, once
// set, stays set.
func (l *instances) heartbeat(now time.Time, instance Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.upsert(now, listEntry{instance: instance, lastHeartbeat: now})
}

// addPermanent lists the instance until it is removed.
func (l *instances) addPermanent(now time.Time, instance Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.upsert(now, listEntry{instance: instance})
}

func (l *instances) upsert(now time.Time, entry listEntry) {
	key := instanceKey{entry.instance.Name, entry.instance.Incarnation}
	before, known := l.byKey[key]
	entry.instance.Leaving = entry.instance.Leaving || before.instance.Leaving
	l.byKey[key] = entry
	if !known || before.instance != entry.instance {
		l.record(now)
	}
}

// markLeaving marks every incarnation of the name as leaving; it reports whether there is one.
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

// remove deletes every incarnation of the name; it reports whether there was one.
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

// expire removes instances whose last heartbeat is older than the time to live.
func (l *instances) expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	changed := false
	for key, entry := range l.byKey {
		if !entry.lastHeartbeat.IsZero() && now.Sub(entry.lastHeartbeat) > l.ttl {
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

// listAt returns the list as of lag before now, or the frozen list if it is stale.
func (l *instances) listAt(now time.Time, lag time.Duration) []Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.frozen != nil {
		return l.frozen.instances
	}
	return l.snapshotAt(now.Add(-lag))
}

func (l *instances) snapshotAt(at time.Time) []Instance {
	for i := len(l.history) - 1; i >= 0; i-- {
		if !l.history[i].at.After(at) {
			return l.history[i].instances
		}
	}
	return []Instance{}
}

// setStale freezes the list as of lag before now, or makes it current again.
func (l *instances) setStale(now time.Time, stale bool, lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !stale {
		l.frozen = nil
		return
	}
	if l.frozen == nil {
		l.frozen = &snapshot{at: now, instances: l.snapshotAt(now.Add(-lag))}
	}
}
