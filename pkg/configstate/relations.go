package configstate

import (
	"fmt"
	"strconv"

	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// checkRelations checks the rules that span several objects: references must
// resolve, ranks of tiers must be unique, and a token must not authenticate two
// owners.
func (v *validator) checkRelations(all []*pb.Object) {
	tierOfRank := map[uint32]*pb.Object{}
	ownerOfToken := map[string]*pb.Object{}
	for _, o := range all {
		switch spec := o.GetSpec().(type) {
		case *pb.Object_Tier:
			v.checkRank(o, tierOfRank)
		case *pb.Object_Organisation:
			v.checkTokenOwner(o, spec.Organisation.GetTokenSha256(), ownerOfToken)
			for i, kind := range spec.Organisation.GetAllowedKinds() {
				v.checkReference(o, "allowed_kinds", i, KindRequestKind, kind)
			}
		case *pb.Object_RequestKind:
			v.checkReference(o, "tier", -1, KindTier, spec.RequestKind.GetTier())
		case *pb.Object_Operator:
			v.checkTokenOwner(o, spec.Operator.GetTokenSha256(), ownerOfToken)
		}
	}
}

// checkRank checks that no other tier has the same rank.
func (v *validator) checkRank(o *pb.Object, tierOfRank map[uint32]*pb.Object) {
	rank := o.GetTier().GetRank()
	if other, taken := tierOfRank[rank]; taken {
		v.object = objectName(o)
		v.report("rank", fmt.Sprintf("%d is also the rank of %s", rank, objectName(other)), "a rank that no other tier has", "change one of the ranks")
	}
	tierOfRank[rank] = o
}

// checkTokenOwner checks that no token is also a token of another object.
func (v *validator) checkTokenOwner(o *pb.Object, hashes []string, ownerOfToken map[string]*pb.Object) {
	for i, hash := range hashes {
		if owner, taken := ownerOfToken[hash]; taken {
			v.object = objectName(o)
			v.report(fmt.Sprintf("token_sha256[%d]", i), "also a token of "+objectName(owner), "a token that no other object has", "issue another token")
		}
		ownerOfToken[hash] = o
	}
}

// checkReference checks that a named object exists; index is -1 for a single name.
func (v *validator) checkReference(o *pb.Object, path string, index int, kind, name string) {
	if v.set.Get(kind, name) != nil {
		return
	}
	if index >= 0 {
		path = fmt.Sprintf("%s[%d]", path, index)
	}
	v.object = objectName(o)
	v.report(path, strconv.Quote(name)+" does not exist", "the name of a "+kind, "create "+kind+"/"+name+" in the same change, or name another")
}
