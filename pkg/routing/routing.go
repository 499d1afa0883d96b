// Package routing compiles routes, labels and selectors into an immutable
// Table. Selectors are matched when configuration or labels change, or the
// first time a combination of labels is seen, never once per request.
package routing

// PoolID identifies a set of upstreams that are scheduled together. It is a
// digest of the pool's content-independent identity and is the same at every
// instance that has the same configuration revision.
type PoolID uint64

// ClassID identifies a set of eligible upstreams by a digest of their names.
type ClassID uint64

// Request is what a route is chosen by.
type Request struct {
	Kind, Organisation string
	// Model is empty for calls to plain services.
	Model string
	// Labels are the caller's labels.
	Labels map[string]string
}

// Target says where a request may go.
type Target struct {
	Pool  PoolID
	Class ClassID
	// Tier is the rank of the request's tier; 0 is the most urgent.
	Tier uint8
	// Route is the name of the route that matched.
	Route string
}
