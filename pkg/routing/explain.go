package routing

import (
	"fmt"
	"slices"

	"k8s.io/apimachinery/pkg/labels"

	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// Requirement describes a requirement that is not met; empty if all are met.
type Requirement string

// RouteExplanation says whether a route matches a request, and if not, why.
type RouteExplanation struct {
	Route string
	Order uint32
	// Failed is the first requirement that is not met; empty if the route matches.
	Failed Requirement
	// Chosen is true for the first route that matches.
	Chosen bool
}

// UpstreamExplanation says whether an upstream is eligible through the chosen route.
type UpstreamExplanation struct {
	Upstream string
	// Failed is the first requirement that is not met; empty if the upstream is
	// eligible.
	Failed Requirement
}

// Explanation says how a request is resolved and why.
type Explanation struct {
	// Labels are the request's labels as selectors see them.
	Labels map[string]string
	Tier   string
	Rank   uint8
	Routes []RouteExplanation
	// Upstreams is empty if no route matches.
	Upstreams []UpstreamExplanation
	// KindLimits and OrganisationLimits are nil if no limits are set.
	KindLimits, OrganisationLimits *pb.Limits
	// Target is valid if Err is nil.
	Target Target
	Err    error
}

// Explain says how a request is resolved and why. Routes is empty if the kind or
// organisation is unknown. If Resolve refuses the request for another reason, for
// example an unknown model, the routes are matched all the same.
func (t *Table) Explain(r Request) Explanation {
	var out Explanation
	out.Target, out.Err = t.Resolve(r)
	kind, organisation := t.kinds[r.Kind], t.organisations[r.Organisation]
	if kind == nil || organisation == nil {
		return out
	}
	v := &view{table: t, request: r, kind: kind, organisation: organisation}
	out.Labels = v.effectiveLabels()
	out.Tier, out.Rank = kind.tier, kind.rank
	out.KindLimits = kind.object.GetRequestKind().GetLimits()
	out.OrganisationLimits = organisation.object.GetOrganisation().GetLimits()
	var chosen *route
	for _, rt := range t.routes {
		e := RouteExplanation{Route: rt.name, Order: rt.order, Failed: firstFailed(rt.requests, v)}
		if e.Failed == "" && chosen == nil {
			chosen = rt
			e.Chosen = true
		}
		out.Routes = append(out.Routes, e)
	}
	if chosen != nil {
		for _, u := range t.upstreams {
			out.Upstreams = append(out.Upstreams, UpstreamExplanation{Upstream: u.Name, Failed: explainUpstream(chosen, u, v)})
		}
	}
	return out
}

func explainUpstream(r *route, u *upstreamInfo, v *view) Requirement {
	if failed := firstFailed(r.upstreams, u.labels); failed != "" {
		return failed
	}
	isEngine := u.Spec.GetType() == typeEngine
	if isEngine != v.kind.modelCall {
		return Requirement(fmt.Sprintf("type %s, since request kind %s has model_call %t", requiredType(v), v.request.Kind, v.kind.modelCall))
	}
	if isEngine && !slices.Contains(u.Spec.GetModels(), v.request.Model) {
		return Requirement(fmt.Sprintf("serves model %q", v.request.Model))
	}
	return ""
}

func requiredType(v *view) string {
	if v.kind.modelCall {
		return typeEngine
	}
	return "service"
}

// firstFailed returns the first requirement of a selector that the labels do not
// meet.
func firstFailed(s labels.Selector, l labels.Labels) Requirement {
	requirements, _ := s.Requirements()
	for i := range requirements {
		if !requirements[i].Matches(l) {
			return Requirement(requirements[i].String())
		}
	}
	return ""
}

// effectiveLabels returns all labels of a view with the values that take precedence.
func (v *view) effectiveLabels() map[string]string {
	out := map[string]string{}
	keys := []string{labelKind, labelOrganisation, labelTier, labelModel}
	for _, set := range []map[string]string{v.request.Labels, v.kind.object.GetMeta().GetLabels(), v.organisation.object.GetMeta().GetLabels()} {
		for key := range set {
			keys = append(keys, key)
		}
	}
	for _, key := range keys {
		if value, ok := v.Lookup(key); ok {
			out[key] = value
		}
	}
	return out
}
