package membership

import (
	"cmp"
	"slices"
)

// mix spreads the bits of a number over the whole word (the finalizer of
// SplitMix64), so that rendezvous scores of similar keys are unrelated.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func score(key, incarnation uint64) uint64 { return mix(key ^ mix(incarnation)) }

// Owner returns the instance that owns a key: the one with the highest
// rendezvous score of the members that are alive, not leaving and have a
// configuration. Suspect members do not own, since work would wait for them
// until they are declared dead. If nobody else is left, members that are behind,
// then those without a known configuration, then suspect and then leaving ones
// are considered.
func (v *View) Owner(key uint64) uint64 {
	for _, accept := range []func(*member) bool{
		func(m *member) bool { return m.State == Alive && !m.Leaving && m.ConfigRevision > 0 && !m.Behind },
		func(m *member) bool { return m.State == Alive && !m.Leaving && m.ConfigRevision > 0 },
		func(m *member) bool { return m.State == Alive && !m.Leaving },
		func(m *member) bool { return m.State != Dead && !m.Leaving },
		func(m *member) bool { return m.State != Dead },
	} {
		if owner, ok := v.highest(key, accept); ok {
			return owner
		}
	}
	return v.self.Incarnation
}

func (v *View) highest(key uint64, accept func(*member) bool) (best uint64, found bool) {
	var bestScore uint64
	consider := func(m *member) {
		if !accept(m) {
			return
		}
		if s := score(key, m.Incarnation); !found || s > bestScore {
			best, bestScore, found = m.Incarnation, s, true
		}
	}
	v.each(consider)
	return best, found
}

// readerKey ranks the members for reading the platform's list and the
// configuration head.
const readerKey = 0x72656164657273

// readersPerCell is the number of instances of a cell that poll the platform.
const readersPerCell = 2

// Reader reports whether this instance is one of the two of its cell that poll
// the platform: those with the lowest rendezvous rank.
func (v *View) Reader() bool {
	if v.self.Leaving {
		return false
	}
	ranked := v.ranked(func(m *member) bool { return m.State != Dead && !m.Leaving })
	return slices.Contains(ranked[:min(readersPerCell, len(ranked))], v.self.Incarnation)
}

// ranked returns this instance and the members that are accepted, by rank for reading.
func (v *View) ranked(accept func(*member) bool) []uint64 {
	list := make([]uint64, 0, len(v.order)+1)
	v.each(func(m *member) {
		if accept(m) {
			list = append(list, m.Incarnation)
		}
	})
	slices.SortFunc(list, func(a, b uint64) int { return cmp.Compare(score(readerKey, a), score(readerKey, b)) })
	return list
}

// ReaderOf returns the instance that reads the store for this one, 0 if this one
// does so itself. One in perReader reads; instances that are suspected, leave or
// cannot read the store do not. Without selfReads this one counts as such.
func (v *View) ReaderOf(perReader int, selfReads bool) uint64 {
	candidates := v.ranked(func(m *member) bool {
		return m.State == Alive && !m.Leaving && !m.Behind && (selfReads || m != v.self)
	})
	readers := candidates[:(len(candidates)+perReader-1)/perReader]
	if len(readers) == 0 || slices.Contains(readers, v.self.Incarnation) {
		return 0
	}
	return readers[mix(v.self.Incarnation)%uint64(len(readers))]
}

// each calls f for this instance and all members.
func (v *View) each(f func(*member)) {
	f(v.self)
	for _, id := range v.order {
		f(v.members[id])
	}
}
