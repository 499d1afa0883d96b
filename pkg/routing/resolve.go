package routing

import (
	"github.com/cespare/xxhash/v2"
	"k8s.io/apimachinery/pkg/labels"
)

// Resolve returns the target of a request. Errors have the types ErrUnknownKind,
// ErrUnknownOrganisation, ErrForbidden, ErrUnknownModel and ErrNoRoute. It does not
// allocate if the combination of labels is cached.
func (t *Table) Resolve(r Request) (Target, error) {
	kind, organisation, err := t.lookup(r)
	if err != nil {
		return Target{}, err
	}
	view := view{table: t, request: r, kind: kind, organisation: organisation}
	hash := view.hash()
	if e := t.cache.find(hash, &view); e != nil {
		return e.target, e.err
	}
	// The labels.Labels interface of the selectors makes its operand escape to the
	// heap. Passing a copy keeps the view of the cached path on the stack.
	uncached := view
	e := t.resolve(&uncached)
	t.cache.add(hash, e)
	return e.target, e.err
}

// lookup finds a request's kind and organisation and checks the conditions that do
// not depend on labels.
func (t *Table) lookup(r Request) (*kindInfo, *organisationInfo, error) {
	kind, ok := t.kinds[r.Kind]
	if !ok {
		return nil, nil, ErrUnknownKind.New("request kind %q does not exist; use one that an operator created", r.Kind)
	}
	organisation, ok := t.organisations[r.Organisation]
	if !ok {
		return nil, nil, ErrUnknownOrganisation.New("organisation %q does not exist; ask an operator to create it", r.Organisation)
	}
	if organisation.allowed != nil {
		if _, ok := organisation.allowed[r.Kind]; !ok {
			return nil, nil, ErrForbidden.New("organisation %q may not use request kind %q; ask an operator to add it to allowed_kinds", r.Organisation, r.Kind)
		}
	}
	return kind, organisation, t.checkModel(kind, r)
}

func (t *Table) checkModel(kind *kindInfo, r Request) error {
	if !kind.modelCall {
		if r.Model != "" {
			return ErrUnknownModel.New("request kind %q calls a plain service; leave the model out", r.Kind)
		}
		return nil
	}
	if _, ok := t.models[r.Model]; !ok {
		return ErrUnknownModel.New("no engine serves model %q; name a model that an upstream lists", r.Model)
	}
	return nil
}

// view presents the labels of a request to selectors. Built-in labels take
// precedence, then those of the organisation, the kind and the caller, so that a
// caller cannot override a label that an operator set.
type view struct {
	table        *Table
	request      Request
	kind         *kindInfo
	organisation *organisationInfo
}

var _ labels.Labels = (*view)(nil)

// Lookup returns the value of a label and whether it is set.
func (v *view) Lookup(key string) (string, bool) {
	switch key {
	case labelKind:
		return v.request.Kind, true
	case labelOrganisation:
		return v.request.Organisation, true
	case labelTier:
		return v.kind.tier, true
	case labelModel:
		return v.request.Model, v.request.Model != ""
	}
	if value, ok := v.organisation.object.GetMeta().GetLabels()[key]; ok {
		return value, true
	}
	if value, ok := v.kind.object.GetMeta().GetLabels()[key]; ok {
		return value, true
	}
	value, ok := v.request.Labels[key]
	return value, ok
}

// Has reports whether a label is set.
func (v *view) Has(key string) bool {
	_, ok := v.Lookup(key)
	return ok
}

// Get returns the value of a label, or the empty string.
func (v *view) Get(key string) string {
	value, _ := v.Lookup(key)
	return value
}

// hash returns a hash of everything that a Target depends on: the tier, the model,
// whether it is a model call, and the values of the label keys that routes name.
func (v *view) hash() uint64 {
	h := mix(uint64(v.kind.rank), xxhash.Sum64String(v.request.Model))
	if v.kind.modelCall {
		h = mix(h, 1)
	}
	for _, key := range v.table.keys {
		if value, ok := v.Lookup(key); ok {
			h = mix(h, xxhash.Sum64String(value))
		} else {
			h = mix(h, 0)
		}
	}
	return h
}

func mix(h, x uint64) uint64 {
	h ^= x
	h *= 0x9e3779b97f4a7c15
	return h ^ h>>29
}

// cacheEntry is a cached result of Resolve with its key.
type cacheEntry struct {
	hash      uint64
	rank      uint8
	modelCall bool
	model     string
	// values and set hold, for each of Table.keys, its value and whether it is set.
	values []string
	set    []bool
	target Target
	err    error
}

// matches reports whether the entry was computed for the labels of a view. Equal
// hashes do not prove that, since they may collide.
func (e *cacheEntry) matches(v *view) bool {
	if e.rank != v.kind.rank || e.modelCall != v.kind.modelCall || e.model != v.request.Model {
		return false
	}
	for i, key := range v.table.keys {
		value, ok := v.Lookup(key)
		if ok != e.set[i] || value != e.values[i] {
			return false
		}
	}
	return true
}

// resolve matches the routes in order and returns the result as a cache entry.
func (t *Table) resolve(v *view) *cacheEntry {
	e := &cacheEntry{rank: v.kind.rank, modelCall: v.kind.modelCall, model: v.request.Model}
	for _, key := range t.keys {
		value, ok := v.Lookup(key)
		e.values = append(e.values, value)
		e.set = append(e.set, ok)
	}
	for _, r := range t.routes {
		if r.requests.Matches(v) {
			e.target, e.err = r.target(v)
			return e
		}
	}
	e.err = ErrNoRoute.New("no route matches the request's labels; ask an operator to add a route, or check the labels with \"citrongate explain\"")
	return e
}

// target returns the target of a request that a route matches.
func (r *route) target(v *view) (Target, error) {
	d := r.services
	if v.kind.modelCall {
		d = r.models[v.request.Model]
	}
	if len(d.upstreams) == 0 {
		return Target{}, ErrNoRoute.New("route %q matches first, but its upstream selector selects no upstream of this cell that serves the request; correct the selector or the upstreams' labels and models", r.name)
	}
	return Target{Pool: d.pool, Class: d.class, Tier: v.kind.rank, Route: r.name}, nil
}
