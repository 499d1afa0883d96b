package measurement

import (
	"fmt"
	"sync"
)

// nodeScenarios lists the scenarios for complete nodes: those of the pools except
// tight deadlines and bursts, and an outage of the store.
func nodeScenarios() []Scenario {
	var list []Scenario
	for _, s := range Scenarios() {
		if !s.tightDeadline && !s.bursts {
			list = append(list, s)
		}
	}
	return append(list, Scenario{Name: "store-outage", floodKind: noFlood, storeOutage: true})
}

// nodeCell holds the results of one deployment and scenario by seed.
type nodeCell struct {
	deployment deployment
	scenario   Scenario
	results    []nodeResult
}

func runNodes(options Options) []nodeCell {
	var cells []nodeCell
	for _, d := range []deployment{deploymentA(), deploymentB()} {
		for _, s := range nodeScenarios() {
			if options.selects(d, s) {
				cells = append(cells, nodeCell{d, s, make([]nodeResult, options.NodeRuns)})
			}
		}
	}
	var wait sync.WaitGroup
	slots := make(chan struct{}, max(1, options.Workers))
	for i := range cells {
		for run := range options.NodeRuns {
			wait.Add(1)
			slots <- struct{}{}
			go func() {
				defer wait.Done()
				c := &cells[i]
				c.results[run] = measureNodes(c.deployment, c.scenario, options.Seed+uint64(run))
				<-slots
			}()
		}
	}
	wait.Wait()
	return cells
}

// collect computes a figure of complete nodes. The baseline is the naive policy on
// the same arrivals, simulated without nodes. The naive policy does not use the
// store, so the baseline of a store outage is its calm scenario.
func (c *nodeCell) collect(cells []cell, name string, value func(*Result) float64) figure {
	f := figure{name: name}
	naiveName := c.scenario.Name
	if c.scenario.storeOutage {
		naiveName = "calm"
	}
	naive := findCell(cells, c.deployment.name, naiveName)
	for run := range c.results {
		f.values = append(f.values, value(&c.results[run].Result))
		if naive != nil && run < len(naive.results[1]) {
			f.baseline = append(f.baseline, value(&naive.results[1][run]))
		}
	}
	return f
}

// compareWithCalm computes a figure relative to the calm scenario of the same seed.
func (c *nodeCell) compareWithCalm(calm *nodeCell, name string, value func(calm, result *Result) float64) figure {
	f := figure{name: name}
	for run := range c.results {
		f.values = append(f.values, value(&calm.results[run].Result, &c.results[run].Result))
	}
	return f
}

func (c *nodeCell) figures(cells []cell, calm *nodeCell) []figure {
	d := c.deployment
	flood := c.scenario.floodKind(d)
	var list []figure
	for tier := range uint8(3) {
		list = append(list, c.collect(cells, fmt.Sprintf("tier%d_goodput", tier), func(r *Result) float64 {
			return r.tierGoodput(d, tier)
		}))
	}
	if calm != nil && flood >= 0 && d.kinds[flood].tier > 0 {
		list = append(list, c.compareWithCalm(calm, "top_tier_of_calm", func(calm, r *Result) float64 {
			return r.tierGoodput(d, 0) / calm.tierGoodput(d, 0)
		}).withTarget(atLeast(0.99)))
	}
	if calm != nil && flood >= 0 {
		list = append(list, c.compareWithCalm(calm, "other_kinds_keep", func(calm, r *Result) float64 {
			least, _ := leastKeptFraction(d, flood, calm, r)
			return least
		}).withTarget(atLeast(0.95)))
	}
	if calm != nil && c.scenario.largeCaller {
		tier := d.kinds[flood].tier
		list = append(list, c.compareWithCalm(calm, "small_callers_of_calm", func(calm, r *Result) float64 {
			return r.smallCallerGoodput(tier) / calm.smallCallerGoodput(tier)
		}).withTarget(atLeast(0.98)))
	}
	bytes := figure{name: "control_bytes_per_node_s"}
	for _, r := range c.results {
		bytes.values = append(bytes.values, r.frameBytesPerNode)
	}
	return append(list,
		c.collect(cells, "service_goodput", func(r *Result) float64 {
			return r.goodputOf(d, func(k kindSpec) bool { return k.service })
		}),
		c.collect(cells, "prefill_wasted", func(r *Result) float64 {
			return float64(r.PrefillWasted) / float64(max(1, r.PrefillDone))
		}).withTarget(below(0.01)),
		c.collect(cells, "p2_violations", func(r *Result) float64 { return float64(r.Violations) }).withTarget(atMost(0)),
		bytes,
	)
}

func findNodeCell(cells []nodeCell, deploymentName, scenario string) *nodeCell {
	for i := range cells {
		if cells[i].deployment.name == deploymentName && cells[i].scenario.Name == scenario {
			return &cells[i]
		}
	}
	return nil
}
