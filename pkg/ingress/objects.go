package ingress

import (
	"strconv"

	"k8s.io/apimachinery/pkg/labels"

	"github.com/citrongate/citrongate/pkg/configstate"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// Labels of requests and upstreams, by which the scheduler's routes select.
const (
	LabelService = "service"
	labelVersion = "version"
)

// NoOrganisation is the organisation that requests without a key are assigned to.
const NoOrganisation = "none"

const (
	// defaultSlots is used for an upstream that registers no number of slots.
	defaultSlots = 4
	// maxSlots bounds the number of requests that one upstream runs concurrently.
	maxSlots = 1 << 16
)

// Objects translates a configuration and the registered upstreams into the
// objects that the scheduler routes by: a tier for each priority, a request
// kind for each route and priority, and a route by label for each service.
func Objects(revision uint64, config *Config, upstreams []Upstream) *configstate.Set {
	b := builder{config: config, services: map[string]*Service{}, routes: map[string]labels.Set{}}
	for i := range config.Services {
		b.services[config.Services[i].Name] = &config.Services[i]
	}
	b.addOrganisations()
	b.addKinds()
	b.addServices()
	for i := range upstreams {
		b.addUpstream(&upstreams[i])
	}
	set := configstate.NewSet(revision, b.objects)
	set.LabelRoutes = b.routes
	return set
}

type builder struct {
	config   *Config
	services map[string]*Service
	objects  []*pb.Object
	routes   map[string]labels.Set
}

func (b *builder) add(kind, name string, values map[string]string, o *pb.Object) {
	o.Meta = &pb.ObjectMeta{Kind: kind, Name: name, Labels: values}
	b.objects = append(b.objects, o)
}

func (b *builder) addOrganisations() {
	b.add(configstate.KindOrganisation, NoOrganisation, nil,
		&pb.Object{Spec: &pb.Object_Organisation{Organisation: &pb.OrganisationSpec{}}})
	for _, o := range b.config.Organisations {
		b.add(configstate.KindOrganisation, o.Name, nil,
			&pb.Object{Spec: &pb.Object_Organisation{Organisation: &pb.OrganisationSpec{}}})
	}
}

// addKinds adds a request kind for each route at its own priority and at each
// priority that an organisation sets.
func (b *builder) addKinds() {
	ranks := tierRanks(b.config)
	added := map[int]bool{}
	for i := range b.config.Routes {
		r := &b.config.Routes[i]
		for _, priority := range kindPriorities(b.config, r) {
			b.addKind(r, priority, ranks[urgencyOf(r, priority)], added)
		}
	}
}

func (b *builder) addKind(r *Route, priority, rank int, added map[int]bool) {
	tier := "tier-" + strconv.Itoa(rank)
	if !added[rank] {
		added[rank] = true
		b.add(configstate.KindTier, tier, nil, &pb.Object{Spec: &pb.Object_Tier{Tier: &pb.TierSpec{Rank: uint32(rank)}}})
	}
	b.add(configstate.KindRequestKind, KindName(r, priority), nil,
		&pb.Object{Spec: &pb.Object_RequestKind{RequestKind: &pb.RequestKindSpec{Tier: tier, ModelCall: r.ModelCall}}})
}

// KindName returns the request kind of a route at a priority.
func KindName(r *Route, priority int) string {
	return r.Name + "@" + strconv.Itoa(priority)
}

// PriorityOf returns the priority of an organisation's requests on a route.
func PriorityOf(r *Route, o *Organisation) int {
	if o != nil && o.HasPriority {
		return o.Priority
	}
	return r.Priority
}

// addServices adds a route for each service. Operators may give a service any name, so it is
// compared as a label's value and never parsed as a part of a selector.
func (b *builder) addServices() {
	for _, s := range b.config.Services {
		b.routes[s.Name] = labels.Set{LabelService: s.Name}
	}
}

func (b *builder) addUpstream(u *Upstream) {
	service, ok := b.services[u.Service]
	if !ok {
		return
	}
	spec := &pb.UpstreamSpec{Address: u.Address, Type: "service", FailureDomain: u.FailureDomain}
	slots := u.Slots
	if service.ModelEngine {
		spec.Type, spec.Models = "engine", []string{AnyModel}
		if service.Slots > 0 {
			slots = service.Slots
		}
	}
	if slots <= 0 {
		slots = defaultSlots
	}
	slots = min(slots, maxSlots)
	spec.Concurrency, spec.MaxConcurrency, spec.FixedLimit = uint32(slots), uint32(slots), true
	b.add(configstate.KindUpstream, u.Name(), map[string]string{LabelService: u.Service, labelVersion: u.Version},
		&pb.Object{Spec: &pb.Object_Upstream{Upstream: spec}})
}

// AnyModel is the model name used for all model calls: the engines that may serve a
// request are determined by its service alone.
const AnyModel = "any"
