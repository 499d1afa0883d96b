// Package answerbuffer decides how many bytes of answers an instance holds for callers that
// read more slowly than upstreams answer. It bounds the sum, shares it among organisations and
// says which answers have to wait, and which are aborted if the bound is exceeded anyway.
//
// Invariants:
//   - granted bytes never exceed the limit; with the minimum of answers that wait they can;
//   - near the limit, of two answers with the same progress the one with the larger unread
//     remainder waits first;
//   - the last part of the limit is granted only to organisations that were granted no more than
//     is still free afterwards, so that one organisation never takes all of it;
//   - an answer is aborted only while the limit is exceeded, and one of an organisation that
//     holds at most its equal share only if no other holds more.
package answerbuffer

import (
	"cmp"
	"slices"
	"time"
)

const (
	// Minimum is what an answer that waits is counted with, in bytes: the piece that its relay
	// has read and cannot hand on. It is never refused.
	Minimum = 16 << 10
	// nearDivisor: the bound is near once more than limit/nearDivisor is granted.
	nearDivisor = 2
	// answerDivisor: near the bound, one answer may hold at most 1/answerDivisor of what is free.
	answerDivisor = 4
	// headroomDivisor: of the last limit/headroomDivisor, an organisation is granted no more than
	// what brings it to as much as then is free.
	headroomDivisor = 4
	// minimumDivisor: the last limit/minimumDivisor is granted to nobody, but left for the minimum
	// of answers that wait, so that these need not be aborted.
	minimumDivisor = 8
	// progressHalfLife is the time after which bytes that a caller has read count half.
	progressHalfLife = time.Second
	// retryDivisor: waiting answers are considered again once limit/retryDivisor became free.
	retryDivisor = 256
)

// Buffer accounts for the bytes held for all answers of an instance. It is not safe for
// concurrent use.
type Buffer struct {
	limit int64
	// granted is the sum of the granted bytes, held that with the minimum of answers that wait.
	granted, held int64
	organisations map[string]*organisation
	accounts      map[*Account]struct{}
	waiting       map[*Account]struct{}
	// consideredAt is the value of held when waiting answers were last considered.
	consideredAt int64
	opened       uint64
}

// organisation is the part of the buffer that one organisation holds.
type organisation struct {
	granted, held int64
	accounts      int
}

// Account is what is held for one answer.
type Account struct {
	buffer *Buffer
	name   string
	org    *organisation
	// number orders accounts by their opening.
	number uint64
	// granted are the bytes that were granted and not sent yet.
	granted int64
	// asked are the bytes that were refused; 0 unless the answer waits.
	asked int64
	// progress is the number of bytes that the caller has read, halved every
	// progressHalfLife, as of progressAt.
	progress   int64
	progressAt time.Duration
	// aborted is true once Excess has returned the account.
	aborted bool
}

// New returns a buffer of at most limit bytes.
func New(limit int64) *Buffer {
	return &Buffer{
		limit: limit, organisations: map[string]*organisation{},
		accounts: map[*Account]struct{}{}, waiting: map[*Account]struct{}{},
	}
}

// Held is the number of bytes that are held or promised, including the minimum of answers
// that wait.
func (b *Buffer) Held() int64 { return b.held }

// Waiting is the number of answers that wait.
func (b *Buffer) Waiting() int { return len(b.waiting) }

// Open opens the account of an answer to a caller of the organisation.
func (b *Buffer) Open(now time.Duration, org string) *Account {
	o := b.organisations[org]
	if o == nil {
		o = &organisation{}
		b.organisations[org] = o
	}
	o.accounts++
	b.opened++
	a := &Account{buffer: b, name: org, org: o, number: b.opened, progressAt: now}
	b.accounts[a] = struct{}{}
	return a
}

// Reserve asks for room for bytes: the whole rest of an answer whose length is known, so that
// the room is used by answers that can be held as a whole, and the next piece of any other. It
// returns false if the answer has to wait; Granted returns it once it need not.
func (a *Account) Reserve(now time.Duration, bytes int64) (granted bool) {
	a.StopWaiting()
	if !a.buffer.fits(now, a, bytes) {
		a.asked = bytes
		a.buffer.waiting[a] = struct{}{}
		a.charge(Minimum)
		return false
	}
	a.grant(bytes)
	return true
}

// StopWaiting withdraws the refused reservation, if any.
func (a *Account) StopWaiting() {
	if a.asked == 0 {
		return
	}
	a.asked = 0
	delete(a.buffer.waiting, a)
	a.charge(-Minimum)
}

// Sent records that the caller's connection took granted bytes, which are no longer held.
func (a *Account) Sent(now time.Duration, bytes int64) {
	a.Progress(now, bytes)
	a.Return(bytes)
}

// Progress records that the caller's connection took bytes that were not granted.
func (a *Account) Progress(now time.Duration, bytes int64) {
	a.progress, a.progressAt = a.recent(now)+bytes, now
}

// Return gives back granted bytes that are not needed.
func (a *Account) Return(bytes int64) {
	bytes = min(bytes, a.granted)
	a.grant(-bytes)
}

// Release closes the account and frees everything that it holds.
func (a *Account) Release() {
	b := a.buffer
	if _, open := b.accounts[a]; !open {
		return
	}
	a.StopWaiting()
	a.Return(a.granted)
	delete(b.accounts, a)
	if a.org.accounts--; a.org.accounts == 0 {
		delete(b.organisations, a.name)
	}
}

// Grant is a reservation that was refused and is granted now.
type Grant struct {
	Account *Account
	Bytes   int64
}

// Granted grants the refused reservations that now fit: first those of organisations that hold
// least, and of these the answers with the lowest rank.
func (b *Buffer) Granted(now time.Duration) (granted []Grant) {
	b.consideredAt = max(b.consideredAt, b.held)
	if len(b.waiting) == 0 || b.consideredAt-b.held < b.limit/retryDivisor && b.held > Minimum*int64(len(b.waiting)) {
		return nil
	}
	order := make([]*Account, 0, len(b.waiting))
	for a := range b.waiting {
		order = append(order, a)
	}
	slices.SortFunc(order, func(x, y *Account) int {
		return cmp.Or(cmp.Compare(x.org.held, y.org.held), compareRank(now, x, y))
	})
	for _, a := range order {
		if bytes := a.asked; a.Reserve(now, bytes) {
			granted = append(granted, Grant{a, bytes})
		}
	}
	b.consideredAt = b.held
	return granted
}

// Excess returns the answers to be aborted so that the limit is kept: first those of organisations
// that hold more than their equal share, and of these the ones with the highest rank. The caller
// aborts and releases them.
func (b *Buffer) Excess(now time.Duration) (excess []*Account) {
	over := b.held - b.limit
	if over <= 0 {
		return nil
	}
	order := make([]*Account, 0, len(b.accounts))
	for a := range b.accounts {
		if a.aborted {
			over -= a.charged()
		} else if a.charged() > 0 {
			order = append(order, a)
		}
	}
	share := b.equalShare()
	above := func(a *Account) int { return boolInt(a.org.held > share) }
	slices.SortFunc(order, func(x, y *Account) int {
		return cmp.Or(cmp.Compare(above(y), above(x)), compareRank(now, y, x))
	})
	for _, a := range order {
		if over <= 0 {
			break
		}
		a.aborted = true
		over -= a.charged()
		excess = append(excess, a)
	}
	return excess
}

// fits decides on bytes more for an answer that does not wait.
func (b *Buffer) fits(now time.Duration, a *Account, bytes int64) bool {
	grantable := b.limit - b.limit/minimumDivisor
	after := b.granted + bytes
	free := grantable - after
	switch {
	case free < 0:
		return false
	case after > b.limit-b.limit/headroomDivisor && a.org.granted+bytes > free:
		return false
	case b.held+bytes > grantable && a.org.held+bytes > b.equalShare():
		// Answers that wait, which cannot be refused, have taken the rest. Only an organisation
		// below its equal share is granted more, at the expense of one above it.
		return false
	}
	return after <= b.limit/nearDivisor || a.rankWith(now, bytes) <= (grantable-b.granted)/answerDivisor
}

// equalShare is the part of the limit for each organisation that has an account.
func (b *Buffer) equalShare() int64 { return b.limit / int64(max(1, len(b.organisations))) }

// rankWith returns the rank of an answer with bytes more to hold: its unread remainder, reduced by
// the caller's recent progress. Answers with a higher rank wait and are aborted first. If the
// caller recently took as much as is unread, the rank is half the remainder.
func (a *Account) rankWith(now time.Duration, bytes int64) int64 {
	unread := a.granted + bytes
	if unread <= 0 {
		return 0
	}
	return int64(float64(unread) * float64(unread) / float64(unread+a.recent(now)))
}

// Rank is the rank of an answer with everything that it asks for.
func (a *Account) Rank(now time.Duration) int64 { return a.rankWith(now, a.asked) }

// compareRank orders answers by rank, and those of equal rank by their opening.
func compareRank(now time.Duration, x, y *Account) int {
	return cmp.Or(cmp.Compare(x.Rank(now), y.Rank(now)), cmp.Compare(x.number, y.number))
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// recent is the progress as of now.
func (a *Account) recent(now time.Duration) int64 {
	halvings := min(62, max(0, (now-a.progressAt)/progressHalfLife))
	return a.progress >> halvings
}

// charged is what the answer counts with.
func (a *Account) charged() int64 {
	if a.asked > 0 {
		return a.granted + Minimum
	}
	return a.granted
}

func (a *Account) grant(bytes int64) {
	a.granted += bytes
	a.org.granted += bytes
	a.buffer.granted += bytes
	a.charge(bytes)
}

// charge adds to what the answer is counted with; grant also adds to what it was granted.
func (a *Account) charge(bytes int64) {
	a.org.held += bytes
	a.buffer.held += bytes
}
