package main

import (
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// writePlot draws the bytes per node and second over the number of nodes, the
// fitted line up to the target and the budget.
func writePlot(r *report, file string) error {
	p := plot.New()
	p.Title.Text = "Control bytes per node (virtual time)"
	p.X.Label.Text, p.Y.Label.Text = "nodes", "bytes per second and node"
	p.Y.Min = 0
	series := []struct{ quantity, label string }{
		{"membership_bytes", "membership, mean"}, {"reader_sent_bytes", "all, busiest sender"},
		{"reader_received_bytes", "all, busiest receiver"},
	}
	for i, s := range series {
		var points plotter.XYs
		for _, pt := range r.series[s.quantity] {
			points = append(points, plotter.XY{X: float64(pt.nodes), Y: pt.value})
		}
		points = append(points, plotter.XY{X: targetNodes, Y: r.atTarget(s.quantity)})
		line, marks, err := plotter.NewLinePoints(points)
		if err != nil {
			return err
		}
		line.Color, marks.Color, marks.Shape = plotutil.Color(i), plotutil.Color(i), plotutil.Shape(i)
		p.Add(line, marks)
		p.Legend.Add(s.label, line, marks)
	}
	budget := plotter.NewFunction(func(float64) float64 { return budgetBytes })
	budget.Color, budget.Dashes = color.Black, []vg.Length{vg.Points(4), vg.Points(3)}
	p.Add(budget)
	p.Legend.Add("budget (2 KB/s)", budget)
	// Leaves space for the legend above the curves.
	p.Y.Max *= 1.6
	p.Legend.Top = true
	return p.Save(12*vg.Centimeter, 8*vg.Centimeter, file)
}
