package engine

import (
	"fmt"
	"regexp"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// bytesPerToken is the stand-in's tokenizer: one token for each four bytes.
const bytesPerToken = 4

// defaultMaxTokens bounds an answer whose request names no bound.
const defaultMaxTokens = 256

// sequence is one request inside the engine. Its fields are guarded by Engine.mu.
type sequence struct {
	id, model string
	prompt    string
	// question is the content of the last message.
	question string
	// promptTokens are needed, of which cached were found in the prefix cache
	// and prefilled are present, cached ones included.
	promptTokens, cached, prefilled int
	// total is the length of the answer; produced tokens exist so far.
	total, produced int
	// limited is true if the caller's bound cut the answer.
	limited  bool
	canceled bool
	readers  int
	// idleSince is the time since which nobody reads or, when finished, since it finished.
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
	bound := request.MaxTokens
	if bound <= 0 {
		bound = defaultMaxTokens
	}
	wanted := AnswerTokens(s.question)
	s.limited = wanted > bound
	s.total = min(wanted, bound)
	return s
}

var lengthHint = regexp.MustCompile(`\btokens=(\d{1,6})\b`)

// AnswerTokens returns the length of the answer to a question: the number in
// "tokens=N" if the question contains it, else a length from 1 to 200 that
// depends on the text only.
func AnswerTokens(question string) int {
	if found := lengthHint.FindStringSubmatch(question); found != nil {
		n, _ := strconv.Atoi(found[1])
		return max(1, n)
	}
	return 1 + int(xxhash.Sum64String(question)%200)
}

// TokenText returns the text of one token of the answer to a question. A caller
// can tell from it whether an answer belongs to its question and is in order.
func TokenText(question string, index int) string {
	return fmt.Sprintf("%08x.%d ", uint32(xxhash.Sum64String(question)), index)
}
