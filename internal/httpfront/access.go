package httpfront

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"

	"github.com/citrongate/citrongate/pkg/configstate"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// Access is the part of one configuration revision that the caller edge reads.
// It is immutable and is swapped as a whole.
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

// NewAccess compiles the callers' tokens and the request kinds of a revision.
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

// ParseDigest reads a SHA-256 digest in hexadecimal.
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
// looked up by their digest, so that the time says nothing about other tokens,
// and the digest found is compared in constant time.
func (a *Access) authenticate(token string) *organisation {
	digest := sha256.Sum256([]byte(token))
	entry, ok := a.tokens[digest]
	if !ok || subtle.ConstantTimeCompare(entry.digest[:], digest[:]) != 1 {
		return nil
	}
	return entry.organisation
}

func (o *organisation) mayUse(kind string) bool {
	return len(o.allowed) == 0 || o.allowed[kind]
}
