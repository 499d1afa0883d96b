// Package configstate manages the configuration set of an instance: validation,
// revisions, committing changes through the store, and catch-up from the store
// and from peers. The set in force is the one that the instance currently uses;
// a revision lower than it is never applied.
package configstate

import (
	"maps"
	"slices"

	"k8s.io/apimachinery/pkg/labels"

	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// Kinds of objects.
const (
	KindTier         = "Tier"
	KindOrganisation = "Organisation"
	KindRequestKind  = "RequestKind"
	KindUpstream     = "Upstream"
	KindRoute        = "Route"
	KindOperator     = "Operator"
)

// Kinds lists all kinds of objects.
var Kinds = []string{KindTier, KindOrganisation, KindRequestKind, KindUpstream, KindRoute, KindOperator}

// Set is the configuration at one revision. It is immutable: the maps, keyed by
// object name, must not be modified.
type Set struct {
	Revision      uint64
	Tiers         map[string]*pb.Object
	Organisations map[string]*pb.Object
	Kinds         map[string]*pb.Object
	Upstreams     map[string]*pb.Object
	Routes        map[string]*pb.Object
	Operators     map[string]*pb.Object
	// LabelRoutes are the routes of an external configuration, by name: each sends the
	// requests that have its labels to the upstreams that have them. Labels may have any text
	// as their value, which selectors can not express.
	LabelRoutes map[string]labels.Set
}

// NewSet returns a set of the given objects, which must not be modified
// afterwards. Objects of an unknown kind are ignored; Validate reports them.
func NewSet(revision uint64, objects []*pb.Object) *Set {
	s := &Set{
		Revision:      revision,
		Tiers:         map[string]*pb.Object{},
		Organisations: map[string]*pb.Object{},
		Kinds:         map[string]*pb.Object{},
		Upstreams:     map[string]*pb.Object{},
		Routes:        map[string]*pb.Object{},
		Operators:     map[string]*pb.Object{},
	}
	for _, o := range objects {
		if byName := s.OfKind(o.GetMeta().GetKind()); byName != nil {
			byName[o.GetMeta().GetName()] = o
		}
	}
	return s
}

// OfKind returns the objects of a kind by name, or nil for an unknown kind.
func (s *Set) OfKind(kind string) map[string]*pb.Object {
	switch kind {
	case KindTier:
		return s.Tiers
	case KindOrganisation:
		return s.Organisations
	case KindRequestKind:
		return s.Kinds
	case KindUpstream:
		return s.Upstreams
	case KindRoute:
		return s.Routes
	case KindOperator:
		return s.Operators
	}
	return nil
}

// Get returns an object, or nil if there is none.
func (s *Set) Get(kind, name string) *pb.Object { return s.OfKind(kind)[name] }

// Objects returns all objects, ordered by kind as in Kinds and then by name.
func (s *Set) Objects() []*pb.Object {
	var out []*pb.Object
	for _, kind := range Kinds {
		byName := s.OfKind(kind)
		for _, name := range slices.Sorted(maps.Keys(byName)) {
			out = append(out, byName[name])
		}
	}
	return out
}

// specKind returns the kind that an object's spec belongs to; empty if it has no
// spec.
func specKind(o *pb.Object) string {
	switch o.GetSpec().(type) {
	case *pb.Object_Tier:
		return KindTier
	case *pb.Object_Organisation:
		return KindOrganisation
	case *pb.Object_RequestKind:
		return KindRequestKind
	case *pb.Object_Upstream:
		return KindUpstream
	case *pb.Object_Route:
		return KindRoute
	case *pb.Object_Operator:
		return KindOperator
	}
	return ""
}
