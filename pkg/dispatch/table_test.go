package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/citrongate/citrongate/pkg/dispatch"
)

const (
	self  = 1
	pool  = 77
	other = 2
)

// naive is a straightforward model of one request, built only from what the
// table was told and what it emitted.
type naive struct {
	waiting, flying bool
	attempt         uint32
	holder          dispatch.Holder
	// handed counts dispatches that were not reported as failed.
	handed int
	ended  bool
}

// permit is a grant that the model handed out.
type permit struct {
	id      dispatch.ID
	attempt uint32
	holder  dispatch.Holder
}

type model struct {
	t        *rapid.T
	table    *dispatch.Table
	now      time.Duration
	requests map[dispatch.ID]*naive
	ids      []dispatch.ID
	// open holds permits that were granted and not released; the value is
	// true if the permit was used.
	open map[permit]bool
	// declined is the permit that is being returned because its upstream is gone.
	declined permit
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, requests: map[dispatch.ID]*naive{}, open: map[permit]bool{}}
	m.table = dispatch.NewTable(dispatch.Config{Self: self, OwnerTimeout: 300 * time.Millisecond,
		RetryBudgetPercent: 10, MaxRequests: 20, Seed: 1})
	return m
}

// absorb applies the table's effects to the model and checks them.
func (m *model) absorb() {
	for _, effect := range m.table.Take() {
		switch e := effect.(type) {
		case dispatch.Offer:
			r := m.requests[e.Record.ID]
			require.False(m.t, r.ended, "an ended request was offered")
			r.waiting, r.attempt, r.holder = true, e.Record.Attempt, e.Record.Holder
		case dispatch.Withdraw:
			require.False(m.t, m.requests[e.ID].flying, "a dispatched request was withdrawn")
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
	r.handed++
	require.Equal(m.t, 1, r.handed, "request %d was dispatched twice", e.ID)
	require.False(m.t, r.ended, "an ended request was dispatched")
	r.waiting, r.flying = false, true
	m.open[permit{e.ID, r.attempt, r.holder}] = true
}

func (m *model) released(e dispatch.Release) {
	p := permit{e.ID, e.Attempt, e.Holder}
	used, open := m.open[p]
	require.True(m.t, open, "permit %v was released twice or never granted", p)
	if m.declined == p {
		// The owner learns that the upstream takes no work; nothing was used.
		require.Equal(m.t, dispatch.ConnectRefused, e.Outcome, "permit %v for an upstream that is gone", p)
		require.False(m.t, used)
	} else {
		require.Equal(m.t, used, e.Outcome != dispatch.Unused, "permit %v: used=%v but outcome %d", p, used, e.Outcome)
	}
	delete(m.open, p)
}

func (m *model) ended(e dispatch.Ended) {
	r := m.requests[e.ID]
	require.False(m.t, r.ended, "request %d ended twice", e.ID)
	if e.Refusal.Ran == dispatch.RanNo && e.Refusal.Code != "upstream_refused" {
		require.Zero(m.t, r.handed, "ran: no for a request that was dispatched (%s)", e.Refusal.Code)
	}
	if e.Refusal.Code == "" {
		require.Equal(m.t, 1, r.handed, "answered without a dispatch")
	}
	r.ended, r.waiting, r.flying = true, false, false
}

func (m *model) pick() dispatch.ID {
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
	m.requests[id] = &naive{}
	m.table.Submit(m.now, dispatch.Request{ID: id, Kind: "k", Organisation: "o", Pool: pool,
		Deadline: m.now + time.Duration(rapid.IntRange(-1, 5000).Draw(m.t, "deadline"))*time.Millisecond},
		dispatch.Limits{}, dispatch.Limits{})
}

func (m *model) grant() {
	id := m.pick()
	d := m.decision(id)
	use := dispatch.Use(max(0, rapid.IntRange(-2, 2).Draw(m.t, "use")))
	p := permit{id, d.Attempt, d.From}
	if _, granted := m.open[p]; granted {
		// A repeated grant is the same permit; the table must not use it again.
		m.table.Grant(m.now, d, "u", use)
		return
	}
	m.open[p] = false
	r := m.requests[id]
	current := r != nil && r.waiting && !r.ended && d.Attempt == r.attempt && d.From == r.holder
	handed := 0
	if r != nil {
		handed = r.handed
	}
	if known := m.table.Record(id); use == dispatch.UpstreamGone && known != nil &&
		known.State == dispatch.Waiting && known.Attempt == d.Attempt && known.Holder == d.From {
		m.declined = p
	}
	m.table.Grant(m.now, d, "u", use)
	record := m.table.Record(id)
	stillCurrent := current && record != nil
	m.absorb()
	m.declined = permit{}
	if stillCurrent && use == dispatch.Usable && record.Attempt == d.Attempt {
		require.Equal(m.t, handed+1, r.handed, "a current, usable grant was not used")
	} else if r != nil {
		require.Equal(m.t, handed, r.handed, "a stale or unusable grant was used")
	}
}

// TestAgainstNaiveModel guards against a second dispatch, a permit that leaks or
// is released twice, and ran: no after a dispatch, under any order of late,
// repeated and stale messages.
func TestAgainstNaiveModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			m.step()
			m.absorb()
		}
		m.now += time.Hour
		m.table.Tick(m.now)
		m.absorb()
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
		m.table.Shed(m.now, m.decision(m.pick()), dispatch.Refusal{Code: "shed_overload"})
	case 6:
		m.table.NotOwner(m.now, m.decision(m.pick()))
	case 7:
		m.failed()
	case 8:
		m.table.Finish(m.now, m.pick(), dispatch.Result(rapid.IntRange(1, 5).Draw(m.t, "result")), 5, 0)
	case 9:
		m.table.SetOwner(m.now, pool, rapid.Uint64Range(1, 3).Draw(m.t, "owner"))
		m.sync()
	case 10:
		m.table.SetLocal(m.now, pool, rapid.Bool().Draw(m.t, "local"))
		m.sync()
	case 11:
		if rapid.Bool().Draw(m.t, "cancel") {
			m.table.Cancel(m.now, m.pick())
		} else {
			m.table.FirstToken(m.now, m.pick())
		}
	}
	m.table.Tick(m.now)
}

// failed reports a refused connection, which an edge does only for a request
// of which no byte was handed over, so never after the first token.
func (m *model) failed() {
	id := m.pick()
	r := m.requests[id]
	record := m.table.Record(id)
	if r != nil && r.flying && record != nil && record.State == dispatch.Dispatched {
		r.handed--
		r.flying = false
	}
	m.table.Failed(m.now, id)
}

// sync hands waiting requests to the owner as the node does after a move. The
// permits of dispatched requests then belong to the new owner.
func (m *model) sync() {
	m.absorb()
	for _, owner := range []uint64{1, 2, 3} {
		holders := map[dispatch.ID]dispatch.Holder{}
		for id, r := range m.requests {
			holders[id] = r.holder
		}
		waiting, flying := m.table.Sync(m.now, pool, owner)
		for _, r := range waiting {
			m.requests[r.ID].waiting = true
			m.requests[r.ID].attempt, m.requests[r.ID].holder = r.Attempt, r.Holder
		}
		for _, r := range flying {
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
