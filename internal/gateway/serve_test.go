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

// TestOutlastsStop guards against requests that are cut off by a planned stop. A
// request that ends before the process does is served; one that may not is refused
// before it is sent, unless it arrived shortly after the start of the stop.
func TestOutlastsStop(t *testing.T) {
	g := &Gateway{settings: &pb.Settings{Gateway: &pb.GatewaySettings{Grace: "10s"}}}
	at := func(arrived, limit time.Duration) *answer.Refusal {
		return g.checkPlannedStop(&admittedRequest{arrived: arrived, deadline: arrived + limit})
	}
	require.Nil(t, at(time.Hour, time.Minute), "no planned stop")
	g.leaving.Store(true)
	g.stopStarted.Store(int64(time.Hour))
	require.Nil(t, at(time.Hour+time.Second, 15*time.Second), "arrived shortly after the start, when callers have an outdated discovery answer")
	require.Nil(t, at(time.Hour+5*time.Second, time.Second), "deadline before the end of the stop")
	refusal := at(time.Hour+5*time.Second, 15*time.Second)
	require.NotNil(t, refusal)
	require.Equal(t, answer.RanNo, refusal.Ran)
	require.Equal(t, http.StatusServiceUnavailable, refusalStatus(*refusal))
}

// TestRefusedInStop guards against a request that waits through a planned stop until it is cut, or that
// is refused as not run although an upstream may have it.
func TestRefusedInStop(t *testing.T) {
	const grace = 10 * time.Second
	for _, ran := range []answer.Ran{answer.RanNo, answer.RanUnknown, answer.RanYes} {
		for _, outlasts := range []bool{false, true} {
			g := &Gateway{settings: &pb.Settings{Gateway: &pb.GatewaySettings{Grace: grace.String()}}, planned: newPlannedStop()}
			g.stopStarted.Store(int64(time.Hour))
			c := &call{g: g, admittedRequest: &admittedRequest{deadline: time.Hour + time.Second}}
			if outlasts {
				c.deadline += grace
			}
			c.execution.Add(ran)
			require.Nil(t, c.refusalInStop(), "no planned stop, or its start")
			close(g.planned.late)
			refusal := c.refusalInStop()
			require.Equal(t, outlasts && ran == answer.RanNo, refusal != nil)
			if refusal != nil {
				require.Equal(t, http.StatusServiceUnavailable, refusalStatus(*refusal))
				require.Less(t, refusal.RetryAfter, notReadyRetryAfter)
			}
			close(g.planned.ended)
			refusal = c.refusalInStop()
			require.NotNil(t, refusal)
			require.Equal(t, ran, refusal.Ran)
			require.Equal(t, ran == answer.RanNo, refusalStatus(*refusal) == http.StatusServiceUnavailable)
		}
	}
}

// TestRefusalStatus guards against a status that misleads the caller: 429 and 503
// say that the request has not run, so they are used only where that is known.
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

// TestConfigurationChangesDuringRequest guards against 404 for a valid request that
// was admitted under the configuration before the node's current one.
func TestConfigurationChangesDuringRequest(t *testing.T) {
	for _, code := range []string{"unknown_kind", "unknown_model", "forbidden", "no_route"} {
		refusal := afterConfigChange(answer.Refusal{Code: code, Ran: answer.RanNo})
		require.Equal(t, http.StatusServiceUnavailable, refusalStatus(refusal), code)
	}
}

// TestHasJoined guards against an outdated list of instances that makes an instance
// assume that it is the first one, at its start or after all peers are unreachable.
func TestHasJoined(t *testing.T) {
	require.False(t, (&membersView{notReady: "this instance is starting", addresses: []string{"a", "b"}}).hasJoined())
	require.False(t, (&membersView{addresses: []string{"a"}}).hasJoined())
	require.True(t, (&membersView{addresses: []string{"a", "b"}}).hasJoined())
}

// TestTimeLimit guards against a request that takes longer than the shorter of the
// caller's deadline and the route's timeout.
func TestTimeLimit(t *testing.T) {
	for _, c := range []struct{ timeout, deadline, want time.Duration }{
		{5 * time.Second, 3 * time.Second, 3 * time.Second}, {2 * time.Second, 3 * time.Second, 2 * time.Second}, {0, 3 * time.Second, 3 * time.Second},
	} {
		j := &admittedRequest{route: &ingress.Route{Timeout: c.timeout}, head: RequestHead{Remaining: c.deadline, HasDeadline: true}}
		require.Equal(t, c.want, j.timeLimit())
	}
	require.Equal(t, defaultTimeout, (&admittedRequest{route: &ingress.Route{}}).timeLimit())
}

// TestQuotaCost guards against a wrong charge to a quota: tokens for a token quota,
// PlainTokens for requests without token counts, 1 for a request quota and 0
// without an organisation.
func TestQuotaCost(t *testing.T) {
	tokens := &ingress.Organisation{QuotaInTokens: true, PlainTokens: 200}
	require.Equal(t, 1540.0, (&admittedRequest{organisation: tokens, head: RequestHead{PromptTokens: 1460, OutputTokens: 80, HasTokens: true}}).quotaCost())
	require.Equal(t, 200.0, (&admittedRequest{organisation: tokens}).quotaCost())
	require.Equal(t, 1.0, (&admittedRequest{organisation: &ingress.Organisation{}}).quotaCost())
	require.Zero(t, (&admittedRequest{}).quotaCost())
}
