package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/citrongate/citrongate/internal/boottime"
	"github.com/citrongate/citrongate/internal/eventlog"
	"github.com/citrongate/citrongate/internal/forward"
	"github.com/citrongate/citrongate/pkg/answer"
	"github.com/citrongate/citrongate/pkg/node"
)

// configAge returns the age of the configuration in force in milliseconds, -1 if
// it was never confirmed.
func (g *Gateway) configAge() float64 {
	confirmed := g.config.confirmed()
	if !confirmed.Known {
		return -1
	}
	return eventlog.Milliseconds(boottime.Now() - confirmed.At)
}

func (c *call) logSent(d node.Dispatch, left time.Duration) {
	c.g.log.Write(eventlog.RequestSent{
		RequestID: c.head.ID, Organisation: c.organisationName(), Route: c.route.Name, Send: c.sends, Upstream: d.Upstream, Address: d.Address,
		Priority: c.route.Priority, GoalMs: eventlog.Milliseconds(c.route.Goal), GapGoalMs: eventlog.Milliseconds(c.route.EventGapGoal),
		QueuedMs: eventlog.Milliseconds(c.sentAt - c.arrived), LeftMs: eventlog.Milliseconds(left), After: c.relay.LastEvent(),
		ConfigVersion: c.snapshot.table.Config().Version, ConfigAgeMs: c.g.configAge(),
	})
}

func (c *call) logSendFailed(d node.Dispatch, result forward.Result) {
	line := eventlog.SendFailed{
		RequestID: c.head.ID, Send: c.sends, Upstream: d.Upstream, Status: result.Status.String(), Code: result.Code, Detail: result.Detail,
		AfterMs: eventlog.Milliseconds(boottime.Now() - c.sentAt), Events: uint64(result.Events),
	}
	if result.Status == forward.Broken {
		line.Parts = partsText(c.head.Parts)
	}
	c.g.log.Write(line)
}

// maxLoggedParts bounds the parts of a prompt in a log line.
const maxLoggedParts = 64

// partsText returns the parts of a prompt in hexadecimal, separated by spaces. Of more than
// maxLoggedParts it gives the number of the others.
func partsText(parts []uint64) string {
	var texts []string
	for _, part := range parts[:min(len(parts), maxLoggedParts)] {
		texts = append(texts, strconv.FormatUint(part, 16))
	}
	if more := len(parts) - maxLoggedParts; more > 0 {
		texts = append(texts, "and "+strconv.Itoa(more)+" more")
	}
	return strings.Join(texts, " ")
}

func (c *call) logAnswered(d node.Dispatch, result forward.Result) {
	c.g.log.Write(eventlog.RequestAnswered{
		RequestID: c.head.ID, Upstream: d.Upstream, Code: result.Code,
		QueuedMs: eventlog.Milliseconds(c.sentAt - c.arrived), FirstMs: eventlog.Milliseconds(max(0, c.firstEventAt-c.sentAt)),
		LongestGapMs: eventlog.Milliseconds(c.longestGap), TotalMs: eventlog.Milliseconds(boottime.Now() - c.arrived),
		Events: uint64(result.Events), Prompt: uint64(c.head.PromptTokens), Cost: c.quotaCost(),
	})
}

// logRefused logs the end of a request without a complete answer. status is the
// one sent to the caller, 0 if the answer was truncated.
func (c *call) logRefused(refusal answer.Refusal, status int) {
	c.g.log.Write(eventlog.RequestRefused{
		RequestID: c.head.ID, Organisation: c.organisationName(), Route: c.route.Name,
		Priority: c.route.Priority, GoalMs: eventlog.Milliseconds(c.route.Goal),
		Reason: refusal.Code, Detail: refusal.Reason, Ran: string(refusal.Ran), Status: status,
		WaitedMs: eventlog.Milliseconds(boottime.Now() - c.arrived), RetryAfterMs: eventlog.Milliseconds(refusal.RetryAfter),
		Sends: c.sends, Started: c.relay.Started(), Cost: c.quotaCost(),
		ConfigVersion: c.snapshot.table.Config().Version, ConfigAgeMs: c.g.configAge(),
	})
}

// logCallerDisconnected logs that the caller's connection ended, with the upstream
// that had the request, if any. At the end of a planned stop it is this instance
// that closes the connection, which is logged as a refusal.
func (c *call) logCallerDisconnected(upstream string) {
	if c.g.closing.Load() || isClosed(c.g.planned.ended) {
		c.logRefused(answer.Refusal{Code: "draining", Ran: c.execution.Ran(), Reason: "the time for the planned stop was over"}, 0)
		return
	}
	c.g.log.Write(eventlog.CallerDisconnected{
		RequestID: c.head.ID, Sends: c.sends, Upstream: upstream,
		WaitedMs: eventlog.Milliseconds(boottime.Now() - c.arrived), Events: uint64(c.relay.Events()),
	})
}

// logNotAdmitted logs the refusal of a request that was not submitted.
func (g *Gateway) logNotAdmitted(r *http.Request, refusal answer.Refusal) {
	line := eventlog.RequestRefused{
		Path: r.URL.Path, Reason: refusal.Code, Detail: refusal.Reason, Ran: string(refusal.Ran), Status: refusalStatus(refusal),
		RetryAfterMs: eventlog.Milliseconds(refusal.RetryAfter), ConfigAgeMs: g.configAge(),
	}
	// Without valid headers, the id of the request is not known.
	if head, err := g.codec.ReadRequest(r.Header); err == nil {
		line.RequestID = head.ID
	}
	if current := g.config.current.Load(); current != nil {
		line.ConfigVersion = current.table.Config().Version
	}
	g.log.Write(line)
}
