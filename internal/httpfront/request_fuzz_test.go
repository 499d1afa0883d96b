package httpfront

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// FuzzHeaders guards against headers that crash the parser, exceed a limit, or set
// a label that only citrongate may set.
func FuzzHeaders(f *testing.F) {
	f.Add("team=a,env=b", "250", "key", "1")
	f.Add("", "", "", "")
	f.Add("kind=x", "0", "k", "2")
	f.Add("a=b,a=c,=,==", "-1", "\x00", "one")
	f.Add("example.com/team=a-b_c.d", "99999999999999999999", "é", " 1")
	const maxDeadline = time.Minute
	f.Fuzz(func(t *testing.T, labels, deadline, key, attempt string) {
		header := http.Header{
			"Citrongate-Labels": {labels}, "Citrongate-Deadline-Ms": {deadline},
			"Idempotency-Key": {key}, "Citrongate-Attempt": {attempt},
		}
		r := &Request{}
		if refusal := parseHeaders(r, header, maxDeadline); refusal != nil {
			require.Equal(t, "bad_request", refusal.Code)
			return
		}
		require.LessOrEqual(t, len(r.Labels), maxLabels)
		for name, value := range r.Labels {
			require.False(t, builtinLabels[name])
			require.LessOrEqual(t, len(name), 63)
			require.LessOrEqual(t, len(value), 63)
		}
		require.GreaterOrEqual(t, r.Remaining, time.Duration(0))
		require.LessOrEqual(t, r.Remaining, maxDeadline)
		require.LessOrEqual(t, len(r.IdempotencyKey), maxIDBytes)
		require.Equal(t, attempt == "1", r.FirstAttempt)
	})
}

// FuzzChatBody guards against a body that crashes the parser, or that reaches the
// engine without an output limit.
func FuzzChatBody(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"hi"}],"max_tokens":5}`))
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"text"}]}],"stream":true}`))
	f.Add([]byte(`{"model":"","messages":null,"max_tokens":-1}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, body []byte) {
		r := &Request{}
		if parseChat(r, body, 100) != nil {
			return
		}
		require.NotEmpty(t, r.Model)
		require.LessOrEqual(t, r.MaxOutputTokens, uint32(100))
		require.NotZero(t, r.PromptTokens)
		again := &Request{}
		require.Nil(t, parseChat(again, r.Body, 100), "the rewritten body is a chat completion request")
		require.Equal(t, r.MaxOutputTokens, again.MaxOutputTokens)
		require.True(t, again.Stream)
	})
}
