package rollout

import "math"

// addedRates are the alternatives to the current version's failure rate: the share of answers
// that a bad version fails in addition.
var addedRates = [...]float64{0.1, 0.2, 0.4, 0.8}

// rateGrid holds the failure rates that the current version may have, evenly spaced by odds, and
// the logarithms of them and of their complements, for each added rate; the first is none.
var rateGrid = newRateGrid()

type gridPoint struct{ fail, pass [len(addedRates) + 1]float64 }

func newRateGrid() (grid [32]gridPoint) {
	const lowest, highest = 0.0005, 0.6
	logit := func(p float64) float64 { return math.Log(p / (1 - p)) }
	for i := range grid {
		x := logit(lowest) + (logit(highest)-logit(lowest))*float64(i)/float64(len(grid)-1)
		rate := 1 / (1 + math.Exp(-x))
		grid[i].fail[0], grid[i].pass[0] = math.Log(rate), math.Log1p(-rate)
		for j, added := range addedRates {
			p := rate + added*(1-rate)
			grid[i].fail[j+1], grid[i].pass[j+1] = math.Log(p), math.Log1p(-p)
		}
	}
	return grid
}

// failureRatios are logarithms of likelihood ratios for each of addedRates.
type failureRatios [len(addedRates)]float64

// compare returns the likelihood ratios of answers, between the version having an added failure
// rate and none, each as a mixture over the current version's rate, of which a number of its
// answers is known. The ratio is a martingale if
// the version is as good as the current one, so that it exceeds x at any time with a probability
// of at most 1/x (Ville's inequality).
func compare(rate, answers float64, target counts) (ratios failureRatios) {
	var logs [len(addedRates) + 1][len(rateGrid)]float64
	fails, passes := float64(target.failures), float64(target.answers-target.failures)
	currentFails, currentPasses := rate*answers, (1-rate)*answers
	for i := range rateGrid {
		g := &rateGrid[i]
		shared := currentFails*g.fail[0] + currentPasses*g.pass[0]
		for j := range logs {
			logs[j][i] = shared + fails*g.fail[j] + passes*g.pass[j]
		}
	}
	none := logSumExp(logs[0][:])
	for j := range ratios {
		ratios[j] = logSumExp(logs[j+1][:]) - none
	}
	return ratios
}

// windowSizes are the numbers of newest answers that are compared beside all answers, so that a
// version that becomes bad is not judged by its earlier answers.
var windowSizes = [...]uint64{30, 120, 480}

// evaluate brings the odds of the route up to date. Each answer counts against the rate of the
// current version at its time: whatever troubles both speaks against neither.
func (r *routeEvidence) evaluate() {
	var target counts
	var expected, baseline float64
	window := 0
	usual := r.currentTimes.before(r.targetTimes.newest)
	for number := r.targetTimes.newest; number > r.targetTimes.newest-sliceCount; number-- {
		slice := r.targetTimes.at(number)
		if slice.answers == 0 {
			continue
		}
		// Each answer of the current version counts once for how exactly its rate is known.
		baseline += float64(r.currentTimes.at(number).answers)
		near := r.currentTimes.near(number)
		if near.answers == 0 {
			near = r.currentTimes.before(number)
		}
		target.answers += slice.answers
		target.failures += slice.failures
		expected += float64(slice.answers) * (float64(near.failures) + usualWeight*usual.rate()) / (float64(near.answers) + usualWeight)
		for window < len(windowSizes) && target.answers >= windowSizes[window] {
			r.ratios[window+1] = compare(expected/float64(target.answers), max(baseline, float64(usual.answers)), target)
			window++
		}
	}
	if target.answers == 0 {
		return
	}
	r.ratios[0] = compare(expected/float64(target.answers), max(baseline, float64(usual.answers)), target)
	r.failureOdds = logMeanExp(r.ratios[0][:])
	for i, size := range windowSizes {
		if i >= window {
			r.ratios[i+1] = r.ratios[0]
		}
		r.failureOdds = max(r.failureOdds, logMeanExp(r.ratios[i+1][:])-windowsPenalty(r.target.answers, size))
	}
}

// windowsPenalty is what the odds of a window are reduced by, since each window is a further test
// (Bonferroni). The windows slide; windowsEach stands for the different ones within one length.
func windowsPenalty(answers, size uint64) float64 {
	return math.Log(1 + windowsEach*float64(answers)/float64(size))
}

const windowsEach = 10

// evaluateAll returns the greatest logarithm of a likelihood ratio of all routes together, over
// the windows, for a version that fails with the same added rate on each. Each route keeps its
// own baseline.
func (e *evidence) evaluateAll() float64 {
	highest := math.Inf(-1)
	for window := range len(windowSizes) + 1 {
		var sums failureRatios
		for _, route := range e.routes {
			for j, ratio := range route.ratios[window] {
				sums[j] += ratio
			}
		}
		odds := logMeanExp(sums[:])
		if window > 0 {
			odds -= windowsPenalty(e.target.answers, windowSizes[window-1])
		}
		highest = max(highest, odds)
	}
	return highest
}

// excess returns the number of failures and slow answers of the version that the current version's
// rates do not explain: beyond the expected number and explainedDeviations standard deviations.
func (e *evidence) excess() float64 {
	var bad, variance float64
	for _, route := range e.routes {
		n, baseline := float64(route.target.answers), float64(route.current.answers)
		rate := (float64(route.current.failures) + 0.5) / (baseline + 1)
		if route.current.answers == 0 {
			rate = unknownRate
		}
		bad += float64(route.target.failures) - n*rate
		// The rate is itself an estimate from the current version's answers.
		variance += rate * (1 - rate) * n * (1 + n/(baseline+1))
	}
	if e.slowest() > e.suspicion() {
		slow, slowVariance := e.slow.excess()
		bad += slow
		variance += slowVariance
	}
	return max(0, bad-explainedDeviations*math.Sqrt(variance))
}

const explainedDeviations = 3

func logMeanExp(x []float64) float64 { return logSumExp(x) - math.Log(float64(len(x))) }

func logSumExp(x []float64) float64 {
	highest := math.Inf(-1)
	for _, v := range x {
		highest = max(highest, v)
	}
	if math.IsInf(highest, -1) {
		return highest
	}
	sum := 0.0
	for _, v := range x {
		sum += math.Exp(v - highest)
	}
	return highest + math.Log(sum)
}
