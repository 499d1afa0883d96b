// Package refresh decides when an instance reads shared state from the store and when
// it asks a peer instead, so that the number of store calls hardly grows with the
// number of instances. Some instances are readers, which read at an interval. Each
// other instance asks a reader for the version of its copy and the age of that
// knowledge, and reads the store itself only if the version differs or no recent
// knowledge is available. The package does no I/O and reads no clock.
//
// Invariants:
//   - a copy counts as fresh only as of a time at which the store had that version:
//     the start of a read by this instance, or the start of a query to a peer less
//     the age that the peer reports;
//   - versions are compared for equality only, so that a peer with an older version
//     costs a read and never replaces a newer copy.
package refresh

import "time"

// Part is an independently versioned part of the shared state.
type Part uint8

// Values of Part.
const (
	Config Part = iota
	Upstreams
	parts
)

// Parts lists all parts.
var Parts = [parts]Part{Config, Upstreams}

// Copy describes an instance's copy of a part.
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
	// intervalFraction is the fraction of the bound after which a copy is confirmed
	// again, by a read or a query. A reader's read, a query to it and the read that
	// follows fit into the bound, even if one of them is lost.
	intervalFraction = 0.2
	// maxAgeFraction is the fraction of the bound up to which the age that a peer
	// reports is accepted. With an older copy this instance reads the store itself,
	// and a reader queries a peer.
	maxAgeFraction = 0.45
	// maxAllowance bounds the reads after changes that may follow each other at once;
	// further ones are intervalsPerRead intervals apart.
	maxAllowance     = 2
	intervalsPerRead = 2
	// responseTimeout is how long to wait for a peer's response.
	responseTimeout = 150 * time.Millisecond
	// readTimeout is the time after which a read is regarded as lost.
	readTimeout = 5 * time.Second
)

// Due holds the reads and the query that an instance must start now.
type Due struct {
	// Read is true for each part to read from the store.
	Read [parts]bool
	// QueryPeer is the peer to query, 0 for none; Sequence is the number of the query.
	QueryPeer uint64
	Sequence  uint32
}

// Reads reports whether any part must be read.
func (d Due) Reads() bool { return d.Read != [parts]bool{} }

// partState is the copy of one part and the state of its reads.
type partState struct {
	Copy
	// nextRead is when the next periodic read by a reader is due.
	nextRead time.Duration
	// readStartedAt is when the read in progress started, if reading is true.
	readStartedAt time.Duration
	reading       bool
	// wanted is true if another instance has another version, so that the part must be
	// read once no read is in progress and allowance permits it.
	wanted bool
	// allowance is the number of wanted reads that may start now, as of allowanceAt.
	allowance   float64
	allowanceAt time.Duration
}

// Refresher decides when to refresh the copies of one instance.
type Refresher struct {
	interval, maxAge time.Duration
	parts            [parts]partState
	sequence         uint32
	askedAt          time.Duration
	asking           bool
	nextAsk          time.Duration
}

// New returns a Refresher without copies. Changes in the store must take effect at
// this instance within bound.
func New(bound time.Duration) *Refresher {
	r := &Refresher{interval: time.Duration(intervalFraction * float64(bound)), maxAge: time.Duration(maxAgeFraction * float64(bound))}
	for p := range r.parts {
		r.parts[p].allowance = maxAllowance
	}
	return r
}

// Copies returns the versions and times of all copies.
func (r *Refresher) Copies() (c Copies) {
	for p := range r.parts {
		c[p] = r.parts[p].Copy
	}
	return c
}

// Oldest returns the time of the oldest copy; known is false unless there is a copy
// of each part.
func (r *Refresher) Oldest() (at time.Duration, known bool) {
	at, known = r.parts[0].At, true
	for _, p := range r.parts {
		at, known = min(at, p.At), known && p.Known
	}
	return at, known
}

// Tick returns the reads or the query that are due. readerOf returns the reader that
// this instance queries, or 0 if this instance is a reader. If stale is true, it
// returns a peer if there is any, since this instance has not refreshed its copies in
// time. readerOf is called only if a read or query may be due.
func (r *Refresher) Tick(now time.Duration, readerOf func(stale bool) uint64) (due Due) {
	for _, p := range Parts {
		r.startWanted(now, p, &due)
	}
	if r.asking && now-r.askedAt >= responseTimeout {
		r.asking = false
		r.startReads(now, &due)
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
				r.startRead(now, Part(p), &due)
			}
		}
		return due
	}
	r.sequence++
	r.asking, r.askedAt, r.nextAsk = true, now, now+r.interval
	due.QueryPeer, due.Sequence = reader, r.sequence
	return due
}

// startReads starts to read all parts that are not being read.
func (r *Refresher) startReads(now time.Duration, due *Due) {
	for _, p := range Parts {
		r.startRead(now, p, due)
	}
}

// startRead starts to read a part unless a read is in progress.
func (r *Refresher) startRead(now time.Duration, p Part, due *Due) {
	state := &r.parts[p]
	if state.reading && now-state.readStartedAt < readTimeout {
		return
	}
	state.reading, state.readStartedAt, state.wanted = true, now, false
	state.nextRead = now + r.interval
	due.Read[p] = true
}

// OnRead records the end of a read. If ok is true, the store had the version at the
// start of the read; a read that started before the copy's time says nothing new. It
// returns whether the version of the copy changed, and a repeated read if one was
// requested during this read.
func (r *Refresher) OnRead(now time.Duration, p Part, started time.Duration, ok bool, version uint64) (changed bool, due Due) {
	state := &r.parts[p]
	state.reading = false
	if ok && (!state.Known || started > state.At) {
		changed = !state.Known || state.Version != version
		state.Copy = Copy{Version: version, At: started, Known: true}
	}
	r.startWanted(now, p, &due)
	return changed, due
}

// OnAnswer records the response to a query. ages holds the peer's version of each
// part, with At as its age there. It returns which copies were confirmed as fresh, and
// the reads that are due. A response to an earlier query is ignored.
func (r *Refresher) OnAnswer(now time.Duration, sequence uint32, ages Copies) (confirmed [parts]bool, due Due) {
	if !r.asking || sequence != r.sequence {
		return confirmed, due
	}
	r.asking = false
	for p := range r.parts {
		state, peerCopy := &r.parts[p], ages[p]
		if peerCopy.Known && state.Known && peerCopy.Version == state.Version {
			if at := r.askedAt - peerCopy.At; at > state.At {
				state.At, confirmed[p] = at, true
			}
			if now-state.At <= r.maxAge {
				continue
			}
		}
		r.requestRead(now, Part(p), &due)
	}
	return confirmed, due
}

// OnAnnouncement handles versions that a peer sent without a query. It returns reads of the
// parts whose version differs. It confirms no copy, since the message may have been
// delayed.
func (r *Refresher) OnAnnouncement(now time.Duration, ages Copies) (due Due) {
	for p := range r.parts {
		if state, peerCopy := &r.parts[p], ages[p]; peerCopy.Known && (!state.Known || peerCopy.Version != state.Version) {
			r.requestRead(now, Part(p), &due)
		}
	}
	return due
}

// requestRead has a part read because its version changed. If a read is in progress,
// which may have started too early to return the new version, another read follows it.
func (r *Refresher) requestRead(now time.Duration, p Part, due *Due) {
	r.parts[p].wanted = true
	r.startWanted(now, p, due)
}

// startWanted starts a read that was requested, as far as the allowance permits it.
func (r *Refresher) startWanted(now time.Duration, p Part, due *Due) {
	state := &r.parts[p]
	if !state.wanted || state.reading && now-state.readStartedAt < readTimeout {
		return
	}
	if state.Known && !state.consumeAllowance(now, r.interval) {
		return
	}
	r.startRead(now, p, due)
}

// consumeAllowance takes one read from the allowance. It returns false if that is used
// up. While a part changes many times in a row, as the upstreams do when all of them
// start, one read then returns several changes.
func (s *partState) consumeAllowance(now, interval time.Duration) bool {
	earned := float64(now-s.allowanceAt) / float64(intervalsPerRead*interval)
	allowance := min(maxAllowance, s.allowance+earned)
	s.allowanceAt = now
	if allowance < 1 {
		s.allowance = allowance
		return false
	}
	s.allowance = allowance - 1
	return true
}

// Ages returns the copies with At as their age, to be sent to a peer.
func (r *Refresher) Ages(now time.Duration) Copies {
	c := r.Copies()
	for p := range c {
		c[p].At = now - c[p].At
	}
	return c
}
