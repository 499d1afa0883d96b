package poison

import (
	"slices"
	"time"
)

// UpstreamEnded counts ends of upstreams of a pool against the parts of the requests there that
// had hardly begun, and blocks a part that has enough ends. Ends that were found at the same
// time are passed together, so that a part is weighed against all of them.
func (r *Registry) UpstreamEnded(now time.Duration, pool uint64, endings ...Ending) {
	if !r.Enabled() {
		return
	}
	endings = slices.DeleteFunc(endings, func(ending Ending) bool { return r.explained(now, pool, ending) })
	for _, ending := range endings {
		r.pool(now, pool).addEnd(ending)
		for _, parts := range ending.Young {
			r.noteLength(parts)
			for _, part := range parts {
				r.addEnd(now, Key{pool, part}, ending)
			}
		}
	}
	rivals := r.rivalsIn(pool)
	for _, ending := range endings {
		for _, parts := range ending.Young {
			for _, part := range slices.Backward(parts) {
				if key := (Key{pool, part}); r.convicted(key, rivals) {
					r.block(now, key, r.companions(r.records[key]))
					rivals = r.rivalsIn(pool)
				}
			}
		}
	}
}

// explained reports whether a part that is blocked or on trial explains the end of an
// upstream. The end of a trial blocks the part again.
func (r *Registry) explained(now time.Duration, pool uint64, ending Ending) (explained bool) {
	for _, parts := range ending.Young {
		for _, part := range parts {
			record := r.records[Key{pool, part}]
			switch {
			case record == nil || !record.concerns(parts):
			case record.onTrial(ending.At):
				explained = true
				r.addEnd(now, record.Key, ending)
				r.block(now, record.Key, record.With)
			case record.State == Blocked:
				explained = true
			}
		}
	}
	return explained || r.narrowJoint(now, pool, ending)
}

// addEnd counts an end against a part.
func (r *Registry) addEnd(now time.Duration, key Key, ending Ending) {
	record := r.records[key]
	if record == nil {
		record = r.create(now, key, Suspect)
	}
	if record.State == Lifted {
		r.setState(record, Suspect)
		record.Generation++
		record.Round = 0
	}
	if record.hasEnd(ending.Upstream) {
		return
	}
	record.Ends = mergeEnds(record.Ends, []End{{ending.Upstream, ending.At}}, maxEnds)
	record.Touched = now
	if r.told(record) {
		r.changed = append(r.changed, key)
	}
}

// count returns the number of ends of a record, of which those close together count once.
func (r *Record) count() int {
	count, last := 0, time.Duration(0)
	for _, e := range r.Ends {
		if count == 0 || e.At-last >= joinEnds {
			count, last = count+1, e.At
		}
	}
	return count
}

// Kept reports whether a record is of a part that is or was blocked, so that it is to be
// kept beyond all instances.
func (r *Record) Kept() bool { return r.State != Suspect && r.Round > 0 }

// told reports whether other instances are told of a record. Suspects that were answered
// before will most likely be answered soon.
func (r *Registry) told(record *Record) bool {
	return record.State != Suspect || record.Generation > 0 || !r.answered.has(record.Key)
}

// block blocks a part, in requests that have the parts with too. Its ends no longer count against
// other parts.
func (r *Registry) block(now time.Duration, key Key, with []uint64) {
	record := r.records[key]
	r.setState(record, Blocked)
	r.setWith(record, with)
	record.Round++
	record.Touched = now
	record.Until = now + r.cfg.Trial*time.Duration(min(1<<min(record.Round-1, 10), maxTrialFactor))
	r.changed = append(r.changed, key)
	r.discount(record)
}

// discount removes the ends that a blocked part explains from its pool and the suspects there, but
// for those that may explain them as well.
func (r *Registry) discount(blocked *Record) {
	explained := func(e End) bool { return blocked.hasEnd(e.Upstream) }
	if p := r.pools[blocked.Pool]; p != nil {
		p.ends = slices.DeleteFunc(p.ends, explained)
	}
	for _, other := range r.records {
		if other.Pool == blocked.Pool && other.State == Suspect && !slices.Contains(blocked.With, other.Part) {
			other.Ends = slices.DeleteFunc(other.Ends, explained)
		}
	}
}

// hasEnd reports whether the end of an upstream counts against the part.
func (r *Record) hasEnd(upstream uint64) bool {
	return slices.ContainsFunc(r.Ends, func(e End) bool { return e.Upstream == upstream })
}

// UpstreamAlive takes back an end that was recorded of an upstream that has answered since.
func (r *Registry) UpstreamAlive(now time.Duration, pool, upstream uint64) {
	revoked := func(e End) bool { return e.Upstream == upstream }
	if p := r.pools[pool]; p != nil {
		p.ends = slices.DeleteFunc(p.ends, revoked)
	}
	for _, key := range r.keys() {
		record := r.records[key]
		if key.Pool != pool || record.State == Lifted {
			continue
		}
		before := len(record.Ends)
		record.Ends = slices.DeleteFunc(record.Ends, revoked)
		if len(record.Ends) < before && record.count() < r.cfg.Ends && record.State != Suspect {
			r.Lift(now, key)
		}
	}
}
