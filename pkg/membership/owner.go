package membership

import "slices"

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
// rendezvous score of the live members that are not leaving. If all are
// leaving, the leaving ones are considered. Suspect members stay candidates,
// since most suspicions are refuted and a change of owner costs a
// synchronisation.
func (v *View) Owner(key uint64) uint64 {
	if owner, ok := v.highest(key, false); ok {
		return owner
	}
	owner, _ := v.highest(key, true)
	return owner
}

func (v *View) highest(key uint64, leaving bool) (uint64, bool) {
	var best, bestScore uint64
	found := false
	consider := func(m *member) {
		if m.State == Dead || m.Leaving && !leaving {
			return
		}
		if s := score(key, m.Incarnation); !found || s > bestScore {
			best, bestScore, found = m.Incarnation, s, true
		}
	}
	consider(v.self)
	for _, id := range v.order {
		consider(v.members[id])
	}
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
	scores := make([]uint64, 0, len(v.order))
	for _, id := range v.order {
		if m := v.members[id]; m.State != Dead && !m.Leaving {
			scores = append(scores, score(readerKey, id))
		}
	}
	slices.Sort(scores)
	own := score(readerKey, v.self.Incarnation)
	rank, _ := slices.BinarySearch(scores, own)
	return rank < readersPerCell
}
