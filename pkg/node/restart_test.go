package node_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/pkg/node"
	"github.com/citrongate/citrongate/pkg/quota"
)

// quotaTolerance is what an organisation may send beyond its quota, and quotaStated
// the quota for each instance of a fleet.
var (
	quotaTolerance = quota.Tolerance{Window: 8 * time.Second, Over: 0.1}
	quotaStated    = quota.Limit{PerSecond: 2, Burst: 6}
)

// fleet is a cluster whose instances find each other on the platform's list only, and
// in which one organisation sends many times its quota to all instances.
type fleet struct {
	*cluster
	random *rand.Rand
	stated quota.Limit
	// registered holds the instances on the list; down is true while the platform
	// answers no call.
	registered  map[string]bool
	down        bool
	incarnation uint64
	// revision is that of the configuration that a node has; 0 if it has none.
	revision map[string]uint64
	// ran holds the number of requests that ran in each tick.
	ran []int
}

const fleetTick = 50 * time.Millisecond

func newFleet(t *testing.T, size int) *fleet {
	f := &fleet{cluster: newCluster(t), random: rand.New(rand.NewPCG(1, uint64(size))), registered: map[string]bool{}, revision: map[string]uint64{}}
	f.stated = quota.Limit{PerSecond: quotaStated.PerSecond * float64(size), Burst: quotaStated.Burst * float64(size)}
	f.answersAtOnce = true
	f.list = func(string) node.InstanceList {
		if f.down {
			return node.InstanceList{}
		}
		list := node.InstanceList{OK: true}
		for _, at := range f.order {
			if f.registered[at] {
				list.Instances = append(list.Instances, node.ListedInstance{Name: at, Incarnation: fmt.Sprintf("run of %s", at), PeerAddress: at})
			}
		}
		return list
	}
	for i := range size {
		f.order = append(f.order, fmt.Sprintf("n%03d", i))
	}
	return f
}

// startAll starts a new process of each instance.
func (f *fleet) startAll() {
	for _, at := range f.order {
		f.incarnation++
		f.start(at, f.incarnation)
		f.revision[at] = 0
	}
}

// setDown makes the platform unavailable, or available again.
func (f *fleet) setDown(down bool) {
	f.down = down
	for _, at := range f.order {
		f.storeUnreachable[at] = down
	}
}

// play runs the fleet for a time. An instance reads the configuration, and registers if
// it is not on the list, at a random time within spread; perTick requests are sent to
// random instances in each tick.
func (f *fleet) play(d, spread time.Duration, perTick int) {
	readAt := map[string]time.Duration{}
	for _, at := range f.order {
		readAt[at] = f.now + time.Duration(f.random.Int64N(int64(spread)+1))
	}
	for end := f.now + d; f.now < end; f.now += fleetTick {
		before := f.totalRan()
		for _, at := range f.order {
			if !f.down && f.now >= readAt[at] {
				f.readConfig(at)
			}
			f.step(at, node.Tick{})
		}
		for range perTick {
			f.nextID++
			s := submission(f.nextID)
			s.QuotaCost = 1
			f.step(f.order[f.random.IntN(len(f.order))], s)
		}
		f.ran = append(f.ran, f.totalRan()-before)
	}
}

// readConfig registers an instance and puts the configuration in force at it, together with
// the list of upstreams, as a gateway does.
func (f *fleet) readConfig(at string) {
	f.registered[at] = true
	if f.revision[at] > 0 {
		return
	}
	f.revision[at] = 1
	f.step(at, node.UpstreamList{Upstreams: []node.ListedInstance{{Name: "1", Incarnation: "1", Upstream: true}}})
	f.step(at, node.UseConfiguration{Set: serviceSet(1, "1"), Quotas: map[string]quota.Limit{"o": f.stated.Widened(quotaTolerance)}})
}

func (f *fleet) totalRan() int { return sum(slices.Collect(maps.Values(f.completed))) }

// requireQuotaKept checks that the quota and its tolerance hold in each window.
func (f *fleet) requireQuotaKept() {
	window := int(quotaTolerance.Window / fleetTick)
	allowed := (f.stated.PerSecond*quotaTolerance.Window.Seconds() + f.stated.Burst) * (1 + quotaTolerance.Over)
	most := 0
	for start := range f.ran {
		most = max(most, sum(f.ran[start:min(start+window, len(f.ran))]))
	}
	require.LessOrEqual(f.t, float64(most), allowed)
}

// requireServed checks that the organisation gets at least half of its rate at the end.
func (f *fleet) requireServed() {
	ticks := int(2 * time.Second / fleetTick)
	require.Greater(f.t, float64(sum(f.ran[len(f.ran)-ticks:])), f.stated.PerSecond)
}

func sum(counts []int) (total int) {
	for _, n := range counts {
		total += n
	}
	return total
}

// perTick is the number of requests per tick that is six times the quota's rate.
func (f *fleet) perTick() int { return int(6 * f.stated.PerSecond * fleetTick.Seconds()) }

// TestQuotaAfterRestartInOutage guards against instances that each use the whole quota:
// they were restarted while the platform was down and took themselves for the only
// one until they had read the list of instances.
func TestQuotaAfterRestartInOutage(t *testing.T) {
	for _, test := range []struct {
		size   int
		outage time.Duration
	}{{6, 3 * time.Second}, {6, 12 * time.Second}, {300, 12 * time.Second}} {
		t.Run(fmt.Sprintf("%d instances, %v", test.size, test.outage), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, test.size)
			for _, at := range f.order {
				f.registered[at] = true // by its previous process
			}
			f.setDown(true)
			f.startAll()
			f.play(test.outage, 0, f.perTick())
			f.setDown(false)
			f.play(9*time.Second, 400*time.Millisecond, f.perTick())
			f.requireQuotaKept()
			f.requireServed()
		})
	}
}

// TestQuotaAfterFirstStartInOutage guards against the same where the list of instances
// is still empty and grows while the first instances already serve.
func TestQuotaAfterFirstStartInOutage(t *testing.T) {
	for _, size := range []int{6, 300} {
		t.Run(fmt.Sprintf("%d instances", size), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, size)
			f.setDown(true)
			f.startAll()
			f.play(5*time.Second, 0, 0)
			f.setDown(false)
			f.play(10*time.Second, time.Second, f.perTick())
			f.requireQuotaKept()
			f.requireServed()
		})
	}
}
