package routing

import (
	"github.com/cespare/xxhash/v2"
	"k8s.io/apimachinery/pkg/labels"
)

// Resolve says where a request may go. Errors have the types ErrUnknownKind,
// ErrUnknownOrganisation, ErrForbidden, ErrUnknownModel and ErrNoRoute. It does
// not allocate for a combination of labels that is in the cache.
func (t *Table) Resolve(r Request) (Target, error) {
	kind, organisation, err := t.check(r)
	if err != nil {
		return Target{}, err
	}
	view := view{table: t, request: r, kind: kind, organisation: organisation}
	hash := view.hash()
	if e := t.cache.find(hash, &view); e != nil {
		return e.target, e.err
	}
	// A copy goes to the selectors' interface, so that the view of the warm path
	// stays on the stack.
	cold := view
	e := t.resolve(&cold)
	t.cache.add(hash, e)
	return e.target, e.err
}

// check finds kind and organisation and tests what does not depend on labels.
func (t *Table) check(r Request) (*kindInfo, *organisationInfo, error) {
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

// view shows the labels of a request to selectors. Built-in labels come first,
// then those of the organisation, the kind and the caller, so that a caller
// cannot replace a label that an operator set.
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

// hash digests everything that Target depends on: tier, model, whether it is a
// model call, and the values of the label keys that routes name.
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

// entry is a cached result with the key that it belongs to.
type entry struct {
	hash      uint64
	rank      uint8
	modelCall bool
	model     string
	// values and set describe the labels of Table.keys.
	values []string
	set    []bool
	target Target
	err    error
}

// matches reports whether the entry is for the labels of a view. Equal hashes
// are not proof.
func (e *entry) matches(v *view) bool {
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

// resolve matches the routes in order.
func (t *Table) resolve(v *view) *entry {
	e := &entry{rank: v.kind.rank, modelCall: v.kind.modelCall, model: v.request.Model}
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

// target returns where a route sends a request.
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
