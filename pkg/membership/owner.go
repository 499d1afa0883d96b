package membership

import (
	"cmp"
	"slices"
)

// mix is the finalizer of SplitMix64: every input bit affects the whole word, so
// that rendezvous scores of similar keys are unrelated.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// score is the weight of an instance for a key in rendezvous hashing.
func score(key, incarnation uint64) uint64 { return mix(key ^ mix(incarnation)) }

// Owner returns the instance that owns a key: the one with the highest
// rendezvous score of the members that are alive, not leaving and have a
// configuration. Suspect members are not eligible, since work would wait for
// them until they are declared dead. If no member is eligible, members
// that are behind, then those without a known configuration, then suspect and
// then leaving ones are considered.
func (v *View) Owner(key uint64) uint64 {
	for _, accept := range []func(*member) bool{
		func(m *member) bool { return m.State == Alive && !m.Leaving && m.ConfigRevision > 0 && !m.Behind },
		func(m *member) bool { return m.State == Alive && !m.Leaving && m.ConfigRevision > 0 },
		func(m *member) bool { return m.State == Alive && !m.Leaving },
		func(m *member) bool { return m.State != Dead && !m.Leaving },
		func(m *member) bool { return m.State != Dead },
	} {
		if owner, ok := v.highestScoring(key, accept); ok {
			return owner
		}
	}
	return v.self.Incarnation
}

// highestScoring returns the accepted instance with the highest score for a key.
func (v *View) highestScoring(key uint64, accept func(*member) bool) (best uint64, found bool) {
	var bestScore uint64
	consider := func(m *member) {
		if !accept(m) {
			return
		}
		if s := score(key, m.Incarnation); !found || s > bestScore {
			best, bestScore, found = m.Incarnation, s, true
		}
	}
	v.forEach(consider)
	return best, found
}

// readerKey is the rendezvous key by which the readers of the platform's list
// and of the configuration head are chosen.
const readerKey = 0x72656164657273

// readersPerCell is the number of instances of a cell that poll the platform.
const readersPerCell = 2

// Reader reports whether this instance is one of the two of its cell that poll
// the platform: those with the lowest rendezvous scores.
func (v *View) Reader() bool { return v.reader.get(v.epoch, v.ranksAsReader) }

// perEpoch is a value that follows from the members alone, and so is computed once for
// each epoch.
type perEpoch[T any] struct {
	epoch uint64
	value T
}

func (p *perEpoch[T]) get(epoch uint64, compute func() T) T {
	if p.epoch != epoch {
		p.epoch, p.value = epoch, compute()
	}
	return p.value
}

func (v *View) ranksAsReader() bool {
	if v.self.Leaving {
		return false
	}
	rankedReaders := v.rankedReaders(func(m *member) bool { return m.State != Dead && !m.Leaving })
	return slices.Contains(rankedReaders[:min(readersPerCell, len(rankedReaders))], v.self.Incarnation)
}

// rankedReaders returns the accepted ones of this instance and the members, in
// ascending order of their scores for readerKey.
func (v *View) rankedReaders(accept func(*member) bool) []uint64 {
	incarnations := make([]uint64, 0, len(v.order)+1)
	v.forEach(func(m *member) {
		if accept(m) {
			incarnations = append(incarnations, m.Incarnation)
		}
	})
	slices.SortFunc(incarnations, func(a, b uint64) int { return cmp.Compare(score(readerKey, a), score(readerKey, b)) })
	return incarnations
}

// ReaderOf returns the instance that reads the store for this one, 0 if this one
// reads it itself. One instance in perReader is a reader; instances that are
// suspect, leaving or cannot read the store are not eligible. Without selfReads
// this instance is not eligible either.
func (v *View) ReaderOf(perReader int, selfReads bool) uint64 {
	candidates := v.rankedReaders(func(m *member) bool {
		return m.State == Alive && !m.Leaving && !m.Behind && (selfReads || m != v.self)
	})
	readers := candidates[:(len(candidates)+perReader-1)/perReader]
	if len(readers) == 0 || slices.Contains(readers, v.self.Incarnation) {
		return 0
	}
	return readers[mix(v.self.Incarnation)%uint64(len(readers))]
}

// forEach calls f for this instance and all members.
func (v *View) forEach(f func(*member)) {
	f(v.self)
	for _, id := range v.order {
		f(v.members[id])
	}
}
