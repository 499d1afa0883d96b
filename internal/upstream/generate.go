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
	// maxResumes bounds consecutive attempts to resume that yield no token.
	maxResumes = 4
	// resumeDelay is the delay before the second attempt; it doubles after each.
	resumeDelay = 25 * time.Millisecond
	// reportInterval and reportTokens are the time and the number of tokens after
	// which the observer receives a new token count.
	reportInterval = 100 * time.Millisecond
	reportTokens   = 64
)

// ModelCallRequest is a model call.
type ModelCallRequest struct {
	Address string
	// ID is unique across all instances; the engine echoes it in each chunk.
	ID string
	// Body is the JSON of a chat completion with "stream": true.
	Body []byte
}

// ChunkSink receives the answer of one model call.
type ChunkSink interface {
	// Chunk receives the next chunk. text is its JSON, which is valid only during
	// the call. It blocks while the caller reads slowly, which slows the engine
	// down. An error ends the request.
	Chunk(text []byte, c *Chunk) error
}

// ProgressObserver is notified of the progress of a request.
type ProgressObserver interface {
	FirstToken()
	Tokens(total uint32)
}

// Chunk is the part of a chat completion chunk that citrongate reads.
type Chunk struct {
	ID string `json:"id"`
	// Token is the number of the last token in this chunk, counted from 1, if
	// the engine sends it. It serves to detect duplicated and lost chunks.
	Token   *uint32  `json:"token"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage"`
}

// Choice is one of the completions in a chunk.
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

// ModelCall sends a model call and relays its answer. It returns once the answer is
// complete or cannot be completed.
func (c *Client) ModelCall(ctx context.Context, req ModelCallRequest, sink ChunkSink, observer ProgressObserver) Result {
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
			return failureResult(ctx, false, err)
		}
		return s.resume(ctx, err)
	}
	if resp.StatusCode != http.StatusOK {
		return nonStreamResult(ctx, resp)
	}
	return s.run(ctx, resp)
}

// nonStreamResult returns the result of an answer that is not a stream.
func nonStreamResult(ctx context.Context, resp *http.Response) Result {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, 512))
	_ = resp.Body.Close()
	detail := fmt.Sprintf("status %d: %s", resp.StatusCode, strings.TrimSpace(string(text)))
	// 409 means that the engine knows the id, so a request with it has run.
	refused := resp.StatusCode == http.StatusServiceUnavailable ||
		resp.StatusCode >= 400 && resp.StatusCode < 500 && resp.StatusCode != http.StatusConflict
	if refused {
		return Result{Status: Refused, Detail: detail}
	}
	r := failureResult(ctx, true, nil)
	r.Detail = detail
	return r
}

// stream is the state of one answer, kept across resumptions.
type stream struct {
	client   *Client
	req      ModelCallRequest
	sink     ChunkSink
	observer ProgressObserver

	tokens uint32
	cached uint32
	// completion is the engine's own count of output tokens; 0 until known.
	completion uint32
	// identified is true once a chunk with the request's id has arrived.
	identified bool
	reported   uint32
	reportedAt time.Time
}

// streamError is the reason why relaying stopped.
type streamError string

func (e streamError) Error() string { return string(e) }

const (
	errMismatched         = streamError("chunk carries the id of another request")
	errCallerDisconnected = streamError("the caller does not read the answer")
	errMissingChunks      = streamError("chunks are missing")
	errExtraChunks        = streamError("more chunks arrived than the engine produced")
)

// run relays the stream in resp and resumes it when it is interrupted.
func (s *stream) run(ctx context.Context, resp *http.Response) Result {
	err := s.relay(resp.Body)
	_ = resp.Body.Close()
	if result, ended := s.ended(ctx, err); ended {
		return result
	}
	return s.resume(ctx, err)
}

// ended returns the result of a stream whose relay returned err, and true; or
// false if the stream may be resumed.
func (s *stream) ended(ctx context.Context, err error) (Result, bool) {
	result := Result{OutputTokens: s.tokens, CachedPromptTokens: s.cached}
	switch {
	case err == nil:
		result.Status = Complete
		return result, true
	case err == errMismatched:
		result.Status = Mismatched
	case err == errCallerDisconnected:
		result.Status = Canceled
	case err == errExtraChunks:
		result.Status = Broken
	case ctx.Err() != nil:
		result.Status = failureResult(ctx, true, err).Status
	default:
		return Result{}, false
	}
	result.Detail = err.Error()
	s.client.Cancel(s.req.Address, s.req.ID)
	return result, true
}

// resume continues an interrupted stream at the same engine after the last token.
func (s *stream) resume(ctx context.Context, cause error) Result {
	err := cause
	attempts := 0
	for delay := resumeDelay; attempts < maxResumes; delay *= 2 {
		attempts++
		if attempts > 1 && !sleep(ctx, delay) {
			break
		}
		resp, retryable, openErr := s.reopen(ctx)
		if openErr != nil {
			err = openErr
			if !retryable {
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
	result := failureResult(ctx, true, err)
	result.OutputTokens, result.CachedPromptTokens = s.tokens, s.cached
	s.client.Cancel(s.req.Address, s.req.ID)
	return result
}

// reopen requests the rest of the stream from the engine. On an error, retryable
// says whether another attempt may succeed.
func (s *stream) reopen(ctx context.Context) (resp *http.Response, retryable bool, err error) {
	get, err := http.NewRequestWithContext(ctx, http.MethodGet, resumeURL(s.req.Address, s.req.ID, s.tokens), nil)
	if err != nil {
		return nil, false, err
	}
	resp, err = s.client.auxiliary.RoundTrip(get)
	if err != nil {
		return nil, ctx.Err() == nil, err
	}
	if resp.StatusCode != http.StatusOK {
		discardBody(resp)
		unknown := resp.StatusCode == http.StatusNotFound || resp.StatusCode == http.StatusGone
		return nil, !unknown, fmt.Errorf("resume answered status %d", resp.StatusCode)
	}
	return resp, false, nil
}

// sleep waits for d or until ctx ends; it returns false in the latter case.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// relay passes chunks to the sink until the end marker, for which it returns nil,
// or an error.
func (s *stream) relay(body io.Reader) error {
	events := newEventReader(body)
	for {
		text, err := events.next()
		if err != nil {
			return err
		}
		if string(text) == "[DONE]" {
			if !s.identified {
				// Without any chunk of this request, the end marker may belong to
				// another one.
				return errMissingChunks
			}
			if s.completion > 0 && s.completion < s.tokens {
				return errExtraChunks
			}
			s.report(true)
			return nil
		}
		if err := s.handleChunk(text); err != nil {
			return err
		}
	}
}

// handleChunk checks a chunk and passes it to the sink unless it is a duplicate.
func (s *stream) handleChunk(text []byte) error {
	var c Chunk
	if err := json.Unmarshal(text, &c); err != nil {
		return err
	}
	if c.ID != s.req.ID {
		return errMismatched
	}
	fresh, err := s.countToken(&c)
	if err != nil || !fresh {
		return err
	}
	s.identified = true
	if c.Usage != nil {
		s.cached = c.Usage.PromptTokensDetails.CachedTokens
		s.completion = c.Usage.CompletionTokens
	}
	if s.sink.Chunk(text, &c) != nil {
		return errCallerDisconnected
	}
	s.report(false)
	return nil
}

// countToken counts a chunk with content as one token. It returns false for a
// duplicate of a chunk that was passed on before, and an error if a chunk is
// missing.
func (s *stream) countToken(c *Chunk) (bool, error) {
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
			return false, errMissingChunks
		}
	}
	if s.tokens == 0 {
		s.observer.FirstToken()
		s.reportedAt = time.Now()
	}
	s.tokens++
	return true, nil
}

// report sends the observer the number of tokens if it changed by reportTokens, or
// at all and reportInterval has passed or last is true.
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
