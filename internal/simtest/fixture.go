package simtest

import (
	"fmt"
	"time"

	"github.com/citrongate/citrongate/pkg/configstate"
	"github.com/citrongate/citrongate/pkg/node"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// Model is the name of the model that all fake engines of a fixture serve.
const Model = "m1"

// Fixture describes a small deployment for tests. It has the tiers "urgent",
// "normal" and "batch" with one request kind for model calls each, the kinds
// "order" (non-idempotent) and "lookup" for plain services, and the organisations
// "small" and "large".
type Fixture struct {
	// Engines and Services are the numbers of fake upstreams of each type.
	Engines, Services int
	// Concurrency is the configured concurrency limit of each upstream.
	Concurrency uint32
	// ChecksFencing declares that the upstreams check the fencing numbers of orders.
	ChecksFencing bool
	// LimitedQueue, if positive, adds an organisation "limited" that may have at
	// most this many requests queued.
	LimitedQueue uint32
}

// Objects returns the configuration objects of the deployment.
func (f Fixture) Objects() []*pb.Object {
	objects := []*pb.Object{
		tier("urgent", 0), tier("normal", 1), tier("batch", 2),
		requestKind("urgent", "urgent", true, false), requestKind("normal", "normal", true, false), requestKind("batch", "batch", true, false),
		requestKind("order", "normal", false, true), requestKind("lookup", "normal", false, false),
		organisation("small"), organisation("large"),
		route("services", 1, "kind in (order,lookup)", "type=service"),
		route("engines", 2, "", "type=engine"),
	}
	if f.LimitedQueue > 0 {
		limited := organisation("limited")
		limited.GetOrganisation().Limits = &pb.Limits{Queued: f.LimitedQueue}
		objects = append(objects, limited)
	}
	for i := range f.Engines {
		objects = append(objects, f.upstream(fmt.Sprintf("e%d", i+1), "engine"))
	}
	for i := range f.Services {
		objects = append(objects, f.upstream(fmt.Sprintf("s%d", i+1), "service"))
	}
	return objects
}

// Set returns the objects as a configuration set with revision 1.
func (f Fixture) Set() *configstate.Set { return configstate.NewSet(1, f.Objects()) }

// AddUpstreams adds the fixture's fake upstreams to a world.
func (f Fixture) AddUpstreams(w *World) {
	for i := range f.Engines {
		w.AddEngine(EngineConfig{
			Name: fmt.Sprintf("e%d", i+1), StepBase: 8 * time.Millisecond, StepPerSequence: 300 * time.Microsecond,
			PrefillPerToken: 40 * time.Microsecond, ChunkTokens: 512, MemoryTokens: 60_000, CacheTokens: 40_000, MaxSequences: 32,
		})
	}
	for i := range f.Services {
		w.AddService(ServiceConfig{Name: fmt.Sprintf("s%d", i+1), Duration: 30 * time.Millisecond, Concurrency: 8})
	}
}

// Config returns the settings of the n-th instance, counted from 1. The addresses
// of instances 1 and 2 are the seeds of all instances.
func (f Fixture) Config(n int) node.Config {
	return node.Config{
		Name: fmt.Sprintf("n%d", n), PeerAddress: fmt.Sprintf("10.0.0.%d:1", n), CallerAddress: fmt.Sprintf("10.0.0.%d:80", n),
		FailureDomain: fmt.Sprintf("fd%d", n%3), Region: "r1", Seeds: []string{"10.0.0.1:1", "10.0.0.2:1"},
		DiscoveryTTL: 2 * time.Second, MaxRecords: 10_000,
	}
}

func object(kind, name string) *pb.Object {
	return &pb.Object{Meta: &pb.ObjectMeta{Kind: kind, Name: name}}
}

func tier(name string, rank uint32) *pb.Object {
	o := object(configstate.KindTier, name)
	o.Spec = &pb.Object_Tier{Tier: &pb.TierSpec{Rank: rank, DefaultDeadlineMs: 5000}}
	return o
}

func requestKind(name, tier string, modelCall, nonIdempotent bool) *pb.Object {
	o := object(configstate.KindRequestKind, name)
	o.Spec = &pb.Object_RequestKind{RequestKind: &pb.RequestKindSpec{
		Tier: tier, ModelCall: modelCall, NonIdempotent: nonIdempotent, MaxOutputTokens: 256}}
	return o
}

func organisation(name string) *pb.Object {
	o := object(configstate.KindOrganisation, name)
	o.Spec = &pb.Object_Organisation{Organisation: &pb.OrganisationSpec{}}
	return o
}

func route(name string, order uint32, requests, upstreams string) *pb.Object {
	o := object(configstate.KindRoute, name)
	o.Spec = &pb.Object_Route{Route: &pb.RouteSpec{Order: order, Requests: requests, Upstreams: upstreams}}
	return o
}

func (f Fixture) upstream(name, upstreamType string) *pb.Object {
	o := object(configstate.KindUpstream, name)
	spec := &pb.UpstreamSpec{Address: "10.1.0.1:" + fmt.Sprint(8000+len(name)), Type: upstreamType, FailureDomain: "fd1",
		Concurrency: f.Concurrency, ChecksFencing: f.ChecksFencing}
	if upstreamType == "engine" {
		spec.Models = []string{Model}
		spec.PrefillTokensPerSecond, spec.DecodeMsPerToken = 20_000, 12
	}
	o.Spec = &pb.Object_Upstream{Upstream: spec}
	return o
}
