package client

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	mrand "math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/citrongate/citrongate/pkg/answer"
)

// defaultAttempts is the default maximum number of attempts of one call.
const defaultAttempts = 8

// Message is one chat message of a call to a model.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chatBody is the body of a chat completion request.
type chatBody struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream"`
}

// Request describes one call, which may take several attempts.
type Request struct {
	// Kind is the request kind; required for calls to plain services.
	Kind string
	// Model and Messages are set for model calls.
	Model     string
	Messages  []Message
	MaxTokens int
	Stream    bool
	// Body and ContentType are set for calls to plain services.
	Body        []byte
	ContentType string
	// Key is the idempotency key. If it is empty and Keyed is true, the client
	// forms a key from a ticket that an entry instance issued.
	Key   string
	Keyed bool
	// FirstUse states that no call with Key was sent before. An entry instance can
	// then tell in a refusal whether the call ran.
	FirstUse bool
	// Repeatable states that the call may run twice without harm, so that it is
	// sent again after an incomplete answer even without a key.
	Repeatable bool
	// Deadline limits the time of the call including all attempts, and is sent to
	// the entry instance; 0 for none.
	Deadline time.Duration
	Labels   map[string]string
	// MaxAttempts is the maximum number of attempts; 0 selects defaultAttempts.
	MaxAttempts int
	// OnText is called with each piece of text of a streamed answer as it arrives;
	// it may be nil. It also receives the pieces of attempts whose answer ends incomplete.
	OnText func(string)
}

func (r *Request) modelCall() bool { return r.Model != "" }

// Attempt describes one attempt of a call and how it ended.
type Attempt struct {
	Entry     string
	RequestID string
	// Key is the idempotency key that was sent; empty for none.
	Key     string
	Ending  Ending
	Refusal Refusal
	// Err describes why the attempt was not sent or has no complete answer.
	Err string
}

// String returns the attempt on one line.
func (a Attempt) String() string {
	switch a.Ending {
	case Complete:
		return "answered whole by " + a.Entry
	case Refused:
		return "refused by " + a.Entry + ": " + a.Refusal.String()
	case NotSent:
		return "not sent to " + a.Entry + ": " + a.Err
	default:
		return "no complete answer from " + a.Entry + ": " + a.Err
	}
}

// Result is the outcome of a call.
type Result struct {
	// Complete is true if the complete answer arrived.
	Complete bool
	// Ran tells whether the call ran at an upstream: "yes", "no" or "unknown".
	Ran string
	// Key is the idempotency key of the last attempt.
	Key string
	// Text is the answer of a model call. Tokens is the number of its streamed
	// pieces, or the number of tokens that a non-streamed answer states.
	Text   string
	Tokens int
	// Status, Body and ContentType are the answer of a plain service, which may
	// be an HTTP error of the service itself.
	Status      int
	Body        []byte
	ContentType string
	Attempts    []Attempt
	// FirstToken and Total are measured from the start of the call.
	FirstToken, Total time.Duration
}

// Last returns the last attempt; there must be at least one.
func (r *Result) Last() Attempt { return r.Attempts[len(r.Attempts)-1] }

// Caller sends calls to entry instances, which it finds through discovery. It is
// safe for concurrent use.
type Caller struct {
	Directory *Directory
	Token     string
	HTTP      *http.Client
}

// NewCaller returns a caller that first asks the seeds, caller addresses of entry
// instances, for discovery.
func NewCaller(seeds []string, token string, http *http.Client) *Caller {
	return &Caller{Directory: NewDirectory(seeds, token, http), Token: token, HTTP: http}
}

// Call sends the call until it is answered completely, or until sending it again is
// not safe or not useful. The error is of type NotReached if no entry instance
// answered discovery.
func (c *Caller) Call(ctx context.Context, request *Request) (*Result, error) {
	if request.Deadline > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, request.Deadline)
		defer cancel()
	}
	call := &call{caller: c, request: request, start: time.Now(), result: &Result{Ran: "no"}}
	return call.run(ctx)
}

// call is the state of one call across its attempts.
type call struct {
	caller  *Caller
	request *Request
	start   time.Time
	result  *Result
	// key is the current key; ticketEntry issued its ticket.
	key, ticketEntry string
	// execution is what is known of the attempts with the current key.
	execution answer.Execution
}

// mayHaveRun reports whether an attempt with the current key may have run.
func (c *call) mayHaveRun() bool { return c.execution.Ran() != answer.RanNo }

func (c *call) run(ctx context.Context) (*Result, error) {
	limit := c.request.MaxAttempts
	if limit == 0 {
		limit = defaultAttempts
	}
	c.key = c.request.Key
	action := resendWithNewKey
	for n := 0; n < limit; n++ {
		targetEntry, err := c.targetEntry(ctx, action)
		if err != nil {
			return c.finishResult(), err
		}
		attempt := c.attempt(ctx, targetEntry)
		c.result.Attempts = append(c.result.Attempts, attempt)
		action = c.evaluate(attempt)
		if action == stop || !c.waitBeforeRetry(ctx, n, attempt) {
			break
		}
	}
	return c.finishResult(), nil
}

// targetEntry returns the entry instance for the next attempt. A call whose key was
// formed from a ticket goes to the entry that issued the ticket as long as that
// accepts connections.
func (c *call) targetEntry(ctx context.Context, action nextAction) (string, error) {
	ticketed := c.request.Keyed && c.request.Key == ""
	if ticketed && action == resendWithNewKey {
		route, err := c.caller.Directory.chooseRoute(ctx, true)
		if err != nil {
			return "", err
		}
		c.key, c.ticketEntry, c.execution = route.ticket+"."+rand.Text()[:16], route.address, answer.Execution{}
		return c.ticketEntry, nil
	}
	if ticketed && c.ticketEntry != "" && c.result.Last().Ending != NotSent {
		return c.ticketEntry, nil
	}
	route, err := c.caller.Directory.chooseRoute(ctx, false)
	return route.address, err
}

// evaluate records the outcome of an attempt and decides what to do next.
func (c *call) evaluate(attempt Attempt) nextAction {
	if attempt.Ending != Complete {
		c.caller.Directory.avoid(attempt.Entry)
	}
	c.execution.Add(ranOf(attempt.Ending, attempt.Refusal))
	if attempt.Refusal.Code == "ticket_expired" && attempt.Refusal.Ran == string(answer.RanNo) {
		// The entry says so of all attempts with the key.
		c.execution = answer.Execution{}
	}
	return decide(attemptState{
		ending: attempt.Ending, refusal: attempt.Refusal,
		keyed:      c.key != "",
		ticketed:   c.request.Keyed && c.request.Key == "",
		mayHaveRun: c.mayHaveRun(),
		repeatable: c.request.Repeatable,
	})
}

// waitBeforeRetry waits before the next attempt. It returns false if the context ended
// first.
func (c *call) waitBeforeRetry(ctx context.Context, n int, attempt Attempt) bool {
	retryDelay := time.Duration(attempt.Refusal.RetryAfterMs) * time.Millisecond
	timer := time.NewTimer(backoff(n, retryDelay, mrand.Float64()))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// finishResult completes the result after the last attempt.
func (c *call) finishResult() *Result {
	c.result.Key = c.key
	c.result.Total = time.Since(c.start)
	c.result.Ran = string(c.execution.Ran())
	return c.result
}

// attempt sends the call once.
func (c *call) attempt(ctx context.Context, entry string) Attempt {
	attempt := Attempt{Entry: entry, RequestID: strings.ToLower(rand.Text()[:20]), Key: c.key}
	request, err := c.buildRequest(ctx, entry, attempt.RequestID)
	if err != nil {
		attempt.Ending, attempt.Err = NotSent, err.Error()
		return attempt
	}
	response, err := c.caller.HTTP.Do(request)
	if err != nil {
		attempt.Ending, attempt.Err = Incomplete, err.Error()
		if notSent(err) {
			attempt.Ending = NotSent
		}
		return attempt
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusOK && c.request.modelCall() && c.request.Stream {
		c.readStream(response, &attempt)
		return attempt
	}
	c.readBody(response, &attempt)
	return attempt
}

func (c *call) buildRequest(ctx context.Context, entry, id string) (*http.Request, error) {
	path, body := "/v1/call/"+url.PathEscape(c.request.Kind), c.request.Body
	if c.request.modelCall() {
		path = "/v1/chat/completions"
		var err error
		body, err = json.Marshal(chatBody{
			Model: c.request.Model, Messages: c.request.Messages,
			MaxTokens: c.request.MaxTokens, Stream: c.request.Stream,
		})
		if err != nil {
			return nil, err
		}
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, baseURL(entry)+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// Without GetBody, net/http cannot send the request a second time on its own.
	request.GetBody = nil
	c.setHeaders(ctx, request.Header, id)
	return request, nil
}

func (c *call) setHeaders(ctx context.Context, header http.Header, id string) {
	contentType := c.request.ContentType
	if contentType == "" {
		contentType = "application/json"
	}
	header.Set("Content-Type", contentType)
	header.Set("X-Request-Id", id)
	if c.caller.Token != "" {
		header.Set("Authorization", "Bearer "+c.caller.Token)
	}
	if c.request.Kind != "" {
		header.Set("Citrongate-Kind", c.request.Kind)
	}
	if c.key != "" {
		header.Set("Idempotency-Key", c.key)
		if !c.mayHaveRun() && (c.request.Key == "" || c.request.FirstUse) {
			// No earlier attempt with this key can have run.
			header.Set("Citrongate-Attempt", "1")
		}
	}
	if deadline, ok := ctx.Deadline(); ok {
		header.Set("Citrongate-Deadline-Ms", strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
	}
	if len(c.request.Labels) > 0 {
		header.Set("Citrongate-Labels", FormatLabels(c.request.Labels))
	}
}

// FormatLabels encodes labels for the API, sorted by key.
func FormatLabels(labels map[string]string) string {
	var pairs []string
	for key, value := range labels {
		pairs = append(pairs, key+"="+value)
	}
	slices.Sort(pairs)
	return strings.Join(pairs, ",")
}

// readBody reads an answer that is not streamed.
func (c *call) readBody(response *http.Response, attempt *Attempt) {
	body, err := readAnswer(response)
	if err != nil {
		attempt.Ending, attempt.Err = Incomplete, err.Error()
		return
	}
	if refusal := parseRefusal(response, body, attempt.RequestID); refusal != nil {
		attempt.Ending, attempt.Refusal = Refused, *refusal
		return
	}
	if id := response.Header.Get("X-Request-Id"); id != "" && id != attempt.RequestID {
		attempt.Ending, attempt.Err = Incomplete, "the answer has the id of another request"
		return
	}
	if c.request.modelCall() {
		c.readCompletion(body, attempt)
		return
	}
	c.result.Status, c.result.Body, c.result.ContentType = response.StatusCode, body, response.Header.Get("Content-Type")
	c.result.Complete = true
	attempt.Ending = Complete
}

// readCompletion reads the answer of a model call that is not streamed.
func (c *call) readCompletion(body []byte, attempt *Attempt) {
	var completion struct {
		ID      string `json:"id"`
		Choices []struct {
			Message Message `json:"message"`
		} `json:"choices"`
		Usage struct {
			CompletionTokens int `json:"completion_tokens"`
		} `json:"usage"`
	}
	err := json.Unmarshal(body, &completion)
	if err != nil || len(completion.Choices) == 0 || completion.ID != attempt.RequestID {
		attempt.Ending, attempt.Err = Incomplete, "the answer is not the completion of this request"
		return
	}
	c.result.Text, c.result.Tokens = completion.Choices[0].Message.Content, completion.Usage.CompletionTokens
	c.result.Complete = true
	attempt.Ending = Complete
}

// parseRefusal returns the refusal in an answer, or nil if the answer is that of
// the upstream. An HTTP error without a refusal body and without the id of the
// request comes neither from the entry instance nor from the upstream but, for
// example, from a proxy. Whether the call ran is unknown then.
func parseRefusal(response *http.Response, body []byte, id string) *Refusal {
	if response.StatusCode < http.StatusBadRequest {
		return nil
	}
	var answer refusalBody
	if json.Unmarshal(body, &answer) == nil && answer.Error != nil && answer.Error.Code != "" && answer.Error.Ran != "" {
		return answer.Error
	}
	if id != "" && response.Header.Get("X-Request-Id") == id {
		return nil
	}
	return &Refusal{Code: fmt.Sprintf("http_%d", response.StatusCode), Ran: "unknown", Reason: describeResponse(response, body)}
}

// describeResponse returns the status and the start of the body for an error text.
func describeResponse(response *http.Response, body []byte) string {
	text := strings.TrimSpace(string(body[:min(len(body), 200)]))
	return strings.TrimSpace(response.Status + " " + text)
}
