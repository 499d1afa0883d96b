// Package poison finds parts of prompts that end the upstreams which start to answer
// them, and says which parts may not be sent any more. It does no I/O and reads no clock.
//
// The instance that owns a pool of upstreams sees every request there, from all
// instances. Its Watch turns broken answers into ends of upstreams, each with the requests
// that had hardly begun to be answered. Its Registry counts, for each part of these prompts,
// the ends since the part was last answered. A part with enough of them is blocked. The
// registries of all instances exchange Records, so that each refuses the part and each can
// take over the pool.
//
// Invariants:
//   - a part that is answered is never blocked, and a blocked part that is answered is lifted;
//   - ends that a blocked part explains count against no other part;
//   - of parts that came under the same ends none is blocked alone before something tells them apart;
//   - the number of parts that are kept is bounded, and every record ends.
package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// joinEnds is the time within which the ends of several upstreams count once, since
	// they may have one cause, such as a rack that loses power.
	joinEnds = 100 * time.Millisecond
	// triesEvery is the time between two requests that try a part on trial, longer than
	// it takes to find that an upstream ended.
	triesEvery = time.Second
	// retention is how long a record is kept after its last change or end, and
	// liftedRetention that of a lifted one that was never blocked.
	retention       = 30 * time.Minute
	liftedRetention = time.Minute
	// maxTrialFactor bounds the duration of a block, as a multiple of Config.Trial.
	maxTrialFactor = 16
	// maxEnds bounds the ends of a record.
	maxEnds = 16
	// maxTold bounds the records that changed and are told to all instances at a time.
	maxTold = 512
)

// Config holds the settings of a Registry.
type Config struct {
	// Ends is the number of ends of upstreams after which a part is blocked; 0 blocks none.
	Ends int
	// Trial is how long a part is blocked before requests may try it again. It doubles
	// with each trial that ends an upstream.
	Trial time.Duration
}

// Key identifies a part of prompts in one pool of upstreams.
type Key struct{ Pool, Part uint64 }

// State is what is held of a part.
type State uint8

// States of a part.
const (
	// Suspect means that upstreams ended under the part, too few to block it.
	Suspect State = iota + 1
	// Blocked means that requests with the part are refused.
	Blocked
	// Trial means that the time of a block is over: the next end blocks the part again.
	Trial
	// Lifted means that the part was answered after it was suspected or blocked.
	Lifted
)

var stateNames = [...]string{"none", "suspect", "blocked", "trial", "lifted"}

// String returns the state in lower case.
func (s State) String() string { return stateNames[s] }

// End is the end of one upstream.
type End struct {
	// Upstream is the digest of the upstream's name.
	Upstream uint64
	At       time.Duration
}

// Record is what is held of one part, as instances exchange it. Generation grows with each
// lift and Round with each block in it; of two records the one with more of these is newer.
type Record struct {
	Key
	State             State
	Generation, Round uint32
	// Until is the end of a block.
	Until time.Duration
	// With are the other parts that a request must have for the block to apply to it. They came
	// under the same ends, so that any of them may be the one that ends upstreams.
	With []uint64
	// Ends are the ends that count against the part, oldest first.
	Ends []End
	// Touched is when the record changed last.
	Touched time.Duration
	// triedAt is when a request last tried the part on trial.
	triedAt time.Duration
}

// Registry holds the records of all parts. It is not safe for concurrent use.
type Registry struct {
	cfg      Config
	records  map[Key]*Record
	answered recent
	// lastTold is the last key that NextAnswered returned.
	lastTold Key
	pools    map[uint64]*poolEvidence
	// unreported is the newest time in which an instance was not heard from.
	unreported struct{ from, to time.Duration }
	blocked    int
	// joint are the keys of the records that have With.
	joint   map[Key]struct{}
	changed []Key
	// longest is the largest number of parts of a prompt that was seen.
	longest int
}

// New returns an empty registry.
func New(cfg Config) *Registry {
	return &Registry{cfg: cfg, records: map[Key]*Record{}, pools: map[uint64]*poolEvidence{}, joint: map[Key]struct{}{}}
}

// Enabled reports whether parts are blocked at all.
func (r *Registry) Enabled() bool { return r.cfg.Ends > 0 }

// AnyBlocked reports whether a part is blocked.
func (r *Registry) AnyBlocked() bool { return r.blocked > 0 }

// Find returns the first of the parts that is blocked in a pool, and for how long it still is.
func (r *Registry) Find(now time.Duration, pool uint64, parts []uint64) (part uint64, left time.Duration, blocked bool) {
	if r.blocked == 0 {
		return 0, 0, false
	}
	for _, part := range parts {
		if record := r.records[Key{pool, part}]; record != nil && record.State == Blocked && now < record.Until && record.concerns(parts) {
			return part, record.Until - now, true
		}
	}
	return 0, 0, false
}

// onTrial reports whether the block of a part is over and nothing has shown yet whether it
// still ends upstreams.
func (r *Record) onTrial(now time.Duration) bool {
	return r.State == Trial || r.State == Blocked && now >= r.Until
}

// Try is Find for the owner of a pool, which lets requests with a part on trial pass one at a
// time. blocked is true if the request must not pass now.
func (r *Registry) Try(now time.Duration, pool uint64, parts []uint64) (part uint64, left time.Duration, blocked bool) {
	if part, left, blocked = r.Find(now, pool, parts); blocked {
		return part, left, true
	}
	for _, part := range parts {
		record := r.records[Key{pool, part}]
		if record == nil || !record.onTrial(now) || !record.concerns(parts) {
			continue
		}
		if record.triedAt > 0 && now-record.triedAt < triesEvery {
			return part, triesEvery - (now - record.triedAt), true
		}
		record.triedAt = now
	}
	return 0, 0, false
}

// Answered records that an upstream of a pool answered a request with the parts.
func (r *Registry) Answered(now time.Duration, pool uint64, parts []uint64) {
	if !r.Enabled() {
		return
	}
	r.noteLength(parts)
	r.clearJoint(now, pool, parts)
	for _, part := range parts {
		key := Key{pool, part}
		r.Lift(now, key)
		r.answered.add(key, r.answeredLimit())
	}
}

// AnsweredElsewhere records that other instances saw a part answered. It lifts nothing, since the
// part may have been answered before the ends that count against it here.
func (r *Registry) AnsweredElsewhere(key Key) {
	if r.Enabled() && !r.answered.has(key) {
		r.answered.add(key, r.answeredLimit())
	}
}

// AnsweredCount returns the number of parts that are remembered as answered. A part that was
// answered again counts up to twice.
func (r *Registry) AnsweredCount() int { return len(r.answered.newer) + len(r.answered.older) }

// NextAnswered returns up to limit parts that are known to have been answered, others at each
// call until all were returned.
func (r *Registry) NextAnswered(limit int) []Key {
	keys := r.answered.after(r.lastTold, limit)
	if len(keys) > 0 {
		r.lastTold = keys[len(keys)-1]
	}
	return keys
}

// Lift ends all suspicion against a part.
func (r *Registry) Lift(now time.Duration, key Key) {
	record := r.records[key]
	if record == nil || record.State == Lifted {
		return
	}
	if !r.told(record) {
		r.remove(key)
		return
	}
	r.setState(record, Lifted)
	r.setWith(record, nil)
	record.Generation++
	record.Ends, record.Touched = nil, now
	r.changed = append(r.changed, key)
}

// Tick ends blocks whose time is over, lifts trials under which no upstream ended, forgets
// old records, and returns the records that it changed. Every instance does the same, so
// that none has to tell the others.
func (r *Registry) Tick(now time.Duration) (changes []Record) {
	maps.DeleteFunc(r.pools, func(_ uint64, p *poolEvidence) bool { return now-p.touched >= retention })
	for _, key := range r.keys() {
		record := r.records[key]
		keep := retention
		if record.State == Lifted && !record.Kept() {
			keep = liftedRetention
		}
		idle := now-record.Touched >= keep
		switch {
		case record.State == Blocked && now >= record.Until:
			r.setState(record, Trial)
		case record.State == Trial && idle:
			r.setState(record, Lifted)
			r.setWith(record, nil)
			record.Generation++
			record.Ends = nil
		case record.State != Blocked && idle:
			r.remove(key)
			continue
		default:
			continue
		}
		record.Touched = now
		changes = append(changes, record.clone())
	}
	return changes
}

// TakeChanges returns the records that changed since the last call and of which other
// instances must know. Of more than maxTold it returns those that matter most; the others are
// told when all records are exchanged.
func (r *Registry) TakeChanges() []Record {
	if len(r.changed) == 0 {
		return nil
	}
	slices.SortFunc(r.changed, CompareKeys)
	keys := slices.Compact(r.changed)
	keys = slices.DeleteFunc(keys, func(key Key) bool { return r.records[key] == nil })
	if len(keys) > maxTold {
		slices.SortStableFunc(keys, func(a, b Key) int { return compareWeight(r.records[b], r.records[a]) })
		keys = keys[:maxTold]
		slices.SortFunc(keys, CompareKeys)
	}
	var changes []Record
	for _, key := range keys {
		changes = append(changes, r.records[key].clone())
	}
	r.changed = r.changed[:0]
	return changes
}

// Records returns the records of which other instances must know, by key.
func (r *Registry) Records() []Record {
	var out []Record
	for _, key := range r.keys() {
		if record := r.records[key]; r.told(record) {
			out = append(out, record.clone())
		}
	}
	return out
}

// Record returns the record of a part.
func (r *Registry) Record(key Key) (Record, bool) {
	record := r.records[key]
	if record == nil {
		return Record{}, false
	}
	return record.clone(), true
}

func (r *Record) clone() Record {
	c := *r
	c.Ends, c.With = slices.Clone(r.Ends), slices.Clone(r.With)
	return c
}

func (r *Registry) create(now time.Duration, key Key, state State) *Record {
	if len(r.records) >= r.recordLimit() {
		r.displace()
	}
	record := &Record{Key: key, Touched: now}
	r.records[key] = record
	r.setState(record, state)
	return record
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (r *Registry) remove(key Key) {
	r.setState(r.records[key], 0)
	delete(r.joint, key)
	delete(r.records, key)
}

func (r *Registry) setState(record *Record, state State) {
	r.blocked += btoi(state == Blocked) - btoi(record.State == Blocked)
	record.State = state
}

// keys returns the keys of all records in order, so that iteration is repeatable.
func (r *Registry) keys() []Key { return slices.SortedFunc(maps.Keys(r.records), CompareKeys) }

// CompareKeys orders keys by pool and part.
func CompareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Part, b.Part))
}
