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
	engineChecksFencing  = "checks"
	engineIgnoresFencing = "ignores"
	duration             = 8 * time.Second
	margin               = duration / 2
)

// testInstance is one instance with its store calls and orders in transit. Its clock
// has an offset of its own; all clocks run at the same rate.
type testInstance struct {
	*Manager
	offset  time.Duration
	network storetest.CallsInFlight
	// sends are the orders that the sender has not started to send.
	sends []Send
	// inTransit are the orders on their way to the engine.
	inTransit []orderInTransit
}

type orderInTransit struct {
	send Send
	// from is the index of the sending instance; sentAt is when the order was sent, by
	// the test's clock.
	from   int
	sentAt time.Duration
}

// engine is an upstream that records the orders that it applied.
type engine struct {
	fencing uint64
	applied []orderInTransit
}

type cluster struct {
	t         require.TestingT
	now       time.Duration
	store     *storetest.Fake
	instances []*testInstance
	engines   map[string]*engine
	nextID    uint64
	ended     map[uint64]int
}

func newCluster(t require.TestingT, n int) *cluster {
	f := &cluster{t: t, now: time.Hour, store: storetest.New(), ended: map[uint64]int{},
		engines: map[string]*engine{engineChecksFencing: {}, engineIgnoresFencing: {}}}
	for i := range n {
		f.instances = append(f.instances, f.newInstance(uint64(i+1), time.Duration(i)*13*time.Second))
	}
	return f
}

func (f *cluster) newInstance(incarnation uint64, offset time.Duration) *testInstance {
	return &testInstance{
		Manager: New(Config{Incarnation: incarnation, IDs: &store.IDSource{}, Seed: incarnation, Duration: duration, OrderTimeout: 40 * time.Second}),
		offset:  offset,
		network: storetest.CallsInFlight{Store: f.store},
	}
}

func (f *cluster) clock(o *testInstance) time.Duration { return f.now + o.offset }

func (f *cluster) collect(o *testInstance) {
	calls, sends, notSent := o.TakeOutputs()
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

func (f *cluster) submit(o *testInstance, upstream string) {
	f.nextID++
	o.Submit(f.clock(o), Order{ID: f.nextID, Upstream: upstream, ChecksFencing: upstream == engineChecksFencing})
	f.collect(o)
}

func (f *cluster) step(o *testInstance) {
	o.Step(f.clock(o))
	f.collect(o)
}

func (f *cluster) advanceCall(o *testInstance, call int, fault storetest.Fault) {
	if id, r, deliver := o.network.Advance(call, fault); deliver {
		require.True(f.t, o.OnStoreResult(f.clock(o), id, r))
		f.collect(o)
	}
}

// startSending starts to send order i, unless its SendBy has passed.
func (f *cluster) startSending(from, i int) {
	o := f.instances[from]
	s := o.sends[i]
	o.sends = append(o.sends[:i:i], o.sends[i+1:]...)
	if f.clock(o) < s.SendBy {
		o.inTransit = append(o.inTransit, orderInTransit{send: s, from: from, sentAt: f.now})
	}
}

// deliver delivers order i in transit to its engine. An order to an engine that
// ignores fencing numbers is lost if it was in transit for the margin or longer.
func (f *cluster) deliver(from, i int) {
	o := f.instances[from]
	w := o.inTransit[i]
	o.inTransit = append(o.inTransit[:i:i], o.inTransit[i+1:]...)
	e := f.engines[w.send.Order.Upstream]
	if w.send.Order.ChecksFencing {
		if w.send.FencingNumber < e.fencing {
			o.OnFencingRefused(w.send.Order.Upstream, w.send.FencingNumber)
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

// TestOneOrdererAtATime guards against interleaved orders of two instances at an
// engine, with concurrent attempts to take a lease, lost answers, late writes, stale
// reads, pauses of any length before and after the lease is checked, and clocks with
// different origins.
func TestOneOrdererAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newCluster(t, 3)
		for range rapid.IntRange(20, 300).Draw(t, "steps") {
			i := rapid.IntRange(0, 2).Draw(t, "orderer")
			o := f.instances[i]
			switch rapid.IntRange(0, 14).Draw(t, "action") {
			case 0, 1:
				f.submit(o, rapid.SampledFrom([]string{engineChecksFencing, engineIgnoresFencing}).Draw(t, "upstream"))
			case 2, 3:
				f.now += time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond
				f.step(o)
			case 4, 5:
				if n := len(o.sends); n > 0 {
					f.startSending(i, rapid.IntRange(0, n-1).Draw(t, "send"))
				}
			case 6, 7:
				if n := len(o.inTransit); n > 0 {
					f.deliver(i, rapid.IntRange(0, n-1).Draw(t, "wire"))
				}
			case 8:
				if n := f.store.LateCount(); n > 0 {
					f.store.RunLate(rapid.IntRange(0, n-1).Draw(t, "late"))
				}
			case 9:
				if rapid.IntRange(0, 5).Draw(t, "drop") == 0 {
					for _, id := range o.Drop(engineIgnoresFencing) {
						f.ended[id]++
					}
				}
			default:
				if n := len(o.network.Calls); n > 0 {
					fault := storetest.None
					if rapid.IntRange(0, 2).Draw(t, "faulty") == 0 {
						fault = storetest.Fault(rapid.IntRange(0, int(storetest.FaultCount)-1).Draw(t, "fault"))
					}
					f.advanceCall(o, rapid.IntRange(0, n-1).Draw(t, "call"), fault)
				}
			}
		}
		f.runUntilIdle()
		require.Len(t, f.ended, int(f.nextID), "every order is sent or reported as not sent")
		for _, n := range f.ended {
			require.Equal(t, 1, n)
		}
	})
}

func (f *cluster) runUntilIdle() {
	for range 200 {
		f.now += 500 * time.Millisecond
		for _, o := range f.instances {
			f.step(o)
			for len(o.network.Calls) > 0 {
				f.advanceCall(o, 0, storetest.None)
			}
		}
	}
}

// deliverCalls completes all store calls of an instance without faults.
func (f *cluster) deliverCalls(o *testInstance) {
	f.collect(o)
	for len(o.network.Calls) > 0 {
		f.advanceCall(o, 0, storetest.None)
	}
}

// TestMarginCoversOrdersOnTheWire guards against an order that is sent late in a
// lease, or after a pause of the sender, and arrives after an order of the next
// holder.
func TestMarginCoversOrdersOnTheWire(t *testing.T) {
	for pause := time.Duration(0); pause <= 2*duration; pause += 250 * time.Millisecond {
		f := newCluster(t, 2)
		first, second := f.instances[0], f.instances[1]
		f.submit(first, engineIgnoresFencing)
		f.deliverCalls(first)
		require.Len(t, first.sends, 1, "a free lease is taken at once")
		// The next holder reads the lease as early as possible and takes it over as
		// soon as it may.
		f.submit(second, engineIgnoresFencing)
		for elapsed := time.Duration(0); elapsed <= 3*duration; elapsed += 250 * time.Millisecond {
			f.deliverCalls(second)
			if elapsed == pause {
				f.startSending(0, 0)
			}
			for len(second.sends) > 0 {
				f.startSending(1, 0)
			}
			for len(second.inTransit) > 0 {
				f.deliver(1, 0)
			}
			// The first holder's order is in transit as long as the margin allows.
			if len(first.inTransit) > 0 && f.now-first.inTransit[0].sentAt+250*time.Millisecond >= margin {
				f.deliver(0, 0)
			}
			f.now += 250 * time.Millisecond
			f.step(second)
		}
		require.NotEmpty(t, f.engines[engineIgnoresFencing].applied)
	}
}

// TestPauseNeedsRenewal guards against an order that is sent after a pause under a
// lease that was not renewed since the pause.
func TestPauseNeedsRenewal(t *testing.T) {
	f := newCluster(t, 1)
	o := f.instances[0]
	f.submit(o, engineChecksFencing)
	f.deliverCalls(o)
	require.Len(t, o.sends, 1)
	f.now += margin + time.Millisecond
	f.submit(o, engineChecksFencing)
	require.Len(t, o.sends, 1, "the lease has not expired, but the process was paused")
	f.deliverCalls(o)
	require.Len(t, o.sends, 2)
	o.OnPause(f.clock(o))
	f.submit(o, engineChecksFencing)
	require.Len(t, o.sends, 2)
	f.deliverCalls(o)
	require.Len(t, o.sends, 3)
	require.Equal(t, o.sends[0].FencingNumber, o.sends[2].FencingNumber, "a renewal keeps the fencing number")
}

// TestIdleLeaseIsNotRenewed guards against renewing leases without orders, which for
// several thousand upstreams would exceed the store's rate.
func TestIdleLeaseIsNotRenewed(t *testing.T) {
	f := newCluster(t, 1)
	o := f.instances[0]
	f.submit(o, engineChecksFencing)
	f.runUntilIdle()
	writes := f.store.Writes
	f.runUntilIdle()
	require.Equal(t, writes, f.store.Writes)
	require.Negative(t, o.NextWake(f.clock(o)))
	require.Empty(t, o.leases)
}
