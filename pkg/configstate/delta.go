package configstate

import (
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// deltaSince returns the difference between revision base of a segment and the
// given one: the objects that changed since, and the fingerprint of the result.
// A segment of the target size holds 1,000 objects in 125 KB, and a change
// usually touches one of them.
func deltaSince(segment *pb.ConfigSegment, base uint64) *pb.ConfigDelta {
	delta := &pb.ConfigDelta{Index: segment.GetIndex(), BaseRevision: base, Revision: segment.GetRevision()}
	for _, o := range segment.GetObjects() {
		if o.GetMeta().GetVersion() > base {
			delta.Objects = append(delta.Objects, o)
		}
	}
	delta.Count, delta.Hash = fingerprint(segment.GetObjects())
	return delta
}

// applyDelta returns the newer segment, ordered by kind and name, or nil if the
// result does not match the delta's fingerprint, because objects were deleted.
func applyDelta(base *pb.ConfigSegment, delta *pb.ConfigDelta) *pb.ConfigSegment {
	replaced := make(map[string]bool, len(delta.GetObjects()))
	for _, o := range delta.GetObjects() {
		replaced[objectName(o)] = true
	}
	segment := &pb.ConfigSegment{Index: delta.GetIndex(), Revision: delta.GetRevision(),
		Objects: make([]*pb.Object, 0, len(base.GetObjects())+len(delta.GetObjects()))}
	for _, o := range base.GetObjects() {
		if !replaced[objectName(o)] {
			segment.Objects = append(segment.Objects, o)
		}
	}
	segment.Objects = append(segment.Objects, delta.GetObjects()...)
	slices.SortFunc(segment.Objects, func(a, b *pb.Object) int { return strings.Compare(objectName(a), objectName(b)) })
	if count, hash := fingerprint(segment.Objects); count != delta.GetCount() || hash != delta.GetHash() {
		return nil
	}
	return segment
}

// fingerprint returns the number of objects and the XOR of the hashes of their
// kinds, names and versions. An object's version changes with its content.
func fingerprint(objects []*pb.Object) (count uint32, hash uint64) {
	for _, o := range objects {
		text := objectName(o) + "\x00" + strconv.FormatUint(o.GetMeta().GetVersion(), 10)
		hash ^= xxhash.Sum64String(text)
	}
	return uint32(len(objects)), hash
}
