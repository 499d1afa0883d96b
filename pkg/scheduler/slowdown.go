package scheduler

import (
	"math"
	"time"
)

const (
	// recentAge is the time constant with which the recent reports of an upstream lose
	// their weight against their mean: they say little about the time at which a later
	// request will run.
	recentAge = 500 * time.Millisecond
	// meanAge is the time constant with which the mean fades, so that an upstream that
	// was slow, and gets no requests that could show otherwise, is used again.
	meanAge = 10 * time.Second
	// recentSmoothing and meanSmoothing are the weights of a new report.
	recentSmoothing, meanSmoothing = 0.5, 0.1
	// maxSlowdown bounds the effect of a report in both directions.
	maxSlowdown = 10
)

// slowdown is how long work takes at an upstream compared with the usual time, as the
// upstream reports. Learned speeds are those of the usual time. The zero value,
// without any report, is 1.
type slowdown struct {
	// recent and mean are averages over few and over many reports, valid at the time
	// of the newest report; mean is 0 before the first.
	recent, mean float64
	at           time.Duration
}

// observe records a report in percent; 0 is no report.
func (s *slowdown) observe(now time.Duration, percent uint32) {
	if percent == 0 {
		return
	}
	ratio := min(max(float64(percent)/100, 1.0/maxSlowdown), maxSlowdown)
	if s.mean == 0 {
		s.recent, s.mean, s.at = ratio, ratio, now
		return
	}
	recent, mean := s.expected(now), s.usual(now)
	smooth(&recent, ratio, recentSmoothing)
	smooth(&mean, ratio, meanSmoothing)
	s.recent, s.mean, s.at = recent, mean, now
}

// expected returns the slowdown to expect for a request that is sent now.
func (s *slowdown) expected(now time.Duration) float64 {
	if s.mean == 0 {
		return 1
	}
	return s.usual(now) + (s.recent-s.mean)*fade(now-s.at, recentAge)
}

// usual returns the mean slowdown to expect over the next seconds.
func (s *slowdown) usual(now time.Duration) float64 {
	if s.mean == 0 {
		return 1
	}
	return 1 + (s.mean-1)*fade(now-s.at, meanAge)
}

// fade returns the weight that is left after age.
func fade(age, constant time.Duration) float64 {
	return math.Exp(-float64(max(age, 0)) / float64(constant))
}
