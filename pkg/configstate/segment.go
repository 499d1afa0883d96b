package configstate

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

const (
	// SegmentCount is the number of segments that a set is divided into.
	SegmentCount = 16
	// RecentChanges is the number of change ids that the head keeps.
	RecentChanges = 256
	// MaxSegmentBytes bounds one segment; the object API accepts values up to 1 MB.
	MaxSegmentBytes = 1_000_000

	headKey       = "config/head"
	segmentPrefix = "config/segment/"
)

// SegmentOf returns the index of the segment that an object belongs to.
func SegmentOf(kind, name string) int {
	return int(xxhash.Sum64String(kind+"\x00"+name) % SegmentCount)
}

func segmentKey(index int, revision uint64) string {
	return fmt.Sprintf("%s%d/%d", segmentPrefix, index, revision)
}

// parseSegmentKey is the inverse of segmentKey.
func parseSegmentKey(key string) (index int, revision uint64, ok bool) {
	rest, found := strings.CutPrefix(key, segmentPrefix)
	first, second, split := strings.Cut(rest, "/")
	if !found || !split {
		return 0, 0, false
	}
	index, err1 := strconv.Atoi(first)
	revision, err2 := strconv.ParseUint(second, 10, 64)
	return index, revision, err1 == nil && err2 == nil && segmentKey(index, revision) == key
}

// segments holds one revision of each segment; nil stands for a segment that
// was never written.
type segments [SegmentCount]*pb.ConfigSegment

func (s *segments) revisions() []uint64 {
	out := make([]uint64, SegmentCount)
	for i, segment := range s {
		out[i] = segment.GetRevision()
	}
	return out
}

func (s *segments) objects() []*pb.Object {
	var out []*pb.Object
	for _, segment := range s {
		out = append(out, segment.GetObjects()...)
	}
	return out
}

// matches reports whether the segments are exactly those that a head names.
func (s *segments) matches(head *pb.ConfigHead) bool {
	for i, revision := range head.GetSegmentRevisions() {
		if s[i].GetRevision() != revision {
			return false
		}
	}
	return true
}

// validHead reports whether a head names one revision for each segment, none of
// them above its own.
func validHead(head *pb.ConfigHead) bool {
	if len(head.GetSegmentRevisions()) != SegmentCount {
		return false
	}
	for _, revision := range head.GetSegmentRevisions() {
		if revision > head.GetRevision() {
			return false
		}
	}
	return true
}

// validSegment reports whether a segment has the given index and revision and
// holds only objects that belong to it.
func validSegment(segment *pb.ConfigSegment, index int, revision uint64) bool {
	if segment.GetIndex() != uint32(index) || segment.GetRevision() != revision {
		return false
	}
	for _, o := range segment.GetObjects() {
		kind := o.GetMeta().GetKind()
		if kind == "" || specKind(o) != kind || SegmentOf(kind, o.GetMeta().GetName()) != index {
			return false
		}
	}
	return true
}

// marshal encodes a message so that equal messages give equal bytes within one program.
func marshal(message proto.Message) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		// Only invalid UTF-8 can cause an error, and put rejects objects that contain it.
		return nil
	}
	return data
}
