// Package configstate owns the configuration set of an instance: validation,
// revisions, acceptance of changes through the store, and catch-up from peers.
// It never applies a revision lower than the one in force.
package configstate

import pb "github.com/citrongate/citrongate/proto/citrongate/v1"

// Set is one immutable configuration revision. Maps are keyed by object name
// and must not be modified.
type Set struct {
	Revision      uint64
	Tiers         map[string]*pb.Object
	Organisations map[string]*pb.Object
	Kinds         map[string]*pb.Object
	Upstreams     map[string]*pb.Object
	Routes        map[string]*pb.Object
	Operators     map[string]*pb.Object
}
