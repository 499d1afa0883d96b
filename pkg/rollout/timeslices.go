package rollout

import "time"

const (
	// sliceLength and sliceCount bound the time over which the newest answers are told apart:
	// 16 s.
	sliceLength = 250 * time.Millisecond
	sliceCount  = 64
	// leastBaseline is the number of newest answers of the current version that give its usual
	// rate, and usualWeight the number of answers that this rate stands for beside those at the
	// same time.
	leastBaseline = 1000
	usualWeight   = 10.0
	// unknownRate is the failure rate assumed of a current version without an answer, such as
	// that after a takeover in Shifting: some routes fail up to 0.15 of their requests in normal
	// operation.
	unknownRate = 0.2
)

// counts are answers and how many of them failed.
type counts struct{ answers, failures uint64 }

func (c *counts) add(failed bool) {
	c.answers++
	if failed {
		c.failures++
	}
}

func (c *counts) addAll(other counts) {
	c.answers += other.answers
	c.failures += other.failures
}

// rate returns the failure rate; small numbers of answers do not give 0.
func (c counts) rate() float64 { return (float64(c.failures) + 0.5) / (float64(c.answers) + 1) }

// timeSlices counts newest answers by time.
type timeSlices struct {
	counts [sliceCount]counts
	number [sliceCount]int64
	newest int64
}

func sliceIndex(number int64) int64 { return (number%sliceCount + sliceCount) % sliceCount }

func (s *timeSlices) add(now time.Duration, failed bool) {
	number := int64(now / sliceLength)
	i := sliceIndex(number)
	if s.number[i] != number {
		s.number[i], s.counts[i] = number, counts{}
	}
	s.counts[i].add(failed)
	s.newest = max(s.newest, number)
}

// at returns the counts of one slice.
func (s *timeSlices) at(number int64) counts {
	if i := sliceIndex(number); s.number[i] == number {
		return s.counts[i]
	}
	return counts{}
}

// near returns the counts of a slice and its neighbours.
func (s *timeSlices) near(number int64) counts {
	sum := s.at(number)
	sum.addAll(s.at(number - 1))
	sum.addAll(s.at(number + 1))
	return sum
}

// before returns the counts of the newest slices up to one, leastBaseline answers if there are
// as many.
func (s *timeSlices) before(number int64) (sum counts) {
	number = min(number, s.newest)
	for at := number; at > number-sliceCount && sum.answers < leastBaseline; at-- {
		sum.addAll(s.at(at))
	}
	return sum
}
