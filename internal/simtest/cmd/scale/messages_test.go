package main

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/internal/simtest"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// sentMessage is a message, its sender and when it was sent.
type sentMessage struct {
	at   time.Duration
	from string
	body *pb.PeerMessage
}

// recordMessages records all messages that a fleet sends from now on.
func recordMessages(f *fleet) *[]sentMessage {
	var log []sentMessage
	f.OnFrame = func(from *simtest.Instance, _ string, frame *pb.Frame, _ int) {
		for _, m := range frame.Messages {
			log = append(log, sentMessage{f.Loop.Now(), from.Name, m})
		}
	}
	return &log
}

// busyCell is a cell of 24 entries whose streams last about 20 s; every entry has
// streams at each of the 4 engines.
func busyCell(seed uint64) *fleet {
	s := shape{nodes: 24, cellSize: 24, upstreams: 4, organisations: 2, models: 1, concurrency: 160}
	f := newFleet(s, options{seed: seed, engines: true})
	f.Loop.RunUntil(6 * time.Second)
	f.Loop.Every(100*time.Millisecond, func() bool {
		f.Instances[f.Loop.Rand.IntN(s.nodes)].Submit(simtest.Spec{Kind: kindName(0), Model: modelName(0), Organisation: organisationName(0),
			Prompt: 50, Output: 500, Remaining: time.Minute})
		return f.Loop.Now() < 60*time.Second
	})
	return f
}

// Guards against sync requests for what a digest has already confirmed: each answer
// sent all of an entry's requests, 38 KB/s per node at the target's load.
func TestNoSyncWhileDigestsAgree(t *testing.T) {
	f := busyCell(1)
	f.Loop.RunUntil(20 * time.Second)
	log := recordMessages(f)
	f.Loop.RunUntil(45 * time.Second)
	for _, m := range *log {
		require.Nil(t, m.body.GetSyncRequest(), "an entry was asked for requests that the owner already knows")
	}
	require.Greater(t, countAnswered(f), 100.0)
}

// Guards against load reports whose number grows with entries times upstreams, and
// against a stream that counts as stalled only because it is new.
func TestReportsPerUpstreamAreBounded(t *testing.T) {
	f := busyCell(2)
	f.Loop.RunUntil(25 * time.Second)
	log := recordMessages(f)
	const seconds = 20
	f.Loop.RunUntil((25 + seconds) * time.Second)
	reports, stalled := 0, 0
	for _, m := range *log {
		if p := m.body.GetProgress(); p != nil {
			reports++
			stalled += int(p.Stalled)
		}
	}
	require.Positive(t, reports)
	// 24 entries report each of the 4 engines every 16 s.
	require.LessOrEqual(t, reports, 24*4*(seconds+15)/16)
	require.Zero(t, stalled, "a stream was reported as stalled although no engine stalled")
}

// Guards against withheld reports that show a straggler: an owner must notice one
// within 2 s, also in a large cell.
func TestSlowdownIsReportedAtOnce(t *testing.T) {
	f := busyCell(3)
	f.Loop.RunUntil(30 * time.Second)
	slow := upstreamName(0)
	log := recordMessages(f)
	f.Engines[slow].SetSlowdown(4)
	f.Loop.RunUntil(31500 * time.Millisecond)
	reporters := map[string]bool{}
	for _, m := range *log {
		if p := m.body.GetProgress(); p != nil && p.Upstream == slow && time.Duration(p.InterTokenUs)*time.Microsecond > 54*time.Millisecond {
			reporters[m.from] = true
		}
	}
	entriesUsing := 0
	for _, i := range f.Instances {
		if usesUpstream(f, i.Name, slow) {
			entriesUsing++
		}
	}
	require.Positive(t, entriesUsing)
	// The owner's own streams need no message.
	require.GreaterOrEqual(t, len(reporters), entriesUsing/2)
}

func usesUpstream(f *fleet, entry, upstream string) bool {
	for _, r := range f.Trace.Requests {
		if r.Instance == entry && r.Outcome == simtest.OutcomeNone && len(r.Dispatches) > 0 &&
			r.Dispatches[0].Upstream == upstream && r.Dispatches[0].At < 28*time.Second {
			return true
		}
	}
	return false
}
