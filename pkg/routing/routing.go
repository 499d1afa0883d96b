// Package routing compiles routes, labels and selectors into an immutable
// Table. Selectors are matched when configuration or labels change, or the
// first time a combination of labels is seen, never once per request.
package routing

import "github.com/joomcode/errorx"

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

// Errors is the namespace of this package's errors. They carry no stack trace,
// since callers can provoke them at any rate.
var Errors = errorx.NewNamespace("routing").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// Types of errors of Resolve. Messages name the remedy.
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
	// leads to no upstream that could serve the request.
	ErrNoRoute = Errors.NewType("no_route")
	// ErrBuild means that a set cannot be compiled.
	ErrBuild = Errors.NewType("build")
)

// Code returns the refusal code of an error of Resolve.
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
