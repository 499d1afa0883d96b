package answerbuffer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// model is a naive account of the same answers, added up anew at each check.
type model struct {
	buffer   *Buffer
	now      time.Duration
	accounts []*Account
	// granted and waiting are what the test knows of each account.
	granted map[*Account]int64
	waiting map[*Account]int64
}

// check compares the sums of the buffer with the model's.
func (m *model) check(t *rapid.T) {
	var granted int64
	byName := map[string]int64{}
	for _, a := range m.accounts {
		granted += m.granted[a]
		byName[a.name] += m.granted[a]
		if m.waiting[a] > 0 {
			byName[a.name] += Minimum
		}
	}
	require.LessOrEqual(t, granted, m.buffer.limit-m.buffer.limit/minimumDivisor, "granted bytes exceed the limit")
	require.Equal(t, granted+int64(len(m.waiting))*Minimum, m.buffer.Held())
	require.Equal(t, len(m.waiting), m.buffer.Waiting())
	for name, held := range byName {
		require.Equal(t, held, m.buffer.organisations[name].held)
	}
	require.Len(t, m.buffer.accounts, len(m.accounts))
}

// reserve asks for room and checks that a refusal has a reason.
func (m *model) reserve(t *rapid.T, a *Account, bytes int64) {
	delete(m.waiting, a)
	a.StopWaiting()
	free := m.buffer.limit - m.buffer.limit/minimumDivisor - m.buffer.granted
	smallInAll := m.granted[a]+bytes <= free/(2*answerDivisor)
	smallOrg := a.org.granted+bytes <= free/4 && a.org.held+bytes <= m.buffer.equalShare()
	if a.Reserve(m.now, bytes) {
		m.granted[a] += bytes
		return
	}
	m.waiting[a] = bytes
	require.False(t, smallInAll && smallOrg, "an answer of %d bytes waits although %d are free", m.granted[a]+bytes, free)
}

// settle takes the grants and aborts that follow a change.
func (m *model) settle(t *rapid.T) {
	for _, g := range m.buffer.Granted(m.now) {
		require.Equal(t, m.waiting[g.Account], g.Bytes)
		m.granted[g.Account] += g.Bytes
		delete(m.waiting, g.Account)
	}
	before := m.buffer.Held()
	excess := m.buffer.Excess(m.now)
	if before <= m.buffer.limit {
		require.Empty(t, excess, "an answer is aborted within the bound")
	}
	share := m.buffer.equalShare()
	var others []*Account
	for _, a := range m.accounts {
		if !slices.Contains(excess, a) && a.charged() > 0 {
			others = append(others, a)
		}
	}
	for _, a := range excess {
		require.Greater(t, m.buffer.Held(), m.buffer.limit, "more answers are aborted than needed")
		for _, other := range others {
			require.False(t, other.org.held > share && a.org.held <= share, "an organisation within its share pays for another")
		}
	}
	for _, a := range excess {
		require.Greater(t, m.buffer.Held(), m.buffer.limit, "more answers are aborted than needed")
		m.release(a)
	}
	require.LessOrEqual(t, m.buffer.Held(), m.buffer.limit, "the bound is exceeded")
}

func (m *model) release(a *Account) {
	a.Release()
	delete(m.granted, a)
	delete(m.waiting, a)
	m.accounts = slices.DeleteFunc(m.accounts, func(b *Account) bool { return a == b })
}

// TestGeneratedAnswers guards against sums that differ from what is held, a bound that is exceeded,
// an answer that is aborted within it, one that waits although it is small, and a reservation that
// is lost. It drives generated answers of several organisations, with sizes from an event to more
// than the bound.
func TestGeneratedAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(64<<10, 16<<20).Draw(t, "limit")
		m := &model{buffer: New(limit), granted: map[*Account]int64{}, waiting: map[*Account]int64{}}
		account := func(t *rapid.T) *Account {
			if len(m.accounts) == 0 {
				t.Skip("no account")
			}
			return rapid.SampledFrom(m.accounts).Draw(t, "account")
		}
		t.Repeat(map[string]func(*rapid.T){
			"": m.check,
			"open and reserve": func(t *rapid.T) {
				name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "organisation")
				m.accounts = append(m.accounts, m.buffer.Open(m.now, name))
				m.reserve(t, m.accounts[len(m.accounts)-1], rapid.Int64Range(1, limit*2).Draw(t, "bytes"))
				m.settle(t)
			},
			"reserve": func(t *rapid.T) {
				m.reserve(t, account(t), rapid.Int64Range(1, limit/8).Draw(t, "bytes"))
				m.settle(t)
			},
			"sent": func(t *rapid.T) {
				a := account(t)
				bytes := rapid.Int64Range(0, m.granted[a]).Draw(t, "bytes")
				a.Sent(m.now, bytes)
				m.granted[a] -= bytes
				m.settle(t)
			},
			"release": func(t *rapid.T) {
				m.release(account(t))
				m.settle(t)
			},
			"wait": func(*rapid.T) { m.now += 300 * time.Millisecond },
		})
		for len(m.accounts) > 0 {
			m.release(m.accounts[0])
			m.settle(t)
		}
		require.Zero(t, m.buffer.Held())
		require.Empty(t, m.buffer.organisations)
	})
}

// TestLargestWaitFirst guards against a small answer that waits while a larger one of the same
// progress is held.
func TestLargestWaitFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 8 << 20
		b := New(limit)
		sizes := rapid.SliceOfN(rapid.Int64Range(1, limit), 1, 60).Draw(t, "sizes")
		for i, size := range sizes {
			b.Open(0, fmt.Sprint("organisation ", i)).Reserve(0, size)
		}
		held := b.Held()
		small := rapid.Int64Range(1, limit).Draw(t, "small")
		large := rapid.Int64Range(small, limit).Draw(t, "large")
		first := b.Open(0, "x")
		if first.Reserve(0, large) {
			first.Release()
			require.Equal(t, held, b.Held())
			require.True(t, b.Open(0, "x").Reserve(0, small))
		}
	})
}

// TestSlowestAreAbortedFirst guards against aborting an answer whose caller reads while one of the
// same size is not read at all.
func TestSlowestAreAbortedFirst(t *testing.T) {
	b := New(100 << 10)
	reading, unread, small := b.Open(0, "o"), b.Open(0, "o"), b.Open(0, "o")
	require.True(t, reading.Reserve(0, 25<<10))
	require.True(t, unread.Reserve(0, 20<<10))
	require.True(t, small.Reserve(0, 4<<10))
	reading.Progress(0, 100<<10)
	var waiting []*Account
	for range 4 {
		a := b.Open(0, fmt.Sprint(len(waiting)))
		require.False(t, a.Reserve(0, 17<<10))
		waiting = append(waiting, a)
	}
	excess := b.Excess(0)
	require.Equal(t, []*Account{unread}, excess)
	require.Empty(t, b.Excess(0), "an answer is aborted twice")
	unread.Release()
	require.LessOrEqual(t, b.Held(), int64(100<<10))
}

// TestWaitingAnswersLeaveShares guards against an organisation whose many waiting answers, each of
// which is small, leave no room to another one: its own are aborted.
func TestWaitingAnswersLeaveShares(t *testing.T) {
	const limit = 1 << 20
	b := New(limit)
	for range 2 * limit / Minimum {
		b.Open(0, "slow").Reserve(0, 20<<10)
		for _, a := range b.Excess(0) {
			a.Release()
		}
	}
	other := b.Open(0, "other")
	require.True(t, other.Reserve(0, 20<<10))
	for _, a := range b.Excess(0) {
		require.Equal(t, "slow", a.name)
	}
}

// TestOrganisationsShare guards against organisations of slow readers that take the room of one that
// comes later, and against shares that stay unequal once callers read: of organisations that always
// ask for more, none holds more than twice as much as another after their first answers were read.
func TestOrganisationsShare(t *testing.T) {
	const limit, piece, organisations = 8 << 20, 32 << 10, 4
	b := New(limit)
	held := map[*Account]bool{}
	ask := func(o int) {
		for {
			a := b.Open(0, fmt.Sprint(o))
			if !a.Reserve(0, piece) {
				a.Release()
				return
			}
			held[a] = true
		}
	}
	ask(0)
	require.LessOrEqual(t, b.Held(), int64(limit-limit/headroomDivisor))
	for o := 1; o < organisations; o++ {
		free := limit - limit/minimumDivisor - b.Held()
		ask(o)
		require.GreaterOrEqual(t, b.organisations[fmt.Sprint(o)].held, free/4, "organisation %d finds no room", o)
	}
	waiting := map[*Account]bool{}
	for o := range organisations {
		for range limit / piece {
			a := b.Open(0, fmt.Sprint(o))
			a.asked, waiting[a] = piece, true
			b.waiting[a] = struct{}{}
		}
	}
	for a := range held {
		a.Release()
		for _, g := range b.Granted(0) {
			require.True(t, waiting[g.Account])
		}
	}
	var shares []int64
	for _, o := range b.organisations {
		shares = append(shares, o.held)
	}
	require.LessOrEqual(t, slices.Max(shares), 2*slices.Min(shares), "%v", shares)
}
