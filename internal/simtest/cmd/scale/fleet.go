package main

import (
	"fmt"
	"time"

	"github.com/citrongate/citrongate/internal/simtest"
	"github.com/citrongate/citrongate/pkg/configstate"
	"github.com/citrongate/citrongate/pkg/node"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// shape is the size of a deployment.
type shape struct {
	nodes, cellSize int
	// upstreams is the number in the whole deployment, spread over the cells.
	upstreams     int
	organisations int
	models        int
	// concurrency is the number of streams that each engine starts with; 0 lets
	// the pools learn it.
	concurrency uint32
}

func (s shape) cells() int { return (s.nodes + s.cellSize - 1) / s.cellSize }

// shapeOfNodes returns the shape of a fleet with a number of nodes: cells of up to
// 64 nodes, and upstreams in proportion to the target.
func shapeOfNodes(nodes int) shape {
	return shape{nodes: nodes, cellSize: min(nodes, cellNodes), upstreams: nodes * targetUpstreams / targetNodes, organisations: 50, models: targetModels}
}

func cellName(cell int) string { return fmt.Sprintf("fd-%02d", cell) }

// objects returns a configuration with one kind, one route and one group of
// engines per model, so that every cell has one pool per model.
func (s shape) objects() []*pb.Object {
	var objects []*pb.Object
	for rank := range targetTiers {
		o := newObject(configstate.KindTier, fmt.Sprintf("tier-%d", rank))
		o.Spec = &pb.Object_Tier{Tier: &pb.TierSpec{Rank: uint32(rank), DefaultDeadlineMs: 20_000}}
		objects = append(objects, o)
	}
	for m := range s.models {
		kind := newObject(configstate.KindRequestKind, kindName(m))
		kind.Spec = &pb.Object_RequestKind{RequestKind: &pb.RequestKindSpec{Tier: fmt.Sprintf("tier-%d", m%targetTiers), ModelCall: true, MaxOutputTokens: 512}}
		route := newObject(configstate.KindRoute, fmt.Sprintf("route-%02d", m))
		route.Spec = &pb.Object_Route{Route: &pb.RouteSpec{Order: uint32(m + 1), Requests: "kind=" + kindName(m), Upstreams: "model=" + modelName(m)}}
		objects = append(objects, kind, route)
	}
	for i := range s.organisations {
		objects = append(objects, organisationObject(i))
	}
	for i := range s.upstreams {
		objects = append(objects, s.upstreamObject(i))
	}
	return objects
}

func kindName(m int) string         { return fmt.Sprintf("kind-%02d", m) }
func modelName(m int) string        { return fmt.Sprintf("model-%02d", m) }
func organisationName(i int) string { return fmt.Sprintf("organisation-%05d", i) }
func upstreamName(i int) string     { return fmt.Sprintf("engine-%05d", i) }

func newObject(kind, name string) *pb.Object {
	return &pb.Object{Meta: &pb.ObjectMeta{Kind: kind, Name: name}}
}

// organisationObject has one token and limits, as in examples/objects.json.
func organisationObject(i int) *pb.Object {
	o := newObject(configstate.KindOrganisation, organisationName(i))
	o.Spec = &pb.Object_Organisation{Organisation: &pb.OrganisationSpec{Weight: 1, TokenSha256: []string{fmt.Sprintf("%064x", i+1)},
		Limits: &pb.Limits{RequestsPerSecond: 500, Burst: 500}}}
	return o
}

// changedOrganisation is an organisation with a weight that differs from 1, the
// weight in the initial set.
func changedOrganisation(i int, weight float64) *pb.Object {
	o := organisationObject(i)
	o.GetOrganisation().Weight = weight
	return o
}

func (s shape) upstreamObject(i int) *pb.Object {
	o := newObject(configstate.KindUpstream, upstreamName(i))
	model := i / s.cells() % s.models
	o.Meta.Labels = map[string]string{"model": modelName(model)}
	o.Spec = &pb.Object_Upstream{Upstream: &pb.UpstreamSpec{Address: fmt.Sprintf("10.100.%d.%d:8000", i/250, i%250), Type: "engine",
		FailureDomain: cellName(i % s.cells()), Models: []string{modelName(model)}, PrefillTokensPerSecond: 20_000, DecodeMsPerToken: 30, Concurrency: s.concurrency}}
	return o
}

// options are the settings of a fleet that differ between measurements.
type options struct {
	seed uint64
	// learnsConfig is true if nodes learn the configuration from the store and from
	// peers; otherwise all nodes start with it.
	learnsConfig bool
	// engines is true if requests are sent, which need simulated engines.
	engines bool
	delay   time.Duration
	loss    float64
}

// fleet is a deployment in virtual time.
type fleet struct {
	shape
	*simtest.World
	traffic *traffic
	options options
}

func newFleet(s shape, o options) *fleet {
	f := &fleet{shape: s, World: simtest.NewWorld(o.seed), options: o}
	f.traffic = newTraffic(f.World)
	if o.delay > 0 {
		f.Delay = o.delay
	}
	f.Loss = o.loss
	// The daemon's HTTP side reports at least every 100 ms, three tokens of these engines.
	f.EventsPerReport = 3
	if o.engines {
		for i := range s.upstreams {
			f.AddEngine(simtest.EngineConfig{Name: upstreamName(i), StepBase: 25 * time.Millisecond, StepPerSequence: 100 * time.Microsecond,
				PrefillPerToken: 40 * time.Microsecond, ChunkTokens: 512, MemoryTokens: 200_000, CacheTokens: 20_000, MaxSequences: 256})
		}
	}
	var set *configstate.Set
	if !o.learnsConfig {
		set = configstate.NewSet(1, s.objects())
	}
	for i := range s.nodes {
		config := s.config(i)
		config.Bootstrap = set
		f.Start(config)
	}
	return f
}

// config returns the settings of a node; nodes with consecutive numbers share a cell.
func (s shape) config(i int) node.Config {
	cell := cellName(i / s.cellSize)
	host := fmt.Sprintf("10.0.%d.%d", i/250, i%250+1)
	return node.Config{
		Name: fmt.Sprintf("entry-%04d", i), PeerAddress: host + ":7443", CallerAddress: host + ":8080", AdminAddress: host + ":9090",
		FailureDomain: cell, Cell: cell, CellFailureDomains: []string{cell}, Region: "region-1",
		DiscoveryTTL: 2 * time.Second, MaxRecords: 1000,
	}
}
