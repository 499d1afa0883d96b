package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const testGroup = 7

// groupTopology has plain upstreams and, in the same classes, ones of a group.
func groupTopology(plain, grouped int, service bool) Topology {
	t := Topology{Kinds: noLimit, Orgs: noLimit, Classes: make([]Class, 2)}
	for i := range plain + grouped {
		u := Upstream{Name: fmt.Sprint("u", i), Service: service, Concurrency: 2, MaxConcurrency: 4}
		if i >= plain {
			u.Group = testGroup
		}
		t.Upstreams = append(t.Upstreams, u)
		t.Classes[0].Upstreams = append(t.Classes[0].Upstreams, uint32(i))
		if i%2 == 0 {
			t.Classes[1].Upstreams = append(t.Classes[1].Upstreams, uint32(i))
		}
	}
	return t
}

// groupScript draws the same random work for several pools and compares or checks their decisions.
type groupScript struct {
	t        *rapid.T
	now      time.Duration
	sequence uint64
	held     []Decision
}

var groupOutcomes = []Outcome{Complete, Complete, Complete, Failed, Broken, ConnectRefused, Refused, Late, Unused}

// run applies one random operation to all pools.
func (s *groupScript) run(pools ...*Pool) {
	s.now += time.Duration(rapid.IntRange(0, 200).Draw(s.t, "ms")) * time.Millisecond
	if len(s.held) > 0 && rapid.Bool().Draw(s.t, "release") {
		i := rapid.IntRange(0, len(s.held)-1).Draw(s.t, "which")
		d := s.held[i]
		s.held = append(s.held[:i], s.held[i+1:]...)
		c := Completion{ID: d.ID, Outcome: rapid.SampledFrom(groupOutcomes).Draw(s.t, "outcome"), OutputTokens: 4, TTFT: 50 * time.Millisecond}
		for _, p := range pools {
			p.Release(s.now, c)
		}
		return
	}
	s.sequence++
	d := Descriptor{ID: GlobalID{uint64(rapid.IntRange(1, 2).Draw(s.t, "entry")), s.sequence}, Attempt: 1,
		Tier: uint8(rapid.IntRange(0, 2).Draw(s.t, "tier")), Class: uint32(rapid.IntRange(0, 1).Draw(s.t, "class")),
		PromptLength: uint32(rapid.IntRange(0, 4000).Draw(s.t, "prompt")), MeanOutput: 4, HighOutput: 8,
		Deadline: s.now + time.Duration(rapid.IntRange(50, 5000).Draw(s.t, "deadline"))*time.Millisecond}
	for _, p := range pools {
		p.Submit(s.now, d)
	}
}

// TestExhaustedGroupChangesNothing guards against upstreams that may get nothing and still
// change what becomes of other work: requests that wait for them, are infeasible because of
// their speed, are admitted because of their capacity, or lose an upstream to quarantine
// because these seem to be able to take over.
func TestExhaustedGroupChangesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		service, grouped := rapid.Bool().Draw(t, "service"), rapid.IntRange(1, 4).Draw(t, "grouped")
		with, without := New(Config{Seed: 1, PromptSlowdown: 2}), New(Config{Seed: 1, PromptSlowdown: 2})
		topology := groupTopology(3, grouped, service)
		for i := 3; i < len(topology.Upstreams); i++ {
			topology.Upstreams[i].Concurrency, topology.Upstreams[i].PrefillTokensPerSecond = 50, 1e6
			topology.Upstreams[i].DecodePerToken = time.Millisecond
		}
		with.SetTopology(0, topology)
		without.SetTopology(0, groupTopology(3, 0, service))
		s := &groupScript{t: t}
		for range rapid.IntRange(20, 120).Draw(t, "operations") {
			s.run(with, without)
			got, want := with.Step(s.now, nil), without.Step(s.now, nil)
			require.Equal(t, want, got)
			require.Equal(t, without.NextWake(s.now), with.NextWake(s.now))
			for _, d := range got {
				if d.Reason == 0 {
					s.held = append(s.held, d)
				}
			}
		}
	})
}

// TestAllowanceBoundsGrants guards against more grants to a group than its allowance, counted
// over all changes of the allowance, topologies and permits returned unused, and against an
// allowance that is not used although requests wait and the group is idle.
func TestAllowanceBoundsGrants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := New(Config{Seed: 1})
		topology := groupTopology(2, 2, true)
		p.SetTopology(0, topology)
		s := &groupScript{t: t}
		allowed := 0
		ofGroup := func(d Decision) bool { return topology.Upstreams[d.Upstream].Group == testGroup }
		for range rapid.IntRange(20, 150).Draw(t, "operations") {
			switch rapid.IntRange(0, 9).Draw(t, "operation") {
			case 0:
				allowed = rapid.IntRange(0, 4).Draw(t, "allowance")
				p.SetAllowance(s.now, testGroup, allowed)
			case 1:
				p.SetTopology(s.now, topology)
			default:
				held := append([]Decision(nil), s.held...)
				unusedBefore := p.Allowance(testGroup)
				s.run(p)
				if len(s.held) < len(held) && p.Allowance(testGroup) > unusedBefore {
					allowed++ // a permit was returned unused
				}
			}
			for _, d := range p.Step(s.now, nil) {
				if d.Reason != 0 {
					continue
				}
				s.held = append(s.held, d)
				if ofGroup(d) {
					allowed--
				}
			}
			require.GreaterOrEqual(t, allowed, 0, "granted more than allowed")
			require.Equal(t, allowed, p.Allowance(testGroup))
		}
	})
}

// TestAllowanceIsUsedFirst guards against an allowance that is not used because other upstreams
// are expected to answer earlier, or because the group's upstreams fail: it is given to find
// out how they behave.
func TestAllowanceIsUsedFirst(t *testing.T) {
	p := New(Config{})
	p.SetTopology(0, groupTopology(2, 1, true))
	now := time.Duration(0)
	grant := func(sequence uint64) Decision {
		p.Submit(now, holdRequest(1, sequence, now+time.Minute))
		granted := p.Step(now, nil)
		require.Len(t, granted, 1)
		return granted[0]
	}
	for i := range uint64(40) {
		now += 100 * time.Millisecond
		p.SetAllowance(now, testGroup, 1)
		first, second := grant(2*i+1), grant(2*i+2)
		require.Equal(t, uint32(2), first.Upstream)
		require.NotEqual(t, uint32(2), second.Upstream)
		p.Release(now, Completion{ID: first.ID, Outcome: Failed})
		p.Release(now, Completion{ID: second.ID, Outcome: Complete})
	}
	p.SetAllowance(now, testGroup, Unlimited)
	require.NotEqual(t, uint32(2), grant(1000).Upstream, "without a limit a failing upstream comes last, as any other")
}

// TestOnlyGroupLeft guards against requests that are refused as infeasible or for overload,
// although the only upstreams left are those of a group that still has an allowance.
func TestOnlyGroupLeft(t *testing.T) {
	p := New(Config{})
	topology := groupTopology(1, 1, true)
	topology.Upstreams[0].Leaving = true
	p.SetTopology(0, topology)
	p.Submit(0, holdRequest(1, 1, time.Minute))
	require.Empty(t, p.Step(0, nil), "it waits for an allowance")
	p.SetAllowance(time.Second, testGroup, 1)
	granted := p.Step(time.Second, nil)
	require.Len(t, granted, 1)
	require.Zero(t, granted[0].Reason)
	require.Equal(t, uint32(1), granted[0].Upstream)
}
