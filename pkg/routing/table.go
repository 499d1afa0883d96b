package routing

import (
	"slices"

	"k8s.io/apimachinery/pkg/labels"

	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// Built-in labels of requests and upstreams.
const (
	labelKind          = "kind"
	labelOrganisation  = "organisation"
	labelTier          = "tier"
	labelModel         = "model"
	labelName          = "name"
	labelType          = "type"
	labelFailureDomain = "failure-domain"

	typeEngine = "engine"
)

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

// ClassIndex returns the index of a class in Classes, or the index at which it would
// be inserted, and whether it was found.
func (p *Pool) ClassIndex(id ClassID) (uint32, bool) {
	i, ok := slices.BinarySearchFunc(p.Classes, id, func(c Class, id ClassID) int {
		switch {
		case c.ID < id:
			return -1
		case c.ID > id:
			return 1
		}
		return 0
	})
	return uint32(i), ok
}

// kindInfo holds the properties of a request kind that Resolve uses.
type kindInfo struct {
	object    *pb.Object
	tier      string
	rank      uint8
	modelCall bool
}

// organisationInfo holds the properties of an organisation that Resolve uses.
type organisationInfo struct {
	object *pb.Object
	// allowed is nil if all kinds are allowed.
	allowed map[string]struct{}
}

// route is a route with parsed selectors and its destinations.
type route struct {
	name      string
	order     uint32
	requests  labels.Selector
	upstreams labels.Selector
	// models maps each model to the engines that serve it; services is the
	// destination of calls to plain services.
	models   map[string]destination
	services destination
}

// destination is a class with its pool and the indices of its upstreams in
// Table.upstreams. It is invalid if it has no upstreams.
type destination struct {
	upstreams []int
	class     ClassID
	pool      PoolID
}

// Table is the compiled form of one configuration revision for one cell, which is a
// group of failure domains. It is safe for concurrent use.
type Table struct {
	revision      uint64
	kinds         map[string]*kindInfo
	organisations map[string]*organisationInfo
	upstreams     []*upstreamInfo
	routes        []*route
	models        map[string]struct{}
	pools         []*Pool
	poolByID      map[PoolID]*Pool
	// keys are the label keys that the routes' request selectors name. Only their
	// values determine which route matches.
	keys  []string
	cache *cache
	// idsBySelector is a copy of Options.IDsBySelector.
	idsBySelector bool
}

// Revision returns the configuration revision that the table was built from.
func (t *Table) Revision() uint64 { return t.revision }

// Pools returns all pools in order of their ids. They must not be modified.
func (t *Table) Pools() []*Pool { return t.pools }

// Pool returns the pool with an id, or nil.
func (t *Table) Pool(id PoolID) *Pool { return t.poolByID[id] }
