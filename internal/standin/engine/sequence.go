package engine

import (
	"fmt"
	"regexp"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// bytesPerToken stands in for a tokenizer: each four bytes count as one token.
const bytesPerToken = 4

// defaultMaxTokens is the maximum answer length if the request specifies none.
const defaultMaxTokens = 256

// sequence is one admitted request and its answer. Its fields are guarded by Engine.mu.
type sequence struct {
	id, model string
	prompt    string
	// question is the content of the last message.
	question string
	// promptTokens is the length of the prompt, cached the tokens found in the prefix
	// cache, and prefilled the tokens available so far, including cached ones.
	promptTokens, cached, prefilled int
	// total is the length of the answer, produced the number of tokens so far.
	total, produced int
	// lengthLimited is true if max_tokens, or its default, limits the answer.
	lengthLimited bool
	canceled      bool
	readers       int
	// idleSince is the time since which the sequence has no reader or, for a finished
	// sequence without readers, the later of its end and its last read.
	idleSince time.Time
	// changed is closed and replaced when a token is produced or the sequence ends.
	changed chan struct{}
}

func (s *sequence) finished() bool { return s.produced >= s.total }

func (s *sequence) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func newSequence(id string, request *chatRequest, now time.Time) *sequence {
	s := &sequence{
		id: id, model: request.Model, prompt: request.prompt(), question: request.question(),
		idleSince: now, changed: make(chan struct{}),
	}
	s.promptTokens = max(1, (len(s.prompt)+bytesPerToken-1)/bytesPerToken)
	maxTokens := request.MaxTokens
	if maxTokens <= 0 {
		maxTokens = defaultMaxTokens
	}
	answerTokens := AnswerTokens(s.question)
	s.lengthLimited = answerTokens > maxTokens
	s.total = min(answerTokens, maxTokens)
	return s
}

var lengthHint = regexp.MustCompile(`\btokens=(\d{1,6})\b`)

// AnswerTokens returns the length of the answer to a question: N, but at least 1, if
// the question contains "tokens=N", else a length from 1 to 200 that is a hash of
// the text.
func AnswerTokens(question string) int {
	if found := lengthHint.FindStringSubmatch(question); found != nil {
		n, _ := strconv.Atoi(found[1])
		return max(1, n)
	}
	return 1 + int(xxhash.Sum64String(question)%200)
}

// TokenText returns the text of one token of the answer to a question. It contains
// a hash of the question and the index, so that a caller can check that an answer
// belongs to its question and is in order.
func TokenText(question string, index int) string {
	return fmt.Sprintf("%08x.%d ", uint32(xxhash.Sum64String(question)), index)
}
