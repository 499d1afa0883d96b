package node_test

import (
	"fmt"
	"maps"
	"slices"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/internal/simtest"
	"github.com/citrongate/citrongate/pkg/configstate"
	"github.com/citrongate/citrongate/pkg/node"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// scenario runs the commands of a script against a few simulated nodes.
type scenario struct {
	t        *testing.T
	world    *simtest.World
	fixture  simtest.Fixture
	byName   map[string]*simtest.Instance
	requests map[string]*simtest.Request
	names    []string
	// receivedBefore is the number of receipts before the last change was in force.
	receivedBefore int
}

func newScenario(t *testing.T) *scenario {
	return &scenario{t: t, world: simtest.NewWorld(1), byName: map[string]*simtest.Instance{},
		requests: map[string]*simtest.Request{}}
}

func (s *scenario) stringArg(d *datadriven.TestData, key, defaultValue string) string {
	if slices.ContainsFunc(d.CmdArgs, func(a datadriven.CmdArg) bool { return a.Key == key }) {
		d.ScanArgs(s.t, key, &defaultValue)
	}
	return defaultValue
}

func (s *scenario) intArg(d *datadriven.TestData, key string, defaultValue int) int {
	if slices.ContainsFunc(d.CmdArgs, func(a datadriven.CmdArg) bool { return a.Key == key }) {
		d.ScanArgs(s.t, key, &defaultValue)
	}
	return defaultValue
}

func (s *scenario) instanceArg(d *datadriven.TestData) *simtest.Instance {
	i := s.byName[s.stringArg(d, "at", "n1")]
	require.NotNil(s.t, i, d.Pos)
	return i
}

func (s *scenario) runCommand(d *datadriven.TestData) string {
	w := s.world
	switch d.Cmd {
	case "start":
		s.start(d)
	case "run":
		duration, err := time.ParseDuration(s.stringArg(d, "for", "1s"))
		require.NoError(s.t, err)
		w.Loop.RunUntil(w.Loop.Now() + duration)
	case "submit":
		s.submit(d)
	case "requests":
		return s.requestsSummary()
	case "not-run":
		return s.notRun()
	case "owner":
		return s.owner(s.stringArg(d, "type", "engine"))
	case "kill":
		w.Kill(s.instanceArg(d))
	case "restart":
		i := s.instanceArg(d)
		s.byName[i.Name] = w.Restart(i)
	case "pause":
		w.Pause(s.instanceArg(d))
	case "resume":
		w.Resume(s.instanceArg(d))
	case "drain":
		s.instanceArg(d).Drain()
	case "cut":
		s.cut(d)
	case "heal":
		w.Heal()
		w.Loss = 0
	case "loss":
		w.Loss = float64(s.intArg(d, "percent", 100)) / 100
	case "leaving":
		w.SetListed(node.ListedInstance{Name: s.stringArg(d, "upstream", ""), Incarnation: "1", Upstream: true, Leaving: true})
	case "engine":
		s.engine(d)
	case "outage":
		w.Platform.SetOutage(s.stringArg(d, "on", "true") == "true")
	case "apply":
		return s.apply(d)
	case "runs":
		return fmt.Sprintln(w.Services["s1"].KeyRuns[s.stringArg(d, "key", "")])
	case "received":
		return s.received()
	case "counts":
		return s.counts(s.stringArg(d, "name", ""))
	case "status":
		return s.status()
	default:
		s.t.Fatalf("%s: unknown command %s", d.Pos, d.Cmd)
	}
	return ""
}

func (s *scenario) start(d *datadriven.TestData) {
	s.fixture = simtest.Fixture{Engines: s.intArg(d, "engines", 2), Services: s.intArg(d, "services", 1),
		Concurrency: uint32(s.intArg(d, "concurrency", 4)), LimitedQueue: uint32(s.intArg(d, "limit-queued", 0))}
	s.fixture.AddUpstreams(s.world)
	for n := 1; n <= s.intArg(d, "nodes", 1); n++ {
		config := s.fixture.Config(n)
		if cells := s.intArg(d, "cells", 1); cells > 1 {
			config.Cell = fmt.Sprint("c", n%cells)
		}
		if s.stringArg(d, "bootstrap", "true") == "true" {
			config.Bootstrap = s.fixture.Set()
		}
		s.byName[config.Name] = s.world.Start(config)
	}
}

// submit submits a request named NAME, or requests NAME1 to NAMEn with count=n.
func (s *scenario) submit(d *datadriven.TestData) {
	name, count := s.stringArg(d, "name", "r"), s.intArg(d, "count", 1)
	for n := 1; n <= count; n++ {
		each := name
		if count > 1 {
			each = fmt.Sprint(name, n)
		}
		spec := simtest.Spec{Kind: s.stringArg(d, "kind", "normal"), Organisation: s.stringArg(d, "organisation", "small"), Prompt: 100,
			Output: uint32(s.intArg(d, "output", 20)), Key: s.stringArg(d, "key", ""), FirstAttempt: !d.HasArg("repeated"),
			Remaining: time.Duration(s.intArg(d, "deadline-ms", 5000)) * time.Millisecond}
		if spec.Kind != "order" && spec.Kind != "lookup" {
			spec.Model = simtest.Model
		}
		if ticketAt := s.stringArg(d, "ticket", ""); ticketAt != "" {
			ticket, _ := s.byName[ticketAt].Node.IssueTicket(s.world.Loop.Now())
			spec.Key = ticket + ".k"
		}
		s.requests[each] = s.instanceArg(d).Submit(spec)
		s.names = append(s.names, each)
	}
}

func (s *scenario) requestsSummary() string {
	var b strings.Builder
	for _, name := range s.names {
		r := s.requests[name]
		fmt.Fprintf(&b, "%s: %s dispatched=%d\n", name, outcome(r), len(r.Dispatches))
	}
	s.names = nil
	return b.String()
}

func outcome(r *simtest.Request) string {
	switch r.Outcome {
	case simtest.OutcomeAnswered:
		return "answered"
	case simtest.OutcomeRefused:
		return "refused " + r.Code + " ran=" + r.Ran
	case simtest.OutcomeLost:
		return "connection lost"
	}
	return "open"
}

// owner prints which instance owns the pool of the engines or of the services.
func (s *scenario) owner(upstreamType string) string {
	var lines []string
	for name, i := range s.byName {
		if !i.Alive {
			continue
		}
		for _, p := range i.Node.PoolSummaries() {
			def := i.Node.Routes().Pool(p.Pool)
			if def.Upstreams[0].Spec.Type != upstreamType {
				continue
			}
			line := fmt.Sprintf("%s: owner %s", name, s.nameOf(uint64(p.Owner)))
			if p.Hosted {
				line += " hosted"
			}
			if p.Local {
				line += " local"
			}
			lines = append(lines, line)
		}
	}
	sort.Strings(lines)
	return strings.Join(lines, "\n") + "\n"
}

func (s *scenario) nameOf(incarnation uint64) string {
	for _, i := range s.world.Instances {
		if i.Incarnation == incarnation {
			return i.Name
		}
	}
	return "nobody"
}

func (s *scenario) cut(d *datadriven.TestData) {
	from, to := s.byName[s.stringArg(d, "from", "")], s.byName[s.stringArg(d, "to", "")]
	s.world.Cut(from.Address, to.Address)
	if s.stringArg(d, "both", "") != "" {
		s.world.Cut(to.Address, from.Address)
	}
}

func (s *scenario) engine(d *datadriven.TestData) {
	engine := s.world.Engines[s.stringArg(d, "name", "e1")]
	if s.stringArg(d, "do", "kill") == "kill" {
		engine.Kill()
		return
	}
	engine.Restart()
}

// apply submits a change that creates the whole fixture, or relabels one object.
func (s *scenario) apply(d *datadriven.TestData) string {
	before := len(s.world.Trace.Changes)
	change := node.ApplyChange{Change: uint64(before + 1), Puts: s.fixture.Objects()}
	if name := s.stringArg(d, "organisation", ""); name != "" {
		change.Puts = []*pb.Object{{Meta: &pb.ObjectMeta{Kind: configstate.KindOrganisation, Name: name},
			Spec: &pb.Object_Organisation{Organisation: &pb.OrganisationSpec{}}}}
	}
	if upstream := s.stringArg(d, "route-to", ""); upstream != "" {
		change.Puts = []*pb.Object{{Meta: &pb.ObjectMeta{Kind: configstate.KindRoute, Name: "engines"},
			Spec: &pb.Object_Route{Route: &pb.RouteSpec{Order: 2, Upstreams: "name=" + upstream}}}}
	}
	s.instanceArg(d).Change(change)
	s.world.Loop.RunUntil(s.world.Loop.Now() + 300*time.Millisecond)
	s.receivedBefore = len(s.world.Trace.Received)
	s.world.Loop.RunUntil(s.world.Loop.Now() + 1700*time.Millisecond)
	var b strings.Builder
	for _, c := range s.world.Trace.Changes[before:] {
		fmt.Fprintf(&b, "accepted=%v revision=%d code=%s\n", c.Done.Accepted, c.Done.Revision, c.Done.Code)
	}
	return b.String()
}

// notRun checks that all requests were refused as not run. It ignores the code of
// the refusal, which depends on the scheduling policy.
func (s *scenario) notRun() string {
	for _, name := range s.names {
		if r := s.requests[name]; r.Outcome != simtest.OutcomeRefused || r.Ran != "no" {
			return fmt.Sprintf("%s: %s\n", name, outcome(r))
		}
	}
	defer func() { s.names = nil }()
	return fmt.Sprintf("%d refused, ran=no\n", len(s.names))
}

// received names the upstreams that received something since the last change.
func (s *scenario) received() string {
	names := map[string]bool{}
	for _, receipt := range s.world.Trace.Received[s.receivedBefore:] {
		names[receipt.Upstream] = true
	}
	return fmt.Sprintln(slices.Sorted(maps.Keys(names)))
}

func (s *scenario) counts(name string) string {
	var lines []string
	for c := range s.world.Trace.Counts {
		if c.Name == name {
			lines = append(lines, c.Reason)
		}
	}
	sort.Strings(lines)
	return strings.Join(lines, " ") + "\n"
}

func (s *scenario) status() string {
	var lines []string
	for name, i := range s.byName {
		if i.Alive {
			set := i.Node.ConfigSet()
			lines = append(lines, fmt.Sprintf("%s: revision %d ready=%v %s", name, revision(set), i.Node.Ready(), i.Node.NotReadyReason()))
		}
	}
	sort.Strings(lines)
	return strings.Join(lines, "\n") + "\n"
}

func revision(set *configstate.Set) uint64 {
	if set == nil {
		return 0
	}
	return set.Revision
}

// TestScenarios guards against lost, duplicated or stuck requests in the failures
// that the comments of the scripts in testdata describe.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := newScenario(t)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string { return s.runCommand(d) })
	})
}

// TestDiscoverySpreadsCallers guards against a discovery answer that names a
// leaving instance, or that sends all callers to the same instance first.
func TestDiscoverySpreadsCallers(t *testing.T) {
	w := simtest.NewWorld(1)
	f := simtest.Fixture{Engines: 1}
	for n := 1; n <= 9; n++ {
		config := f.Config(n)
		config.Bootstrap = f.Set()
		w.Start(config)
	}
	w.Loop.RunUntil(5 * time.Second)
	w.Instances[3].Drain()
	firsts := map[string]bool{}
	for range 40 {
		w.Loop.RunUntil(w.Loop.Now() + 100*time.Millisecond)
		addresses := w.Instances[0].Node.Discovery()
		require.NotContains(t, addresses, "10.0.0.4:80", "the leaving instance")
		require.Len(t, addresses, 2+4, "two other instances of the failure domain and four of the other domains")
		require.Contains(t, []string{"10.0.0.1:80", "10.0.0.7:80"}, addresses[0], "addresses of the same failure domain come first")
		firsts[addresses[0]] = true
	}
	require.Len(t, firsts, 2)
}
