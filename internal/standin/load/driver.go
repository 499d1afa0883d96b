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

// maxInFlight is the maximum number of open calls; further ones are recorded as not sent.
const maxInFlight = 4000

// Config describes the load.
type Config struct {
	// Entries are the caller addresses of entry instances from which discovery starts.
	Entries []string
	// AvoidBookings are entry instances that are sent no bookings and asked for no tickets.
	AvoidBookings []string
	Flows         []Flow
	Duration      time.Duration
	Seed          uint64
	// HTTP is the client for all calls; if nil, a new one is created.
	HTTP *http.Client
	// Report, if set, is called once for each call, never concurrently.
	Report func(Outcome)
}

// Outcome is the result of one call.
type Outcome struct {
	Number int
	Flow   *Flow
	Result *client.Result
	// Err is set if no entry instance was found, the call was not sent, or the answer
	// is not the expected one.
	Err error
	// Complete is true if the complete and expected answer arrived.
	Complete bool
}

// String formats the outcome as one line.
func (o Outcome) String() string {
	prefix := fmt.Sprintf("call %d %s tier %d: ", o.Number, o.Flow.Kind, o.Flow.Tier)
	if o.Err != nil {
		return prefix + "FAILED: " + o.Err.Error()
	}
	earlier := ""
	for i, attempt := range o.Result.Attempts {
		if i < len(o.Result.Attempts)-1 {
			earlier += "; before: " + attempt.String()
		}
	}
	if !o.Complete {
		return prefix + fmt.Sprintf("ran %s, %s%s", o.Result.Ran, o.Result.Last(), earlier)
	}
	size := fmt.Sprintf("%d tokens", o.Result.Tokens)
	if o.Flow.Type != Model {
		size = fmt.Sprintf("%d bytes", len(o.Result.Body))
	}
	return prefix + fmt.Sprintf("%s in %d ms, %s%s", size, o.Result.Total.Milliseconds(), o.Result.Last(), earlier)
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
		flows.Go(func() { d.runFlow(ctx, &d.config.Flows[i], random) })
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

// runFlow sends the calls of one flow as a Poisson process.
func (d *driver) runFlow(ctx context.Context, flow *Flow, random *rand.Rand) {
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
		request, check := newCall(flow, random)
		d.startCall(ctx, flow, caller, request, check)
	}
}

func (d *driver) startCall(ctx context.Context, flow *Flow, caller *client.Caller, request *client.Request, check checker) {
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
		result, err := caller.Call(ctx, request)
		outcome := Outcome{Number: number, Flow: flow, Result: result, Err: err}
		if err == nil && result.Complete {
			outcome.Err = check(result)
			outcome.Complete = outcome.Err == nil
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

// checker returns an error if a complete answer is not the expected one.
type checker func(*client.Result) error

// newCall returns a random call of the flow and the check of its answer.
func newCall(flow *Flow, random *rand.Rand) (*client.Request, checker) {
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
	if padding := flow.PromptBytes - len(question); padding > 0 {
		question += strings.Repeat("x", padding)
	}
	request.Model, request.Stream, request.Repeatable = flow.Model, true, true
	request.Messages = []client.Message{{Role: "system", Content: "Answer briefly."}, {Role: "user", Content: question}}
	return request, func(result *client.Result) error { return checkModel(question, tokens, result) }
}

// checkModel compares the answer with the text that an engine generates for the question.
func checkModel(question string, tokens int, result *client.Result) error {
	var want strings.Builder
	for i := range tokens {
		want.WriteString(engine.TokenText(question, i))
	}
	if result.Text != want.String() {
		return fmt.Errorf("the answer does not match the question: %d bytes received, %d expected", len(result.Text), want.Len())
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
		return fmt.Errorf("the answer does not match the call: %.200s", result.Body)
	}
	return nil
}
