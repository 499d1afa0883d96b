// Package routing compiles routes, labels and selectors into a Table with a fixed
// configuration revision. Upstream selectors are matched when a Table is built.
// Request selectors are matched when a combination of labels is not in the cache,
// and not for every request.
package routing

import "github.com/joomcode/errorx"

// PoolID identifies a set of upstreams that are scheduled together. It is a digest
// that is the same at every instance with the same configuration revision; addPools
// says of what.
type PoolID uint64

// ClassID identifies a set of eligible upstreams by a digest of their names, or of
// the selector and model that select them (Options.IDsBySelector).
type ClassID uint64

// Request holds the properties of a request by which its route is chosen.
type Request struct {
	Kind, Organisation string
	// Model is empty for calls to plain services.
	Model string
	// Labels are the caller's labels.
	Labels map[string]string
}

// Target is the result of routing a request.
type Target struct {
	Pool  PoolID
	Class ClassID
	// Tier is the rank of the request's tier; 0 is the most urgent.
	Tier uint8
	// Route is the name of the route that matched.
	Route string
}

// Errors is the namespace of this package's errors. They carry no stack trace,
// whose cost callers could incur at any rate by sending invalid requests.
var Errors = errorx.NewNamespace("routing").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// Error types of Resolve and Build. Messages of Resolve name the remedy.
var (
	// ErrUnknownKind means that no request kind has the name.
	ErrUnknownKind = Errors.NewType("unknown_kind")
	// ErrUnknownOrganisation means that no organisation has the name.
	ErrUnknownOrganisation = Errors.NewType("unknown_organisation")
	// ErrForbidden means that the organisation may not use the request kind.
	ErrForbidden = Errors.NewType("forbidden")
	// ErrUnknownModel means that no upstream serves the model, that a model
	// call names none, or that a call to a plain service names one.
	ErrUnknownModel = Errors.NewType("unknown_model")
	// ErrNoRoute means that no route matches, or that the first matching route
	// selects no upstream that can serve the request.
	ErrNoRoute = Errors.NewType("no_route")
	// ErrBuild means that a configuration set cannot be compiled.
	ErrBuild = Errors.NewType("build")
)

// Code returns the refusal code for an error of Resolve.
func Code(err error) string {
	switch {
	case errorx.IsOfType(err, ErrUnknownKind):
		return "unknown_kind"
	case errorx.IsOfType(err, ErrUnknownModel):
		return "unknown_model"
	case errorx.IsOfType(err, ErrNoRoute):
		return "no_route"
	case errorx.IsOfType(err, ErrForbidden), errorx.IsOfType(err, ErrUnknownOrganisation):
		return "forbidden"
	}
	return "internal"
}
