package scheduler

import (
	"math"
	"time"
)

const (
	// slowdownAge is the time constant with which a report of an upstream's slowdown
	// loses its weight against the mean: a report says little about the speed at which
	// a later request will run.
	slowdownAge = 500 * time.Millisecond
	// recentSmoothing is the weight of a new report in the recent slowdown. Several
	// reports in a row say more than one, since the speed changes quickly.
	recentSmoothing = 0.5
	// maxSlowdown bounds the effect of a report in both directions.
	maxSlowdown = 10
)

// slowdown is how long work takes at an upstream compared with the usual time, as the
// upstream reports. Its zero value, without any report, is 1.
type slowdown struct {
	// recent and mean are smoothed over few and over many reports; 0 before the first.
	recent, mean float64
	// at is the time of the newest report.
	at time.Duration
}

// observe records a report in percent; 0 is no report.
func (s *slowdown) observe(now time.Duration, percent uint32) {
	if percent == 0 {
		return
	}
	ratio := min(max(float64(percent)/100, 1.0/maxSlowdown), maxSlowdown)
	s.recent = s.expected(now)
	if s.mean == 0 {
		s.recent = ratio
	}
	smooth(&s.recent, ratio, recentSmoothing)
	smooth(&s.mean, ratio, slowSmoothing)
	s.at = now
}

// expected returns the slowdown to expect for a request that is sent now.
func (s *slowdown) expected(now time.Duration) float64 {
	if s.mean == 0 {
		return 1
	}
	return s.mean + (s.recent-s.mean)*math.Exp(-float64(now-s.at)/float64(slowdownAge))
}

// relative returns the expected slowdown compared with the mean, which is part of all
// learned speeds.
func (s *slowdown) relative(now time.Duration) float64 {
	if s.mean == 0 {
		return 1
	}
	return s.expected(now) / s.mean
}
