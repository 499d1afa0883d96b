package configstate

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// plan holds the head and the segments that a change writes, and the progress of
// writing them.
type plan struct {
	head     *pb.ConfigHead
	segments segments
	// written are the indices of the segments that the change replaces.
	written []int
	pending int
	failed  bool
	// taken is true if another writer has already stored a segment under the key
	// of one of these.
	taken bool
}

// versionConflicts compares the versions that the operator named with the current
// ones and describes each difference.
func versionConflicts(set *Set, c Change) []string {
	var out []string
	check := func(meta *pb.ObjectMeta) {
		present := set.Get(meta.GetKind(), meta.GetName()).GetMeta().GetVersion()
		if present == meta.GetVersion() {
			return
		}
		state := fmt.Sprintf("the present version is %d", present)
		if present == 0 {
			state = "the object does not exist (version 0)"
		}
		out = append(out, fmt.Sprintf("%s/%s: the change names version %d but %s; read the object again and repeat the change",
			meta.GetKind(), meta.GetName(), meta.GetVersion(), state))
	}
	for _, o := range c.Puts {
		check(o.GetMeta())
	}
	for _, meta := range c.Deletes {
		check(meta)
	}
	return out
}

// mergedSet is a set with a change applied to it.
type mergedSet struct {
	set *Set
	// changed are the objects that the change creates or replaces.
	changed []*pb.Object
	// touched marks the segments whose content differs from the base.
	touched [SegmentCount]bool
	// named holds the objects that the change names, as "<kind>/<name>".
	named    map[string]bool
	problems []string
}

// buildPlan computes the new set and the segments that differ. Objects whose
// content does not change keep their version.
func (m *Machine) buildPlan(r *pendingChange, revision uint64) (plan, []string) {
	merged := &mergedSet{set: m.current.clone(revision), named: map[string]bool{}}
	for _, meta := range r.change.Deletes {
		merged.remove(meta)
	}
	for _, put := range r.change.Puts {
		merged.put(put, revision)
	}
	p := plan{segments: m.currentSegments}
	for i, touched := range merged.touched {
		if touched {
			p.segments[i] = merged.buildSegment(m.currentSegments[i], i, revision)
			p.written = append(p.written, i)
		}
	}
	for _, problem := range validateChange(merged.set, merged.changed, p.segments.objects()) {
		merged.problems = append(merged.problems, problem.String())
	}
	for _, i := range p.written {
		if size := proto.Size(p.segments[i]); size > MaxSegmentBytes {
			merged.problems = append(merged.problems, fmt.Sprintf("segment %d: %d bytes; allowed: at most %d; remedy: remove objects or labels", i, size, MaxSegmentBytes))
		}
	}
	recent := append(slices.Clone(r.base.RecentChanges), &pb.AcceptedChange{ChangeId: r.id, Revision: revision})
	p.head = &pb.ConfigHead{
		Revision:         revision,
		SegmentRevisions: p.segments.revisions(),
		RecentChanges:    recent[max(0, len(recent)-RecentChanges):],
	}
	return p, merged.problems
}

// clone returns a copy of the set whose maps may be modified.
func (s *Set) clone(revision uint64) *Set {
	return &Set{
		Revision:      revision,
		Tiers:         maps.Clone(s.Tiers),
		Organisations: maps.Clone(s.Organisations),
		Kinds:         maps.Clone(s.Kinds),
		Upstreams:     maps.Clone(s.Upstreams),
		Routes:        maps.Clone(s.Routes),
		Operators:     maps.Clone(s.Operators),
		LabelRoutes:   maps.Clone(s.LabelRoutes),
	}
}

// checkNamedOnce records that the change names an object and reports a problem
// if it did so before.
func (m *mergedSet) checkNamedOnce(key string) {
	if m.named[key] {
		m.problems = append(m.problems, key+": the change names the object twice; name it once")
	}
	m.named[key] = true
}

// remove deletes an object from the set.
func (m *mergedSet) remove(meta *pb.ObjectMeta) {
	key := meta.GetKind() + "/" + meta.GetName()
	m.checkNamedOnce(key)
	if m.set.Get(meta.GetKind(), meta.GetName()) == nil {
		m.problems = append(m.problems, key+": the object to delete does not exist; remove it from the change")
		return
	}
	delete(m.set.OfKind(meta.Kind), meta.Name)
	m.touched[SegmentOf(meta.Kind, meta.Name)] = true
}

// put creates or replaces an object in the set, unless its content is the same.
func (m *mergedSet) put(object *pb.Object, revision uint64) {
	key := objectName(object)
	m.checkNamedOnce(key)
	if _, err := proto.Marshal(object); object.GetMeta() == nil || err != nil {
		m.problems = append(m.problems, fmt.Sprintf("%s: the object has no meta or cannot be encoded (%v); write it as valid UTF-8 with kind and name", key, err))
		return
	}
	o := proto.CloneOf(object)
	if old := m.set.Get(o.Meta.Kind, o.Meta.Name); old != nil {
		o.Meta.Version = old.Meta.Version
		if proto.Equal(o, old) {
			return
		}
	}
	o.Meta.Version = revision
	m.changed = append(m.changed, o)
	// An unknown kind has no map; validation reports it.
	if byName := m.set.OfKind(o.Meta.Kind); byName != nil {
		byName[o.Meta.Name] = o
		m.touched[SegmentOf(o.Meta.Kind, o.Meta.Name)] = true
	}
}

// buildSegment returns a segment with the objects of the old one that remain and
// the changed ones that belong to it, ordered by kind and name.
func (m *mergedSet) buildSegment(old *pb.ConfigSegment, index int, revision uint64) *pb.ConfigSegment {
	out := &pb.ConfigSegment{Index: uint32(index), Revision: revision}
	for _, o := range old.GetObjects() {
		if m.set.Get(o.Meta.Kind, o.Meta.Name) == o {
			out.Objects = append(out.Objects, o)
		}
	}
	for _, o := range m.changed {
		if m.set.Get(o.Meta.Kind, o.Meta.Name) == o && SegmentOf(o.Meta.Kind, o.Meta.Name) == index {
			out.Objects = append(out.Objects, o)
		}
	}
	slices.SortFunc(out.Objects, func(a, b *pb.Object) int { return strings.Compare(objectName(a), objectName(b)) })
	return out
}
