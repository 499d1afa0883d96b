package main

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/citrongate/citrongate/internal/simtest/experiment"
)

const (
	plotWidth  = 22 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
	barWidth   = 3 * vg.Millimeter
)

// drawPlot writes a bar chart with a group of bars for each pattern, one bar for the
// difference of each policy.
func drawPlot(file string, policies []experiment.Policy, compared [][]experiment.Comparison) error {
	p := plot.New()
	p.Y.Label.Text = "difference in worth"
	p.Legend.Left = true
	var patterns []string
	for _, c := range compared[0] {
		patterns = append(patterns, c.Pattern)
	}
	for i, policy := range policies {
		var values plotter.Values
		for _, c := range compared[i] {
			mean, _ := c.Difference()
			values = append(values, mean)
		}
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return err
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = barWidth * vg.Length(2*i-len(policies)+1) / 2
		p.Add(bars)
		p.Legend.Add(policy.Name, bars)
	}
	p.NominalX(patterns...)
	return p.Save(plotWidth, plotHeight, file)
}
