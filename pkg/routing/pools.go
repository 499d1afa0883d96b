package routing

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"k8s.io/apimachinery/pkg/labels"
)

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
