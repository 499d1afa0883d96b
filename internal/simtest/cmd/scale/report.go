package main

import (
	"fmt"
	"io"
)

// Sizes of the target of docs/design.md, section 2.4.
const (
	targetNodes         = 1400
	targetUpstreams     = 5000
	targetOrganisations = 11_000
	targetModels        = 18
	targetTiers         = 3
	targetCells         = 23
	targetRequests      = 36_000
	targetTokens        = 10_000_000
	targetChanges       = 4000
	targetReplaced      = 62 + 1900
	secondsPerDay       = 86_400
	// cellNodes is the size of a full cell: 1,400 nodes in 23 failure domains are 61
	// per domain; 64 is used since it divides the measured numbers of nodes.
	cellNodes = 64
)

// Budgets of one node for control, from the same section.
const (
	budgetBytes  = 2048.0
	budgetCPU    = 0.021
	budgetMemory = 32 << 20
	// budgetChange is the time in seconds until a change is in force everywhere.
	budgetChange = 5.0
	// budgetReads and budgetWrites are calls per second at the platform's store; the
	// "several hundred" writes of the target are taken as 300.
	budgetReads, budgetWrites = 2000.0, 300.0
)

type point struct {
	nodes int
	value float64
}

// report prints measured values and keeps them to fit lines.
type report struct {
	out        io.Writer
	series     map[string][]point
	quantities []string
	units      map[string]string
}

func newReport(out io.Writer) *report {
	return &report{out: out, series: map[string][]point{}, units: map[string]string{}}
}

func (r *report) add(quantity string, nodes int, value float64, unit string) {
	fmt.Fprintf(r.out, "scale %s nodes=%d %.6g %s\n", quantity, nodes, value, unit)
	if _, ok := r.series[quantity]; !ok {
		r.quantities = append(r.quantities, quantity)
	}
	r.units[quantity] = unit
	r.series[quantity] = append(r.series[quantity], point{nodes, value})
}

// fitLine returns the least-squares line through points. Points below two full
// cells are left out if two others remain, since the cost within a cell stops
// growing once cells are full.
func fitLine(points []point) (slope, constant float64) {
	var full []point
	for _, p := range points {
		if p.nodes >= 2*cellNodes {
			full = append(full, p)
		}
	}
	if len(full) >= 2 {
		points = full
	}
	var n, x, y, xx, xy float64
	for _, p := range points {
		n, x, y = n+1, x+float64(p.nodes), y+p.value
		xx, xy = xx+float64(p.nodes)*float64(p.nodes), xy+float64(p.nodes)*p.value
	}
	if n*xx == x*x {
		return 0, y / n
	}
	slope = (n*xy - x*y) / (n*xx - x*x)
	return slope, (y - slope*x) / n
}

// atTarget returns the fitted value at the target's number of nodes.
func (r *report) atTarget(quantity string) float64 {
	slope, constant := fitLine(r.series[quantity])
	return constant + slope*targetNodes
}

// merge adds the lines and the values of another report.
func (r *report) merge(other *report, lines string) {
	fmt.Fprint(r.out, lines)
	for _, quantity := range other.quantities {
		if _, ok := r.series[quantity]; !ok {
			r.quantities = append(r.quantities, quantity)
		}
		r.units[quantity] = other.units[quantity]
		r.series[quantity] = append(r.series[quantity], other.series[quantity]...)
	}
}

func (r *report) printFits() {
	for _, quantity := range r.quantities {
		if len(r.series[quantity]) < 2 {
			continue
		}
		slope, constant := fitLine(r.series[quantity])
		fmt.Fprintf(r.out, "slope %s %.6g + %.4g * nodes, at nodes=%d: %.6g %s\n",
			quantity, constant, slope, targetNodes, r.atTarget(quantity), r.units[quantity])
	}
}

// checkTarget prints whether a value is within its bound.
func (r *report) checkTarget(name string, value, bound float64, unit string) {
	status := "met"
	if value > bound {
		status = "NOT MET"
	}
	fmt.Fprintf(r.out, "target %s %.6g %s bound=%.6g margin=%.1f%% %s\n", name, value, unit, bound, 100*(bound-value)/bound, status)
}
