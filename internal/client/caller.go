package client

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	mrand "math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"
)

// defaultAttempts bounds the attempts of one call.
const defaultAttempts = 8

// Message is one message of a model call.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatBody struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream"`
}

// Request is one call.
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
	// forms a key from a ticket.
	Key   string
	Keyed bool
	// First says that no call with Key was sent before, so that a refusal can say
	// whether the call ran.
	First bool
	// Repeatable says that running the call twice does no harm, so that it may be
	// sent again after a broken answer.
	Repeatable bool
	// Deadline is sent to the entry and bounds the whole call; 0 for none.
	Deadline time.Duration
	Labels   map[string]string
	// MaxAttempts bounds the attempts; 0 takes a default.
	MaxAttempts int
	// OnText is called with each piece of a streamed answer of the last attempt
	// as it arrives; it may be nil. Pieces of an attempt that breaks are passed too.
	OnText func(string)
}

func (r *Request) modelCall() bool { return r.Model != "" }

// Attempt is one try of a call.
type Attempt struct {
	Entry     string
	RequestID string
	// Key is the idempotency key that was sent; empty for none.
	Key     string
	Ending  Ending
	Refusal Refusal
	// Err describes a connection that failed.
	Err string
}

// String returns the attempt on one line.
func (a Attempt) String() string {
	switch a.Ending {
	case Whole:
		return "answered whole by " + a.Entry
	case Refused:
		return "refused by " + a.Entry + ": " + a.Refusal.String()
	case NotSent:
		return "not sent to " + a.Entry + ": " + a.Err
	default:
		return "broken at " + a.Entry + ": " + a.Err
	}
}

// Result is what became of a call.
type Result struct {
	Whole bool
	// Ran is "yes", "no" or "unknown".
	Ran string
	// Key is the idempotency key of the last attempt.
	Key string
	// Text is the answer of a model call; Tokens counts its pieces.
	Text   string
	Tokens int
	// Body, ContentType and Status are the answer of a plain service, which may
	// be an HTTP error of its own.
	Status      int
	Body        []byte
	ContentType string
	Attempts    []Attempt
	// FirstToken and Total are measured from the start of the call.
	FirstToken, Total time.Duration
}

// Last returns the last attempt.
func (r *Result) Last() Attempt { return r.Attempts[len(r.Attempts)-1] }

// Caller sends calls to entries that it finds through discovery. It is safe
// for concurrent use.
type Caller struct {
	Directory *Directory
	Token     string
	HTTP      *http.Client
}

// NewCaller returns a caller that starts with the seeds, which are caller
// addresses of entries.
func NewCaller(seeds []string, token string, http *http.Client) *Caller {
	return &Caller{Directory: NewDirectory(seeds, token, http), Token: token, HTTP: http}
}

// Do sends the call until it is answered whole or sending it again is not safe
// or not useful. The error is of type NotReached if no entry was found.
func (c *Caller) Do(ctx context.Context, request *Request) (*Result, error) {
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
	// key is the current key; home issued its ticket.
	key, home string
	// mayHaveRun is true if an attempt under the current key may have run.
	mayHaveRun bool
}

func (c *call) run(ctx context.Context) (*Result, error) {
	limit := c.request.MaxAttempts
	if limit == 0 {
		limit = defaultAttempts
	}
	c.key = c.request.Key
	action := rekey
	for n := 0; n < limit; n++ {
		target, err := c.target(ctx, action)
		if err != nil {
			return c.end(), err
		}
		attempt := c.attempt(ctx, target)
		c.result.Attempts = append(c.result.Attempts, attempt)
		action = c.judge(attempt)
		if action == stop || !c.wait(ctx, n, attempt) {
			break
		}
	}
	return c.end(), nil
}

// target chooses the entry of the next attempt. A call with a ticket goes to
// the ticket's home as long as that can be reached.
func (c *call) target(ctx context.Context, action next) (string, error) {
	ticketed := c.request.Keyed && c.request.Key == ""
	if ticketed && action == rekey {
		route, err := c.caller.Directory.pick(ctx, true)
		if err != nil {
			return "", err
		}
		c.key, c.home, c.mayHaveRun = route.ticket+"."+rand.Text()[:16], route.address, false
		return c.home, nil
	}
	if ticketed && c.home != "" && c.result.Last().Ending != NotSent {
		return c.home, nil
	}
	route, err := c.caller.Directory.pick(ctx, false)
	return route.address, err
}

// judge records what an attempt shows and decides what to do next.
func (c *call) judge(attempt Attempt) next {
	if attempt.Ending != Whole {
		c.caller.Directory.avoid(attempt.Entry)
	}
	if canHaveRun(attempt.Ending, attempt.Refusal) {
		c.mayHaveRun = true
	}
	if attempt.Refusal.Code == "ticket_expired" && attempt.Refusal.Ran == "no" {
		c.mayHaveRun = false
	}
	return decide(attempts{
		ending: attempt.Ending, refusal: attempt.Refusal,
		keyed:      c.key != "",
		ticketed:   c.request.Keyed && c.request.Key == "",
		mayHaveRun: c.mayHaveRun,
		repeatable: c.request.Repeatable,
	})
}

// wait pauses before the next attempt; it reports false if there is no time left.
func (c *call) wait(ctx context.Context, n int, attempt Attempt) bool {
	hint := time.Duration(attempt.Refusal.RetryAfterMs) * time.Millisecond
	timer := time.NewTimer(backoff(n, hint, mrand.Float64()))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (c *call) end() *Result {
	c.result.Key = c.key
	c.result.Total = time.Since(c.start)
	switch {
	case c.result.Whole:
		c.result.Ran = "yes"
	case c.mayHaveRun:
		c.result.Ran = "unknown"
	}
	return c.result
}

// attempt sends the call once.
func (c *call) attempt(ctx context.Context, entry string) Attempt {
	attempt := Attempt{Entry: entry, RequestID: strings.ToLower(rand.Text()[:20]), Key: c.key}
	request, err := c.build(ctx, entry, attempt.RequestID)
	if err != nil {
		attempt.Ending, attempt.Err = NotSent, err.Error()
		return attempt
	}
	response, err := c.caller.HTTP.Do(request)
	if err != nil {
		attempt.Ending, attempt.Err = Broken, err.Error()
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

func (c *call) build(ctx context.Context, entry, id string) (*http.Request, error) {
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
	// Without GetBody the client never sends a request a second time on its own.
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
		if !c.mayHaveRun && (c.request.Key == "" || c.request.First) {
			// No earlier attempt under this key can have run.
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

// FormatLabels writes labels as the API takes them, sorted by key.
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
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		attempt.Ending, attempt.Err = Broken, err.Error()
		return
	}
	if refusal := parseRefusal(response, body, attempt.RequestID); refusal != nil {
		attempt.Ending, attempt.Refusal = Refused, *refusal
		return
	}
	if id := response.Header.Get("X-Request-Id"); id != "" && id != attempt.RequestID {
		attempt.Ending, attempt.Err = Broken, "the answer carries another request id"
		return
	}
	if c.request.modelCall() {
		c.readCompletion(body, attempt)
		return
	}
	c.result.Status, c.result.Body, c.result.ContentType = response.StatusCode, body, response.Header.Get("Content-Type")
	c.result.Whole = true
	attempt.Ending = Whole
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
		attempt.Ending, attempt.Err = Broken, "the answer is not the completion of this request"
		return
	}
	c.result.Text, c.result.Tokens = completion.Choices[0].Message.Content, completion.Usage.CompletionTokens
	c.result.Whole = true
	attempt.Ending = Whole
}

// parseRefusal returns the refusal in an answer, or nil if it is the answer of
// the upstream. An error without a refusal body and without the request's id
// came from something else, so whether the call ran is unknown.
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
	return &Refusal{Code: fmt.Sprintf("http_%d", response.StatusCode), Ran: "unknown", Reason: describe(response, body)}
}

func describe(response *http.Response, body []byte) string {
	text := strings.TrimSpace(string(body[:min(len(body), 200)]))
	return strings.TrimSpace(response.Status + " " + text)
}
