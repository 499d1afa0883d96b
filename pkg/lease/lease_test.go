package lease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/citrongate/citrongate/internal/fixedseed"

	"github.com/citrongate/citrongate/pkg/store"
	"github.com/citrongate/citrongate/pkg/store/storetest"
)

const (
	engineChecks  = "checks"
	engineIgnores = "ignores"
	duration      = 8 * time.Second
	margin        = duration / 2
)

// orderer is one instance with its calls and orders on their way. Its clock
// has an offset of its own; all clocks run at the same rate.
type orderer struct {
	*Manager
	offset  time.Duration
	network storetest.Network
	// sends are orders that the edge has not started to send.
	sends []Send
	// wire are orders on their way to the engine.
	wire []wireOrder
}

type wireOrder struct {
	send Send
	// from is the index of the sender; sentAt is when it was sent, by the test's clock.
	from   int
	sentAt time.Duration
}

// engine records the orders that it applied.
type engine struct {
	fencing uint64
	applied []wireOrder
}

type fleet struct {
	t        require.TestingT
	now      time.Duration
	store    *storetest.Fake
	orderers []*orderer
	engines  map[string]*engine
	nextID   uint64
	ended    map[uint64]int
}

func newFleet(t require.TestingT, n int) *fleet {
	f := &fleet{t: t, now: time.Hour, store: storetest.New(), ended: map[uint64]int{},
		engines: map[string]*engine{engineChecks: {}, engineIgnores: {}}}
	for i := range n {
		f.orderers = append(f.orderers, f.newOrderer(uint64(i+1), time.Duration(i)*13*time.Second))
	}
	return f
}

func (f *fleet) newOrderer(incarnation uint64, offset time.Duration) *orderer {
	return &orderer{
		Manager: New(Config{Incarnation: incarnation, IDs: &store.IDSource{}, Seed: incarnation, Duration: duration, OrderTimeout: 40 * time.Second}),
		offset:  offset,
		network: storetest.Network{Store: f.store},
	}
}

func (f *fleet) clock(o *orderer) time.Duration { return f.now + o.offset }

func (f *fleet) collect(o *orderer) {
	calls, sends, notSent := o.Take()
	o.network.Send(calls)
	for _, s := range sends {
		f.ended[s.Order.ID]++
		if s.Order.ChecksFencing {
			require.LessOrEqual(f.t, f.clock(o), s.SendBy)
		}
	}
	o.sends = append(o.sends, sends...)
	for _, id := range notSent {
		f.ended[id]++
	}
}

func (f *fleet) submit(o *orderer, upstream string) {
	f.nextID++
	o.Submit(f.clock(o), Order{ID: f.nextID, Upstream: upstream, ChecksFencing: upstream == engineChecks})
	f.collect(o)
}

func (f *fleet) step(o *orderer) {
	o.Step(f.clock(o))
	f.collect(o)
}

func (f *fleet) advance(o *orderer, call int, fault storetest.Fault) {
	if id, r, deliver := o.network.Advance(call, fault); deliver {
		require.True(f.t, o.OnStoreResult(f.clock(o), id, r))
		f.collect(o)
	}
}

// transmit lets the edge start to send order i, unless its time has passed.
func (f *fleet) transmit(from, i int) {
	o := f.orderers[from]
	s := o.sends[i]
	o.sends = append(o.sends[:i:i], o.sends[i+1:]...)
	if f.clock(o) < s.SendBy {
		o.wire = append(o.wire, wireOrder{send: s, from: from, sentAt: f.now})
	}
}

// arrive lets order i on the wire reach its engine. An order to an engine that
// ignores fencing travels for less than the margin.
func (f *fleet) arrive(from, i int) {
	o := f.orderers[from]
	w := o.wire[i]
	o.wire = append(o.wire[:i:i], o.wire[i+1:]...)
	e := f.engines[w.send.Order.Upstream]
	if w.send.Order.ChecksFencing {
		if w.send.FencingNumber < e.fencing {
			o.Fenced(w.send.Order.Upstream, w.send.FencingNumber)
			return
		}
	} else if f.now-w.sentAt >= margin {
		return
	}
	require.GreaterOrEqual(f.t, w.send.FencingNumber, e.fencing, "an engine applied an order of an earlier holder after one of a later holder")
	if n := len(e.applied); n > 0 && e.applied[n-1].send.FencingNumber == w.send.FencingNumber {
		require.Equal(f.t, e.applied[n-1].from, w.from, "two holders have one fencing number")
	}
	e.fencing = w.send.FencingNumber
	e.applied = append(e.applied, w)
}

// TestOneOrdererAtATime guards against two instances whose orders interleave at
// an engine, with racing takers, lost answers, late writes, stale reads, pauses
// of any length before and after the check, and clocks with different origins.
func TestOneOrdererAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, 3)
		for range rapid.IntRange(20, 300).Draw(t, "steps") {
			i := rapid.IntRange(0, 2).Draw(t, "orderer")
			o := f.orderers[i]
			switch rapid.IntRange(0, 14).Draw(t, "action") {
			case 0, 1:
				f.submit(o, rapid.SampledFrom([]string{engineChecks, engineIgnores}).Draw(t, "upstream"))
			case 2, 3:
				f.now += time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond
				f.step(o)
			case 4, 5:
				if n := len(o.sends); n > 0 {
					f.transmit(i, rapid.IntRange(0, n-1).Draw(t, "send"))
				}
			case 6, 7:
				if n := len(o.wire); n > 0 {
					f.arrive(i, rapid.IntRange(0, n-1).Draw(t, "wire"))
				}
			case 8:
				if n := f.store.LateCount(); n > 0 {
					f.store.RunLate(rapid.IntRange(0, n-1).Draw(t, "late"))
				}
			case 9:
				if rapid.IntRange(0, 5).Draw(t, "drop") == 0 {
					for _, id := range o.Drop(engineIgnores) {
						f.ended[id]++
					}
				}
			default:
				if n := len(o.network.Calls); n > 0 {
					fault := storetest.None
					if rapid.IntRange(0, 2).Draw(t, "faulty") == 0 {
						fault = storetest.Fault(rapid.IntRange(0, int(storetest.FaultCount)-1).Draw(t, "fault"))
					}
					f.advance(o, rapid.IntRange(0, n-1).Draw(t, "call"), fault)
				}
			}
		}
		f.settle()
		require.Len(t, f.ended, int(f.nextID), "every order is sent or given up")
		for _, n := range f.ended {
			require.Equal(t, 1, n)
		}
	})
}

func (f *fleet) settle() {
	for range 200 {
		f.now += 500 * time.Millisecond
		for _, o := range f.orderers {
			f.step(o)
			for len(o.network.Calls) > 0 {
				f.advance(o, 0, storetest.None)
			}
		}
	}
}

// run delivers all calls without faults.
func (f *fleet) run(o *orderer) {
	f.collect(o)
	for len(o.network.Calls) > 0 {
		f.advance(o, 0, storetest.None)
	}
}

// TestMarginCoversOrdersOnTheWire guards against an order that is sent late in
// a lease, or after a pause of the edge, and arrives after the next holder's.
func TestMarginCoversOrdersOnTheWire(t *testing.T) {
	for pause := time.Duration(0); pause <= 2*duration; pause += 250 * time.Millisecond {
		f := newFleet(t, 2)
		first, second := f.orderers[0], f.orderers[1]
		f.submit(first, engineIgnores)
		f.run(first)
		require.Len(t, first.sends, 1, "a free lease is taken at once")
		// The next holder sees the lease as early as it can and takes it when it may.
		f.submit(second, engineIgnores)
		for elapsed := time.Duration(0); elapsed <= 3*duration; elapsed += 250 * time.Millisecond {
			f.run(second)
			if elapsed == pause {
				f.transmit(0, 0)
			}
			for len(second.sends) > 0 {
				f.transmit(1, 0)
			}
			for len(second.wire) > 0 {
				f.arrive(1, 0)
			}
			// The first holder's order takes as long as the margin allows.
			if len(first.wire) > 0 && f.now-first.wire[0].sentAt+250*time.Millisecond >= margin {
				f.arrive(0, 0)
			}
			f.now += 250 * time.Millisecond
			f.step(second)
		}
		require.NotEmpty(t, f.engines[engineIgnores].applied)
	}
}

// TestPauseNeedsRenewal guards against an order that is sent after a pause
// under a lease that was not renewed since.
func TestPauseNeedsRenewal(t *testing.T) {
	f := newFleet(t, 1)
	o := f.orderers[0]
	f.submit(o, engineChecks)
	f.run(o)
	require.Len(t, o.sends, 1)
	f.now += margin + time.Millisecond
	f.submit(o, engineChecks)
	require.Len(t, o.sends, 1, "the lease still lasts, but the process was paused")
	f.run(o)
	require.Len(t, o.sends, 2)
	o.OnPause(f.clock(o))
	f.submit(o, engineChecks)
	require.Len(t, o.sends, 2)
	f.run(o)
	require.Len(t, o.sends, 3)
	require.Equal(t, o.sends[0].FencingNumber, o.sends[2].FencingNumber, "a renewal keeps the fencing number")
}

// TestIdleLeaseIsNotRenewed guards against several thousand leases that are
// renewed for ever although orders are rare.
func TestIdleLeaseIsNotRenewed(t *testing.T) {
	f := newFleet(t, 1)
	o := f.orderers[0]
	f.submit(o, engineChecks)
	f.settle()
	writes := f.store.Writes
	f.settle()
	require.Equal(t, writes, f.store.Writes)
	require.Negative(t, o.NextWake(f.clock(o)))
	require.Empty(t, o.leases)
}
