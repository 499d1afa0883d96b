package poison

import (
	"cmp"
	"maps"
	"slices"
)

// recent is a set of keys that keeps at least the last ones that were added, half as many as its
// limit. It has two halves; the older one is dropped when the newer is full.
type recent struct{ newer, older map[Key]struct{} }

func (s *recent) add(key Key, limit int) {
	if s.newer == nil || len(s.newer) >= limit/2 {
		s.older, s.newer = s.newer, make(map[Key]struct{})
	}
	s.newer[key] = struct{}{}
}

func (s *recent) has(key Key) bool {
	if _, ok := s.newer[key]; ok {
		return true
	}
	_, ok := s.older[key]
	return ok
}

// after returns up to limit keys in order, from the first after the given one on, and again
// from the start when there are no more.
func (s *recent) after(last Key, limit int) []Key {
	keys := slices.AppendSeq(slices.Collect(maps.Keys(s.newer)), maps.Keys(s.older))
	slices.SortFunc(keys, CompareKeys)
	keys = slices.Compact(keys)
	first, _ := slices.BinarySearchFunc(keys, last, func(key, last Key) int {
		return cmp.Or(CompareKeys(key, last), -1)
	})
	if first == len(keys) {
		first = 0
	}
	return keys[first:min(first+limit, len(keys))]
}
