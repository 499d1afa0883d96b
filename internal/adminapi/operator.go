package adminapi

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"

	"github.com/citrongate/citrongate/internal/httpfront"
	"github.com/citrongate/citrongate/pkg/configstate"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// teamLabel is the label that assigns an object to a team.
const teamLabel = "team"

// operator is an authenticated operator and its restrictions.
type operator struct {
	name     string
	team     string
	readOnly bool
}

// Operators holds the operators of one configuration revision by the digests of
// their tokens. It is immutable.
type Operators struct {
	tokens map[[sha256.Size]byte]operatorEntry
}

type operatorEntry struct {
	digest   [sha256.Size]byte
	operator operator
}

// NewOperators builds the look-up table of a configuration, which may be nil. The
// bootstrap digest, if not empty, adds an operator without restrictions.
func NewOperators(set *configstate.Set, bootstrap string) *Operators {
	o := &Operators{tokens: map[[sha256.Size]byte]operatorEntry{}}
	if set != nil {
		for name, object := range set.Operators {
			o.add(name, object.GetOperator())
		}
	}
	if digest, ok := httpfront.ParseDigest(bootstrap); ok {
		o.tokens[digest] = operatorEntry{digest: digest, operator: operator{name: "bootstrap"}}
	}
	return o
}

func (o *Operators) add(name string, spec *pb.OperatorSpec) {
	for _, token := range spec.GetTokenSha256() {
		if digest, ok := httpfront.ParseDigest(token); ok {
			o.tokens[digest] = operatorEntry{
				digest:   digest,
				operator: operator{name: name, team: spec.GetTeam(), readOnly: spec.GetReadOnly()},
			}
		}
	}
}

// authenticate returns the operator that a request's bearer token belongs to.
func (o *Operators) authenticate(header http.Header) (operator, *apiError) {
	scheme, token, _ := strings.Cut(header.Get("Authorization"), " ")
	digest := sha256.Sum256([]byte(strings.TrimSpace(token)))
	entry, ok := o.tokens[digest]
	if !strings.EqualFold(scheme, "Bearer") || !ok || subtle.ConstantTimeCompare(entry.digest[:], digest[:]) != 1 {
		return operator{}, &apiError{status: http.StatusUnauthorized, Code: "unauthenticated",
			Reason: "no operator has this token", Remedy: "send Authorization: Bearer with an operator's token"}
	}
	return entry.operator, nil
}

// mayChange returns an error if the operator may not create, change or delete an
// object. before is nil for an object that does not exist yet, after for one that
// is deleted.
func (o operator) mayChange(before, after *pb.Object) *apiError {
	if o.readOnly {
		return forbidden("operator "+o.name+" may only read", "use the token of an operator that is not read_only")
	}
	if o.team == "" {
		return nil
	}
	for _, object := range []*pb.Object{before, after} {
		if object == nil {
			continue
		}
		meta := object.GetMeta()
		// With an operator object its author could grant more rights than it has.
		if meta.GetKind() == configstate.KindOperator || meta.GetLabels()[teamLabel] != o.team {
			return forbidden("operator "+o.name+" may only change objects with label team="+o.team+", and no operators",
				"leave out "+meta.GetKind()+" "+meta.GetName()+" or ask an operator without a team")
		}
	}
	return nil
}

func forbidden(reason, remedy string) *apiError {
	return &apiError{status: http.StatusForbidden, Code: "forbidden", Reason: reason, Remedy: remedy}
}
