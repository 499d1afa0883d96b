package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// maxBodyBytes is the maximum size of a request body.
const maxBodyBytes = 16 << 20

// chatRequest holds the fields of a chat completion request that the engine uses.
type chatRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// text returns string content unchanged and any other content as its JSON text.
func (m chatMessage) text() string {
	var text string
	if json.Unmarshal(m.Content, &text) == nil {
		return text
	}
	return string(m.Content)
}

func (r *chatRequest) prompt() string {
	var b strings.Builder
	for _, message := range r.Messages {
		b.WriteString(message.Role + "\n" + message.text() + "\n")
	}
	return b.String()
}

func (r *chatRequest) question() string {
	return r.Messages[len(r.Messages)-1].text()
}

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	var request chatRequest
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		err = json.Unmarshal(body, &request)
	}
	id := r.Header.Get("X-Request-Id")
	switch {
	case err != nil:
		refuse(w, http.StatusBadRequest, "bad_request", err.Error())
	case !request.Stream || len(request.Messages) == 0 || id == "":
		refuse(w, http.StatusBadRequest, "bad_request", "stream, messages and X-Request-Id are required")
	default:
		if s := e.admit(w, id, &request); s != nil {
			e.stream(w, r, s, 0)
		}
	}
}

// admit queues the request for the batch, or writes a refusal and returns nil.
func (e *Engine) admit(w http.ResponseWriter, id string, request *chatRequest) *sequence {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case !e.models[request.Model]:
		e.counters.Refused++
		refuse(w, http.StatusNotFound, "model_not_found", "the model is not loaded")
		return nil
	case e.faults.Refuse || len(e.waiting) >= e.config.MaxWaiting:
		e.counters.Refused++
		refuse(w, http.StatusServiceUnavailable, "overloaded", "the engine currently accepts no requests")
		return nil
	case e.sequences[id] != nil:
		e.runs[id]++
		refuse(w, http.StatusConflict, "duplicate_id", "a request with this id exists")
		return nil
	}
	s := newSequence(id, request, time.Now())
	e.sequences[id] = s
	e.runs[id]++
	e.counters.Started++
	e.waiting = append(e.waiting, s)
	e.notify()
	return s
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	e.mu.Lock()
	s := e.sequences[r.PathValue("id")]
	valid := s != nil && err == nil && from >= 0 && from <= s.produced
	if valid {
		e.counters.Resumed++
	}
	e.mu.Unlock()
	switch {
	case s == nil:
		refuse(w, http.StatusNotFound, "unknown_stream", "no stream has this id")
	case !valid:
		refuse(w, http.StatusBadRequest, "bad_request", "from must be a token number that was produced")
	default:
		e.stream(w, r, s, from)
	}
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.sequences[r.PathValue("id")]
	if s == nil {
		refuse(w, http.StatusNotFound, "unknown_stream", "no stream has this id")
		return
	}
	e.cancelAndForget(s)
	w.WriteHeader(http.StatusNoContent)
}

// stream writes the answer from token number from onwards until the answer ends, the
// reader disconnects, or an injected fault aborts the connection.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, s *sequence, from int) {
	writer := e.openStream(w, s)
	defer e.closeStream(s)
	writer.writeHeader()
	for sent := from; ; {
		produced, done, canceled, changed := e.streamState(s)
		for ; sent < produced; sent++ {
			if writer.abortAfter >= 0 && sent-from >= writer.abortAfter {
				e.abortStream(s)
			}
			writer.writeToken(sent)
		}
		writer.flush()
		if canceled {
			panic(http.ErrAbortHandler)
		}
		if done {
			if writer.abortAfter >= 0 {
				e.abortStream(s)
			}
			writer.writeEnd()
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

// abortStream closes the connection in the middle of an answer.
func (e *Engine) abortStream(s *sequence) {
	e.mu.Lock()
	if e.faults.ForgetBroken {
		e.cancelAndForget(s)
	}
	e.mu.Unlock()
	panic(http.ErrAbortHandler)
}

func (e *Engine) streamState(s *sequence) (produced int, done, canceled bool, changed <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return s.produced, s.finished(), s.canceled, s.changed
}

// openStream registers a reader and consumes the faults that apply to its answer.
func (e *Engine) openStream(w http.ResponseWriter, s *sequence) *streamWriter {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.readers++
	writer := &streamWriter{w: w, s: s, id: s.id, abortAfter: -1, created: time.Now().Unix()}
	if e.faults.BreakStreams > 0 {
		e.faults.BreakStreams--
		writer.abortAfter = e.faults.BreakAfter
	}
	if e.faults.MismatchAnswers > 0 {
		e.faults.MismatchAnswers--
		writer.id = "other-" + s.id
	}
	return writer
}

func (e *Engine) closeStream(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.readers--
	s.idleSince = time.Now()
}

// streamWriter writes the chunks of one answer. The fields of the sequence that
// it reads don't change after admission, except cached, which is final before
// the first token.
type streamWriter struct {
	w  http.ResponseWriter
	s  *sequence
	id string
	// abortAfter is the number of tokens after which the connection is aborted; -1 for never.
	abortAfter int
	created    int64
}

type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int     `json:"index"`
	Delta        delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type usage struct {
	PromptTokens        int                `json:"prompt_tokens"`
	CompletionTokens    int                `json:"completion_tokens"`
	TotalTokens         int                `json:"total_tokens"`
	PromptTokensDetails promptTokenDetails `json:"prompt_tokens_details"`
}

type promptTokenDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

func (sw *streamWriter) writeHeader() {
	header := sw.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	header.Set("X-Request-Id", sw.id)
	sw.w.WriteHeader(http.StatusOK)
	sw.flush()
}

func (sw *streamWriter) writeToken(index int) {
	content := delta{Content: TokenText(sw.s.question, index)}
	if index == 0 {
		content.Role = "assistant"
	}
	sw.writeChunk(choice{Delta: content}, nil)
}

func (sw *streamWriter) writeEnd() {
	reason := "stop"
	if sw.s.lengthLimited {
		reason = "length"
	}
	sw.writeChunk(choice{FinishReason: &reason}, &usage{
		PromptTokens: sw.s.promptTokens, CompletionTokens: sw.s.total,
		TotalTokens:         sw.s.promptTokens + sw.s.total,
		PromptTokensDetails: promptTokenDetails{CachedTokens: sw.s.cached},
	})
	fmt.Fprint(sw.w, "data: [DONE]\n\n")
	sw.flush()
}

func (sw *streamWriter) writeChunk(c choice, u *usage) {
	encoded, _ := json.Marshal(chunk{
		ID: sw.id, Object: "chat.completion.chunk", Created: sw.created, Model: sw.s.model,
		Choices: []choice{c}, Usage: u,
	})
	fmt.Fprintf(sw.w, "data: %s\n\n", encoded)
}

func (sw *streamWriter) flush() {
	if flusher, ok := sw.w.(http.Flusher); ok {
		flusher.Flush()
	}
}

// refuse answers with an error; the request has not been started.
func refuse(w http.ResponseWriter, status int, code, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(map[string]any{"error": map[string]string{"code": code, "message": message}})
}
