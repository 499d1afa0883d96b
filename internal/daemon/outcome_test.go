package daemon

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/internal/httpfront"
	"github.com/citrongate/citrongate/pkg/answer"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// recordedAnswer is an Answer that keeps what its caller receives.
type recordedAnswer struct {
	discardedAnswer
	outcome *pb.BindingOutcome
	refusal *httpfront.Refusal
}

func (a *recordedAnswer) Outcome(o *pb.BindingOutcome) error { a.outcome = o; return nil }

func (a *recordedAnswer) Refuse(r httpfront.Refusal) { a.refusal = &r }

// TestInvalidOutcomeIsNoAnswer guards against the outcome of a call that another instance sent without a
// status or with one that is none, and that reaches the caller as an answer: without a status, as a 200.
func TestInvalidOutcomeIsNoAnswer(t *testing.T) {
	for _, o := range []*pb.BindingOutcome{
		nil, {}, {HttpStatus: 99}, {HttpStatus: 101}, {HttpStatus: 600}, {HttpStatus: 4294967295},
		{HttpStatus: 200, ContentType: "a\r\nb: c"}, {HttpStatus: 200, ContentType: "a\x00"},
	} {
		got := &recordedAnswer{}
		(&call{answer: got}).answerFromRecord(o)
		require.Nil(t, got.outcome, "%v", o)
		require.NotNil(t, got.refusal)
		require.Equal(t, answer.RanYes, got.refusal.Ran)
	}
	for _, o := range []*pb.BindingOutcome{{HttpStatus: 200}, {HttpStatus: 599, ContentType: "text/plain; a=\"\xc3\xa4\""}} {
		got := &recordedAnswer{}
		(&call{answer: got}).answerFromRecord(o)
		require.Equal(t, o, got.outcome)
		require.Nil(t, got.refusal)
	}
}
