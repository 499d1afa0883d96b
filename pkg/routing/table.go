package routing

import (
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"k8s.io/apimachinery/pkg/labels"

	"github.com/citrongate/citrongate/pkg/configstate"
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

// Options are the options of BuildWith.
type Options struct {
	// FailureDomains restricts the upstreams to those of a cell's failure domains;
	// none means all.
	FailureDomains []string
	// IDsBySelector derives the ids of classes and pools from the routes' selectors
	// instead of the upstreams that they match, so that instances that learn of
	// upstreams at different times agree on the ids.
	IDsBySelector bool
}

// Build compiles a configuration set with all its upstreams.
func Build(set *configstate.Set) (*Table, error) { return BuildCell(set, nil) }

// BuildCell compiles a configuration set with only the upstreams of the given
// failure domains; none means all.
func BuildCell(set *configstate.Set, failureDomains []string) (*Table, error) {
	return BuildWith(set, Options{FailureDomains: failureDomains})
}

// BuildWith compiles a configuration set with options.
func BuildWith(set *configstate.Set, options Options) (*Table, error) {
	t := &Table{
		idsBySelector: options.IDsBySelector,
		revision:      set.Revision,
		kinds:         map[string]*kindInfo{},
		organisations: map[string]*organisationInfo{},
		models:        map[string]struct{}{},
		poolByID:      map[PoolID]*Pool{},
		cache:         newCache(),
	}
	t.addKinds(set)
	t.addOrganisations(set)
	t.addUpstreams(set, options.FailureDomains)
	if err := t.addRoutes(set); err != nil {
		return nil, err
	}
	t.addPools()
	return t, nil
}

func (t *Table) addKinds(set *configstate.Set) {
	for name, o := range set.Kinds {
		spec := o.GetRequestKind()
		rank := set.Tiers[spec.GetTier()].GetTier().GetRank()
		t.kinds[name] = &kindInfo{object: o, tier: spec.GetTier(), rank: uint8(rank), modelCall: spec.GetModelCall()}
	}
}

func (t *Table) addOrganisations(set *configstate.Set) {
	for name, o := range set.Organisations {
		info := &organisationInfo{object: o}
		for _, kind := range o.GetOrganisation().GetAllowedKinds() {
			if info.allowed == nil {
				info.allowed = map[string]struct{}{}
			}
			info.allowed[kind] = struct{}{}
		}
		t.organisations[name] = info
	}
}

// upstreamInfo is an upstream with the labels that selectors see.
type upstreamInfo struct {
	Upstream
	labels labels.Set
	// signature is the number of the upstream's combination of labels without the
	// name; upstreams with the same labels have the same signature.
	signature int
	pool      *Pool
}

func (t *Table) addUpstreams(set *configstate.Set, failureDomains []string) {
	signatures := map[string]int{}
	for name, o := range set.Upstreams {
		spec := o.GetUpstream()
		if len(failureDomains) > 0 && !slices.Contains(failureDomains, spec.GetFailureDomain()) {
			continue
		}
		u := &upstreamInfo{
			Upstream: Upstream{Name: name, Address: spec.GetAddress(), FailureDomain: spec.GetFailureDomain(), Spec: spec},
			labels:   upstreamLabels(o),
		}
		text := u.labels.String()
		if _, ok := signatures[text]; !ok {
			signatures[text] = len(signatures)
		}
		u.signature = signatures[text]
		u.labels[labelName] = name
		t.upstreams = append(t.upstreams, u)
		for _, model := range spec.GetModels() {
			if spec.GetType() == typeEngine {
				t.models[model] = struct{}{}
			}
		}
	}
	slices.SortFunc(t.upstreams, func(a, b *upstreamInfo) int { return strings.Compare(a.Name, b.Name) })
}

// upstreamLabels returns the labels of an upstream except its name.
func upstreamLabels(o *pb.Object) labels.Set {
	spec := o.GetUpstream()
	out := labels.Set{}
	for k, v := range o.GetMeta().GetLabels() {
		out[k] = v
	}
	out[labelType] = spec.GetType()
	out[labelFailureDomain] = spec.GetFailureDomain()
	return out
}

func (t *Table) addRoutes(set *configstate.Set) error {
	keys := map[string]struct{}{}
	for name, o := range set.Routes {
		spec := o.GetRoute()
		requests, err := configstate.ParseSelector(spec.GetRequests())
		if err != nil {
			return ErrBuild.Wrap(err, "Route/%s: requests", name)
		}
		upstreams, err := configstate.ParseSelector(spec.GetUpstreams())
		if err != nil {
			return ErrBuild.Wrap(err, "Route/%s: upstreams", name)
		}
		t.routes = append(t.routes, &route{name: name, order: spec.GetOrder(), requests: requests, upstreams: upstreams})
		requirements, _ := requests.Requirements()
		for _, r := range requirements {
			keys[r.Key()] = struct{}{}
		}
	}
	for key := range keys {
		t.keys = append(t.keys, key)
	}
	slices.Sort(t.keys)
	slices.SortFunc(t.routes, func(a, b *route) int {
		if a.order != b.order {
			return int(int64(a.order) - int64(b.order))
		}
		return strings.Compare(a.name, b.name)
	})
	t.addDestinations()
	return nil
}

// addDestinations matches the routes' upstream selectors. Routes with the same
// selector use the same result.
func (t *Table) addDestinations() {
	bySelector := map[string]*route{}
	for _, r := range t.routes {
		text := r.upstreams.String()
		if same, ok := bySelector[text]; ok {
			r.models, r.services = same.models, same.services
			continue
		}
		bySelector[text] = r
		t.matchUpstreams(r)
	}
}

// matchUpstreams groups the upstreams that a route's selector matches into plain
// services and the engines of each model.
func (t *Table) matchUpstreams(r *route) {
	r.models = map[string]destination{}
	for _, i := range t.selectUpstreams(r.upstreams) {
		spec := t.upstreams[i].Spec
		if spec.GetType() != typeEngine {
			r.services.upstreams = append(r.services.upstreams, i)
			continue
		}
		for _, model := range spec.GetModels() {
			d := r.models[model]
			// An upstream may list a model twice.
			if n := len(d.upstreams); n == 0 || d.upstreams[n-1] != i {
				d.upstreams = append(d.upstreams, i)
				r.models[model] = d
			}
		}
	}
	r.services.class = t.classID(r, "", r.services.upstreams)
	for model, d := range r.models {
		d.class = t.classID(r, model, d.upstreams)
		r.models[model] = d
	}
}

// selectUpstreams returns the indices of the upstreams that a selector matches, in
// ascending order. Unless the selector refers to the upstream's name, it is matched
// only once for all upstreams with the same labels.
func (t *Table) selectUpstreams(s labels.Selector) []int {
	byName := false
	requirements, _ := s.Requirements()
	for _, r := range requirements {
		byName = byName || r.Key() == labelName
	}
	known := map[int]bool{}
	var out []int
	for i, u := range t.upstreams {
		match, ok := known[u.signature]
		if byName || !ok {
			match = s.Matches(u.labels)
			known[u.signature] = match
		}
		if match {
			out = append(out, i)
		}
	}
	return out
}

// classID returns the id of the upstreams that a route selects for a model.
func (t *Table) classID(r *route, model string, upstreams []int) ClassID {
	d := xxhash.New()
	if t.idsBySelector {
		_, _ = d.WriteString("selector\x00" + r.upstreams.String() + "\x00" + model)
		return ClassID(d.Sum64())
	}
	for _, i := range upstreams {
		_, _ = d.WriteString(t.upstreams[i].Name)
		_, _ = d.Write([]byte{0})
	}
	return ClassID(d.Sum64())
}

// addPools computes the connected components of the destinations by union-find; each
// is a pool. A pool's id is a digest of the name of its first upstream, so that it
// stays the same when other upstreams join or leave the pool, or of its smallest
// class id with IDsBySelector.
func (t *Table) addPools() {
	parent := make([]int, len(t.upstreams))
	for i := range parent {
		parent[i] = i
	}
	find := func(i int) int {
		for parent[i] != i {
			parent[i] = parent[parent[i]]
			i = parent[i]
		}
		return i
	}
	used := make([]bool, len(t.upstreams))
	t.updateDestinations(func(d destination) destination {
		for _, i := range d.upstreams {
			used[i] = true
			// The smaller index, and thus the smaller name, becomes the root.
			a, b := find(d.upstreams[0]), find(i)
			parent[max(a, b)] = min(a, b)
		}
		return d
	})
	positions := make([]uint32, len(t.upstreams))
	smallest := t.smallestClasses(find)
	for i, u := range t.upstreams {
		if !used[i] {
			continue
		}
		root := t.upstreams[find(i)]
		if root.pool == nil {
			root.pool = &Pool{ID: t.poolID(root, smallest[find(i)])}
			t.pools = append(t.pools, root.pool)
			t.poolByID[root.pool.ID] = root.pool
		}
		u.pool = root.pool
		positions[i] = uint32(len(u.pool.Upstreams))
		u.pool.Upstreams = append(u.pool.Upstreams, u.Upstream)
	}
	slices.SortFunc(t.pools, func(a, b *Pool) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	t.addClasses(positions)
}

// smallestClasses returns the smallest class id of each connected component, keyed by
// the index of its root.
func (t *Table) smallestClasses(find func(int) int) map[int]ClassID {
	smallest := map[int]ClassID{}
	t.updateDestinations(func(d destination) destination {
		if len(d.upstreams) > 0 {
			root := find(d.upstreams[0])
			if known, ok := smallest[root]; !ok || d.class < known {
				smallest[root] = d.class
			}
		}
		return d
	})
	return smallest
}

func (t *Table) poolID(root *upstreamInfo, smallest ClassID) PoolID {
	if t.idsBySelector {
		return PoolID(xxhash.Sum64String("pool\x00" + strconv.FormatUint(uint64(smallest), 16)))
	}
	return PoolID(xxhash.Sum64String("pool\x00" + root.Name))
}

// addClasses sets the pool of every destination and the classes of every pool.
// positions maps an upstream's index in the table to its index in its pool.
func (t *Table) addClasses(positions []uint32) {
	t.updateDestinations(func(d destination) destination {
		if len(d.upstreams) == 0 {
			return d
		}
		pool := t.upstreams[d.upstreams[0]].pool
		d.pool = pool.ID
		at, known := pool.ClassIndex(d.class)
		if known {
			return d
		}
		class := Class{ID: d.class}
		for _, i := range d.upstreams {
			class.Upstreams = append(class.Upstreams, positions[i])
		}
		pool.Classes = slices.Insert(pool.Classes, int(at), class)
		return d
	})
}

// updateDestinations replaces every destination with the result of f.
func (t *Table) updateDestinations(f func(d destination) destination) {
	for _, r := range t.routes {
		r.services = f(r.services)
		for model, d := range r.models {
			r.models[model] = f(d)
		}
	}
}
