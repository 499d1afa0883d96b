// Package refresh decides when an instance reads shared state from the store
// and when it asks another instance instead, so that the calls to the store
// hardly grow with the number of instances. Readers read at an interval. The
// others ask a reader which version it has and how old that knowledge is; only
// if the version differs, or nobody knows it freshly, do they read themselves.
// It does no I/O and reads no clock.
//
// Invariants:
//   - a copy is only called fresh as of a time at which the store had it: that of
//     the start of an own read, or that of the start of a question less the age
//     that the answer tells;
//   - versions are compared for equality only, so that a peer that is behind
//     costs a read and never replaces a newer copy.
package refresh

import "time"

// Part is one of the things that are kept fresh, each with its own version.
type Part uint8

// Parts.
const (
	Config Part = iota
	Upstreams
	parts
)

// Parts lists all parts.
var Parts = [parts]Part{Config, Upstreams}

// Copy is what is known of an instance's copy of a part.
type Copy struct {
	// Version identifies the content.
	Version uint64
	// At is a time at which the store had this version.
	At time.Duration
	// Known is false before the first read.
	Known bool
}

// Copies holds one copy of each part.
type Copies [parts]Copy

const (
	// intervalShare is the part of the bound after which a copy is confirmed
	// again, by a read or by a question. A reader's read, a question and the read
	// that follows fit into the bound, also if one of them is lost.
	intervalShare = 0.2
	// maxAgeShare is the part of the bound up to which an answer's age is taken
	// instead of an own read.
	maxAgeShare = 0.45
	// answerTimeout is the time for an answer of another instance.
	answerTimeout = 150 * time.Millisecond
	// readTimeout is the time after which a read counts as lost.
	readTimeout = 5 * time.Second
)

// Due is what an instance has to do.
type Due struct {
	// Read says which parts to read now.
	Read [parts]bool
	// Ask is the instance to ask, 0 for none; Sequence is the number of the question.
	Ask      uint64
	Sequence uint32
}

// Reads reports whether a part has to be read.
func (d Due) Reads() bool { return d.Read != [parts]bool{} }

type part struct {
	Copy
	// nextRead is when the part may be read again on its own account.
	nextRead time.Duration
	// readSince is when the read in progress began, if reading.
	readSince time.Duration
	reading   bool
	// again is true if the part has to be read again once the read in progress ends.
	again bool
}

// Refresher keeps the copies of one instance fresh.
type Refresher struct {
	interval, maxAge time.Duration
	parts            [parts]part
	sequence         uint32
	askedAt          time.Duration
	asking           bool
	nextAsk          time.Duration
}

// New returns a refresher without copies, for changes that must count within
// bound.
func New(bound time.Duration) *Refresher {
	return &Refresher{interval: time.Duration(intervalShare * float64(bound)), maxAge: time.Duration(maxAgeShare * float64(bound))}
}

// Copies returns what is known of the copies.
func (r *Refresher) Copies() (c Copies) {
	for p := range r.parts {
		c[p] = r.parts[p].Copy
	}
	return c
}

// Oldest returns the time of the oldest copy; known is false without a copy of
// each part.
func (r *Refresher) Oldest() (at time.Duration, known bool) {
	at, known = r.parts[0].At, true
	for _, p := range r.parts {
		at, known = min(at, p.At), known && p.Known
	}
	return at, known
}

// Tick returns what is due. readerOf names the instance that reads for this one,
// 0 if this one reads itself; with stale it is another one if there is any, since
// this one's reads have failed. It is called only if something is due.
func (r *Refresher) Tick(now time.Duration, readerOf func(stale bool) uint64) (due Due) {
	if r.asking && now-r.askedAt >= answerTimeout {
		r.asking = false
		r.readAll(now, &due)
		return due
	}
	if r.asking || now < r.nextAsk {
		return due
	}
	oldest, known := r.Oldest()
	reader := readerOf(known && now-oldest > r.maxAge)
	if reader == 0 {
		for p := range r.parts {
			if now >= r.parts[p].nextRead {
				r.read(now, Part(p), &due)
			}
		}
		return due
	}
	r.sequence++
	r.asking, r.askedAt, r.nextAsk = true, now, now+r.interval
	due.Ask, due.Sequence = reader, r.sequence
	return due
}

func (r *Refresher) readAll(now time.Duration, due *Due) {
	for _, p := range Parts {
		r.read(now, p, due)
	}
}

// read starts to read a part unless that is in progress.
func (r *Refresher) read(now time.Duration, p Part, due *Due) {
	state := &r.parts[p]
	if state.reading && now-state.readSince < readTimeout {
		return
	}
	state.reading, state.readSince, state.again = true, now, false
	state.nextRead = now + r.interval
	due.Read[p] = true
}

// OnRead takes in the end of a read. With ok the store had the version at the
// start of the read. It returns true if the copy is another one than before.
func (r *Refresher) OnRead(now time.Duration, p Part, started time.Duration, ok bool, version uint64) (changed bool, due Due) {
	state := &r.parts[p]
	state.reading = false
	if ok {
		changed = !state.Known || state.Version != version
		if changed || started > state.At {
			state.Copy = Copy{Version: version, At: started, Known: true}
		}
	}
	if state.again {
		r.read(now, p, &due)
	}
	return changed, due
}

// OnAnswer takes in the answer to a question. ages holds for each part its
// version at the other instance, with At as its age there. It returns the parts
// that are confirmed, and what is to be read.
func (r *Refresher) OnAnswer(now time.Duration, sequence uint32, ages Copies) (confirmed [parts]bool, due Due) {
	if !r.asking || sequence != r.sequence {
		return confirmed, due
	}
	r.asking = false
	for p := range r.parts {
		state, other := &r.parts[p], ages[p]
		if other.Known && state.Known && other.Version == state.Version {
			if at := r.askedAt - other.At; at > state.At {
				state.At, confirmed[p] = at, true
			}
			if now-state.At <= r.maxAge {
				continue
			}
		}
		r.readSoon(now, Part(p), &due)
	}
	return confirmed, due
}

// OnHint takes in another instance's versions that were not asked for. It
// confirms nothing, since it may have been long on its way.
func (r *Refresher) OnHint(now time.Duration, ages Copies) (due Due) {
	for p := range r.parts {
		if state, other := &r.parts[p], ages[p]; other.Known && (!state.Known || other.Version != state.Version) {
			r.readSoon(now, Part(p), &due)
		}
	}
	return due
}

// readSoon starts to read a part, now or, if a read is in progress that may have
// begun too early, after it.
func (r *Refresher) readSoon(now time.Duration, p Part, due *Due) {
	r.parts[p].again = true
	r.read(now, p, due)
}

// Ages returns the copies with At as their age, for another instance.
func (r *Refresher) Ages(now time.Duration) Copies {
	c := r.Copies()
	for p := range c {
		c[p].At = now - c[p].At
	}
	return c
}
