package configstate

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	_ "github.com/citrongate/citrongate/internal/fixedseed"

	"github.com/citrongate/citrongate/pkg/store"
	"github.com/citrongate/citrongate/pkg/store/storetest"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// instance is a machine with its store calls and pulls in flight.
type instance struct {
	*Machine
	network storetest.CallsInFlight
	done    map[uint64]Done
	pulls   []Pull
	highest uint64
}

// cluster is a number of instances that share one fake store.
type cluster struct {
	t         require.TestingT
	now       time.Duration
	store     *storetest.Fake
	instances []*instance
	changes   map[uint64]Change
	// content maps each revision seen in force to its objects.
	content map[uint64]string
}

func newCluster(t require.TestingT, n int) *cluster {
	c := &cluster{t: t, store: storetest.New(), changes: map[uint64]Change{}, content: map[uint64]string{}}
	for i := range n {
		c.instances = append(c.instances, c.newInstance(uint64(i+1)))
	}
	return c
}

func (c *cluster) newInstance(incarnation uint64) *instance {
	return &instance{
		Machine: New(Config{Incarnation: incarnation, Seed: incarnation, MaxPushBytes: 1, ChangeTimeout: 2 * time.Second}),
		network: storetest.CallsInFlight{Store: c.store},
		done:    map[uint64]Done{},
	}
}

// collectOutput takes the outputs of an instance and checks the revision invariants.
func (c *cluster) collectOutput(i *instance) {
	out := i.TakeOutput()
	i.network.Send(out.Calls)
	i.pulls = append(i.pulls, out.Pulls...)
	for _, d := range out.Done {
		require.NotContains(c.t, i.done, d.ID, "a change has one result")
		i.done[d.ID] = d
	}
	require.Zero(c.t, out.BadSegments)
	require.GreaterOrEqual(c.t, i.Current().Revision, i.highest, "revisions never decrease")
	i.highest = i.Current().Revision
	text := render(i.Current().Objects())
	if known, ok := c.content[i.highest]; ok {
		require.Equal(c.t, known, text, "one revision has one content everywhere")
	}
	c.content[i.highest] = text
}

// advanceCall moves a store call of an instance one step forward, with a fault, and
// delivers its result if there is one.
func (c *cluster) advanceCall(i *instance, call int, fault storetest.Fault) {
	if id, r, deliver := i.network.Advance(call, fault); deliver {
		require.True(c.t, i.OnStoreResult(c.now, id, r))
		c.collectOutput(i)
	}
}

// push answers the first pull of an instance on behalf of the peer that it asks.
func (c *cluster) push(i *instance) {
	p := i.pulls[0]
	i.pulls = i.pulls[1:]
	if push := c.instances[p.Peer-1].OnPull(p.Message); push != nil {
		i.OnPush(c.now, p.Peer, push)
		c.collectOutput(i)
	}
}

// settle runs all instances without faults for 10 s, enough for all changes to
// finish and all instances to agree.
func (c *cluster) settle() {
	for c.store.LateCount() > 0 {
		c.store.RunLate(0)
	}
	for range 100 {
		c.now += 100 * time.Millisecond
		for _, i := range c.instances {
			i.ReadHead(c.now)
			i.Step(c.now)
			c.collectOutput(i)
			for len(i.network.Calls) > 0 {
				c.advanceCall(i, 0, storetest.None)
			}
		}
	}
}

func render(objects []*pb.Object) string {
	out := ""
	for _, o := range objects {
		out += fmt.Sprintf("%s@%d w=%v\n", objectName(o), o.Meta.Version, o.GetOrganisation().GetWeight())
	}
	return out
}

func organisation(name string, weight float64) *pb.Object {
	return &pb.Object{
		Meta: &pb.ObjectMeta{Kind: KindOrganisation, Name: name},
		Spec: &pb.Object_Organisation{Organisation: &pb.OrganisationSpec{Weight: weight}},
	}
}

// applyToModel is the reference model: it applies one change to a map of objects.
func applyToModel(objects map[string]*pb.Object, c Change, revision uint64) map[string]*pb.Object {
	next := maps.Clone(objects)
	for _, meta := range c.Deletes {
		delete(next, meta.Kind+"/"+meta.Name)
	}
	for _, put := range c.Puts {
		o := proto.CloneOf(put)
		o.Meta.Version = revision
		next[objectName(o)] = o
	}
	return next
}

// checkHistory replays every head that was ever accepted against the model and
// returns the revision of each change. ids maps change ids to Change.ID.
func (c *cluster) checkHistory(ids map[uint64]uint64) map[uint64]uint64 {
	accepted := map[uint64]uint64{}
	objects := map[string]*pb.Object{}
	for _, version := range c.store.History[headKey] {
		head := &pb.ConfigHead{}
		require.NoError(c.t, proto.Unmarshal(version.Value, head))
		newest := head.RecentChanges[len(head.RecentChanges)-1]
		change, known := ids[newest.ChangeId]
		require.True(c.t, known)
		require.NotContains(c.t, accepted, change, "a change takes effect once")
		accepted[change] = head.Revision
		spec := c.changes[change]
		if spec.Conditional {
			for _, put := range spec.Puts {
				require.Equal(c.t, objects[objectName(put)].GetMeta().GetVersion(), put.Meta.Version, "a conditional change replaced a version that it did not name")
			}
		}
		objects = applyToModel(objects, spec, head.Revision)
		var got segments
		for i, revision := range head.SegmentRevisions {
			if revision != 0 {
				got[i] = &pb.ConfigSegment{}
				require.NoError(c.t, proto.Unmarshal(c.store.History[segmentKey(i, revision)][0].Value, got[i]))
			}
		}
		want := NewSet(0, nil)
		for _, o := range objects {
			want.OfKind(o.Meta.Kind)[o.Meta.Name] = o
		}
		require.Equal(c.t, render(want.Objects()), render(NewSet(0, got.objects()).Objects()))
	}
	return accepted
}

// TestMachineAgainstModel guards against lost, repeated or reverted changes,
// against partially applied sets, and against wrong results for operators, under
// conflicts, outages, lost answers, late writes, stale reads and restarts.
func TestMachineAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, 3)
		ids := map[uint64]uint64{}
		answers := map[uint64]Done{}
		next := uint64(0)
		for range rapid.IntRange(20, 250).Draw(t, "steps") {
			i := c.instances[rapid.IntRange(0, 2).Draw(t, "instance")]
			switch rapid.IntRange(0, 15).Draw(t, "action") {
			case 0:
				next++
				change := drawChange(t, next, i.Current())
				c.changes[next] = change
				i.Apply(c.now, change)
				ids[lastChangeID(i.Machine)] = next
			case 1:
				i.ReadHead(c.now)
			case 2:
				c.now += time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond
				i.Step(c.now)
			case 3:
				if n := c.store.LateCount(); n > 0 {
					c.store.RunLate(rapid.IntRange(0, n-1).Draw(t, "late"))
				}
			case 4:
				peer := rapid.IntRange(0, 2).Draw(t, "peer")
				i.OnPeerRevision(c.now, uint64(peer+1), c.instances[peer].Current().Revision)
			case 5:
				if len(i.pulls) > 0 {
					c.push(i)
				}
			default:
				if n := len(i.network.Calls); n > 0 {
					fault := storetest.None
					if rapid.Bool().Draw(t, "faulty") {
						fault = storetest.Fault(rapid.IntRange(0, int(storetest.FaultCount)-1).Draw(t, "fault"))
					}
					c.advanceCall(i, rapid.IntRange(0, n-1).Draw(t, "call"), fault)
				}
			}
			c.collectOutput(i)
		}
		c.settle()
		for _, i := range c.instances {
			maps.Copy(answers, i.done)
			require.Equal(t, c.instances[0].Current().Revision, i.Current().Revision, "all instances catch up")
		}
		accepted := c.checkHistory(ids)
		require.Len(t, answers, int(next), "every change has a result")
		for id, d := range answers {
			revision, inEffect := accepted[id]
			switch {
			case d.Accepted:
				require.True(t, inEffect, "accepted but not in effect")
				require.Equal(t, revision, d.Revision)
			case d.Code != CodeOutcomeUnknown:
				require.False(t, inEffect, "%s but in effect", d.Code)
			}
		}
	})
}

// lastChangeID returns the change id of the change applied last.
func lastChangeID(m *Machine) uint64 {
	if n := len(m.changes.waiting); n > 0 {
		return m.changes.waiting[n-1].id
	}
	return m.changes.running.id
}

func drawChange(t *rapid.T, id uint64, present *Set) Change {
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
	put := organisation(name, float64(id))
	change := Change{ID: id, Puts: []*pb.Object{put, organisation("last", float64(id))}}
	if rapid.Bool().Draw(t, "conditional") {
		change.Conditional = true
		for _, o := range change.Puts {
			o.Meta.Version = present.Get(KindOrganisation, o.Meta.Name).GetMeta().GetVersion()
		}
	}
	return change
}

// applyAndSettle applies a change at an instance of a settled cluster and returns
// its result.
func (c *cluster) applyAndSettle(i *instance, change Change) Done {
	i.Apply(c.now, change)
	c.settle()
	return i.done[change.ID]
}

// TestConflictNamesPresentVersion guards against an operator who overwrites
// another's change, or is refused without being told the current version.
func TestConflictNamesPresentVersion(t *testing.T) {
	c := newCluster(t, 2)
	first := c.applyAndSettle(c.instances[0], Change{ID: 1, Conditional: true, Puts: []*pb.Object{organisation("a", 1)}})
	require.True(t, first.Accepted)
	second := c.applyAndSettle(c.instances[1], Change{ID: 2, Conditional: true, Puts: []*pb.Object{organisation("a", 2)}})
	require.Equal(t, CodeConflict, second.Code)
	require.Contains(t, second.Problems[0], fmt.Sprintf("present version is %d", first.Revision))
	missing := c.applyAndSettle(c.instances[1], Change{ID: 3, Deletes: []*pb.ObjectMeta{{Kind: KindOrganisation, Name: "x"}}})
	require.Equal(t, CodeInvalid, missing.Code)
	same := c.applyAndSettle(c.instances[1], Change{ID: 4, Puts: []*pb.Object{organisation("a", 1)}})
	require.True(t, same.Accepted)
	require.Equal(t, first.Revision, same.Revision, "a change without effect writes nothing")
	dry := c.applyAndSettle(c.instances[1], Change{ID: 5, DryRun: true, Puts: []*pb.Object{organisation("a", 9)}})
	require.True(t, dry.Accepted)
	require.Equal(t, first.Revision, c.instances[1].Current().Revision)
}

// TestCleanupKeepsNamedSegments guards against deleting a segment that one of
// the last ten heads names, however old the segment is, and against segments
// that accumulate in the store.
func TestCleanupKeepsNamedSegments(t *testing.T) {
	c := newCluster(t, 2)
	for id := uint64(1); id < 120; id++ {
		puts := []*pb.Object{organisation("hot", float64(id))}
		if id%31 == 1 {
			puts = append(puts, organisation("cold", float64(id)))
		}
		require.True(t, c.applyAndSettle(c.instances[id%2], Change{ID: id, Puts: puts}).Accepted)
		heads := c.store.History[headKey]
		for _, version := range heads[max(0, len(heads)-10):] {
			head := &pb.ConfigHead{}
			require.NoError(t, proto.Unmarshal(version.Value, head))
			for i, revision := range head.SegmentRevisions {
				if revision != 0 {
					require.NotZero(t, c.store.Current(segmentKey(i, revision)).Version, "head %d, segment %d/%d", head.Revision, i, revision)
				}
			}
		}
	}
	list := c.store.Execute(store.Op{Kind: store.List, Key: segmentPrefix}, storetest.None)
	require.Less(t, len(list.Entries), 3*(keepRevisions+cleanupEvery))
}

// TestIncompleteHeadIsNotApplied guards against a set that mixes segments of
// two revisions because one of them could not be read.
func TestIncompleteHeadIsNotApplied(t *testing.T) {
	c := newCluster(t, 1)
	require.True(t, c.applyAndSettle(c.instances[0], Change{ID: 1, Puts: []*pb.Object{organisation("a", 1), organisation("b", 1), organisation("c", 1)}}).Accepted)
	fresh := c.newInstance(9)
	fresh.ReadHead(c.now)
	c.collectOutput(fresh)
	c.advanceCall(fresh, 0, storetest.None)
	c.advanceCall(fresh, 0, storetest.None)
	require.Greater(t, len(fresh.network.Calls), 1)
	for n := 0; len(fresh.network.Calls) > 0; n++ {
		fault := storetest.None
		if n == 0 {
			fault = storetest.Outage
		}
		c.advanceCall(fresh, 0, fault)
		c.advanceCall(fresh, 0, storetest.None)
	}
	require.Zero(t, fresh.Current().Revision)
	c.instances = append(c.instances, fresh)
	c.settle()
	require.Equal(t, uint64(1), fresh.Current().Revision)
}
