package daemon

import "sync"

// storeStatus holds whether the newest call to the store reached it. Calls may end in
// another order than they began, so that the result of an older one is ignored. Its
// zero value is available.
type storeStatus struct {
	mu sync.Mutex
	// begun numbers the calls; newest is the number of the newest call that has ended.
	begun, newest uint64
	unavailable   bool
}

// begin returns the number of a call that begins.
func (s *storeStatus) begin() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begun++
	return s.begun
}

// end records whether the call with the number reached the store.
func (s *storeStatus) end(number uint64, reached bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if number > s.newest {
		s.newest, s.unavailable = number, !reached
	}
}

func (s *storeStatus) available() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.unavailable
}
