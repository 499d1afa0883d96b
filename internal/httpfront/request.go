package httpfront

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/apimachinery/pkg/util/validation"

	"github.com/citrongate/citrongate/pkg/node"
)

const (
	// bytesPerToken is used to estimate prompt tokens from the length of the text.
	bytesPerToken = 4
	// prefixBytes is the length of the prompt prefix whose digest is used for
	// placement; engines name cached prefixes by the same digest.
	prefixBytes = 1024
	// defaultKind is the request kind of a model call that names none.
	defaultKind = "default"
	// defaultMaxOutput bounds the output tokens if neither the caller nor the
	// request kind does.
	defaultMaxOutput = 4096
	// maxIDBytes bounds request ids and idempotency keys.
	maxIDBytes = 200
	// maxLabels bounds the labels of one request.
	maxLabels = 64
)

// Request is an authenticated and validated request of a caller.
type Request struct {
	// CallerID is the request id that the caller sees.
	CallerID     string
	Organisation string
	Kind         string
	// Model is empty for calls to plain services.
	Model           string
	Labels          map[string]string
	PromptTokens    uint32
	MaxOutputTokens uint32
	// Remaining is the time until the deadline; 0 means the kind's default.
	Remaining time.Duration
	// Prefix is the digest of the first prefixBytes of the prompt.
	Prefix         uint64
	Stream         bool
	NonIdempotent  bool
	IdempotencyKey string
	// FirstAttempt is true if the caller declares that it sent no earlier call
	// with this key.
	FirstAttempt bool
	// Body is the request body that the upstream receives.
	Body        []byte
	ContentType string
}

// RanAfterRefusal returns the value of "ran" for a refusal of an attempt that did not run,
// where nothing is known of earlier attempts.
func (r *Request) RanAfterRefusal() node.Ran { return attemptNotRun(r.IdempotencyKey, r.FirstAttempt) }

// attemptNotRun returns RanUnknown if an earlier attempt with the key may have
// run, and RanNo otherwise. No instance accepts a key longer than maxIDBytes, so
// no attempt ran with such a key.
func attemptNotRun(key string, first bool) node.Ran {
	if key != "" && len(key) <= maxIDBytes && !first {
		return node.RanUnknown
	}
	return node.RanNo
}

// chatBody holds the fields of a chat completion request that citrongate reads.
type chatBody struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens *int64        `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// text returns a string content unchanged and any other content as JSON.
func (m *chatMessage) text() string {
	var text string
	if json.Unmarshal(m.Content, &text) == nil {
		return text
	}
	return string(m.Content)
}

// parseChat validates the body of a model call and fills in the request from it.
func parseChat(r *Request, body []byte, kindMax uint32) *Refusal {
	var chat chatBody
	if err := json.Unmarshal(body, &chat); err != nil {
		return badRequest("the body is not a chat completion request: "+err.Error(), "send JSON with model and messages")
	}
	switch {
	case chat.Model == "":
		return badRequest("model is missing", "name a model that an upstream serves")
	case len(chat.Messages) == 0:
		return badRequest("messages is empty", "send at least one message")
	case chat.MaxTokens != nil && (*chat.MaxTokens < 1 || *chat.MaxTokens > 1<<31):
		return badRequest("max_tokens is out of range", "send a positive max_tokens or none")
	}
	r.Model, r.Stream = chat.Model, chat.Stream
	r.MaxOutputTokens = outputTokenLimit(chat.MaxTokens, kindMax)
	r.PromptTokens, r.Prefix = estimatePrompt(chat.Messages)
	r.ContentType = "application/json"
	return rewriteBody(r, body)
}

// outputTokenLimit returns the smaller of the caller's and the kind's output limit.
func outputTokenLimit(asked *int64, kindMax uint32) uint32 {
	bound := kindMax
	if bound == 0 {
		bound = defaultMaxOutput
	}
	if asked != nil && *asked < int64(bound) {
		bound = uint32(*asked)
	}
	return bound
}

// estimatePrompt estimates the prompt's tokens and computes the digest of its prefix.
func estimatePrompt(messages []chatMessage) (tokens uint32, prefix uint64) {
	digest := xxhash.New()
	total := 0
	for i := range messages {
		text := messages[i].Role + "\n" + messages[i].text() + "\n"
		if left := prefixBytes - total; left > 0 {
			_, _ = digest.WriteString(text[:min(left, len(text))])
		}
		total += len(text)
	}
	return uint32(total/bytesPerToken + 1), digest.Sum64()
}

// rewriteBody sets the fields that make the engine stream and that bound its
// output. All other fields are passed on unchanged.
func rewriteBody(r *Request, body []byte) *Refusal {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return badRequest("the body is not a JSON object", "send JSON with model and messages")
	}
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	fields["max_tokens"] = json.RawMessage(strconv.FormatUint(uint64(r.MaxOutputTokens), 10))
	text, err := json.Marshal(fields)
	if err != nil {
		return badRequest("the body can not be encoded: "+err.Error(), "send valid JSON")
	}
	r.Body = text
	return nil
}

// parseHeaders fills in the fields that model calls and plain calls have in common.
func parseHeaders(r *Request, header http.Header, maxDeadline time.Duration) *Refusal {
	labels, err := parseLabels(header.Get("Citrongate-Labels"))
	if err != nil {
		return badRequest("Citrongate-Labels: "+err.Error(), "send k=v pairs separated by commas, at most 64, each name and value at most 63 bytes")
	}
	r.Labels = labels
	if text := header.Get("Citrongate-Deadline-Ms"); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms < 1 || ms > maxDeadline.Milliseconds() {
			return badRequest(fmt.Sprintf("Citrongate-Deadline-Ms %.32q is not a number from 1 to %d", text, maxDeadline.Milliseconds()),
				"send the time until the deadline in milliseconds")
		}
		r.Remaining = time.Duration(ms) * time.Millisecond
	}
	r.IdempotencyKey = header.Get("Idempotency-Key")
	if len(r.IdempotencyKey) > maxIDBytes {
		return badRequest("Idempotency-Key is longer than 200 bytes", "send a shorter key")
	}
	r.FirstAttempt = firstAttempt(header)
	return nil
}

// attemptHeader carries the number of the attempt with an idempotency key, from 1.
const attemptHeader = "Citrongate-Attempt"

// firstAttempt reports whether the caller declares that it sent no earlier call
// with its idempotency key.
func firstAttempt(header http.Header) bool { return header.Get(attemptHeader) == "1" }

// builtinLabels are set by citrongate; callers may not send them.
var builtinLabels = map[string]bool{"kind": true, "organisation": true, "tier": true, "model": true}

func parseLabels(text string) (map[string]string, error) {
	if text == "" {
		return nil, nil
	}
	pairs := strings.Split(text, ",")
	if len(pairs) > maxLabels {
		return nil, fmt.Errorf("%d labels are more than %d", len(pairs), maxLabels)
	}
	labels := make(map[string]string, len(pairs))
	for _, pair := range pairs {
		key, value, ok := strings.Cut(strings.TrimSpace(pair), "=")
		switch {
		case !ok:
			return nil, fmt.Errorf("%.80q is not k=v", pair)
		case builtinLabels[key]:
			return nil, fmt.Errorf("label %q is reserved", key)
		case len(key) > 63 || len(validation.IsQualifiedName(key)) > 0:
			return nil, fmt.Errorf("%.80q is not a label name", key)
		case len(validation.IsValidLabelValue(value)) > 0:
			return nil, fmt.Errorf("%.80q is not a label value", value)
		}
		labels[key] = value
	}
	return labels, nil
}

// validID reports whether an id is safe to use in headers, paths, JSON and logs.
func validID(id string) bool {
	if len(id) == 0 || len(id) > maxIDBytes {
		return false
	}
	for _, c := range []byte(id) {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !letter && !strings.ContainsRune("-_.:", rune(c)) {
			return false
		}
	}
	return true
}

var errNoToken = errors.New("no bearer token")

func bearerToken(header http.Header) (string, error) {
	scheme, token, ok := strings.Cut(header.Get("Authorization"), " ")
	token = strings.TrimSpace(token)
	if !ok || !strings.EqualFold(scheme, "Bearer") || token == "" {
		return "", errNoToken
	}
	return token, nil
}

// readBody returns the body, which nbhttp has bounded and received completely.
func readBody(r *http.Request) ([]byte, *Refusal) {
	if r.Body == nil {
		return nil, nil
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, &Refusal{Code: "bad_request", Ran: node.RanNo, Reason: "the body can not be read: " + err.Error(), Remedy: "send the complete body"}
	}
	return body, nil
}
