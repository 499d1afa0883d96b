package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/citrongate/citrongate/internal/fixedseed"
)

const (
	testUpstreams = 4
	testKinds     = 3
	testOrgs      = 4
)

// driver feeds random events to a pool and to the naive model.
type driver struct {
	model
	sequence uint64
}

// retry sends a refused request again at the time that was told.
func (d *driver) retry(t *rapid.T) {
	if len(d.told) == 0 {
		return
	}
	again := rapid.SampledFrom(d.told).Draw(t, "retried")
	if again.at < d.now {
		return
	}
	d.now = again.at
	d.step()
	d.sequence++
	again.ID.Sequence = d.sequence
	d.pool.Submit(d.now, again.Descriptor)
	d.submitted(again.Descriptor)
}

func newDriver(t *rapid.T) *driver {
	d := &driver{model: model{
		t: t, now: time.Second,
		classes:  [][]uint32{{0, 1}, {1, 2}, {3}, {0, 1, 2, 3}},
		leaving:  make([]bool, testUpstreams),
		inFlight: make([]int, testUpstreams),
		kindTag:  map[[3]uint32]int64{}, orgTag: map[[3]uint32]int64{},
		tierVirtual: map[uint8]int64{}, kindVirtual: map[[3]uint32]int64{},
		refused: map[GlobalID]Descriptor{}, evicted: map[GlobalID]bool{}, kindLimit: map[uint32]int{}, orgLimit: map[uint32]int{},
	}}
	for kind := range uint32(testKinds) {
		d.kindLimit[kind] = rapid.SampledFrom([]int{0, 0, 0, 3}).Draw(t, "kind limit")
	}
	for org := range uint32(testOrgs) {
		d.orgLimit[org] = rapid.SampledFrom([]int{0, 0, 0, 2}).Draw(t, "organisation limit")
	}
	d.pool = New(Config{Seed: 1, MaxQueue: rapid.SampledFrom([]int{0, 12}).Draw(t, "queue")})
	d.setTopology()
	return d
}

func (d *driver) setTopology() {
	topology := Topology{
		Kinds: func(kind uint32) FlowLimit { return FlowLimit{InFlight: uint32(d.kindLimit[kind])} },
		Orgs:  func(org uint32) FlowLimit { return FlowLimit{InFlight: uint32(d.orgLimit[org])} },
	}
	for i := range testUpstreams {
		topology.Upstreams = append(topology.Upstreams, Upstream{
			Name: string(rune('a' + i)), Service: i == 3, Concurrency: uint32(1 + i), MaxConcurrency: uint32(1 + i),
			Leaving: d.leaving[i],
		})
	}
	for _, members := range d.classes {
		topology.Classes = append(topology.Classes, Class{Upstreams: members})
	}
	d.pool.SetTopology(d.now, topology)
}

func (d *driver) descriptor(t *rapid.T) Descriptor {
	d.sequence++
	descriptor := Descriptor{
		ID:   GlobalID{Entry: uint64(rapid.IntRange(1, 2).Draw(t, "entry")), Sequence: d.sequence},
		Tier: uint8(rapid.IntRange(0, 2).Draw(t, "tier")),
		Kind: uint32(rapid.IntRange(0, testKinds-1).Draw(t, "kind")), Org: uint32(rapid.IntRange(0, testOrgs-1).Draw(t, "organisation")),
		Class: uint32(rapid.IntRange(0, 3).Draw(t, "class")), PromptLength: uint32(rapid.IntRange(0, 500).Draw(t, "prompt")),
		MeanOutput: uint32(rapid.IntRange(0, 50).Draw(t, "output")),
		Deadline:   d.now + time.Duration(rapid.IntRange(0, 60).Draw(t, "deadline"))*500*time.Millisecond,
		Prefix:     uint64(rapid.IntRange(0, 3).Draw(t, "prefix")),
	}
	descriptor.HighOutput = 2 * descriptor.MeanOutput
	return descriptor
}

func (d *driver) submit(t *rapid.T) {
	descriptor := d.descriptor(t)
	d.pool.Submit(d.now, descriptor)
	d.submitted(descriptor)
}

func (d *driver) release(t *rapid.T) {
	if len(d.flight) == 0 {
		return
	}
	r := rapid.SampledFrom(d.flight).Draw(t, "released")
	c := Completion{ID: r.ID, Outcome: rapid.SampledFrom([]Outcome{Unused, Complete, Complete, Late, Broken, ConnectRefused, Canceled}).Draw(t, "outcome")}
	c.OutputTokens = uint32(rapid.IntRange(1, 100).Draw(t, "tokens"))
	trueCost := int64(0)
	if c.Outcome != Unused && c.Outcome != ConnectRefused {
		trueCost = max(1, int64(r.PromptLength)+decodeCost*int64(c.OutputTokens))
	}
	d.pool.Release(d.now, c)
	d.removeInFlight(r, trueCost)
}

func (d *driver) withdraw(t *rapid.T) {
	if len(d.waiting) == 0 {
		return
	}
	r := rapid.SampledFrom(d.waiting).Draw(t, "withdrawn")
	d.pool.Withdraw(d.now, r.ID)
	d.remove(&d.waiting, r)
}

func (d *driver) firstToken(t *rapid.T) {
	if len(d.flight) == 0 {
		return
	}
	r := rapid.SampledFrom(d.flight).Draw(t, "started")
	d.pool.FirstToken(d.now, r.ID, time.Duration(rapid.IntRange(1, 2000).Draw(t, "ttft"))*time.Millisecond, rapid.SampledFrom([]uint32{0, 100, 400}).Draw(t, "slowdown"))
}

func (d *driver) adopt(t *rapid.T) {
	d.sequence++
	descriptor := Descriptor{
		ID: GlobalID{Entry: 1, Sequence: d.sequence}, Tier: uint8(rapid.IntRange(0, 2).Draw(t, "tier")),
		Kind: 0, Org: 1, Class: 3, PromptLength: 10, MeanOutput: 10, Deadline: d.now + time.Second,
	}
	u := uint32(rapid.IntRange(0, testUpstreams-1).Draw(t, "upstream"))
	d.pool.Adopt(d.now, InFlight{Descriptor: descriptor, Upstream: u, OutputTokens: 5})
	d.addInFlight(&modelRequest{Descriptor: descriptor, cost: costOf(10, 10), adopted: true}, u)
}

func (d *driver) dropEntry(t *rapid.T) {
	entry := uint64(rapid.IntRange(1, 2).Draw(t, "entry"))
	d.pool.DropEntry(d.now, entry)
	kept := d.waiting[:0]
	for _, r := range d.waiting {
		if r.ID.Entry != entry {
			kept = append(kept, r)
		}
	}
	d.waiting = kept
	for _, r := range d.flight {
		if r.ID.Entry == entry {
			r.lapse = d.now + entryGrace
		}
	}
}

func (d *driver) actions() map[string]func(*rapid.T) {
	step := func(t *rapid.T) { d.step() }
	repeated := func(action func(*rapid.T)) func(*rapid.T) {
		return func(t *rapid.T) {
			for range rapid.IntRange(1, 8).Draw(t, "times") {
				action(t)
			}
			d.step()
		}
	}
	return map[string]func(*rapid.T){
		"submit": d.submit, "submit several": repeated(d.submit), "submit many": repeated(repeated(d.submit)),
		"release": d.release, "release several": repeated(d.release), "release and step": repeated(repeated(d.release)), "withdraw": d.withdraw, "first token": d.firstToken,
		"retry": d.retry, "retry several": repeated(d.retry),
		"adopt": d.adopt, "step": step, "step 2": step,
		"advance": func(t *rapid.T) {
			d.now += time.Duration(rapid.SampledFrom([]int{1, 10, 100, 3000}).Draw(t, "advance")) * time.Millisecond
			d.step()
		},
		"rare": func(t *rapid.T) {
			if rapid.IntRange(0, 9).Draw(t, "rare") == 0 {
				d.dropEntry(t)
			}
		},
	}
}

// TestPoolAgainstNaiveModel guards against wrong order between tiers, kinds,
// organisations and requests, against a higher tier shed while a lower one
// waits, and against wrong counts of requests in flight.
func TestPoolAgainstNaiveModel(t *testing.T) {
	var total model
	rapid.Check(t, func(t *rapid.T) {
		d := newDriver(t)
		t.Repeat(d.actions())
		total.grants += d.grants
		total.sheds += d.sheds
		total.limitShed += d.limitShed
		total.lowerSheds += d.lowerSheds
		total.claims += d.claims
	})
	t.Logf("%d grants, %d sheds, %d by limit, %d of lower tiers", total.grants, total.sheds, total.limitShed, total.lowerSheds)
	require.Positive(t, total.grants)
	require.Positive(t, total.limitShed)
	require.Positive(t, total.lowerSheds)
	require.Positive(t, total.claims)
}

// TestTopologyChangesAgainstNaiveModel guards against requests lost, counted
// twice or sent to a leaving upstream when the topology changes under load.
func TestTopologyChangesAgainstNaiveModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDriver(t)
		known := map[GlobalID]Descriptor{}
		decide := func(t *rapid.T) {
			d.now += time.Duration(rapid.IntRange(0, 500).Draw(t, "advance")) * time.Millisecond
			d.lapse()
			for _, decision := range d.pool.Step(d.now, nil) {
				descriptor, waits := known[decision.ID]
				require.True(t, waits, "decision without a waiting request")
				delete(known, decision.ID)
				if decision.Reason == 0 {
					require.False(t, d.leaving[decision.Upstream])
					d.addInFlight(&modelRequest{Descriptor: descriptor, adopted: true}, decision.Upstream)
				}
			}
			require.Equal(t, len(known), d.pool.waiting)
			for u, count := range d.inFlight {
				require.Equal(t, uint32(count), d.pool.upstreams[u].inFlight)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				for range rapid.IntRange(1, 5).Draw(t, "submissions") {
					descriptor := d.descriptor(t)
					known[descriptor.ID] = descriptor
					d.pool.Submit(d.now, descriptor)
				}
			},
			"leave": func(t *rapid.T) {
				u := rapid.IntRange(0, testUpstreams-1).Draw(t, "leaving")
				d.leaving[u] = !d.leaving[u]
				d.setTopology()
			},
			"decide": decide,
		})
	})
}
