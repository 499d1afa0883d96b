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
	// outliers is the part of the answers that may have any latency.
	outliers = 0.02
)

// smoothing spreads an answer over neighbouring bins.
var smoothing = [...]float64{0.1, 0.25, 0.3, 0.25, 0.1}

// histogram counts latencies by bins of equal ratio.
type histogram [latencyBins]uint32

func binOf(latency time.Duration) int {
	bin := math.Round(binsPerDoubling * math.Log2(float64(max(latency, 1))/float64(lowestLatency)))
	return int(min(max(bin, 0), latencyBins-1))
}

func clampBin(bin int) int { return min(max(bin, 0), latencyBins-1) }

func (h *histogram) total() (n uint64) {
	for _, count := range h {
		n += uint64(count)
	}
	return n
}

// mean returns the mean bin.
func (h *histogram) mean() float64 {
	sum, n := 0.0, 0.0
	for bin, count := range h {
		sum += float64(bin) * float64(count)
		n += float64(count)
	}
	return sum / max(n, 1)
}

// addShifted adds the counts of another histogram, moved by a number of bins.
func (h *histogram) addShifted(other *histogram, shift int) {
	for bin, count := range other {
		h[clampBin(bin+shift)] += count
	}
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

// densities are the logarithms of a smoothed histogram of a number of answers.
type densities struct {
	answers float64
	logs    [latencyBins]float64
}

func (h *histogram) densities() *densities {
	var d densities
	for bin, count := range h {
		if count == 0 {
			continue
		}
		d.answers += float64(count)
		for i, part := range smoothing {
			d.logs[clampBin(bin+i-len(smoothing)/2)] += part * float64(count)
		}
	}
	unknown := max(outliers, 1/(1+d.answers))
	for i, density := range d.logs {
		d.logs[i] = math.Log((1-unknown)*density/max(d.answers, 1) + unknown/latencyBins)
	}
	return &d
}

// window holds the newest answers of one upstream on one route, in two halves of which the older
// one is dropped when the newer one is full.
type window struct {
	newer, older histogram
	count        int
}

func (w *window) add(bin int) {
	if w.count == windowHalf {
		w.older, w.newer, w.count = w.newer, histogram{}, 0
	}
	w.newer[bin]++
	w.count++
}

// windowHalf makes a window of 15 to 30 answers: enough to tell a factor of 2, and few enough
// that a version that becomes slow is not judged by its earlier answers.
const windowHalf = 15
