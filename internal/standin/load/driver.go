package load

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/citrongate/citrongate/internal/client"
	"github.com/citrongate/citrongate/internal/standin/engine"
	"github.com/citrongate/citrongate/internal/standin/service"
)

// maxInFlight bounds the calls open at once; further ones count as not sent.
const maxInFlight = 4000

// Config says what to send.
type Config struct {
	// Entries are caller addresses to start discovery from.
	Entries []string
	// AvoidBookings are entries that get no bookings and issue no tickets.
	AvoidBookings []string
	Flows         []Flow
	Duration      time.Duration
	Seed          uint64
	// HTTP is the client of all calls; a new one if nil.
	HTTP *http.Client
	// Report is called once for each call, from one goroutine at a time.
	Report func(Outcome)
}

// Outcome is what became of one call.
type Outcome struct {
	Number int
	Flow   *Flow
	Result *client.Result
	// Err is set if no entry was found, or if the answer is not the right one.
	Err error
	// Whole is true if the whole and right answer arrived.
	Whole bool
}

// String returns the outcome on one line.
func (o Outcome) String() string {
	head := fmt.Sprintf("call %d %s tier %d: ", o.Number, o.Flow.Kind, o.Flow.Tier)
	if o.Err != nil {
		return head + "FAILED: " + o.Err.Error()
	}
	attempts := ""
	for i, attempt := range o.Result.Attempts {
		if i < len(o.Result.Attempts)-1 {
			attempts += "; before: " + attempt.String()
		}
	}
	if !o.Whole {
		return head + fmt.Sprintf("ran %s, %s%s", o.Result.Ran, o.Result.Last(), attempts)
	}
	what := fmt.Sprintf("%d tokens", o.Result.Tokens)
	if o.Flow.Type != Model {
		what = fmt.Sprintf("%d bytes", len(o.Result.Body))
	}
	return head + fmt.Sprintf("%s in %d ms, %s%s", what, o.Result.Total.Milliseconds(), o.Result.Last(), attempts)
}

// Run sends calls for the duration and returns all outcomes when the last call
// has ended.
func Run(ctx context.Context, config Config) []Outcome {
	d := &driver{config: config, slots: make(chan struct{}, maxInFlight)}
	if d.config.HTTP == nil {
		d.config.HTTP = client.NewHTTP(nil)
	}
	var flows sync.WaitGroup
	for i := range config.Flows {
		random := rand.New(rand.NewPCG(config.Seed, uint64(i)))
		flows.Go(func() { d.drive(ctx, &d.config.Flows[i], random) })
	}
	flows.Wait()
	d.calls.Wait()
	return d.outcomes
}

type driver struct {
	config Config
	slots  chan struct{}
	calls  sync.WaitGroup

	mu       sync.Mutex
	sent     int
	outcomes []Outcome
}

// drive sends the calls of one flow at random times.
func (d *driver) drive(ctx context.Context, flow *Flow, random *rand.Rand) {
	caller := client.NewCaller(d.config.Entries, flow.Token, d.config.HTTP)
	if flow.Type == Booking {
		for _, entry := range d.config.AvoidBookings {
			caller.Directory.Exclude(entry)
		}
	}
	end := time.Now().Add(d.config.Duration)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for at := time.Now(); ; {
		at = at.Add(time.Duration(random.ExpFloat64() / flow.Rate * float64(time.Second)))
		if at.After(end) {
			return
		}
		timer.Reset(time.Until(at))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		request, check := build(flow, random)
		d.launch(ctx, flow, caller, request, check)
	}
}

func (d *driver) launch(ctx context.Context, flow *Flow, caller *client.Caller, request *client.Request, check checker) {
	d.mu.Lock()
	d.sent++
	number := d.sent
	d.mu.Unlock()
	select {
	case d.slots <- struct{}{}:
	default:
		d.record(Outcome{Number: number, Flow: flow, Err: fmt.Errorf("not sent: %d calls are open", maxInFlight)})
		return
	}
	d.calls.Go(func() {
		defer func() { <-d.slots }()
		result, err := caller.Do(ctx, request)
		outcome := Outcome{Number: number, Flow: flow, Result: result, Err: err}
		if err == nil && result.Whole {
			outcome.Err = check(result)
			outcome.Whole = outcome.Err == nil
		}
		d.record(outcome)
	})
}

func (d *driver) record(outcome Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.outcomes = append(d.outcomes, outcome)
	if d.config.Report != nil {
		d.config.Report(outcome)
	}
}

// checker returns an error if a whole answer is not the right one.
type checker func(*client.Result) error

// build makes one call and the check of its answer.
func build(flow *Flow, random *rand.Rand) (*client.Request, checker) {
	request := &client.Request{Kind: flow.Kind, Deadline: flow.Deadline, Labels: flow.Labels}
	nonce := random.Uint64()
	if flow.Type != Model {
		request.Body = fmt.Appendf(nil, `{"order":"%016x"}`, nonce)
		request.Keyed = flow.Type == Booking
		request.Repeatable = flow.Type == Service
		return request, func(result *client.Result) error { return checkService(request, result) }
	}
	tokens := flow.MinTokens + random.IntN(flow.MaxTokens-flow.MinTokens+1)
	question := fmt.Sprintf("question %016x tokens=%d ", nonce, tokens)
	if missing := flow.PromptBytes - len(question); missing > 0 {
		question += strings.Repeat("x", missing)
	}
	request.Model, request.Stream, request.Repeatable = flow.Model, true, true
	request.Messages = []client.Message{{Role: "system", Content: "Answer briefly."}, {Role: "user", Content: question}}
	return request, func(result *client.Result) error { return checkModel(question, tokens, result) }
}

// checkModel compares the answer with the one that an engine must give.
func checkModel(question string, tokens int, result *client.Result) error {
	var want strings.Builder
	for i := range tokens {
		want.WriteString(engine.TokenText(question, i))
	}
	if result.Text != want.String() {
		return fmt.Errorf("the answer is not the one to this question: %d bytes of %d", len(result.Text), want.Len())
	}
	return nil
}

// checkService compares the answer with the request that the service received.
func checkService(request *client.Request, result *client.Result) error {
	var answer service.Answer
	switch {
	case result.Status != http.StatusOK:
		return fmt.Errorf("the service answered HTTP status %d", result.Status)
	case json.Unmarshal(result.Body, &answer) != nil || answer.Received != string(request.Body):
		return fmt.Errorf("the answer is not the one to this call: %.200s", result.Body)
	}
	return nil
}
