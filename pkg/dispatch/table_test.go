package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/citrongate/citrongate/pkg/dispatch"
)

const (
	self       = 1
	pool       = 77
	otherOwner = 2
)

// requestModel is a reference model of one request, built only from the table's
// inputs and effects.
type requestModel struct {
	waiting, inFlight bool
	attempt           uint32
	holder            dispatch.Holder
	// dispatches is the number of dispatches that were not reported as failed.
	dispatches int
	ended      bool
}

// permit identifies a grant that the model gave to the table.
type permit struct {
	id      dispatch.ID
	attempt uint32
	holder  dispatch.Holder
}

type model struct {
	t        *rapid.T
	table    *dispatch.Table
	now      time.Duration
	requests map[dispatch.ID]*requestModel
	ids      []dispatch.ID
	// open holds the permits that were granted and not released; the value
	// is true if the permit was used.
	open map[permit]bool
	// returning is the permit that the table must return because its upstream takes
	// no new work.
	returning permit
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, requests: map[dispatch.ID]*requestModel{}, open: map[permit]bool{}}
	m.table = dispatch.NewTable(dispatch.Config{Self: self,
		RetryBudgetPercent: 10, MaxRequests: 20, Seed: 1})
	return m
}

// applyEffects checks the table's effects and applies them to the model.
func (m *model) applyEffects() {
	for _, effect := range m.table.TakeEffects() {
		switch e := effect.(type) {
		case dispatch.Offer:
			r := m.requests[e.Record.ID]
			require.False(m.t, r.ended, "an ended request was offered")
			r.waiting, r.attempt, r.holder = true, e.Record.Attempt, e.Record.Holder
		case dispatch.Withdraw:
			require.False(m.t, m.requests[e.ID].inFlight, "a dispatched request was withdrawn")
		case dispatch.Send:
			m.sent(e)
		case dispatch.Release:
			m.released(e)
		case dispatch.Ended:
			m.ended(e)
		}
	}
}

func (m *model) sent(e dispatch.Send) {
	r := m.requests[e.ID]
	r.dispatches++
	require.Equal(m.t, 1, r.dispatches, "request %d was dispatched twice", e.ID)
	require.False(m.t, r.ended, "an ended request was dispatched")
	r.waiting, r.inFlight = false, true
	m.open[permit{e.ID, r.attempt, r.holder}] = true
}

func (m *model) released(e dispatch.Release) {
	p := permit{e.ID, e.Attempt, e.Holder}
	used, open := m.open[p]
	require.True(m.t, open, "permit %v was released twice or never granted", p)
	if m.returning == p {
		// The outcome tells the owner that the upstream takes no work; the permit
		// was not used.
		require.Equal(m.t, dispatch.ConnectRefused, e.Outcome, "permit %v for an upstream that takes no work", p)
		require.False(m.t, used)
		require.True(m.t, e.Returned, "permit %v", p)
	} else {
		require.Equal(m.t, used, !e.Returned, "permit %v", p)
		require.Equal(m.t, used, e.Outcome != dispatch.Unused, "permit %v: used=%v but outcome %d", p, used, e.Outcome)
	}
	delete(m.open, p)
}

func (m *model) ended(e dispatch.Ended) {
	r := m.requests[e.ID]
	require.False(m.t, r.ended, "request %d ended twice", e.ID)
	if e.Refusal.Ran == dispatch.RanNo && e.Refusal.Code != "upstream_refused" {
		require.Zero(m.t, r.dispatches, "ran: no for a request that was dispatched (%s)", e.Refusal.Code)
	}
	if e.Refusal.Code == "" {
		require.Equal(m.t, 1, r.dispatches, "answered without a dispatch")
	}
	r.ended, r.waiting, r.inFlight = true, false, false
}

func (m *model) drawID() dispatch.ID {
	if len(m.ids) == 0 {
		return 999
	}
	return rapid.SampledFrom(append(m.ids, 999)).Draw(m.t, "id")
}

func (m *model) decision(id dispatch.ID) dispatch.Decision {
	d := dispatch.Decision{ID: id, Pool: pool}
	if r := m.requests[id]; r != nil {
		d.Attempt, d.From = r.attempt, r.holder
	}
	switch rapid.IntRange(0, 5).Draw(m.t, "staleness") {
	case 0:
		d.Attempt -= min(d.Attempt, 1)
	case 1:
		d.From = dispatch.Holder{Owner: rapid.Uint64Range(1, 3).Draw(m.t, "from")}
	}
	return d
}

func (m *model) submit() {
	id := dispatch.ID(len(m.ids) + 1)
	m.ids = append(m.ids, id)
	m.requests[id] = &requestModel{}
	m.table.Submit(m.now, dispatch.Request{ID: id, Kind: "k", Organisation: "o", Pool: pool,
		Deadline: m.now + time.Duration(rapid.IntRange(-1, 5000).Draw(m.t, "deadline"))*time.Millisecond},
		dispatch.Limits{}, dispatch.Limits{})
}

func (m *model) grant() {
	id := m.drawID()
	d := m.decision(id)
	use := dispatch.PermitUse(max(0, rapid.IntRange(-2, 3).Draw(m.t, "use")))
	p := permit{id, d.Attempt, d.From}
	if _, granted := m.open[p]; granted {
		// A repeated grant names the same permit; the table must not use it again.
		m.table.Grant(m.now, d, dispatch.Permit{Upstream: "u", Use: use})
		return
	}
	m.open[p] = false
	r := m.requests[id]
	current := r != nil && r.waiting && !r.ended && d.Attempt == r.attempt && d.From == r.holder
	dispatches := 0
	if r != nil {
		dispatches = r.dispatches
	}
	if known := m.table.Record(id); use == dispatch.UpstreamUnavailable && known != nil &&
		known.State == dispatch.Waiting && known.Attempt == d.Attempt && known.Holder == d.From {
		m.returning = p
	}
	m.table.Grant(m.now, d, dispatch.Permit{Upstream: "u", Use: use})
	record := m.table.Record(id)
	stillCurrent := current && record != nil
	m.applyEffects()
	m.returning = permit{}
	if stillCurrent && use == dispatch.Usable && record.Attempt == d.Attempt {
		require.Equal(m.t, dispatches+1, r.dispatches, "a current, usable grant was not used")
	} else if r != nil {
		require.Equal(m.t, dispatches, r.dispatches, "a stale or unusable grant was used")
	}
}

// TestAgainstNaiveModel guards against a second dispatch, a permit that is never
// released or released twice, and a refusal with ran: no after a dispatch, under any
// order of late, repeated and stale messages.
func TestAgainstNaiveModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			m.step()
			m.applyEffects()
		}
		m.now += time.Hour
		m.table.Tick(m.now)
		m.applyEffects()
		require.Zero(t, m.table.Len(), "a request outlived its deadline")
		for p, used := range m.open {
			require.False(t, used, "permit %v was used and never released", p)
		}
	})
}

func (m *model) step() {
	m.now += time.Duration(rapid.IntRange(0, 400).Draw(m.t, "elapsed")) * time.Millisecond
	switch rapid.IntRange(0, 11).Draw(m.t, "event") {
	case 0, 1:
		m.submit()
	case 2, 3, 4:
		m.grant()
	case 5:
		m.table.Shed(m.now, m.decision(m.drawID()), dispatch.Refusal{Code: "shed_overload"})
	case 6:
		m.table.NotOwner(m.now, m.decision(m.drawID()))
	case 7:
		m.reportConnectFailure()
	case 8:
		m.table.Finish(m.now, m.drawID(), dispatch.Result(rapid.IntRange(1, 5).Draw(m.t, "result")), 5, 0)
	case 9:
		m.table.SetOwner(m.now, pool, rapid.Uint64Range(1, 3).Draw(m.t, "owner"))
		m.sync()
	case 10:
		m.table.SetLocal(m.now, pool, rapid.Bool().Draw(m.t, "local"))
		m.sync()
	case 11:
		if rapid.Bool().Draw(m.t, "cancel") {
			m.table.Cancel(m.now, m.drawID())
		} else {
			m.table.FirstToken(m.now, m.drawID())
		}
	}
	m.table.Tick(m.now)
}

// reportConnectFailure reports a refused connection. An adapter does so only for a
// request of which no byte was written, so never after the first token.
func (m *model) reportConnectFailure() {
	id := m.drawID()
	r := m.requests[id]
	record := m.table.Record(id)
	if r != nil && r.inFlight && record != nil && record.State == dispatch.Dispatched {
		r.dispatches--
		r.inFlight = false
	}
	m.table.OnDispatchFailed(m.now, id)
}

// sync hands waiting requests to their owner, as the node does after a change of
// owner. The permits of dispatched requests then belong to the new owner.
func (m *model) sync() {
	m.applyEffects()
	for _, owner := range []uint64{1, 2, 3} {
		holders := map[dispatch.ID]dispatch.Holder{}
		for id, r := range m.requests {
			holders[id] = r.holder
		}
		waiting, inFlight := m.table.Sync(m.now, pool, owner)
		for _, r := range waiting {
			m.requests[r.ID].waiting = true
			m.requests[r.ID].attempt, m.requests[r.ID].holder = r.Attempt, r.Holder
		}
		for _, r := range inFlight {
			old := permit{r.ID, r.Attempt, holders[r.ID]}
			if old.holder == r.Holder {
				continue
			}
			delete(m.open, old)
			m.open[permit{r.ID, r.Attempt, r.Holder}] = true
			m.requests[r.ID].holder = r.Holder
		}
	}
}
