package node_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/pkg/node"
)

// TestHoldOffOutlivesItsOwner guards against an instance that sends requests to an upstream that has turned
// it away for a time, because the owner of the pool ended and the next one does not know of that; against instances
// that leave that upstream alone although it has not asked them to; and against requests that are lost for it.
func TestHoldOffOutlivesItsOwner(t *testing.T) {
	for _, size := range []int{6, 300} {
		t.Run(fmt.Sprintf("%d instances", size), func(t *testing.T) {
			t.Parallel()
			const holdOff = 4 * time.Second // as long as playHoldOff counts
			with, without := playHoldOff(t, size, holdOff), playHoldOff(t, size, 0)
			require.Zero(t, with.heldAt1, "sent to an upstream that holds the instance off")
			require.Positive(t, without.heldAt1)
			require.Positive(t, with.heldAt2)
			require.Positive(t, with.freeAt1)
			// While the owner is replaced, some requests expire in any case.
			require.LessOrEqual(t, with.lost, without.lost+2)
			require.Positive(t, with.afterwards, "the hold has ended")
		})
	}
}

// holdOffPlay counts the requests that ran while an upstream held an instance off.
type holdOffPlay struct {
	// heldAt1 and heldAt2 count those of that instance at that upstream and at the other
	// one, freeAt1 those of another instance at the first.
	heldAt1, heldAt2, freeAt1 int
	// lost counts the requests of the instance that were refused.
	lost int
	// afterwards counts its requests at the first upstream after the hold has ended and the
	// other one has left.
	afterwards int
}

// playHoldOff lets an upstream hold an instance off for a time, ends the owner of the pool
// meanwhile, and lets the other upstream leave afterwards.
func playHoldOff(t *testing.T, size int, holdOff time.Duration) (play holdOffPlay) {
	c := newCluster(t, manyAddresses(size)...)
	set := serviceSet(1, "1", "2")
	for _, at := range c.order {
		c.configure(at, node.UseConfiguration{Set: set})
	}
	c.run(2 * time.Second)
	owner := c.ownerOfPool()
	others := slices.DeleteFunc(slices.Clone(c.order), func(at string) bool { return at == owner })
	held, free := others[0], others[1]

	id := c.dispatchTo(held, "1", 1)
	if holdOff > 0 {
		c.step(held, node.UpstreamHoldsOff{ID: id, Upstream: "1", For: holdOff})
	}
	c.step(held, node.UpstreamDone{ID: id, Result: node.ResultRefused})
	c.answersAtOnce = true
	c.completedAt = map[string]int{}
	refused := len(c.refusals(held))
	c.serveFor(time.Second, held, free)
	c.cut[owner] = true
	c.serveFor(3*time.Second-40*time.Millisecond, held, free)
	play.heldAt1, play.heldAt2, play.freeAt1 = c.completedAt[held+" 1"], c.completedAt[held+" 2"], c.completedAt[free+" 1"]
	play.lost = len(c.refusals(held)) - refused

	for _, at := range []string{held, free} {
		c.step(at, node.UpstreamList{Upstreams: []node.ListedInstance{{Name: "2", Incarnation: "2", Upstream: true, Leaving: true}}})
	}
	before := c.completedAt[held+" 1"]
	c.serveFor(time.Second, held, free)
	play.afterwards = c.completedAt[held+" 1"] - before
	return play
}

// ownerOfPool returns the instance that schedules the pool.
func (c *cluster) ownerOfPool() string {
	for _, at := range c.order {
		for _, p := range c.nodes[at].PoolSummaries() {
			if p.Hosted && !p.Local {
				return at
			}
		}
	}
	require.Fail(c.t, "no instance owns the pool")
	return ""
}

// dispatchTo submits requests at an instance until one is dispatched to an upstream, and returns it. The others
// are completed.
func (c *cluster) dispatchTo(at, upstream string, first uint64) node.RequestID {
	for id := first; id < first+100; id++ {
		c.step(at, submission(id))
		c.run(20 * time.Millisecond)
		for _, action := range c.actions[at] {
			d, ok := action.(node.Dispatch)
			if ok && uint64(d.ID) == id && d.Upstream == upstream {
				return d.ID
			}
		}
		if id%2 == 0 { // others stay in flight, so that both upstreams are used
			c.step(at, node.UpstreamDone{ID: node.RequestID(id), Result: node.ResultComplete})
		}
	}
	require.Fail(c.t, "no request was dispatched to the upstream")
	return 0
}

// serveFor submits requests at instances for a time.
func (c *cluster) serveFor(d time.Duration, at ...string) {
	for end := c.now + d; c.now < end; {
		for _, a := range at {
			c.nextID++
			c.step(a, submission(10_000+c.nextID))
		}
		c.run(20 * time.Millisecond)
	}
}
