package experiment

import (
	"math"
	"sync"
)

// Comparison holds the results of a policy and of Base on one load pattern.
type Comparison struct {
	Pattern string
	// Base and Changed hold one result per seed; equal indices had the same arrivals.
	Base, Changed []Result
}

// Difference returns the mean difference of Result.Value from Base and its standard error.
func (c Comparison) Difference() (mean, err float64) {
	n := float64(len(c.Base))
	for i := range c.Base {
		mean += (c.Changed[i].Value() - c.Base[i].Value()) / n
	}
	if n < 2 {
		return mean, 0
	}
	squares := 0.0
	for i := range c.Base {
		d := c.Changed[i].Value() - c.Base[i].Value() - mean
		squares += d * d
	}
	return mean, math.Sqrt(squares / (n - 1) / n)
}

// BaseValue returns the mean Result.Value of Base.
func (c Comparison) BaseValue() (mean float64) {
	for _, r := range c.Base {
		mean += r.Value() / float64(len(c.Base))
	}
	return mean
}

// Compare runs the patterns under Base and under each of the policies, with the
// given number of seeds and at most workers runs at a time. It returns, for each
// policy, the comparisons in the order of the patterns.
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
