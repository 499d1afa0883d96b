package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/pkg/answer"
	"github.com/citrongate/citrongate/pkg/ingress"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// TestOutlastsStop guards planned stops: requests that end before the process
// does are served, later ones that may not are told so before they are sent.
func TestOutlastsStop(t *testing.T) {
	g := &Gateway{settings: &pb.Settings{Gateway: &pb.GatewaySettings{Grace: "10s"}}}
	at := func(arrived, limit time.Duration) *answer.Refusal {
		return g.outlastsStop(&job{arrived: arrived, deadline: arrived + limit})
	}
	require.Nil(t, at(time.Hour, time.Minute), "no stop")
	g.leaving.Store(true)
	g.stopStarted.Store(int64(time.Hour))
	require.Nil(t, at(time.Hour+time.Second, 15*time.Second), "callers with an old answer")
	require.Nil(t, at(time.Hour+5*time.Second, time.Second), "ends in time")
	refusal := at(time.Hour+5*time.Second, 15*time.Second)
	require.NotNil(t, refusal)
	require.Equal(t, answer.RanNo, refusal.Ran)
	require.Equal(t, http.StatusServiceUnavailable, refusalStatus(*refusal))
}

// TestRefusalStatus guards the promise of each status: 429 and 503 only where
// the request has not run.
func TestRefusalStatus(t *testing.T) {
	for _, code := range []string{"shed_overload", "expired_waiting", "no_route", "draining", "not_ready", "upstream_refused", "deadline_exceeded", "limit_rate"} {
		for _, ran := range []answer.Ran{answer.RanYes, answer.RanUnknown} {
			require.Contains(t, []int{http.StatusBadGateway, http.StatusGatewayTimeout}, refusalStatus(answer.Refusal{Code: code, Ran: ran}), code)
		}
	}
	require.Equal(t, http.StatusTooManyRequests, refusalStatus(answer.Refusal{Code: "limit_rate", Ran: answer.RanNo}))
	require.Equal(t, http.StatusServiceUnavailable, refusalStatus(answer.Refusal{Code: "upstream_refused", Ran: answer.RanNo}))
	require.Equal(t, http.StatusUnauthorized, refusalStatus(answer.Refusal{Code: "unauthenticated", Ran: answer.RanNo}))
}

// TestConfigurationChangesUnderRequest guards against 404 for a proper request
// whose route was judged by the configuration before the node's present one.
func TestConfigurationChangesUnderRequest(t *testing.T) {
	for _, code := range []string{"unknown_kind", "unknown_model", "forbidden", "no_route"} {
		refusal := asJudged(answer.Refusal{Code: code, Ran: answer.RanNo})
		require.Equal(t, http.StatusServiceUnavailable, refusalStatus(refusal), code)
	}
}

// TestSettled guards against an old list of instances that makes an instance take
// itself for the first one at its start, or after all others are gone.
func TestSettled(t *testing.T) {
	require.False(t, (&membersView{notReady: "this instance is starting", addresses: []string{"a", "b"}}).settled())
	require.False(t, (&membersView{addresses: []string{"a"}}).settled())
	require.True(t, (&membersView{addresses: []string{"a", "b"}}).settled())
}

// TestTimeLimit guards the shorter of the caller's deadline and the route's timeout.
func TestTimeLimit(t *testing.T) {
	for _, c := range []struct{ timeout, deadline, want time.Duration }{
		{5 * time.Second, 3 * time.Second, 3 * time.Second}, {2 * time.Second, 3 * time.Second, 2 * time.Second}, {0, 3 * time.Second, 3 * time.Second},
	} {
		j := &job{route: &ingress.Route{Timeout: c.timeout}, head: Head{Remaining: c.deadline, HasDeadline: true}}
		require.Equal(t, c.want, j.timeLimit())
	}
	require.Equal(t, fallbackTimeout, (&job{route: &ingress.Route{}}).timeLimit())
}

// TestQuotaCost guards what a request counts against a quota.
func TestQuotaCost(t *testing.T) {
	tokens := &ingress.Organisation{QuotaInTokens: true, PlainTokens: 200}
	require.Equal(t, 1540.0, (&job{organisation: tokens, head: Head{PromptTokens: 1460, OutputTokens: 80, HasTokens: true}}).quotaCost())
	require.Equal(t, 200.0, (&job{organisation: tokens}).quotaCost())
	require.Equal(t, 1.0, (&job{organisation: &ingress.Organisation{}}).quotaCost())
	require.Zero(t, (&job{}).quotaCost())
}
