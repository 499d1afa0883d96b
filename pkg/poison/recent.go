package poison

// recent is a set of keys that keeps at least the last maxAnswered/2 that were added. It
// has two halves; the older one is dropped when the newer is full.
type recent struct{ newer, older map[Key]struct{} }

func (s *recent) add(key Key) {
	if s.newer == nil || len(s.newer) >= maxAnswered/2 {
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
