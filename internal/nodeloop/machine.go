// Package nodeloop runs a node.Node in a process. It provides the goroutine that
// steps the node, the clock that its time is read from, the random identity of
// this run of the process, and the mailboxes that pass the node's actions to the
// goroutines that serve requests. It contains no scheduling logic.
package nodeloop

import (
	"time"

	"github.com/citrongate/citrongate/pkg/configstate"
	"github.com/citrongate/citrongate/pkg/membership"
	"github.com/citrongate/citrongate/pkg/node"
	"github.com/citrongate/citrongate/pkg/routing"
)

// Machine is the part of node.Node that a daemon uses. All methods are called on
// the loop's goroutine only.
type Machine interface {
	Step(now time.Duration, ev node.Event, out []node.Action) []node.Action
	ConfigSet() *configstate.Set
	Members() []membership.Member
	PoolSummaries() []node.PoolSummary
	NotReadyReason() string
	LimitSharers() int
	InstanceListRead() bool
	Leaving() bool
	Explain(r routing.Request) routing.Explanation
	UpstreamLeaving(name string) bool
	IssueTicket(now time.Duration) (ticket string, ttl time.Duration)
	Discovery() []string
}
