package binding

import (
	"fmt"
	"strings"
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

// TestAtMostOnce guards against a call that runs twice under one key, a refusal with
// ran: no for a call that ran, an answer to the wrong caller or organisation, and a
// caller without an answer. The faults are duplicates at several instances, restarts,
// outages, lost responses, late writes, stale reads, expired tickets and record
// limits that are reached.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, 3)
		keys := []string{"k1", "k2", "k3"}
		for range rapid.IntRange(20, 250).Draw(t, "steps") {
			i := rapid.IntRange(0, 2).Draw(t, "host")
			h := f.instances[i]
			switch rapid.IntRange(0, 20).Draw(t, "action") {
			case 0, 1, 2, 3:
				f.submit(h, Call{
					Organisation: rapid.SampledFrom([]string{"o1", "o2"}).Draw(t, "organisation"),
					Kind:         "book",
					Key:          rapid.SampledFrom(keys).Draw(t, "key"),
					Body:         []byte(rapid.SampledFrom([]string{"x", "x", "x", "y"}).Draw(t, "body")),
					Deadline:     f.now + time.Duration(rapid.IntRange(1, 10).Draw(t, "deadline"))*time.Second,
				})
			case 4:
				ticket, _ := h.home.Issue(f.now)
				keys = append(keys, ticket+".s")
			case 5, 6:
				if n := len(h.running); n > 0 {
					f.dispatch(h, rapid.IntRange(0, n-1).Draw(t, "running"))
				}
			case 7:
				if n := len(h.running); n > 0 {
					f.notRun(h, rapid.IntRange(0, n-1).Draw(t, "running"))
				}
			case 8, 9:
				if n := len(h.dispatched); n > 0 {
					f.finish(h, rapid.IntRange(0, n-1).Draw(t, "dispatched"), rapid.Bool().Draw(t, "known"))
				}
			case 10:
				f.now += time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond
				f.step(h)
			case 11:
				if rapid.IntRange(0, 3).Draw(t, "kill") == 0 {
					f.kill(i)
				}
			case 12:
				if n := f.store.LateCount(); n > 0 {
					f.store.RunLate(rapid.IntRange(0, n-1).Draw(t, "late"))
				}
			case 13:
				if r := f.requests[Waiter(rapid.Uint64Range(1, f.nextID).Draw(t, "request"))]; r != nil {
					f.withdraw(r)
				}
			default:
				if n := len(h.network.Calls); n > 0 {
					fault := storetest.None
					if rapid.Bool().Draw(t, "faulty") {
						fault = storetest.Fault(rapid.IntRange(0, int(storetest.FaultCount)-1).Draw(t, "fault"))
					}
					f.advance(h, rapid.IntRange(0, n-1).Draw(t, "call"), fault)
				}
			}
		}
		f.settle()
		for _, r := range f.requests {
			require.True(t, r.answered, "attempt was not answered: %+v", r.call)
		}
	})
}

func call(organisation, key, body string) Call {
	return Call{Organisation: organisation, Kind: "book", Key: key, Body: []byte(body), Deadline: time.Hour}
}

// TestTicketLifetime guards against a call that runs under an expired ticket, and
// against ran: no once the records of the ticket may have been dropped.
func TestTicketLifetime(t *testing.T) {
	f := newFleet(t, 2)
	ticket, ttl := f.instances[0].home.Issue(0)
	require.Equal(t, 20*time.Second, ttl)
	ran := call("o", ticket+".ran", "x")
	f.submit(f.instances[1], ran)
	f.dispatch(f.instances[0], 0)
	f.finish(f.instances[0], 0, true)
	for _, c := range []struct {
		at        time.Duration
		old, new_ Ran
	}{{20 * time.Second, "", RanNo}, {60*time.Second - 1, "", RanNo}, {60 * time.Second, RanUnknown, RanUnknown}} {
		f.now = c.at
		f.instances[0].home.Step(f.now)
		old := f.submit(f.instances[1], ran).answer
		if c.old == "" {
			require.Equal(t, Reply, old.Verdict, "a record must outlive its ticket")
		} else {
			require.Equal(t, c.old, old.Refusal.Ran)
		}
		fresh := f.submit(f.instances[1], call("o", ticket+".new", "x")).answer
		require.Equal(t, "ticket_expired", fresh.Refusal.Code)
		require.Equal(t, c.new_, fresh.Refusal.Ran)
	}
}

// TestTicketRefusals guards against accepting forged tickets or reused keys, against
// evicting records at the limit, and against ran: no after a ticket's home has ended.
func TestTicketRefusals(t *testing.T) {
	f := newFleet(t, 2)
	home := f.instances[0]
	ticket, _ := home.home.Issue(0)
	forged := []byte(ticket)
	forged[len(forged)-3] ^= 1
	require.Equal(t, "bad_request", f.submit(home, call("o", string(forged)+".a", "x")).answer.Refusal.Code)
	require.Equal(t, "bad_request", f.submit(home, call("o", ticket, "x")).answer.Refusal.Code, "no suffix")
	for i := range 6 {
		f.submit(home, call("o", ticket+"."+strings.Repeat("a", i+1), "x"))
	}
	require.Len(t, home.running, 6)
	full := f.submit(home, call("o", ticket+".z", "x")).answer
	require.Equal(t, "limit_in_flight", full.Refusal.Code)
	require.Equal(t, RanNo, full.Refusal.Ran)
	reused := f.submit(home, call("o", ticket+".a", "y")).answer
	require.Equal(t, "bad_request", reused.Refusal.Code)
	other := f.submit(home, call("o2", ticket+".a", "x"))
	require.Len(t, home.running, 7, "equal keys of two organisations must be distinct")
	require.False(t, other.answered)
	f.kill(0)
	unreachable := f.submit(f.instances[1], call("o", ticket+".a", "x")).answer
	require.Equal(t, "ticket_home_gone", unreachable.Refusal.Code)
	require.Equal(t, RanUnknown, unreachable.Refusal.Ran)
}

// TestLargeOutcomeIsNotKept guards against recorded outcomes that exhaust the memory,
// and against a repeated call that is answered with a truncated body.
func TestLargeOutcomeIsNotKept(t *testing.T) {
	h := NewHome(HomeConfig{Incarnation: 1, MACKey: []byte("k"), TicketTTL: time.Minute, RecordTTL: time.Minute, MaxRecords: 9})
	ticket, _ := h.Issue(0)
	c := call("o", ticket+".a", "x")
	require.Equal(t, Run, h.Submit(0, 1, c).Verdict)
	require.Equal(t, Pending, h.Submit(0, 2, c).Verdict)
	large := &pb.BindingOutcome{HttpStatus: 200, Body: make([]byte, maxRecordedBody+1)}
	joined := h.Finish(0, 1, large, Refusal{})
	require.Equal(t, []WaiterDecision{{Waiter: 2, Decision: Decision{Verdict: Reply, Outcome: large}}}, joined)
	late := h.Submit(0, 3, c)
	require.Equal(t, Refuse, late.Verdict)
	require.Equal(t, RanYes, late.Refusal.Ran)
}

// FuzzClassify guards against a key that panics the parser, two encodings of one
// ticket, and accepted keys that are not safe in a header.
func FuzzClassify(f *testing.F) {
	h := NewHome(HomeConfig{Incarnation: 77, MACKey: []byte("k"), TicketTTL: time.Minute, MaxRecords: 1})
	ticket, _ := h.Issue(0)
	for _, seed := range []string{"", "plain", ticket + ".a", ticket, ticket + ".", ticket[:20] + ".a", ticketPrefix + "!", "a b", strings.Repeat("k", 300), ticket + "A.a"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, key string) {
		kind, parsed := classify(key)
		if kind == KeyMalformed {
			return
		}
		require.LessOrEqual(t, len(key), MaxKeyBytes)
		require.Equal(t, -1, strings.IndexFunc(key, func(r rune) bool { return r <= ' ' || r > '~' }))
		if kind == KeyTicket {
			text, _, _ := strings.Cut(key, ".")
			require.Equal(t, text, parsed.encode())
		}
		if h.Submit(0, 1, Call{Key: key}).Verdict == Run {
			require.True(t, strings.HasPrefix(key, ticket+"."), "only a key under a ticket issued by h may run")
			h.NotRun(0, 1, Refusal{})
		}
	})
}

// TestBucketBounds guards against a bucket that exceeds the maximum value size of the
// object API, against dropping a claim before its retention time has passed, and
// against recorded response bodies that leave no space for claims.
func TestBucketBounds(t *testing.T) {
	for _, c := range []struct {
		name string
		age  time.Duration
		body int
		runs bool
	}{
		{"full of recent claims", time.Hour, 0, false},
		{"full of claims past retention", 169 * time.Hour, 0, true},
		{"full of recorded bodies", time.Hour, maxStoredBody, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, 1)
			f.now = 200 * time.Hour
			key := keyDigest("o", "k")
			bucket := &pb.ClaimBucket{}
			for i, size := 0, 0; size <= maxBucketBytes-claimOverhead; i++ {
				claim := &pb.Claim{KeyDigest: []byte(fmt.Sprintf("%016d", i)), Incarnation: 1 << 60, Sequence: 1,
					ClaimedAtUnixS: f.unix() - int64(c.age/time.Second), RequestDigest: key[:]}
				if c.body > 0 {
					claim.Outcome = &pb.BindingOutcome{HttpStatus: 200, Body: make([]byte, c.body)}
				}
				bucket.Claims = append(bucket.Claims, claim)
				// Each claim takes a tag and a length besides its own bytes.
				size += 2 + proto.Size(claim)
			}
			f.store.Execute(store.Op{Kind: store.Create, Key: bucketKey(bucketOf(key)), Value: marshal(bucket)}, storetest.None)
			r := f.submit(f.instances[0], call("o", "k", "x"))
			r.call.Deadline = f.now + time.Minute
			for len(f.instances[0].network.Calls) > 0 {
				f.advance(f.instances[0], 0, storetest.None)
			}
			require.Equal(t, c.runs, len(f.instances[0].running) == 1)
			if !c.runs {
				require.Equal(t, "store_unavailable", r.answer.Refusal.Code)
				require.Equal(t, RanNo, r.answer.Refusal.Ran)
			}
			after := f.store.Current(bucketKey(bucketOf(key)))
			require.LessOrEqual(t, len(after.Value), maxBucketBytes)
			stored := &pb.ClaimBucket{}
			require.NoError(t, proto.Unmarshal(after.Value, stored))
			if c.body > 0 {
				require.Len(t, stored.Claims, len(bucket.Claims)+1, "bodies must be dropped before claims")
				require.True(t, stored.Claims[0].Outcome.BodyOmitted)
			}
		})
	}
}
