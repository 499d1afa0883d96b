package configstate

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"

	"k8s.io/apimachinery/pkg/util/validation"
	"k8s.io/apimachinery/pkg/util/validation/field"

	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// Upper bounds and defaults of fields.
const (
	maxRank         = 15
	maxDeadlineMs   = 3_600_000
	maxWeight       = 1e6
	maxRate         = 1e9
	maxConcurrency  = 65_536
	maxOutputTokens = 10_000_000
	// defaultConcurrency and defaultMaxConcurrency apply where an upstream has 0.
	defaultConcurrency    = 8
	defaultMaxConcurrency = 256
)

// Problem is one violation of the rules for a set.
type Problem struct {
	// Object is "<kind>/<name>", Field the path of the field within it.
	Object, Field string
	// Found describes the present value, Allowed the permitted values, and Remedy
	// what the operator should do.
	Found, Allowed, Remedy string
}

// String renders the problem as one line for an operator.
func (p Problem) String() string {
	return fmt.Sprintf("%s: %s: %s; allowed: %s; remedy: %s", p.Object, p.Field, p.Found, p.Allowed, p.Remedy)
}

// Validate checks a complete set and returns all its problems, ordered by object.
func Validate(objects []*pb.Object) []Problem {
	v := newValidator(NewSet(0, objects))
	seen := map[string]bool{}
	for _, o := range objects {
		v.checkObject(o)
		if seen[v.object] {
			v.report("meta.name", "the object occurs twice", "one object for each kind and name", "remove or rename one of them")
		}
		seen[v.object] = true
	}
	return v.finish(objects)
}

// validateChange checks a set that was valid before some of its objects changed:
// the changed objects one by one, and the relations between all objects.
func validateChange(set *Set, changed, all []*pb.Object) []Problem {
	v := newValidator(set)
	for _, o := range changed {
		v.checkObject(o)
	}
	return v.finish(all)
}

// objectName returns "<kind>/<name>".
func objectName(o *pb.Object) string {
	return o.GetMeta().GetKind() + "/" + o.GetMeta().GetName()
}

// validator collects the problems of a set. Checks of single objects are separate
// from those of relations between objects, which require all objects.
type validator struct {
	set *Set
	// object is the "<kind>/<name>" that problems are reported for.
	object   string
	problems []Problem
}

func newValidator(set *Set) *validator { return &validator{set: set} }

// finish checks the relations between objects and returns all problems.
func (v *validator) finish(all []*pb.Object) []Problem {
	v.checkRelations(all)
	slices.SortStableFunc(v.problems, func(a, b Problem) int { return strings.Compare(a.Object, b.Object) })
	return v.problems
}

func (v *validator) report(path, found, allowed, remedy string) {
	v.problems = append(v.problems, Problem{v.object, path, found, allowed, remedy})
}

func (v *validator) checkObject(o *pb.Object) {
	v.object = objectName(o)
	kind, name := o.GetMeta().GetKind(), o.GetMeta().GetName()
	if !slices.Contains(Kinds, kind) {
		v.report("meta.kind", strconv.Quote(kind), strings.Join(Kinds, ", "), "set meta.kind to one of these")
		return
	}
	v.checkName("meta.name", name)
	v.checkLabels(kind, o.GetMeta().GetLabels())
	if specKind(o) != kind {
		v.report("spec", "the spec is missing or of another kind", "the spec of kind "+kind, "give the spec that belongs to the kind")
		return
	}
	v.checkSpec(o)
}

func (v *validator) checkSpec(o *pb.Object) {
	switch spec := o.GetSpec().(type) {
	case *pb.Object_Tier:
		v.checkTier(spec.Tier)
	case *pb.Object_Organisation:
		v.checkOrganisation(spec.Organisation)
	case *pb.Object_RequestKind:
		v.checkRequestKind(spec.RequestKind)
	case *pb.Object_Upstream:
		v.checkUpstream(spec.Upstream)
	case *pb.Object_Route:
		v.checkSelector("requests", spec.Route.GetRequests())
		v.checkSelector("upstreams", spec.Route.GetUpstreams())
	case *pb.Object_Operator:
		v.checkTokens(spec.Operator.GetTokenSha256())
		if team := spec.Operator.GetTeam(); team != "" {
			v.checkName("team", team)
		}
	}
}

const nameRange = "1 to 63 letters, digits, '-', '_' or '.', starting and ending with a letter or digit"

// checkName checks a name that selectors compare with, so it must be a valid
// label value.
func (v *validator) checkName(path, name string) {
	if name == "" || len(validation.IsValidLabelValue(name)) > 0 {
		v.report(path, strconv.Quote(name), nameRange, "choose another name")
	}
}

// builtInLabels are the label keys that citrongate sets itself for selectors.
// Operators must not use them.
var builtInLabels = map[string][]string{
	KindOrganisation: {"kind", "organisation", "tier", "model"},
	KindRequestKind:  {"kind", "organisation", "tier", "model"},
	KindUpstream:     {"name", "type", "failure-domain"},
}

func (v *validator) checkLabels(kind string, labels map[string]string) {
	if len(labels) > MaxLabels {
		v.report("meta.labels", fmt.Sprintf("%d labels", len(labels)), fmt.Sprintf("at most %d", MaxLabels), "remove labels")
	}
	for _, key := range slices.Sorted(maps.Keys(labels)) {
		path := "meta.labels[" + strconv.Quote(key) + "]"
		if problems := validation.IsQualifiedName(key); len(problems) > 0 {
			v.report(path, "the key is not valid", strings.Join(problems, "; "), "rename the label")
		}
		if problems := validation.IsValidLabelValue(labels[key]); len(problems) > 0 {
			v.report(path, strconv.Quote(labels[key]), strings.Join(problems, "; "), "change the value")
		}
		if slices.Contains(builtInLabels[kind], key) {
			v.report(path, "the key is built in", "keys other than "+strings.Join(builtInLabels[kind], ", "), "rename the label")
		}
	}
}

func (v *validator) checkRange(path string, value, low, high float64) {
	if math.IsNaN(value) || value < low || value > high {
		v.report(path, strconv.FormatFloat(value, 'g', -1, 64),
			fmt.Sprintf("%s to %s", strconv.FormatFloat(low, 'f', -1, 64), strconv.FormatFloat(high, 'f', -1, 64)),
			"choose a value in the range")
	}
}

func (v *validator) checkTier(t *pb.TierSpec) {
	v.checkRange("rank", float64(t.GetRank()), 0, maxRank)
	v.checkRange("default_deadline_ms", float64(t.GetDefaultDeadlineMs()), 0, maxDeadlineMs)
}

func (v *validator) checkOrganisation(o *pb.OrganisationSpec) {
	v.checkTokens(o.GetTokenSha256())
	v.checkRange("weight", o.GetWeight(), 0, maxWeight)
	v.checkLimits(o.GetLimits())
}

func (v *validator) checkRequestKind(k *pb.RequestKindSpec) {
	v.checkRange("weight", k.GetWeight(), 0, maxWeight)
	v.checkLimits(k.GetLimits())
	v.checkRange("max_output_tokens", float64(k.GetMaxOutputTokens()), 0, maxOutputTokens)
	v.checkRange("default_deadline_ms", float64(k.GetDefaultDeadlineMs()), 0, maxDeadlineMs)
	if k.GetModelCall() && k.GetNonIdempotent() {
		v.report("non_idempotent", "true for a model call", "true only for calls to plain services", "set model_call or non_idempotent to false")
	}
}

func (v *validator) checkUpstream(u *pb.UpstreamSpec) {
	v.checkAddress("address", u.GetAddress())
	v.checkName("failure_domain", u.GetFailureDomain())
	switch u.GetType() {
	case "engine":
	case "service":
		if len(u.GetModels()) > 0 {
			v.report("models", "a plain service names models", "no models for type \"service\"", "remove the models or set type to \"engine\"")
		}
	default:
		v.report("type", strconv.Quote(u.GetType()), "\"engine\" or \"service\"", "choose one of these")
	}
	for i, model := range u.GetModels() {
		v.checkName(fmt.Sprintf("models[%d]", i), model)
	}
	v.checkConcurrency(u)
	v.checkRange("prefill_tokens_per_second", u.GetPrefillTokensPerSecond(), 0, maxRate)
	v.checkRange("decode_ms_per_token", u.GetDecodeMsPerToken(), 0, maxDeadlineMs)
}

func (v *validator) checkConcurrency(u *pb.UpstreamSpec) {
	v.checkRange("concurrency", float64(u.GetConcurrency()), 0, maxConcurrency)
	v.checkRange("max_concurrency", float64(u.GetMaxConcurrency()), 0, maxConcurrency)
	if u.GetType() != "engine" {
		return
	}
	initial, limit := u.GetConcurrency(), u.GetMaxConcurrency()
	if initial == 0 {
		initial = defaultConcurrency
	}
	if limit == 0 {
		limit = defaultMaxConcurrency
	}
	if initial > limit {
		v.report("concurrency", fmt.Sprintf("%d is above max_concurrency %d", initial, limit),
			fmt.Sprintf("at most max_concurrency (0 means %d)", defaultMaxConcurrency), "raise max_concurrency or lower concurrency")
	}
}

// checkAddress checks that an address is an IP address and a port, with an IPv6
// address in brackets.
func (v *validator) checkAddress(path, address string) {
	i := strings.LastIndexByte(address, ':')
	if i >= 0 {
		host := address[:i]
		inner, closed := strings.CutSuffix(host, "]")
		inner, opened := strings.CutPrefix(inner, "[")
		port, err := strconv.ParseUint(address[i+1:], 10, 16)
		isV6 := strings.Contains(inner, ":")
		if err == nil && port > 0 && opened == closed && opened == isV6 && len(validation.IsValidIP(field.NewPath(path), inner)) == 0 {
			return
		}
	}
	v.report(path, strconv.Quote(address), "an IP address and a port from 1 to 65535, such as 10.0.0.5:8000 or [fd00::5]:8000", "write the address of the upstream, without a host name")
}

func (v *validator) checkLimits(l *pb.Limits) {
	v.checkRange("limits.requests_per_second", l.GetRequestsPerSecond(), 0, maxRate)
}

func (v *validator) checkSelector(path, text string) {
	if _, err := ParseSelector(text); err != nil {
		v.report(path, err.Error(), fmt.Sprintf("a label selector of at most %d bytes and %d requirements", MaxSelectorBytes, MaxRequirements), "correct the selector")
	}
}

// checkTokens checks that token hashes are SHA-256 in lower-case hexadecimal.
func (v *validator) checkTokens(hashes []string) {
	for i, hash := range hashes {
		if len(hash) != 64 || strings.Trim(hash, "0123456789abcdef") != "" {
			v.report(fmt.Sprintf("token_sha256[%d]", i), fmt.Sprintf("%d characters that are not such a hash", len(hash)),
				"64 lower-case hexadecimal digits", "write the SHA-256 of the token, never the token")
		}
	}
}
