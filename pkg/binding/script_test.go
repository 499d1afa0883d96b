package binding

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/citrongate/citrongate/pkg/store/storetest"
)

var faultsByName = map[string]storetest.Fault{
	"none": storetest.None, "outage": storetest.Outage, "lost-before": storetest.LostBefore,
	"lost-after": storetest.LostAfter, "late": storetest.Late, "stale": storetest.Stale,
}

// script runs one scenario of testdata/scripts, whose attempts have names.
type script struct {
	*fleet
	attempts map[string]*request
	order    []string
	tickets  map[string]string
}

// TestScripts guards against changes in what callers are told in the scenarios of
// section 7 of the design: each script lists the answers to a sequence of events.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		s := &script{fleet: newFleet(t, 2), attempts: map[string]*request{}, tickets: map[string]string{}}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			s.run(t, d)
			return s.status()
		})
	})
}

// testInstance returns the instance that the argument host of a command selects.
func (s *script) testInstance(t *testing.T, d *datadriven.TestData) *testInstance {
	var i int
	d.ScanArgs(t, "host", &i)
	return s.instances[i]
}

func (s *script) run(t *testing.T, d *datadriven.TestData) {
	switch d.Cmd {
	case "ticket":
		var name string
		d.ScanArgs(t, "name", &name)
		s.tickets[name], _ = s.testInstance(t, d).home.Issue(s.now)
	case "submit":
		s.submitNamed(t, d)
	case "store":
		s.advanceStoreCalls(t, d)
	case "run-late":
		s.fleet.store.RunLate(0)
	case "dispatch":
		s.dispatch(s.testInstance(t, d), 0)
	case "not-run":
		s.notRun(s.testInstance(t, d), 0)
	case "finish":
		s.finish(s.testInstance(t, d), 0, !d.HasArg("unknown"))
	case "kill":
		var i int
		d.ScanArgs(t, "host", &i)
		s.kill(i)
	case "wait":
		var text string
		d.ScanArgs(t, "for", &text)
		wait, err := time.ParseDuration(text)
		if err != nil {
			d.Fatalf(t, "%v", err)
		}
		s.now += wait
		for _, h := range s.instances {
			s.step(h)
		}
	default:
		d.Fatalf(t, "unknown command %s", d.Cmd)
	}
}

func (s *script) submitNamed(t *testing.T, d *datadriven.TestData) {
	name, key, body, organisation := "", "", "x", "o"
	d.ScanArgs(t, "name", &name)
	d.ScanArgs(t, "key", &key)
	d.MaybeScanArgs(t, "body", &body)
	d.MaybeScanArgs(t, "organisation", &organisation)
	if first, suffix, ok := strings.Cut(key, "."); ok && s.tickets[first] != "" {
		key = s.tickets[first] + "." + suffix
	}
	s.attempts[name] = s.submit(s.testInstance(t, d), call(organisation, key, body))
	s.order = append(s.order, name)
}

// advanceStoreCalls completes a number of store calls of an instance; the fault
// applies to the first one.
func (s *script) advanceStoreCalls(t *testing.T, d *datadriven.TestData) {
	count, fault := 1, "none"
	d.MaybeScanArgs(t, "calls", &count)
	d.MaybeScanArgs(t, "fault", &fault)
	h := s.testInstance(t, d)
	for range count {
		if len(h.network.Calls) == 0 {
			d.Fatalf(t, "no store call is in progress")
		}
		s.advance(h, 0, faultsByName[fault])
		s.advance(h, 0, storetest.None)
		fault = "none"
	}
}

// status lists the state of every attempt and the store calls in progress.
func (s *script) status() string {
	var out strings.Builder
	for _, name := range s.order {
		fmt.Fprintf(&out, "%s: %s\n", name, s.attempts[name].describe())
	}
	for i, h := range s.instances {
		for _, c := range h.network.Calls {
			fmt.Fprintf(&out, "host %d calls %s\n", i, []string{"", "get", "create", "update", "delete", "list"}[c.Call.Op.Kind])
		}
	}
	return out.String()
}

func (r *request) describe() string {
	switch {
	case !r.answered && r.ran:
		return "dispatched"
	case !r.answered && slices.Contains(r.instance.running, r.waiter):
		return "told to run"
	case !r.answered:
		return "waits"
	case r.answer.Verdict == Reply:
		return "answered " + string(r.answer.Outcome.Body[strings.LastIndexByte(string(r.answer.Outcome.Body), '|')+1:])
	}
	return fmt.Sprintf("%s ran=%s", r.answer.Refusal.Code, r.answer.Refusal.Ran)
}
