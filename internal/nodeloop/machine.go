// Package nodeloop runs a node: it owns the goroutine that steps it, the clock
// that it is stepped by, the identity of this run of the process, and the
// mailboxes through which the node's actions reach the goroutines that serve
// requests. It decides nothing.
package nodeloop

import (
	"time"

	"github.com/citrongate/citrongate/pkg/configstate"
	"github.com/citrongate/citrongate/pkg/membership"
	"github.com/citrongate/citrongate/pkg/node"
	"github.com/citrongate/citrongate/pkg/routing"
)

// Machine is what a daemon needs of a node.Node. All methods are called by
// the loop's goroutine only.
type Machine interface {
	Step(now time.Duration, ev node.Event, out []node.Action) []node.Action
	ConfigSet() *configstate.Set
	Members() []membership.Member
	PoolSummaries() []node.PoolSummary
	NotReadyReason() string
	Leaving() bool
	Explain(r routing.Request) routing.Explanation
	UpstreamLeaving(name string) bool
	IssueTicket(now time.Duration) (ticket string, ttl time.Duration)
	Discovery() []string
}
