package routing

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"k8s.io/apimachinery/pkg/labels"

	"github.com/citrongate/citrongate/pkg/configstate"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

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
		text := signatureText(u.labels)
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

// signatureText returns a text that is equal only for equal labels, whatever their values.
func signatureText(set labels.Set) string {
	var text []byte
	for _, key := range slices.Sorted(maps.Keys(set)) {
		text = strconv.AppendQuote(text, key)
		text = strconv.AppendQuote(text, set[key])
	}
	return string(text)
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
	}
	for name, values := range set.LabelRoutes {
		selector := labels.SelectorFromSet(values)
		t.routes = append(t.routes, &route{name: name, requests: selector, upstreams: selector})
	}
	t.addKeys()
	slices.SortFunc(t.routes, func(a, b *route) int {
		if a.order != b.order {
			return int(int64(a.order) - int64(b.order))
		}
		return strings.Compare(a.name, b.name)
	})
	t.addDestinations()
	return nil
}

// addKeys collects the label keys that request selectors name.
func (t *Table) addKeys() {
	keys := map[string]struct{}{}
	for _, route := range t.routes {
		requirements, _ := route.requests.Requirements()
		for _, r := range requirements {
			keys[r.Key()] = struct{}{}
		}
	}
	t.keys = slices.Sorted(maps.Keys(keys))
}
