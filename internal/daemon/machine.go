// Package daemon runs one instance: it owns the node's event loop, carries out
// the node's actions through the edges and turns what the edges see into
// events. It decides nothing itself.
package daemon

import (
	"time"

	"github.com/citrongate/citrongate/pkg/configstate"
	"github.com/citrongate/citrongate/pkg/membership"
	"github.com/citrongate/citrongate/pkg/node"
	"github.com/citrongate/citrongate/pkg/routing"
)

// Machine is what the daemon needs of a node.Node. All methods are called by
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
