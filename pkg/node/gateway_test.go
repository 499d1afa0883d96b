package node_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/pkg/configstate"
	"github.com/citrongate/citrongate/pkg/dispatch"
	"github.com/citrongate/citrongate/pkg/node"
	"github.com/citrongate/citrongate/pkg/poison"
	"github.com/citrongate/citrongate/pkg/quota"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// cluster drives nodes with external configuration. Messages are delivered at once,
// except to and from nodes that are cut off.
type cluster struct {
	t     *testing.T
	now   time.Duration
	nodes map[string]*node.Node
	order []string
	cut   map[string]bool
	// version is the version of the store's state; storeUnreachable holds the
	// nodes whose reads of the store fail; reads counts the reads of each node.
	version          uint64
	storeUnreachable map[string]bool
	reads            map[string]int
	// parts is the store's content of records of parts; partLifts are an operator's lifts.
	parts     map[poison.Key]poison.Record
	partLifts []poison.Key
	// list answers reads of the list of instances. If it is set, nodes have no seeds.
	list func(at string) node.InstanceList
	// completed counts the dispatches of each node, which upstreams answer at once, if
	// answersAtOnce is true.
	answersAtOnce bool
	completed     map[string]int
	// completedAt counts the same by "node upstream", if it is not nil.
	completedAt map[string]int
	// nextID numbers the requests of serveFor.
	nextID uint64
	// config changes the configuration of nodes that start, and handle carries out further
	// actions and returns whether it did; either may be nil.
	config func(*node.Config)
	handle func(at string, action node.Action) bool
	// actions holds all other actions of each node, by its address.
	actions map[string][]node.Action
}

func newCluster(t *testing.T, addresses ...string) *cluster {
	c := &cluster{t: t, nodes: map[string]*node.Node{}, cut: map[string]bool{}, storeUnreachable: map[string]bool{}, reads: map[string]int{}, parts: map[poison.Key]poison.Record{}, completed: map[string]int{}, actions: map[string][]node.Action{}, order: addresses}
	for i, a := range addresses {
		c.start(a, uint64(i+1))
	}
	return c
}

// manyAddresses returns the addresses of a cluster of a size.
func manyAddresses(size int) (addresses []string) {
	for i := range size {
		addresses = append(addresses, fmt.Sprintf("n%03d", i))
	}
	return addresses
}

// start starts a node, or a new incarnation of one.
func (c *cluster) start(at string, incarnation uint64) {
	seeds := c.order
	if c.list != nil {
		seeds = nil
	}
	config := node.Config{Incarnation: node.Incarnation(incarnation), PeerAddress: at, CallerAddress: "c" + at, Region: "r", Started: c.now,
		ExternalConfig: true, RefreshWithin: 2 * time.Second, Seeds: seeds, RepeatedSends: dispatch.SendBudget{Ratio: 0.2, Extra: 10, Window: 10 * time.Second},
		PartBlocks: poison.Config{Ends: 3, Trial: time.Minute}}
	if c.config != nil {
		c.config(&config)
	}
	c.nodes[at] = node.New(config, incarnation)
}

// partStoreStep carries out an action on the stored records of parts, and returns false for
// any other action.
func (c *cluster) partStoreStep(at string, action node.Action) bool {
	ok := !c.storeUnreachable[at]
	switch a := action.(type) {
	case node.WritePartRecord:
		if ok {
			c.parts[a.Record.Key] = a.Record
		}
		c.step(at, node.PartRecordWritten{Key: a.Record.Key, OK: ok})
	case node.DeletePartRecord:
		delete(c.parts, a.Key)
	case node.ReadPartRecords:
		read := node.PartRecordsRead{OK: ok, Lifts: c.partLifts}
		for _, record := range c.parts {
			read.Records = append(read.Records, record)
		}
		c.step(at, read)
	default:
		return false
	}
	return true
}

func (c *cluster) step(at string, ev node.Event) {
	for _, action := range c.nodes[at].Step(c.now, ev, nil) {
		if c.handle != nil && c.handle(at, action) {
			continue
		}
		if read, ok := action.(node.ReadStore); ok {
			c.reads[at]++
			c.step(at, node.StoreReadDone{Part: read.Part, Started: c.now, OK: !c.storeUnreachable[at], Version: c.version})
			continue
		}
		if frame, ok := action.(node.SendFrame); ok {
			if target := c.nodes[frame.Address]; target != nil && !c.cut[at] && !c.cut[frame.Address] {
				c.step(frame.Address, node.FrameReceived{Frame: frame.Frame})
			}
			continue
		}
		if _, ok := action.(node.ListInstances); ok && c.list != nil {
			c.step(at, c.list(at))
			continue
		}
		if d, ok := action.(node.Dispatch); ok && c.answersAtOnce {
			c.completed[at]++
			if c.completedAt != nil {
				c.completedAt[at+" "+d.Upstream]++
			}
			c.step(at, node.UpstreamDone{ID: d.ID, Result: node.ResultComplete})
			continue
		}
		if !c.partStoreStep(at, action) {
			c.actions[at] = append(c.actions[at], action)
		}
	}
}

func (c *cluster) run(d time.Duration) {
	for end := c.now + d; c.now < end; c.now += 20 * time.Millisecond {
		for _, a := range c.order {
			c.step(a, node.Tick{})
		}
	}
}

// serviceSet returns a configuration of one plain service with the given upstreams.
func serviceSet(revision uint64, upstreams ...string) *configstate.Set {
	object := func(kind, name string, labels map[string]string, o *pb.Object) *pb.Object {
		o.Meta = &pb.ObjectMeta{Kind: kind, Name: name, Labels: labels}
		return o
	}
	objects := []*pb.Object{
		object(configstate.KindTier, "t", nil, &pb.Object{Spec: &pb.Object_Tier{Tier: &pb.TierSpec{}}}),
		object(configstate.KindOrganisation, "o", nil, &pb.Object{Spec: &pb.Object_Organisation{Organisation: &pb.OrganisationSpec{}}}),
		object(configstate.KindRequestKind, "k", nil, &pb.Object{Spec: &pb.Object_RequestKind{RequestKind: &pb.RequestKindSpec{Tier: "t"}}}),
		object(configstate.KindRoute, "r", nil, &pb.Object{Spec: &pb.Object_Route{Route: &pb.RouteSpec{Requests: "kind=k", Upstreams: "service=s"}}}),
	}
	for _, name := range upstreams {
		objects = append(objects, object(configstate.KindUpstream, name, map[string]string{"service": "s"}, &pb.Object{Spec: &pb.Object_Upstream{
			Upstream: &pb.UpstreamSpec{Address: "10.0.0.1:" + name, Type: "service", Concurrency: 100, MaxConcurrency: 100}}}))
	}
	return configstate.NewSet(revision, objects)
}

func (c *cluster) configure(at string, e node.UseConfiguration) { c.step(at, e) }

func submission(id uint64) node.SubmitRequest {
	return node.SubmitRequest{ID: node.RequestID(id), Organisation: "o", Kind: "k", Remaining: time.Second}
}

func (c *cluster) refusals(at string) (codes []string) {
	for _, a := range c.actions[at] {
		if r, ok := a.(node.Refuse); ok {
			codes = append(codes, r.Code+" "+string(r.Ran))
		}
	}
	return codes
}

func (c *cluster) dispatches(at string) (upstreams []string) {
	for _, a := range c.actions[at] {
		if d, ok := a.(node.Dispatch); ok {
			upstreams = append(upstreams, d.Upstream)
		}
	}
	return upstreams
}

// TestQuotaMovesToDemand guards against refusing an organisation below its quota
// because all its requests come to one instance, and against serving more than
// the quota in all.
func TestQuotaMovesToDemand(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	e := node.UseConfiguration{Set: serviceSet(1, "1"), Quotas: map[string]quota.Limit{"o": {PerSecond: 30, Burst: 30}}}
	for _, at := range c.order {
		c.configure(at, e)
	}
	c.run(5 * time.Second)
	for id := range uint64(60) {
		s := submission(id + 1)
		s.QuotaCost = 1
		c.step("a", s)
	}
	served := len(c.dispatches("a"))
	require.Greater(t, served, 20, "the shares of the other instances are used")
	require.LessOrEqual(t, served, 30)
	c.run(100 * time.Millisecond)
	require.Len(t, c.refusals("a"), 60-len(c.dispatches("a")))
	require.Contains(t, c.refusals("a"), "limit_rate no")
}

// TestQuotaOfACutInstance guards against serving more than the quota in total:
// an instance that is cut off from the others must stay within its own share, since
// the others go on using theirs.
func TestQuotaOfACutInstance(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	e := node.UseConfiguration{Set: serviceSet(1, "1"), Quotas: map[string]quota.Limit{"o": {PerSecond: 30, Burst: 30}}}
	for _, at := range c.order {
		c.configure(at, e)
	}
	c.run(5 * time.Second)
	c.cut["a"] = true
	c.run(8 * time.Second) // long enough for a to declare the others dead
	served := 0
	for id := range uint64(200) {
		s := submission(id + 1)
		s.QuotaCost = 1
		c.step("a", s)
	}
	c.run(100 * time.Millisecond)
	served += len(c.dispatches("a"))
	require.LessOrEqual(t, served, 10, "the share of one of three")
}

// TestRepeatedSendsOfACutInstance guards against more repeated sends in total than allowed:
// an instance that is cut off keeps to its share of them, since the others go on using
// theirs.
func TestRepeatedSendsOfACutInstance(t *testing.T) {
	const extra, ratio = 10.0, 0.2 // as in cluster.start
	c := newCluster(t, "a", "b", "c")
	for _, at := range c.order {
		c.configure(at, node.UseConfiguration{Set: serviceSet(1, "1", "2", "3")})
	}
	c.run(5 * time.Second)
	c.cut["a"] = true
	c.run(8 * time.Second) // long enough for a to declare the others dead
	c.answersAtOnce = true
	for id := range uint64(300) {
		s := submission(id + 1)
		s.MaxSends, s.Repeatable = 2, true
		c.step("a", s)
	}
	c.run(40 * time.Second) // what these requests have earned is saved up to the bound
	c.answersAtOnce = false
	const failing = 20
	for id := range uint64(failing) {
		s := submission(1000 + id)
		s.MaxSends, s.Repeatable = 2, true
		c.step("a", s)
		c.step("a", node.UpstreamDone{ID: s.ID, Result: node.ResultBroken})
	}
	repeated := len(c.dispatches("a")) - failing
	require.Positive(t, repeated)
	require.LessOrEqual(t, float64(repeated), extra/3+ratio*failing)
}

// TestSendsOfOneRequest guards the rules for repeated sends: a request that an
// upstream refused before it ran is sent again within MaxSends, one whose answer
// was lost only if it is repeatable, and one that may have run is never reported
// as not run.
func TestSendsOfOneRequest(t *testing.T) {
	for name, test := range map[string]struct {
		sends      uint32
		repeatable bool
		results    []node.UpstreamResult
		dispatches int
		refusal    string
	}{
		"one send":                       {1, true, []node.UpstreamResult{node.ResultRefused}, 1, "upstream_refused no"},
		"refused, then sent again":       {2, false, []node.UpstreamResult{node.ResultRefused, node.ResultRefused}, 2, "upstream_refused no"},
		"lost and not repeatable":        {2, false, []node.UpstreamResult{node.ResultBroken}, 1, "upstream_broke unknown"},
		"lost and repeatable":            {2, true, []node.UpstreamResult{node.ResultBroken, node.ResultBroken}, 2, "upstream_broke unknown"},
		"failed twice":                   {2, true, []node.UpstreamResult{node.ResultFailed, node.ResultFailed}, 2, "upstream_failed yes"},
		"lost, then refused":             {2, true, []node.UpstreamResult{node.ResultBroken, node.ResultRefused}, 2, "upstream_refused unknown"},
		"another's answer, then no more": {2, true, []node.UpstreamResult{node.ResultMismatched, node.ResultMismatched}, 2, "answer_mismatched unknown"},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, "a")
			c.configure("a", node.UseConfiguration{Set: serviceSet(1, "1", "2", "3")})
			c.run(3 * time.Second)
			s := submission(1)
			s.MaxSends, s.Repeatable = test.sends, test.repeatable
			c.step("a", s)
			for i, result := range test.results {
				require.Len(t, c.dispatches("a"), i+1)
				c.step("a", node.UpstreamDone{ID: 1, Result: result})
			}
			require.Len(t, c.dispatches("a"), test.dispatches)
			require.Equal(t, []string{test.refusal}, c.refusals("a"))
		})
	}
}

// TestNoRepeat guards against sending a request again whose caller has a part of an answer that
// cannot be continued, for every result of the send.
func TestNoRepeat(t *testing.T) {
	for _, result := range []node.UpstreamResult{node.ResultBroken, node.ResultFailed, node.ResultMismatched, node.ResultRefused} {
		c := newCluster(t, "a")
		c.configure("a", node.UseConfiguration{Set: serviceSet(1, "1", "2", "3")})
		c.run(3 * time.Second)
		s := submission(1)
		s.MaxSends, s.Repeatable = 3, true
		c.step("a", s)
		c.step("a", node.UpstreamDone{ID: 1, Result: result, NoRepeat: true})
		require.Len(t, c.dispatches("a"), 1)
		require.Len(t, c.refusals("a"), 1)
	}
}

// TestUpstreamsKnownAtDifferentTimes guards against bouncing requests between
// instances that have not seen the same upstreams yet, and against an owner that
// repeatedly grants an upstream which the entry knows to be removed.
func TestUpstreamsKnownAtDifferentTimes(t *testing.T) {
	c := newCluster(t, "a", "b")
	for _, at := range c.order {
		c.configure(at, node.UseConfiguration{Set: serviceSet(1, "1", "2")})
	}
	c.run(5 * time.Second)
	for _, at := range c.order {
		// One of them has learned that upstream 1 was removed, the other has not.
		c.configure(at, node.UseConfiguration{Set: serviceSet(2, "2", "3")})
		for id := range uint64(20) {
			c.step(at, submission(uint64(len(at))*1000*(id+1)+id))
		}
		c.run(200 * time.Millisecond)
		require.Empty(t, c.refusals(at))
		require.NotContains(t, c.dispatches(at), "1")
		require.Len(t, c.dispatches(at), 20)
		c.actions[at] = nil
	}
}

// TestExternalConfigOnly guards against a node with external configuration that
// takes a configuration from peers or the store, or an older revision.
func TestExternalConfigOnly(t *testing.T) {
	c := newCluster(t, "a", "b")
	c.configure("a", node.UseConfiguration{Set: serviceSet(5, "1")})
	c.run(5 * time.Second)
	require.Nil(t, c.nodes["b"].ConfigSet(), "revisions are not pulled from peers")
	c.configure("a", node.UseConfiguration{Set: serviceSet(4, "2")})
	require.Equal(t, uint64(5), c.nodes["a"].ConfigSet().Revision)
	for _, a := range c.actions["a"] {
		_, called := a.(node.StoreCall)
		require.False(t, called, "the node reads no configuration itself")
	}
}

// TestOwnerCutFromTheStore guards against an owner that no longer learns of new
// upstreams: while an owner was cut off from the store, replacement engines were
// not used for twelve seconds. An instance that can read the store takes over, and
// an entry that cannot read it uses an upstream whose address the owner grants.
func TestOwnerCutFromTheStore(t *testing.T) {
	c := newCluster(t, "a", "b")
	for _, at := range c.order {
		c.configure(at, node.UseConfiguration{Set: serviceSet(1, "1")})
	}
	c.run(5 * time.Second)
	for _, cut := range c.order {
		other := map[string]string{"a": "b", "b": "a"}[cut]
		c.storeUnreachable = map[string]bool{cut: true}
		c.version++
		c.run(3 * time.Second)
		for _, at := range c.order {
			for _, pool := range c.nodes[at].PoolSummaries() {
				require.Equal(t, at == other, pool.Hosted, "%s owns while %s is cut off", at, cut)
			}
		}
	}
	// b is cut off; only a learns that 1 was replaced by 2.
	c.configure("a", node.UseConfiguration{Set: serviceSet(2, "2")})
	c.actions["b"] = nil
	c.step("b", submission(1))
	c.run(200 * time.Millisecond)
	require.Equal(t, []string{"2"}, c.dispatches("b"))
	for _, action := range c.actions["b"] {
		if d, ok := action.(node.Dispatch); ok {
			require.Equal(t, "10.0.0.1:2", d.Address)
		}
	}
}

// TestFewReadTheStore guards against reads of the store that grow with the number
// of instances, against a change that instances other than the reader learn late,
// and against copies that stay unconfirmed once the reader is cut off.
func TestFewReadTheStore(t *testing.T) {
	addresses := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	c := newCluster(t, addresses...)
	c.run(5 * time.Second)
	c.reads = map[string]int{}
	c.run(10 * time.Second)
	total, most, reader := 0, 0, ""
	for at, n := range c.reads {
		total += n
		if n > most {
			most, reader = n, at
		}
	}
	require.LessOrEqual(t, total, 2*10*5/2+10, "two parts each 0.4 s by one reader; %v", c.reads)
	for _, at := range c.order {
		for _, storeCopy := range c.nodes[at].Copies() {
			require.Less(t, c.now-storeCopy.At, time.Second)
		}
	}
	c.version++
	c.run(600 * time.Millisecond)
	for _, at := range c.order {
		for _, storeCopy := range c.nodes[at].Copies() {
			require.Equal(t, c.version, storeCopy.Version, at)
		}
	}
	c.cut[reader] = true
	for range 100 {
		c.run(100 * time.Millisecond)
		for _, at := range c.order {
			for _, storeCopy := range c.nodes[at].Copies() {
				require.Less(t, c.now-storeCopy.At, 1500*time.Millisecond, "%s with %s cut off", at, reader)
			}
		}
	}
}

// TestReaderCutFromTheStore guards against instances that go on querying a reader
// that cannot read the store any more.
func TestReaderCutFromTheStore(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.run(5 * time.Second)
	c.reads = map[string]int{}
	c.run(2 * time.Second)
	for at, n := range c.reads {
		c.storeUnreachable[at] = n > 4
	}
	require.Len(t, c.storeUnreachable, len(c.reads))
	for range 50 {
		c.run(100 * time.Millisecond)
		for _, at := range c.order {
			for _, storeCopy := range c.nodes[at].Copies() {
				require.Less(t, c.now-storeCopy.At, 1500*time.Millisecond, at)
			}
		}
	}
}
