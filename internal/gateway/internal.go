package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/citrongate/citrongate/internal/eventlog"
)

// internalCalls is the HTTP handler of the ready, discovery and administration
// addresses.
type internalCalls struct{ g *Gateway }

// ServeHTTP answers a call of the platform, or one to a fixed path.
func (c internalCalls) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g := c.g
	switch g.codec.ClassifyCall(r) {
	case ReadyCall:
		g.answerReady(w)
		return
	case DiscoveryCall:
		g.answerDiscovery(w)
		return
	}
	switch r.URL.Path {
	case "/healthz":
		writeText(w, http.StatusOK, "ok\n")
	case "/readyz":
		g.answerReady(w)
	case "/metrics":
		g.metrics.Handler().ServeHTTP(w, r)
	default:
		writeText(w, http.StatusNotFound, "there is no such address\n")
	}
}

func (g *Gateway) answerReady(w http.ResponseWriter) {
	reason := g.notReadyReason()
	if reason != "" {
		writeText(w, http.StatusServiceUnavailable, reason+"\n")
		return
	}
	writeText(w, http.StatusOK, "ready\n")
}

// notReadyReason returns why this instance is not ready for callers; empty if it is.
func (g *Gateway) notReadyReason() string {
	switch {
	case g.leaving.Load():
		return "this instance is stopping"
	case g.config.current.Load() == nil:
		return "no configuration has been read yet"
	}
	return g.members.Load().notReady
}

func (g *Gateway) answerDiscovery(w http.ResponseWriter) {
	addresses := g.members.Load().discoveryAddresses()
	if len(addresses) == 0 {
		writeText(w, http.StatusServiceUnavailable, "no instance is ready\n")
		return
	}
	body, err := g.codec.DiscoveryAnswer(addresses, time.Duration(g.discoveryTTL.Load()))
	if err != nil {
		g.log.Write(eventlog.InternalFault{What: "encoding a discovery answer", Error: err.Error()})
		writeText(w, http.StatusInternalServerError, "the answer can not be encoded\n")
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(body) // a failed write means that the caller disconnected
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text)) // a failed write means that the caller disconnected
}
