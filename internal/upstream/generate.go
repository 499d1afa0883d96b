package upstream

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/citrongate/citrongate/internal/httpconn"
)

const (
	// maxResumes bounds attempts to resume without a token in between.
	maxResumes = 4
	// resumeDelay is the pause before the second attempt; it doubles after each.
	resumeDelay = 25 * time.Millisecond
	// reportInterval and reportTokens coalesce the token counts told to the observer.
	reportInterval = 100 * time.Millisecond
	reportTokens   = 64
)

// GenerateRequest is a model call.
type GenerateRequest struct {
	Address string
	// ID is unique over all instances; the engine echoes it in each chunk.
	ID string
	// Body is the JSON of a chat completion with "stream": true.
	Body []byte
}

// Sink takes the answer of one model call.
type Sink interface {
	// Chunk takes the next chunk. text is its JSON and is valid during the
	// call. It blocks while the caller is slow, which slows the engine. An
	// error ends the request.
	Chunk(text []byte, c *Chunk) error
}

// Observer is told about the progress of a request.
type Observer interface {
	FirstToken()
	Tokens(total uint32)
}

// Chunk is the part of a chat completion chunk that citrongate reads.
type Chunk struct {
	ID string `json:"id"`
	// Token is the number of the last token in this chunk, counted from 1, if
	// the engine says it; it makes duplicated and lost chunks visible.
	Token   *uint32  `json:"token"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage"`
}

// Choice is one answer of a chunk.
type Choice struct {
	Delta struct {
		Content string `json:"content"`
	} `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// Usage is the token count of a request. Each chunk with content carries one
// token or more.
type Usage struct {
	PromptTokens        uint32 `json:"prompt_tokens"`
	CompletionTokens    uint32 `json:"completion_tokens"`
	PromptTokensDetails struct {
		CachedTokens uint32 `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// Generate sends a model call and relays its answer. It returns once the
// answer is whole or can not become whole.
func (c *Client) Generate(ctx context.Context, req GenerateRequest, sink Sink, observer Observer) Result {
	tracked, guard := httpconn.Track(ctx)
	post, err := newPost(tracked, req.Address, "/v1/chat/completions", req.Body)
	if err != nil {
		return Result{Status: NotSent, Detail: err.Error()}
	}
	post.Header.Set("Content-Type", "application/json")
	post.Header.Set("Accept", "text/event-stream")
	post.Header.Set("X-Request-Id", req.ID)

	s := &stream{client: c, req: req, sink: sink, observer: observer}
	resp, err := c.requests.RoundTrip(post)
	if err != nil {
		if !guard.Seal() {
			return failure(ctx, false, err)
		}
		return s.resume(ctx, err)
	}
	if resp.StatusCode != http.StatusOK {
		return refusal(ctx, resp)
	}
	return s.run(ctx, resp)
}

// refusal reads the reason of an answer that is not a stream.
func refusal(ctx context.Context, resp *http.Response) Result {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, 512))
	_ = resp.Body.Close()
	detail := fmt.Sprintf("status %d: %s", resp.StatusCode, strings.TrimSpace(string(text)))
	// 409 means that the engine knows the id, so that a request with it ran.
	refused := resp.StatusCode == http.StatusServiceUnavailable ||
		resp.StatusCode >= 400 && resp.StatusCode < 500 && resp.StatusCode != http.StatusConflict
	if refused {
		return Result{Status: Refused, Detail: detail}
	}
	r := failure(ctx, true, nil)
	r.Detail = detail
	return r
}

// stream is the state of one answer across resumptions.
type stream struct {
	client   *Client
	req      GenerateRequest
	sink     Sink
	observer Observer

	tokens uint32
	cached uint32
	// completion is the engine's own count of output tokens; 0 until known.
	completion uint32
	// identified is true once a chunk with the request's id has arrived.
	identified bool
	reported   uint32
	reportedAt time.Time
}

// streamError is a reason why relaying stopped.
type streamError string

func (e streamError) Error() string { return string(e) }

const (
	errMismatched = streamError("chunk carries the id of another request")
	errSink       = streamError("the caller does not take the answer")
	errDisorder   = streamError("chunks are missing")
	errRepeated   = streamError("more chunks arrived than the engine produced")
)

// run relays resp and resumes it while it is cut.
func (s *stream) run(ctx context.Context, resp *http.Response) Result {
	err := s.relay(resp.Body)
	_ = resp.Body.Close()
	if result, ended := s.ended(ctx, err); ended {
		return result
	}
	return s.resume(ctx, err)
}

// ended returns the result of a stream whose relay returned err, unless it may be resumed.
func (s *stream) ended(ctx context.Context, err error) (Result, bool) {
	result := Result{OutputTokens: s.tokens, CachedPromptTokens: s.cached}
	switch {
	case err == nil:
		result.Status = Complete
		return result, true
	case err == errMismatched:
		result.Status = Mismatched
	case err == errSink:
		result.Status = Canceled
	case err == errRepeated:
		result.Status = Broken
	case ctx.Err() != nil:
		result.Status = failure(ctx, true, err).Status
	default:
		return Result{}, false
	}
	result.Detail = err.Error()
	s.client.Cancel(s.req.Address, s.req.ID)
	return result, true
}

// resume continues a cut stream at the same engine from the last token.
func (s *stream) resume(ctx context.Context, cause error) Result {
	err := cause
	attempts := 0
	for delay := resumeDelay; attempts < maxResumes; delay *= 2 {
		attempts++
		if attempts > 1 && !pause(ctx, delay) {
			break
		}
		resp, again, openErr := s.reopen(ctx)
		if openErr != nil {
			err = openErr
			if !again {
				break
			}
			continue
		}
		before := s.tokens
		err = s.relay(resp.Body)
		_ = resp.Body.Close()
		if result, ended := s.ended(ctx, err); ended {
			return result
		}
		if s.tokens > before {
			attempts, delay = 0, resumeDelay/2
		}
	}
	result := failure(ctx, true, err)
	result.OutputTokens, result.CachedPromptTokens = s.tokens, s.cached
	s.client.Cancel(s.req.Address, s.req.ID)
	return result
}

// reopen asks the engine for the rest of the stream; again says whether
// another attempt may succeed.
func (s *stream) reopen(ctx context.Context) (resp *http.Response, again bool, err error) {
	get, err := http.NewRequestWithContext(ctx, http.MethodGet, resumeURL(s.req.Address, s.req.ID, s.tokens), nil)
	if err != nil {
		return nil, false, err
	}
	resp, err = s.client.side.RoundTrip(get)
	if err != nil {
		return nil, ctx.Err() == nil, err
	}
	if resp.StatusCode != http.StatusOK {
		drain(resp)
		gone := resp.StatusCode == http.StatusNotFound || resp.StatusCode == http.StatusGone
		return nil, !gone, fmt.Errorf("resume answered status %d", resp.StatusCode)
	}
	return resp, false, nil
}

// pause waits for d or the end of ctx; it returns false for the latter.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// relay passes chunks on until the end marker (nil) or an error.
func (s *stream) relay(body io.Reader) error {
	events := newEventReader(body)
	for {
		text, err := events.next()
		if err != nil {
			return err
		}
		if string(text) == "[DONE]" {
			if !s.identified {
				// An end marker without any chunk of this request proves nothing.
				return errDisorder
			}
			if s.completion > 0 && s.completion < s.tokens {
				return errRepeated
			}
			s.report(true)
			return nil
		}
		if err := s.take(text); err != nil {
			return err
		}
	}
}

// take checks one chunk and passes it on.
func (s *stream) take(text []byte) error {
	var c Chunk
	if err := json.Unmarshal(text, &c); err != nil {
		return err
	}
	if c.ID != s.req.ID {
		return errMismatched
	}
	fresh, err := s.count(&c)
	if err != nil || !fresh {
		return err
	}
	s.identified = true
	if c.Usage != nil {
		s.cached = c.Usage.PromptTokensDetails.CachedTokens
		s.completion = c.Usage.CompletionTokens
	}
	if s.sink.Chunk(text, &c) != nil {
		return errSink
	}
	s.report(false)
	return nil
}

// count updates the number of tokens. It returns false for a chunk that was
// already passed on.
func (s *stream) count(c *Chunk) (bool, error) {
	produced := uint32(0)
	for i := range c.Choices {
		if c.Choices[i].Delta.Content != "" {
			produced = 1
		}
	}
	if produced == 0 {
		return true, nil
	}
	if c.Token != nil {
		if *c.Token <= s.tokens {
			return false, nil
		}
		if *c.Token > s.tokens+1 {
			return false, errDisorder
		}
	}
	if s.tokens == 0 {
		s.observer.FirstToken()
		s.reportedAt = time.Now()
	}
	s.tokens++
	return true, nil
}

// report tells the observer the number of tokens, coalesced unless last.
func (s *stream) report(last bool) {
	if s.tokens == s.reported {
		return
	}
	now := time.Now()
	if !last && s.tokens-s.reported < reportTokens && now.Sub(s.reportedAt) < reportInterval {
		return
	}
	s.reported, s.reportedAt = s.tokens, now
	s.observer.Tokens(s.tokens)
}
