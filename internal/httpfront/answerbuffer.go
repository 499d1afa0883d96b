package httpfront

import (
	"sync"
	"sync/atomic"

	"github.com/citrongate/citrongate/internal/boottime"
	"github.com/citrongate/citrongate/pkg/answerbuffer"
)

// AnswerBuffer holds the parts of answers that callers have not read yet, for all connections of
// a server, within the bound of answerbuffer.Buffer. It is safe for concurrent use.
type AnswerBuffer struct {
	limit int64
	// held and waiting are copies of the sums in accounts, for metrics.
	held, waiting atomic.Int64

	mu       sync.Mutex
	accounts *answerbuffer.Buffer
	// conns are the connections of the open accounts.
	conns map[*answerbuffer.Account]*callerConn
}

// NewAnswerBuffer returns a buffer of at most limit bytes.
func NewAnswerBuffer(limit int64) *AnswerBuffer {
	return &AnswerBuffer{limit: limit, accounts: answerbuffer.New(limit), conns: map[*answerbuffer.Account]*callerConn{}}
}

// Limit is the bound in bytes.
func (b *AnswerBuffer) Limit() int64 { return b.limit }

// Held is the number of bytes that are held or reserved.
func (b *AnswerBuffer) Held() int64 { return b.held.Load() }

// Waiting is the number of answers that wait for room.
func (b *AnswerBuffer) Waiting() int64 { return b.waiting.Load() }

// open opens the account of the answer in progress on a connection.
func (b *AnswerBuffer) open(organisation string, c *callerConn) *answerbuffer.Account {
	b.mu.Lock()
	defer b.mu.Unlock()
	account := b.accounts.Open(boottime.Now(), organisation)
	b.conns[account] = c
	return account
}

// reserve asks for room; the connection is told by grant if there is some later.
func (b *AnswerBuffer) reserve(account *answerbuffer.Account, bytes int64) (granted bool) {
	b.change(func() { granted = account.Reserve(boottime.Now(), bytes) })
	return granted
}

// sent tells that the connection took bytes that were held.
func (b *AnswerBuffer) sent(account *answerbuffer.Account, bytes int64) {
	b.change(func() { account.Sent(boottime.Now(), bytes) })
}

// giveBack frees reserved bytes that are not needed.
func (b *AnswerBuffer) giveBack(account *answerbuffer.Account, bytes int64) {
	b.change(func() { account.Return(bytes) })
}

// stopWaiting withdraws a refused reservation after bytes were written without one.
func (b *AnswerBuffer) stopWaiting(account *answerbuffer.Account, written int64) {
	b.change(func() {
		account.Progress(boottime.Now(), written)
		account.StopWaiting()
	})
}

// release closes an account.
func (b *AnswerBuffer) release(account *answerbuffer.Account) {
	b.change(func() {
		account.Release()
		delete(b.conns, account)
	})
}

// change changes accounts and then tells the connections whose answers need not wait any more
// or are aborted. No connection's lock may be held.
func (b *AnswerBuffer) change(apply func()) {
	b.mu.Lock()
	apply()
	now := boottime.Now()
	granted := b.accounts.Granted(now)
	grantedTo := make([]*callerConn, len(granted))
	for i, g := range granted {
		grantedTo[i] = b.conns[g.Account]
	}
	var excess []*callerConn
	for _, account := range b.accounts.Excess(now) {
		excess = append(excess, b.conns[account])
	}
	b.held.Store(b.accounts.Held())
	b.waiting.Store(int64(b.accounts.Waiting()))
	b.mu.Unlock()
	for i, g := range granted {
		grantedTo[i].grant(g.Account, g.Bytes)
	}
	for _, c := range excess {
		c.abortForMemory()
	}
}
