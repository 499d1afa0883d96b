package rollout

import (
	"math"
	"time"
)

const (
	// lowestLatency is the latency of the first bin; binsPerDoubling bins cover a factor of 2.
	lowestLatency   = 100 * time.Microsecond
	binsPerDoubling = 3
	latencyBins     = 64
	// maxProfiles bounds the upstreams of either version whose latencies are kept; upstreams
	// seen later are ignored.
	maxProfiles = 12
	// minProfile is the number of answers of a current upstream from which it is compared with.
	minProfile = 8
	// effectiveAnswers bounds the weight of an upstream's answers on one route, since latencies
	// of successive answers depend on each other.
	effectiveAnswers = 30
	// outliers is the part of the answers that may have any latency.
	outliers = 0.02
	// slowQuantile of the current version's latencies on a route, and slowBeyond bins more, is
	// where an answer counts as slow for the number of bad answers.
	slowQuantile = 0.95
	slowBeyond   = 1
)

// goodShifts are the differences in bins that a version as fast as the current one may show, a
// factor of 0.8 to 1.26, and slowShifts those of slower ones, factors of 2 to 6.3.
var (
	goodShifts = [...]int{-1, 0, 1}
	slowShifts = [...]int{3, 4, 5, 6, 8}
)

// smoothing spreads an answer over neighbouring bins.
var smoothing = [...]float64{0.1, 0.25, 0.3, 0.25, 0.1}

type histogram [latencyBins]uint32

func binOf(latency time.Duration) int {
	bin := math.Round(binsPerDoubling * math.Log2(float64(max(latency, 1))/float64(lowestLatency)))
	return int(min(max(bin, 0), latencyBins-1))
}

// profile holds the latencies of one upstream by route.
type profile struct {
	upstream uint64
	answers  uint64
	routes   []*histogram
}

func (p *profile) route(i int) *histogram {
	if i >= len(p.routes) {
		p.routes = append(p.routes, make([]*histogram, i+1-len(p.routes))...)
	}
	if p.routes[i] == nil {
		p.routes[i] = &histogram{}
	}
	return p.routes[i]
}

// slowTest compares the latencies of the version's upstreams with those of the current ones. Each
// upstream of the version is taken to be as fast as one of the current version's, since upstreams
// differ in speed for reasons that are not their version's.
type slowTest struct {
	current, target []*profile
	// all holds the latencies of the current version by route, targetAll those of the new one.
	all, targetAll profile
	odds           []float64
	allOdds        float64
	changed        bool
}

func (s *slowTest) add(route int, a Answer) {
	bin := binOf(a.Latency)
	s.changed = true
	profiles, all := &s.current, &s.all
	if a.Target {
		profiles, all = &s.target, &s.targetAll
	}
	all.route(route)[bin]++
	all.answers++
	if p := find(profiles, a.Upstream); p != nil {
		p.route(route)[bin]++
		p.answers++
	}
}

func find(profiles *[]*profile, upstream uint64) *profile {
	for _, p := range *profiles {
		if p.upstream == upstream {
			return p
		}
	}
	if len(*profiles) == maxProfiles {
		return nil
	}
	p := &profile{upstream: upstream}
	*profiles = append(*profiles, p)
	return p
}

// densities are the logarithms of a smoothed histogram.
type densities [latencyBins]float64

func (h *histogram) densities() *densities {
	var d densities
	total := 0.0
	for bin, count := range h {
		if count == 0 {
			continue
		}
		total += float64(count)
		for i, part := range smoothing {
			at := min(max(bin+i-len(smoothing)/2, 0), latencyBins-1)
			d[at] += part * float64(count)
		}
	}
	for i := range d {
		d[i] = math.Log((1-outliers)*d[i]/total + outliers/latencyBins)
	}
	return &d
}

// likelihoods of an upstream's answers on one route, if it is like one current upstream: as fast
// (good) or slower by each of slowShifts.
type likelihoods struct {
	good float64
	slow [len(slowShifts)]float64
}

// compare returns the likelihoods of a histogram, given the densities of a current upstream.
func compare(h *histogram, d *densities) (l likelihoods) {
	total := 0.0
	var good [len(goodShifts)]float64
	for bin, count := range h {
		if count == 0 {
			continue
		}
		n := float64(count)
		total += n
		for i, shift := range goodShifts {
			good[i] += n * d[min(max(bin-shift, 0), latencyBins-1)]
		}
		for i, shift := range slowShifts {
			l.slow[i] += n * d[max(bin-shift, 0)]
		}
	}
	weight := min(1, effectiveAnswers/total)
	for i := range good {
		good[i] *= weight
	}
	for i := range l.slow {
		l.slow[i] *= weight
	}
	l.good = logMeanExp(good[:])
	return l
}

// baselines returns the densities by route of each current upstream with enough answers. Where
// it has too few on a route, those of all current upstreams stand in.
func (s *slowTest) baselines() (all [][]*densities) {
	common := make([]*densities, len(s.odds))
	for i := range common {
		if i < len(s.all.routes) && s.all.routes[i] != nil {
			common[i] = s.all.routes[i].densities()
		}
	}
	for _, p := range s.current {
		if p.answers < minProfile {
			continue
		}
		own := make([]*densities, len(common))
		for i := range own {
			own[i] = common[i]
			if i < len(p.routes) && p.routes[i] != nil && p.routes[i].total() >= minProfile {
				own[i] = p.routes[i].densities()
			}
		}
		all = append(all, own)
	}
	return all
}

func (h *histogram) total() (n uint64) {
	for _, count := range h {
		n += uint64(count)
	}
	return n
}

// evaluate computes the odds that the version is slower on each route alone, and on all.
func (s *slowTest) evaluate() {
	s.changed = false
	baselines := s.baselines()
	if len(baselines) == 0 || len(s.target) == 0 {
		return
	}
	routes := len(s.odds)
	ratios := make([][len(slowShifts)]float64, routes)
	var allRatios [len(slowShifts)]float64
	for _, p := range s.target {
		if p.answers == 0 {
			continue
		}
		alone, together := p.ratios(baselines, routes)
		for i := range allRatios {
			allRatios[i] += together[i]
		}
		for route := range alone {
			for i := range alone[route] {
				ratios[route][i] += alone[route][i]
			}
		}
	}
	for route := range ratios {
		s.odds[route] = logMeanExp(ratios[route][:])
	}
	s.allOdds = logMeanExp(allRatios[:])
}

// ratios returns the logarithms of the likelihood ratios of an upstream's answers, for each shift,
// between slowness on one route alone, or on all together, and none.
func (p *profile) ratios(baselines [][]*densities, routes int) (alone [][len(slowShifts)]float64, together [len(slowShifts)]float64) {
	good := make([]float64, len(baselines))
	all := make([][]float64, len(slowShifts))
	single := make([][]float64, routes*len(slowShifts))
	compared := make([][]likelihoods, len(baselines))
	for b, baseline := range baselines {
		compared[b] = make([]likelihoods, routes)
		for route, h := range p.routes {
			if h == nil || baseline[route] == nil {
				continue
			}
			compared[b][route] = compare(h, baseline[route])
			good[b] += compared[b][route].good
		}
	}
	for i := range slowShifts {
		all[i] = make([]float64, len(baselines))
		for b := range baselines {
			for route := range routes {
				all[i][b] += compared[b][route].slow[i]
			}
		}
		for route := range routes {
			single[route*len(slowShifts)+i] = make([]float64, len(baselines))
			for b := range baselines {
				l := &compared[b][route]
				single[route*len(slowShifts)+i][b] = good[b] - l.good + l.slow[i]
			}
		}
	}
	none := logSumExp(good)
	alone = make([][len(slowShifts)]float64, routes)
	for i := range slowShifts {
		together[i] = logSumExp(all[i]) - none
		for route := range routes {
			alone[route][i] = logSumExp(single[route*len(slowShifts)+i]) - none
		}
	}
	return alone, together
}

// excess returns the number of slow answers of the version beyond the current version's share of
// them, and the variance of that number.
func (s *slowTest) excess() (slow, variance float64) {
	for i, h := range s.targetAll.routes {
		if h == nil || i >= len(s.all.routes) || s.all.routes[i] == nil {
			continue
		}
		limit := s.all.routes[i].quantile(slowQuantile) + slowBeyond
		n := float64(h.total())
		var above float64
		for bin := limit + 1; bin < latencyBins; bin++ {
			above += float64(h[bin])
		}
		slow += above - n*(1-slowQuantile)
		variance += n * (1 - slowQuantile) * slowQuantile
	}
	return max(slow, 0), variance
}

// quantile returns the bin below which the part of the latencies lies.
func (h *histogram) quantile(part float64) int {
	total, sum := float64(h.total()), 0.0
	for bin, count := range h {
		if sum += float64(count); sum >= part*total {
			return bin
		}
	}
	return latencyBins - 1
}
