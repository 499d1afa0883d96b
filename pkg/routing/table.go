package routing

import (
	"github.com/citrongate/citrongate/pkg/configstate"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// Table is the compiled form of one configuration revision for one cell. It is
// safe for concurrent use.
type Table struct{}

// Upstream is one upstream of a pool.
type Upstream struct {
	Name, Address, FailureDomain string
	// Spec must not be modified.
	Spec *pb.UpstreamSpec
}

// Class is a set of eligible upstreams of a pool.
type Class struct {
	ID ClassID
	// Upstreams are indices into Pool.Upstreams, ascending.
	Upstreams []uint32
}

// Pool is a set of upstreams that are scheduled together.
type Pool struct {
	ID PoolID
	// Upstreams are ordered by name, Classes by id.
	Upstreams []Upstream
	Classes   []Class
}

// ClassIndex returns the index of a class in Classes.
func (p *Pool) ClassIndex(id ClassID) (uint32, bool) { return 0, false }

// Build compiles a set with all its upstreams.
func Build(set *configstate.Set) (*Table, error) { return &Table{}, nil }

// BuildCell compiles a set with only the upstreams of the given failure
// domains; none means all.
func BuildCell(set *configstate.Set, failureDomains []string) (*Table, error) {
	return &Table{}, nil
}

// Revision returns the configuration revision that the table was built from.
func (t *Table) Revision() uint64 { return 0 }

// Resolve says where a request may go. Errors have the types ErrUnknownKind,
// ErrUnknownOrganisation, ErrForbidden, ErrUnknownModel and ErrNoRoute.
func (t *Table) Resolve(r Request) (Target, error) { return Target{}, nil }

// Pools returns all pools, ordered by id.
func (t *Table) Pools() []*Pool { return nil }

// Pool returns the pool with an id, or nil.
func (t *Table) Pool(id PoolID) *Pool { return nil }

// Requirement is a selector's requirement that did not hold; empty if all did.
type Requirement string

// RouteExplanation says whether a route matches a request.
type RouteExplanation struct {
	Route string
	Order uint32
	// Failed is the first requirement that does not hold; empty if the route matches.
	Failed Requirement
	// Chosen is true for the first route that matches.
	Chosen bool
}

// UpstreamExplanation says whether an upstream is eligible through the chosen route.
type UpstreamExplanation struct {
	Upstream string
	// Failed is the first requirement that does not hold; empty if eligible.
	Failed Requirement
}

// Explanation says how a request is resolved.
type Explanation struct {
	// Labels are the labels that selectors see.
	Labels map[string]string
	Tier   string
	Rank   uint8
	Routes []RouteExplanation
	// Upstreams is empty if no route matches.
	Upstreams []UpstreamExplanation
	// KindLimits and OrganisationLimits are nil if none are set.
	KindLimits, OrganisationLimits *pb.Limits
	// Target is valid if Err is nil.
	Target Target
	Err    error
}

// Explain says how a request is resolved and why.
func (t *Table) Explain(r Request) Explanation { return Explanation{} }
