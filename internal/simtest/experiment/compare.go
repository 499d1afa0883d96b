package experiment

import (
	"math"
	"sync"
)

// Comparison is what a policy earned against Base on one pattern.
type Comparison struct {
	Pattern string
	// Base and Changed hold the results by seed; equal indices drew the same work.
	Base, Changed []Result
}

// Difference returns the mean difference of the worth and its standard error.
func (c Comparison) Difference() (mean, err float64) {
	n := float64(len(c.Base))
	for i := range c.Base {
		mean += (c.Changed[i].Worth() - c.Base[i].Worth()) / n
	}
	if n < 2 {
		return mean, 0
	}
	square := 0.0
	for i := range c.Base {
		d := c.Changed[i].Worth() - c.Base[i].Worth() - mean
		square += d * d
	}
	return mean, math.Sqrt(square / (n - 1) / n)
}

// BaseWorth returns the mean worth of Base.
func (c Comparison) BaseWorth() (mean float64) {
	for _, r := range c.Base {
		mean += r.Worth() / float64(len(c.Base))
	}
	return mean
}

// Compare plays the patterns under Base and under each of the policies, with
// the given number of seeds, workers runs at a time. It returns a list of
// comparisons for each policy, in the order of the patterns.
func Compare(patterns []Pattern, policies []Policy, seed uint64, seeds, workers int) [][]Comparison {
	all := append([]Policy{Base()}, policies...)
	results := make([][][]Result, len(all))
	limit := make(chan struct{}, max(1, workers))
	var wait sync.WaitGroup
	for p := range all {
		results[p] = make([][]Result, len(patterns))
		for q := range patterns {
			results[p][q] = make([]Result, seeds)
			for s := range seeds {
				wait.Add(1)
				limit <- struct{}{}
				go func() {
					defer wait.Done()
					results[p][q][s] = Run(patterns[q], all[p], seed+uint64(s))
					<-limit
				}()
			}
		}
	}
	wait.Wait()
	out := make([][]Comparison, len(policies))
	for p := range policies {
		for q := range patterns {
			out[p] = append(out[p], Comparison{Pattern: patterns[q].Name, Base: results[0][q], Changed: results[p+1][q]})
		}
	}
	return out
}
