package gateway

import (
	"errors"
	"time"

	"github.com/citrongate/citrongate/internal/boottime"
	"github.com/citrongate/citrongate/internal/eventlog"
	"github.com/citrongate/citrongate/internal/forward"
)

// registerAgeMetrics registers the metrics for the age of the configuration and
// of the list of upstreams.
func (g *Gateway) registerAgeMetrics() error {
	err := g.metrics.Observe("citrongate_config_age", "Time since the configuration in force was confirmed.", func() (time.Duration, bool) {
		confirmed := g.config.confirmed()
		return boottime.Now() - confirmed.At, confirmed.Known
	})
	if err != nil {
		return err
	}
	return g.metrics.Observe("citrongate_upstream_list_age", "Time since the newest listing of the upstreams began.", func() (time.Duration, bool) {
		at := time.Duration(g.config.upstreamsListedAt.Load())
		return boottime.Now() - at, at > 0
	})
}

// registerByteMetrics registers the metrics for the bytes held for callers and at upstreams.
func (g *Gateway) registerByteMetrics() error {
	err := g.metrics.ObserveBytes("citrongate_unanswered_requests", "Bodies of requests that upstreams were sent and have not answered.", g.upstreams.RequestBytes)
	if g.answers == nil {
		return err
	}
	return errors.Join(err,
		g.metrics.ObserveBytes("citrongate_answer_buffer_held", "Bytes held or reserved for callers that read slowly.", g.answers.Held),
		g.metrics.ObserveBytes("citrongate_answer_buffer_limit", "Bound on the bytes held for callers that read slowly.", g.answers.Limit),
		g.metrics.ObserveCount("citrongate_answer_buffer_waiting", "Answers whose upstream waits for room in the answer buffer.", g.answers.Waiting))
}

// logRequestHeldBack logs that a request waits since its upstream has too many bytes to answer.
func (g *Gateway) logRequestHeldBack(request *forward.Request) {
	g.metrics.Count("upstream_request_bytes", "held_back")
	g.log.Write(eventlog.RequestHeldBack{RequestID: request.ID, Address: request.Address, Body: len(request.Body)})
}
