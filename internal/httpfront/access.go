package httpfront

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"

	"github.com/citrongate/citrongate/pkg/configstate"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// Access holds the callers' tokens and the request kinds of one configuration
// revision. It is immutable; a new revision replaces it in one step.
type Access struct {
	Revision uint64
	tokens   map[[sha256.Size]byte]tokenEntry
	kinds    map[string]*pb.RequestKindSpec
}

type tokenEntry struct {
	digest       [sha256.Size]byte
	organisation *organisation
}

type organisation struct {
	name    string
	allowed map[string]bool
}

// NewAccess builds the lookup tables for a revision. Token digests that can not
// be parsed are ignored.
func NewAccess(set *configstate.Set) *Access {
	a := &Access{
		Revision: set.Revision,
		tokens:   map[[sha256.Size]byte]tokenEntry{},
		kinds:    map[string]*pb.RequestKindSpec{},
	}
	for name, object := range set.Organisations {
		spec := object.GetOrganisation()
		o := &organisation{name: name}
		for _, kind := range spec.GetAllowedKinds() {
			if o.allowed == nil {
				o.allowed = map[string]bool{}
			}
			o.allowed[kind] = true
		}
		for _, token := range spec.GetTokenSha256() {
			if digest, ok := ParseDigest(token); ok {
				a.tokens[digest] = tokenEntry{digest: digest, organisation: o}
			}
		}
	}
	for name, object := range set.Kinds {
		a.kinds[name] = object.GetRequestKind()
	}
	return a
}

// ParseDigest decodes a hexadecimal SHA-256 digest. It returns false for any other
// text.
func ParseDigest(text string) ([sha256.Size]byte, bool) {
	var digest [sha256.Size]byte
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != sha256.Size {
		return digest, false
	}
	copy(digest[:], raw)
	return digest, true
}

// authenticate returns the organisation of a bearer token, or nil. Tokens are
// looked up by their digest, so that the time of the look-up reveals nothing
// about other tokens, and the digest found is compared in constant time.
func (a *Access) authenticate(token string) *organisation {
	digest := sha256.Sum256([]byte(token))
	entry, ok := a.tokens[digest]
	if !ok || subtle.ConstantTimeCompare(entry.digest[:], digest[:]) != 1 {
		return nil
	}
	return entry.organisation
}

// allows reports whether the organisation may send requests of the kind; an
// empty list allows all kinds.
func (o *organisation) allows(kind string) bool {
	return len(o.allowed) == 0 || o.allowed[kind]
}
