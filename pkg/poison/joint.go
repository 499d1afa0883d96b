package poison

import (
	"maps"
	"slices"
	"time"
)

// maxCompanions bounds the parts that a block is joined with.
const maxCompanions = 16

// concerns reports whether a request with the parts, of which the record's is one, has all the
// others that its block is joined with.
func (r *Record) concerns(parts []uint64) bool {
	return !slices.ContainsFunc(r.With, func(part uint64) bool { return !slices.Contains(parts, part) })
}

// setWith sets the parts that a record's block is joined with.
func (r *Registry) setWith(record *Record, with []uint64) {
	record.With = slices.Clone(with)
	if len(with) > 0 {
		r.joint[record.Key] = struct{}{}
	} else {
		delete(r.joint, record.Key)
	}
}

// jointIn returns the records of a pool whose blocks are joined with other parts, in order.
func (r *Registry) jointIn(pool uint64) (records []*Record) {
	if len(r.joint) == 0 {
		return nil
	}
	for _, key := range slices.SortedFunc(maps.Keys(r.joint), CompareKeys) {
		if record := r.records[key]; record != nil && key.Pool == pool {
			records = append(records, record)
		}
	}
	return records
}

// companions returns the suspects that no end and no answer tells from one that is to be blocked.
func (r *Registry) companions(record *Record) (with []uint64) {
	knownGood := r.answered.has(record.Key)
	for key, other := range r.records {
		if other == record || key.Pool != record.Pool || other.State != Suspect || !knownGood && r.answered.has(key) {
			continue
		}
		if other.hasEndsOf(record) {
			with = append(with, key.Part)
		}
	}
	slices.Sort(with)
	return with[:min(len(with), maxCompanions)]
}

// hasEndsOf reports whether all ends that count against another part count against this one.
func (r *Record) hasEndsOf(other *Record) bool {
	return !slices.ContainsFunc(other.Ends, func(e End) bool { return !r.hasEnd(e.Upstream) })
}

// inJointBlock reports whether a block that is joined with a part explains all its ends.
func (r *Registry) inJointBlock(suspect *Record) bool {
	return slices.ContainsFunc(r.jointIn(suspect.Pool), func(blocked *Record) bool {
		return slices.Contains(blocked.With, suspect.Part) && blocked.hasEndsOf(suspect)
	})
}

// narrowJoint finds parts, blocked with others, under the end of an upstream without all of these.
// Their blocks are no longer joined with those that were not there. It returns false if there is none.
func (r *Registry) narrowJoint(now time.Duration, pool uint64, ending Ending) (narrowed bool) {
	for _, record := range r.jointIn(pool) {
		if record.State != Blocked || record.onTrial(ending.At) {
			continue
		}
		var there []uint64
		for _, parts := range ending.Young {
			if slices.Contains(parts, record.Part) {
				there = append(there, parts...)
			}
		}
		if len(there) > 0 {
			r.setWith(record, slices.DeleteFunc(record.With, func(part uint64) bool { return !slices.Contains(there, part) }))
			r.touch(now, record)
			narrowed = true
		}
	}
	return narrowed
}

// clearJoint takes the parts of an answered request out of the blocks that are joined: the one
// that ends upstreams is not among them. If it is a block's own part, one of the others is blocked.
func (r *Registry) clearJoint(now time.Duration, pool uint64, answered []uint64) {
	for _, record := range r.jointIn(pool) {
		left := slices.DeleteFunc(slices.Clone(record.With), func(part uint64) bool { return slices.Contains(answered, part) })
		switch {
		case slices.Contains(answered, record.Part):
			r.passOn(now, record, left)
		case len(left) < len(record.With):
			r.setWith(record, left)
			r.touch(now, record)
		}
	}
}

// passOn blocks the first suspect of the parts that a block was joined with, with those behind it,
// for the ends of the block. If one of them is blocked already, that explains the ends.
func (r *Registry) passOn(now time.Duration, from *Record, to []uint64) {
	if from.State != Blocked {
		return
	}
	for i, part := range to {
		key := Key{from.Pool, part}
		record := r.records[key]
		if record == nil {
			record = r.create(now, key, Suspect)
		}
		switch record.State {
		case Suspect:
			record.Ends = mergeEnds(record.Ends, from.Ends, maxEnds)
			r.block(now, key, to[i+1:])
			return
		case Blocked, Trial:
			return
		}
	}
}

// touch has a changed record told to the other instances.
func (r *Registry) touch(now time.Duration, record *Record) {
	record.Touched = now
	r.changed = append(r.changed, record.Key)
}
