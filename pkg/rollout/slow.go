package rollout

import (
	"cmp"
	"encoding/binary"
	"math"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxCurrent and maxTarget bound the upstreams of either version whose latencies are kept.
	maxCurrent, maxTarget = 16, 8
	// minProfile is the number of answers of a current upstream from which it is compared with,
	// profiledPart the part of the kept ones with as many before latencies count. Slow upstreams
	// have fewer answers, so that the first ones show only the fast.
	minProfile   = 5
	profiledPart = 0.9
	// With enoughAnswers of all of them, fewProfile answers of each suffice: a service may have
	// many upstreams with few requests each.
	enoughAnswers = 60
	fewProfile    = 2
	// minOthers is the number of target upstreams without a profile from which their answers are
	// compared as a whole.
	minOthers = 6
	// maxShift bounds the differences in bins that are looked at: a factor of 256.
	maxShift = 24
	// slowQuantile of the current version's latencies on a route, and slowBeyond bins more, is
	// where an answer counts as slow for the number of bad answers.
	slowQuantile = 0.95
	slowBeyond   = 1
)

// slowShifts are the differences in bins of slower versions, factors of 2 to 6.3. A version as
// fast as the current one may differ by goodShift on each route, a factor of 1.26.
var slowShifts = [...]int{3, 4, 5, 6, 8}

const goodShift = 1

// currentProfile holds the latencies of one upstream of the current version by route.
type currentProfile struct {
	upstream, digest uint64
	answers          uint64
	// newer and older hold the answers by age; the older ones are dropped from time to time.
	newer, older []histogram
}

// sum returns the answers by route.
func (p *currentProfile) sum() []histogram {
	sum := slices.Clone(p.newer)
	for route := range p.older {
		sum = grow(sum, route)
		sum[route].addShifted(&p.older[route], 0)
	}
	return sum
}

// targetProfile holds the newest latencies of one upstream of the new version by route.
type targetProfile struct {
	upstream uint64
	routes   []window
}

// slowTest compares the latencies of the version's upstreams with those of the current ones.
// Upstreams of one version differ in speed for reasons that are not their version's: an upstream
// is described by its speed, as a difference in bins from the mean of each route, and the spread
// of latencies at that speed is common to all. An upstream of a good version has the speed of one
// of the current upstreams; one of a slow version is slower than one of them by one of
// slowShifts, on all routes or on one.
type slowTest struct {
	current []*currentProfile
	target  []*targetProfile
	usual   []usual
	// all holds the latencies of either version by route. All histograms are relative to the
	// usual latency at the time of each answer.
	all, targetAll []histogram
	// others holds the newest latencies of the target upstreams that have no profile, and
	// otherSeen a bit for each by digest. Of many upstreams the speeds are mixed as those of the
	// current version are.
	others    targetProfile
	otherSeen uint64
	// sinceAged is the number of the current version's answers since agedAt.
	sinceAged int
	agedAt    time.Duration
	odds      []float64
	allOdds   float64
	changed   bool
}

// addRoute makes room for one more route.
func (s *slowTest) addRoute() {
	s.odds = append(s.odds, 0)
	s.usual = append(s.usual, usual{})
	s.all = append(s.all, histogram{})
	s.targetAll = append(s.targetAll, histogram{})
}

// ageAfter and ageAnswers are the time and the number of answers of the current version after
// which older ones are dropped, so that the comparison is with those at about the same time.
const (
	ageAfter   = 2 * time.Second
	ageAnswers = 100
)

const (
	// usualAnswers is the number of the current version's answers over which its usual latency
	// on a route is averaged, and leastUsual that from which it is known.
	usualAnswers = 30
	leastUsual   = 5
	// usualBin stands for the usual latency in the histograms.
	usualBin = latencyBins / 2
)

// usual is the mean bin of the newest latencies of the current version on a route.
type usual struct {
	answers int
	mean    float64
}

// relative returns the bin of a latency relative to the usual one at this time, so that what slows
// both versions speaks against neither.
func (s *slowTest) relative(route int, a Answer) (bin int, known bool) {
	u := &s.usual[route]
	bin = binOf(a.Latency)
	if !a.Target {
		u.answers++
		u.mean += (float64(bin) - u.mean) / float64(min(u.answers, usualAnswers))
	}
	return clampBin(usualBin + bin - int(math.Round(u.mean))), u.answers >= leastUsual
}

// age drops the older half of the current version's answers.
func (s *slowTest) age(now time.Duration) {
	if now-s.agedAt < ageAfter || s.sinceAged < ageAnswers {
		return
	}
	s.agedAt, s.sinceAged = now, 0
	for _, p := range s.current {
		p.older, p.newer = p.newer, nil
		p.answers = 0
		for route := range p.older {
			p.answers += p.older[route].total()
		}
	}
}

func (s *slowTest) add(now time.Duration, route int, a Answer) {
	bin, known := s.relative(route, a)
	if !known {
		return
	}
	s.changed = true
	if a.Target {
		s.targetAll[route][bin]++
		if p := s.targetOf(a.Upstream); p != nil {
			p.routes = grow(p.routes, route)
			p.routes[route].add(bin)
		} else {
			s.otherSeen |= 1 << (digest(a.Upstream) % 64)
			s.others.routes = grow(s.others.routes, route)
			s.others.routes[route].add(bin)
		}
		return
	}
	s.all[route][bin]++
	s.age(now)
	if p := s.currentOf(a.Upstream); p != nil {
		p.newer = grow(p.newer, route)
		p.newer[route][bin]++
		p.answers++
		s.sinceAged++
	}
}

// grow returns the slice with room for an index.
func grow[T any](all []T, index int) []T {
	if missing := index + 1 - len(all); missing > 0 {
		return append(all, make([]T, missing)...)
	}
	return all
}

func (s *slowTest) targetOf(upstream uint64) *targetProfile {
	for _, p := range s.target {
		if p.upstream == upstream {
			return p
		}
	}
	if len(s.target) == maxTarget {
		return nil
	}
	s.target = append(s.target, &targetProfile{upstream: upstream})
	return s.target[len(s.target)-1]
}

// currentOf returns the profile of a current upstream; nil if it is not kept. A sample by digest
// is kept, which does not depend on how fast an upstream answers.
func (s *slowTest) currentOf(upstream uint64) *currentProfile {
	for _, p := range s.current {
		if p.upstream == upstream {
			return p
		}
	}
	p := &currentProfile{upstream: upstream, digest: digest(upstream)}
	if len(s.current) < maxCurrent {
		s.current = append(s.current, p)
		return p
	}
	highest := slices.MaxFunc(s.current, func(a, b *currentProfile) int { return cmp.Compare(a.digest, b.digest) })
	if p.digest >= highest.digest {
		return nil
	}
	s.current[slices.Index(s.current, highest)] = p
	return p
}

func digest(upstream uint64) uint64 {
	return xxhash.Sum64(binary.LittleEndian.AppendUint64(nil, upstream))
}

// baseline describes the current version: the speeds of its upstreams, the spread of latencies by
// route at speed 0, and that over all its upstreams.
type baseline struct {
	speeds        []int
	spread, mixed []*densities
}

// baseline returns nil while too few current upstreams are known.
func (s *slowTest) baseline() *baseline {
	kept := make([]histogram, len(s.odds))
	sums := make([][]histogram, len(s.current))
	for i, p := range s.current {
		sums[i] = p.sum()
		for route := range sums[i] {
			kept[route].addShifted(&sums[i][route], 0)
		}
	}
	means := make([]float64, len(kept))
	for route := range kept {
		means[route] = kept[route].mean()
	}
	least := uint64(minProfile)
	if total := s.answers(); total >= enoughAnswers {
		least = fewProfile
	}
	b := &baseline{spread: make([]*densities, len(kept)), mixed: make([]*densities, len(kept))}
	residuals := make([]histogram, len(kept))
	for i, p := range s.current {
		if p.answers < least {
			continue
		}
		speed := speedOf(sums[i], means)
		b.speeds = append(b.speeds, speed)
		for route := range sums[i] {
			residuals[route].addShifted(&sums[i][route], -speed)
		}
	}
	if len(b.speeds) == 0 || float64(len(b.speeds)) < profiledPart*float64(len(s.current)) {
		return nil
	}
	for route := range residuals {
		b.spread[route] = residuals[route].densities()
		b.mixed[route] = kept[route].densities()
	}
	return b
}

// answers returns the number of answers of the current upstreams that are kept.
func (s *slowTest) answers() (n uint64) {
	for _, p := range s.current {
		n += p.answers
	}
	return n
}

// speedOf returns the mean difference of an upstream's latencies from the means of the routes.
func speedOf(routes []histogram, means []float64) int {
	sum, answers := 0.0, 0.0
	for route := range routes {
		n := float64(routes[route].total())
		sum += n * (routes[route].mean() - means[route])
		answers += n
	}
	return int(math.Round(sum / max(answers, 1)))
}

// likelihoods are the logarithms of the likelihood of an upstream's answers on one route, by its
// difference in bins, from -maxShift to maxShift.
type likelihoods [2*maxShift + 1]float64

func (l *likelihoods) at(shift int) float64 { return l[min(max(shift+maxShift, 0), 2*maxShift)] }

// good is the likelihood of an upstream of a version that is as fast, at a speed.
func (l *likelihoods) good(speed int) float64 {
	var near [2*goodShift + 1]float64
	for i := range near {
		near[i] = l.at(speed + i - goodShift)
	}
	return logMeanExp(near[:])
}

func (w *window) likelihoods(d *densities) (l likelihoods) {
	total := 0.0
	for bin := range w.newer {
		n := float64(w.newer[bin] + w.older[bin])
		if n == 0 {
			continue
		}
		total += n
		for i := range l {
			l[i] += n * d.logs[clampBin(bin-(i-maxShift))]
		}
	}
	// The density is itself an estimate, so that few answers of the current version give little
	// weight to many of the new one.
	weight := d.answers / max(d.answers+total, 1)
	for i := range l {
		l[i] *= weight
	}
	return l
}

// slowRatios are logarithms of likelihood ratios for each of slowShifts.
type slowRatios [len(slowShifts)]float64

// evaluate computes the odds that the version is slower on each route alone, and on all.
func (s *slowTest) evaluate() {
	s.changed = false
	b := s.baseline()
	if b == nil {
		return
	}
	alone := make([]slowRatios, len(s.odds))
	var together slowRatios
	for _, p := range s.target {
		p.compare(b, alone, &together)
	}
	if bits.OnesCount64(s.otherSeen) >= minOthers {
		s.others.compare(&baseline{speeds: []int{0}, spread: b.mixed}, alone, &together)
	}
	for route := range alone {
		s.odds[route] = logMeanExp(alone[route][:])
	}
	s.allOdds = logMeanExp(together[:])
}

// compare adds the ratios of an upstream, between slowness on one route alone, or on all
// together, and none.
func (p *targetProfile) compare(b *baseline, alone []slowRatios, together *slowRatios) {
	routes := make([]likelihoods, len(p.routes))
	for route := range p.routes {
		routes[route] = p.routes[route].likelihoods(b.spread[route])
	}
	good := make([]float64, len(b.speeds))
	goodOn := make([][]float64, len(routes)) // by route and speed
	for route := range routes {
		goodOn[route] = make([]float64, len(b.speeds))
		for c, speed := range b.speeds {
			goodOn[route][c] = routes[route].good(speed)
			good[c] += goodOn[route][c]
		}
	}
	none := logSumExp(good)
	slow := make([]float64, len(b.speeds))
	for i, shift := range slowShifts {
		for c, speed := range b.speeds {
			slow[c] = 0
			for route := range routes {
				slow[c] += routes[route].at(speed + shift)
			}
		}
		together[i] += logSumExp(slow) - none
		for route := range routes {
			for c, speed := range b.speeds {
				slow[c] = good[c] - goodOn[route][c] + routes[route].at(speed+shift)
			}
			alone[route][i] += logSumExp(slow) - none
		}
	}
}

// excess returns the number of slow answers of the version beyond the current version's share of
// them, and the variance of that number.
func (s *slowTest) excess() (slow, variance float64) {
	for route := range s.all {
		limit := s.all[route].quantile(slowQuantile) + slowBeyond
		n := float64(s.targetAll[route].total())
		var above float64
		for bin := limit + 1; bin < latencyBins; bin++ {
			above += float64(s.targetAll[route][bin])
		}
		slow += above - n*(1-slowQuantile)
		variance += n * (1 - slowQuantile) * slowQuantile
	}
	return max(slow, 0), variance
}
