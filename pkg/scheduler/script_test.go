package scheduler

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
)

var reasonNames = map[ShedReason]string{
	Overload: "overload", Expired: "expired", Infeasible: "infeasible",
	LimitInFlight: "limit in flight", LimitQueue: "limit queue", NoUpstream: "no upstream",
}

var outcomes = map[string]Outcome{
	"unused": Unused, "complete": Complete, "late": Late, "broken": Broken,
	"refused": ConnectRefused, "canceled": Canceled,
}

// scriptRunner runs the scripts in testdata.
type scriptRunner struct {
	pool     *Pool
	now      time.Duration
	topology Topology
	kinds    map[uint32]FlowLimit
	orgs     map[uint32]FlowLimit
}

// args are the key=value arguments of one line.
type args map[string]string

func parseArgs(fields []string) args {
	a := args{}
	for _, field := range fields {
		key, value, _ := strings.Cut(field, "=")
		a[key] = value
	}
	return a
}

func (a args) number(key string, fallback uint32) uint32 {
	value, err := strconv.ParseUint(a[key], 10, 32)
	if err != nil {
		return fallback
	}
	return uint32(value)
}

func (a args) duration(key string) time.Duration {
	d, _ := time.ParseDuration(a[key])
	return d
}

// TestScripts runs the scripts in testdata. They check the behaviour that an
// operator sees: order, shedding, limits, stragglers, ownership changes.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/stories", func(t *testing.T, path string) {
		s := &scriptRunner{pool: New(Config{Seed: 1}), kinds: map[uint32]FlowLimit{}, orgs: map[uint32]FlowLimit{}}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var out strings.Builder
			if d.Cmd == "topology" {
				s.setTopology(strings.Split(d.Input, "\n"))
				return ""
			}
			require.Equal(t, "run", d.Cmd)
			for _, line := range strings.Split(d.Input, "\n") {
				fields := strings.Fields(line)
				require.NotEmpty(t, fields)
				s.run(t, fields[0], fields[1:], &out)
			}
			return out.String()
		})
	})
}

// setTopology reads lines such as "upstream a concurrency=2", "class a b",
// "kind 1 in-flight=2" and "org 1 queued=3 weight=2".
func (s *scriptRunner) setTopology(lines []string) {
	t := Topology{
		Kinds: func(kind uint32) FlowLimit { return s.kinds[kind] },
		Orgs:  func(org uint32) FlowLimit { return s.orgs[org] },
	}
	for _, line := range lines {
		fields := strings.Fields(line)
		a := parseArgs(fields[1:])
		switch fields[0] {
		case "upstream":
			_, service := a["service"]
			_, leaving := a["leaving"]
			t.Upstreams = append(t.Upstreams, Upstream{
				Name: fields[1], Service: service, Leaving: leaving,
				Concurrency: a.number("concurrency", 0), MaxConcurrency: a.number("max", 0),
			})
		case "class":
			var c Class
			for _, name := range fields[1:] {
				for i, u := range t.Upstreams {
					if u.Name == name {
						c.Upstreams = append(c.Upstreams, uint32(i))
					}
				}
			}
			t.Classes = append(t.Classes, c)
		case "kind", "org":
			number, _ := strconv.Atoi(fields[1])
			limit := FlowLimit{
				Weight: float64(a.number("weight", 1)), InFlight: a.number("in-flight", 0), Queued: a.number("queued", 0),
			}
			if fields[0] == "kind" {
				s.kinds[uint32(number)] = limit
			} else {
				s.orgs[uint32(number)] = limit
			}
		}
	}
	s.topology = t
	s.pool.SetTopology(s.now, t)
}

func (s *scriptRunner) run(t *testing.T, command string, fields []string, out *strings.Builder) {
	a := parseArgs(fields)
	switch command {
	case "at":
		d, err := time.ParseDuration(fields[0])
		require.NoError(t, err)
		s.now = d
	case "submit":
		s.submit(a)
	case "withdraw":
		s.pool.Withdraw(s.now, id(a))
	case "first":
		s.pool.FirstToken(s.now, id(a), a.duration("ttft"), 0)
	case "release":
		s.pool.Release(s.now, Completion{
			ID: id(a), Outcome: outcomes[a["outcome"]], OutputTokens: a.number("tokens", 10),
			TTFT: a.duration("ttft"), InterToken: a.duration("gap"), Attempt: a.number("attempt", 0),
		})
	case "progress":
		s.pool.Progress(s.now, Observation{
			Entry: 1, Upstream: s.index(a["upstream"]), Streams: a.number("streams", 1),
			Stalled: a.number("stalled", 0), InterToken: a.duration("gap"),
		})
	case "adopt":
		s.pool.Adopt(s.now, InFlight{Descriptor: s.descriptor(a), Upstream: s.index(a["upstream"]), OutputTokens: a.number("tokens", 1)})
	case "drop":
		s.pool.DropEntry(s.now, uint64(a.number("entry", 1)))
	case "cautious":
		s.pool.HalveLimitsUntil(s.now, a.duration("until"))
	case "share":
		s.pool.SetLimitDivisor(s.now, int(a.number("of", 1)))
	case "step":
		s.step(out)
	case "wake":
		fmt.Fprintf(out, "wake at %v\n", s.pool.NextWake(s.now))
	case "summary":
		s.summary(out)
	default:
		t.Fatalf("unknown command %q", command)
	}
}

func id(a args) GlobalID {
	return GlobalID{Entry: uint64(a.number("entry", 1)), Sequence: uint64(a.number("id", 0))}
}

// submit adds count requests with consecutive ids.
func (s *scriptRunner) submit(a args) {
	d := s.descriptor(a)
	for range a.number("count", 1) {
		s.pool.Submit(s.now, d)
		d.ID.Sequence++
	}
}

func (s *scriptRunner) descriptor(a args) Descriptor {
	d := Descriptor{
		ID: id(a), Attempt: a.number("attempt", 1), Tier: uint8(a.number("tier", 0)),
		Kind: a.number("kind", 1), Org: a.number("org", 1), Class: a.number("class", 0),
		PromptLength: a.number("prompt", 100), MeanOutput: a.number("out", 10), Deadline: s.now + 10*time.Second,
	}
	d.HighOutput = 2 * d.MeanOutput
	if within := a.duration("within"); within > 0 {
		d.Deadline = s.now + within
	}
	return d
}

func (s *scriptRunner) index(name string) uint32 {
	for i, u := range s.topology.Upstreams {
		if u.Name == name {
			return uint32(i)
		}
	}
	return 1 << 20
}

func (s *scriptRunner) step(out *strings.Builder) {
	decisions := s.pool.Step(s.now, nil)
	if len(decisions) == 0 {
		out.WriteString("nothing\n")
	}
	for _, d := range decisions {
		if d.Reason == 0 {
			fmt.Fprintf(out, "grant %d at %s\n", d.ID.Sequence, s.topology.Upstreams[d.Upstream].Name)
		} else {
			fmt.Fprintf(out, "shed %d: %s\n", d.ID.Sequence, reasonNames[d.Reason])
		}
	}
}

func (s *scriptRunner) summary(out *strings.Builder) {
	summary := s.pool.Summary()
	for tier, counts := range summary.Tiers {
		if counts != (TierSummary{}) {
			fmt.Fprintf(out, "tier %d: %d waiting, %d in flight\n", tier, counts.Waiting, counts.InFlight)
		}
	}
	for _, u := range summary.Upstreams {
		fmt.Fprintf(out, "%s: %d of %d in flight", u.Name, u.InFlight, u.Limit)
		if u.Straggler {
			out.WriteString(", straggler")
		}
		out.WriteString("\n")
	}
}
