package membership_test

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/citrongate/citrongate/pkg/membership"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

const (
	delay = 2 * time.Millisecond
	tick  = 20 * time.Millisecond
)

// delivery is a message in flight between two instances.
type delivery struct {
	at       time.Duration
	from, to uint64
	body     *pb.PeerMessage
}

type instance struct {
	address string
	view    *membership.View
	paused  bool
	killed  bool
}

// cell simulates several views that exchange messages with a fixed delay.
type cell struct {
	t         *testing.T
	now       time.Duration
	instances map[uint64]*instance
	ids       []uint64
	cut       map[[2]uint64]bool
	inFlight  []delivery
	sent      map[uint64]int
	list      []membership.Listed
	listOK    bool
}

func newCell(t *testing.T) *cell {
	return &cell{t: t, instances: map[uint64]*instance{}, cut: map[[2]uint64]bool{}, sent: map[uint64]int{}, listOK: true}
}

func address(id uint64) string { return fmt.Sprintf("10.0.0.%d:1", id) }

func (c *cell) start(id uint64, at, cellName string, seeds ...uint64) {
	var addresses []string
	for _, seed := range seeds {
		addresses = append(addresses, address(seed))
	}
	c.instances[id] = &instance{address: at, view: membership.New(membership.Config{
		Self:         membership.Member{Incarnation: id, PeerAddress: at, Cell: cellName},
		PingInterval: 500 * time.Millisecond, DeadAfter: 2 * time.Second, ListInterval: time.Second,
		Seeds: addresses, Seed: id,
	})}
	c.ids = append(c.ids, id)
	slices.Sort(c.ids)
}

func (c *cell) run(d time.Duration) {
	for end := c.now + d; c.now < end; c.now += tick {
		c.deliver()
		for _, id := range c.ids {
			n := c.instances[id]
			if n.killed || n.paused {
				continue
			}
			n.view.Tick(c.now)
			if n.view.WantsList(c.now) {
				n.view.OnList(c.now, c.listOK, c.list)
			}
			c.collect(id)
		}
	}
}

func (c *cell) collect(id uint64) {
	for _, m := range c.instances[id].view.Outbox() {
		c.sent[id]++
		for _, to := range c.ids {
			if c.instances[to].address == m.Address && !c.cut[[2]uint64{id, to}] {
				c.inFlight = append(c.inFlight, delivery{c.now + delay, id, to, m.Body})
			}
		}
	}
}

func (c *cell) deliver() {
	for len(c.inFlight) > 0 && c.inFlight[0].at <= c.now {
		f := c.inFlight[0]
		c.inFlight = c.inFlight[1:]
		n := c.instances[f.to]
		if n.killed {
			continue
		}
		if n.paused {
			f.at = c.now + tick
			c.inFlight = append(c.inFlight, f)
			continue
		}
		receive(n.view, c.now, f)
		c.collect(f.to)
	}
}

func receive(v *membership.View, now time.Duration, f delivery) {
	v.Heard(now, f.from, 0)
	switch m := f.body.Body.(type) {
	case *pb.PeerMessage_Ping:
		v.OnPing(now, f.from, m.Ping)
	case *pb.PeerMessage_Ack:
		v.OnAck(now, f.from, m.Ack)
	case *pb.PeerMessage_PingRequest:
		v.OnPingRequest(now, f.from, m.PingRequest)
	case *pb.PeerMessage_Join:
		v.OnJoin(now, f.from, m.Join)
	case *pb.PeerMessage_JoinReply:
		v.OnJoinReply(now, f.from, m.JoinReply)
	case *pb.PeerMessage_MemberUpdates:
		v.OnUpdates(now, m.MemberUpdates)
	}
}

// describe formats the members that an instance knows, one word per member.
func (c *cell) describe(id uint64) string {
	var words []string
	for _, m := range c.instances[id].view.Members()[1:] {
		word := fmt.Sprintf("%d:%s", m.Incarnation, m.State)
		if m.Leaving {
			word += "+leaving"
		}
		if m.Cell != "a" {
			word += "@" + m.Cell
		}
		words = append(words, word)
	}
	if len(words) == 0 {
		return "nobody"
	}
	return strings.Join(words, " ")
}

func uintArg(t *testing.T, d *datadriven.TestData, key string) uint64 {
	for _, arg := range d.CmdArgs {
		if arg.Key == key {
			value, err := strconv.ParseUint(arg.Vals[0], 10, 64)
			if err != nil {
				t.Fatal(err)
			}
			return value
		}
	}
	t.Fatalf("%s: missing %s", d.Pos, key)
	return 0
}

func hasArg(d *datadriven.TestData, key string) bool {
	return slices.ContainsFunc(d.CmdArgs, func(a datadriven.CmdArg) bool { return a.Key == key })
}

// command runs one command of a test script.
func (c *cell) command(d *datadriven.TestData) string {
	switch d.Cmd {
	case "start":
		name := "a"
		if hasArg(d, "cell") {
			d.ScanArgs(c.t, "cell", &name)
		}
		var seeds []uint64
		if hasArg(d, "seed") {
			seeds = append(seeds, uintArg(c.t, d, "seed"))
		}
		at := address(uintArg(c.t, d, "id"))
		if hasArg(d, "address") {
			at = address(uintArg(c.t, d, "address"))
		}
		c.start(uintArg(c.t, d, "id"), at, name, seeds...)
	case "run":
		var text string
		d.ScanArgs(c.t, "for", &text)
		duration, err := time.ParseDuration(text)
		if err != nil {
			c.t.Fatal(err)
		}
		c.run(duration)
	case "kill":
		c.instances[uintArg(c.t, d, "id")].killed = true
	case "pause":
		c.instances[uintArg(c.t, d, "id")].paused = true
	case "resume":
		c.instances[uintArg(c.t, d, "id")].paused = false
	case "leave":
		c.instances[uintArg(c.t, d, "id")].view.Leave(c.now)
	case "cut":
		c.cut[[2]uint64{uintArg(c.t, d, "from"), uintArg(c.t, d, "to")}] = true
	case "heal":
		c.cut = map[[2]uint64]bool{}
	case "list":
		c.setList(d.Input)
	case "list-down":
		c.listOK = false
	case "view":
		return c.view()
	case "owner":
		return c.owners(uintArg(c.t, d, "key"))
	case "upstream":
		return c.upstream(d)
	case "revision":
		c.instances[uintArg(c.t, d, "id")].view.SetConfigRevision(uintArg(c.t, d, "value"))
	case "suspect":
		c.instances[uintArg(c.t, d, "id")].view.Suspect(c.now, uintArg(c.t, d, "of"))
	case "trusted":
		return fmt.Sprintln(c.instances[uintArg(c.t, d, "id")].view.Trusted())
	default:
		c.t.Fatalf("%s: unknown command %s", d.Pos, d.Cmd)
	}
	return ""
}

// setList reads lines "upstream NAME INCARNATION [leaving]" or
// "entry ID INCARNATION [leaving]".
func (c *cell) setList(input string) {
	c.list, c.listOK = nil, true
	for _, line := range strings.Split(strings.TrimSpace(input), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 3 {
			continue
		}
		listed := membership.Listed{Name: fields[1], Incarnation: fields[2], Upstream: fields[0] == "upstream",
			Leaving: len(fields) > 3}
		if !listed.Upstream {
			listed.PeerAddress = "10.0.0." + fields[1] + ":1"
		}
		c.list = append(c.list, listed)
	}
}

func (c *cell) view() string {
	var b strings.Builder
	for _, id := range c.ids {
		if !c.instances[id].killed {
			fmt.Fprintf(&b, "%d: %s\n", id, c.describe(id))
		}
	}
	return b.String()
}

func (c *cell) owners(key uint64) string {
	var b strings.Builder
	for _, id := range c.ids {
		if !c.instances[id].killed {
			fmt.Fprintf(&b, "%d: %d\n", id, c.instances[id].view.Owner(key))
		}
	}
	return b.String()
}

func (c *cell) upstream(d *datadriven.TestData) string {
	var name string
	d.ScanArgs(c.t, "name", &name)
	var b strings.Builder
	for _, id := range c.ids {
		if !c.instances[id].killed {
			fmt.Fprintf(&b, "%d: leaving=%v\n", id, c.instances[id].view.UpstreamLeaving(name))
		}
	}
	return b.String()
}

// TestScenarios guards against a view that misses a join, a death, a leave or
// an owner change, or that undoes a leave because of a stale list.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		c := newCell(t)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string { return c.command(d) })
	})
}

// TestConstantCost guards against failure detection whose cost per instance
// grows with the size of the cell.
func TestConstantCost(t *testing.T) {
	messagesPerInstance := func(size uint64) float64 {
		c := newCell(t)
		for id := uint64(1); id <= size; id++ {
			c.start(id, address(id), "a", max(1, id-1))
		}
		c.run(10 * time.Second)
		c.sent = map[uint64]int{}
		c.run(20 * time.Second)
		readers, total := 0, 0
		for _, id := range c.ids {
			if c.instances[id].view.Reader() {
				readers++
				continue
			}
			total += c.sent[id]
		}
		if readers != 2 {
			t.Fatalf("%d readers in a cell of %d, want 2", readers, size)
		}
		return float64(total) / float64(size-2) / 20
	}
	small, large := messagesPerInstance(6), messagesPerInstance(48)
	// One ping and one answer per 500 ms are 4 messages a second.
	if small > 5 || large > 5 {
		t.Fatalf("messages per second and instance: %.1f in a cell of 6, %.1f in one of 48; want at most 5", small, large)
	}
}

// TestAnswersFromBeforeAPause guards against an instance that trusts its view
// because of answers that were queued while it was paused.
func TestAnswersFromBeforeAPause(t *testing.T) {
	v := membership.New(membership.Config{Self: membership.Member{Incarnation: 1, PeerAddress: address(1), Cell: "a"},
		PingInterval: 500 * time.Millisecond, DeadAfter: 2 * time.Second, ListInterval: time.Second, Seed: 1})
	v.Tick(0)
	v.Apply(0, []*pb.MemberUpdate{{Incarnation: 2, State: pb.MemberState_MEMBER_STATE_ALIVE, PeerAddress: address(2), Cell: "a"}})
	before := pingSequence(t, v, func() { v.Tick(600 * time.Millisecond) })
	if !v.Tick(6 * time.Second) {
		t.Fatal("a gap of 5.4 s between ticks was not detected as a pause")
	}
	v.OnAck(6*time.Second, 2, &pb.Ack{Sequence: before, Target: 2})
	if v.Trusted() {
		t.Fatal("trusted because of an answer to a ping from before the pause")
	}
	after := pingSequence(t, v, func() {})
	v.OnAck(6*time.Second, 2, &pb.Ack{Sequence: after, Target: 2})
	if !v.Trusted() {
		t.Fatal("not trusted although a ping from after the pause was answered")
	}
}

// pingSequence returns the sequence of the first ping sent since the last call.
func pingSequence(t *testing.T, v *membership.View, fn func()) uint32 {
	fn()
	for _, m := range v.Outbox() {
		if ping := m.Body.GetPing(); ping != nil {
			return ping.Sequence
		}
	}
	t.Fatal("no ping was sent")
	return 0
}

// TestNoSuspicionRightAfterAPause guards against a member that is suspected
// because it had too little time to answer the ping sent at the end of a pause.
func TestNoSuspicionRightAfterAPause(t *testing.T) {
	v := membership.New(membership.Config{Self: membership.Member{Incarnation: 1, PeerAddress: address(1), Cell: "a"},
		PingInterval: 500 * time.Millisecond, DeadAfter: 2 * time.Second, ListInterval: time.Second, Seed: 1})
	v.Tick(0)
	v.Apply(0, []*pb.MemberUpdate{{Incarnation: 2, State: pb.MemberState_MEMBER_STATE_ALIVE, PeerAddress: address(2), Cell: "a"}})
	v.Tick(6 * time.Second)
	for now := 6*time.Second + time.Millisecond; now < 6450*time.Millisecond; now += 20 * time.Millisecond {
		v.Tick(now)
		if m, _ := v.Find(2); m.State != membership.Alive {
			t.Fatalf("%s %v after the pause", m.State, now-6*time.Second)
		}
	}
}

// TestAnyMemberAnnouncesALeave guards against a leave that spreads by gossip only
// because the first member to see it, after an outage, is not a reader. The owner
// would keep granting an upstream that all entry instances decline.
func TestAnyMemberAnnouncesALeave(t *testing.T) {
	c := newCell(t)
	for id := uint64(1); id <= 5; id++ {
		c.start(id, address(id), "c", 1)
	}
	c.run(4 * time.Second)
	announcers := 0
	for _, id := range c.ids {
		n := c.instances[id]
		if n.view.Reader() {
			continue
		}
		announcers++
		upstream := fmt.Sprint("u", id)
		n.view.OnList(c.now, true, []membership.Listed{{Name: upstream, Incarnation: "1", Upstream: true, Leaving: true}})
		c.collect(id)
		c.run(2 * tick)
		for _, peer := range c.ids {
			if !c.instances[peer].view.UpstreamLeaving(upstream) {
				t.Fatalf("%d does not know that %s is leaving", peer, upstream)
			}
		}
	}
	if announcers == 0 {
		t.Fatal("all members are readers")
	}
}
