package simtest

import (
	"cmp"
	"slices"
	"time"

	"github.com/citrongate/citrongate/pkg/scheduler"
)

// ServiceConfig sets the speed and the concurrency of a fake plain service.
type ServiceConfig struct {
	Name string
	// Duration is the mean duration of a call; the durations vary between 0.5 and
	// 1.5 times that.
	Duration time.Duration
	// Concurrency is the largest number of calls that run at once; others wait in
	// order of arrival.
	Concurrency int
}

// Service is a fake plain service that counts how often each call was run.
type Service struct {
	ServiceConfig
	// Runs counts started calls by request id, KeyRuns by idempotency key.
	Runs    map[scheduler.GlobalID]int
	KeyRuns map[string]int

	loop       *Loop
	running    int
	waiting    []serviceCall
	inProgress map[scheduler.GlobalID]func(bool)
	dead       bool
	generation int // counts kills; a call from before a kill does not finish
}

type serviceCall struct {
	id     scheduler.GlobalID
	key    string
	onDone func(complete bool)
}

// NewService returns an idle service on the loop.
func NewService(loop *Loop, config ServiceConfig) *Service {
	return &Service{
		ServiceConfig: config,
		Runs:          map[scheduler.GlobalID]int{},
		KeyRuns:       map[string]int{},
		loop:          loop,
		inProgress:    map[scheduler.GlobalID]func(bool){},
	}
}

// Call starts a call or queues it. The key is empty for idempotent calls. It
// returns false, and has no effect, if the service refuses connections.
// onDone receives false if the service was killed before the call completed.
func (s *Service) Call(id scheduler.GlobalID, key string, onDone func(complete bool)) bool {
	if s.dead {
		return false
	}
	s.waiting = append(s.waiting, serviceCall{id, key, onDone})
	s.startWaiting()
	return true
}

// Kill breaks all calls and refuses new ones until Restart.
func (s *Service) Kill() {
	broken := s.waiting
	for id, onDone := range s.inProgress {
		broken = append(broken, serviceCall{id: id, onDone: onDone})
	}
	s.waiting, s.running, s.dead = nil, 0, true
	s.inProgress = map[scheduler.GlobalID]func(bool){}
	s.generation++
	sortCalls(broken)
	for _, call := range broken {
		if call.onDone != nil {
			call.onDone(false)
		}
	}
}

// Restart makes a killed service accept calls again.
func (s *Service) Restart() { s.dead = false }

func (s *Service) startWaiting() {
	for s.running < s.Concurrency && len(s.waiting) > 0 {
		call := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.running++
		s.Runs[call.id]++
		if call.key != "" {
			s.KeyRuns[call.key]++
		}
		s.inProgress[call.id] = call.onDone
		generation := s.generation
		duration := time.Duration(float64(s.Duration) * (0.5 + s.loop.Rand.Float64()))
		s.loop.After(duration, func() {
			if s.generation == generation {
				s.finish(call)
			}
		})
	}
}

func (s *Service) finish(call serviceCall) {
	s.running--
	delete(s.inProgress, call.id)
	if call.onDone != nil {
		call.onDone(true)
	}
	s.startWaiting()
}

// sortCalls orders calls by id, so that a run does not depend on map iteration order.
func sortCalls(calls []serviceCall) {
	slices.SortFunc(calls, func(a, b serviceCall) int {
		return cmp.Or(cmp.Compare(a.id.Entry, b.id.Entry), cmp.Compare(a.id.Sequence, b.id.Sequence))
	})
}
