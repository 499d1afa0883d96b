// Command experiment compares scheduling policies with the gateway's policy, on named
// load patterns in virtual time, and prints a table of the differences in value. With
// -plot it also draws them as a bar chart.
package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"runtime"
	"slices"
	"strings"

	"github.com/citrongate/citrongate/internal/simtest/experiment"
)

func main() {
	seed := flag.Uint64("seed", 1, "first seed")
	seeds := flag.Int("seeds", 4, "number of seeds")
	workers := flag.Int("workers", max(1, runtime.NumCPU()/2), "number of concurrent runs")
	policy := flag.String("policy", "", "compare only this policy, one of "+strings.Join(policyNames(), ", "))
	plotFile := flag.String("plot", "", "write a bar chart of the differences to this PNG file")
	flag.Parse()
	policies := slices.DeleteFunc(experiment.Changes(), func(p experiment.Policy) bool { return *policy != "" && p.Name != *policy })
	if len(policies) == 0 {
		fmt.Fprintf(os.Stderr, "experiment: unknown policy %q; use one of %s\n", *policy, strings.Join(policyNames(), ", "))
		os.Exit(2)
	}
	patterns := experiment.Patterns()
	compared := experiment.Compare(patterns, policies, *seed, max(1, *seeds), *workers)
	writeTable(os.Stdout, policies, compared)
	if *plotFile == "" {
		return
	}
	if err := drawPlot(*plotFile, policies, compared); err != nil {
		fmt.Fprintf(os.Stderr, "experiment: cannot write the chart to %s: %v\n", *plotFile, err)
		os.Exit(1)
	}
}

func policyNames() (list []string) {
	for _, p := range experiment.Changes() {
		list = append(list, p.Name)
	}
	return list
}

// writeTable prints the mean value of the gateway's policy and the differences of the
// other policies from it, with their standard errors.
func writeTable(w io.Writer, policies []experiment.Policy, compared [][]experiment.Comparison) {
	fmt.Fprint(w, "| pattern | base |")
	for _, p := range policies {
		fmt.Fprintf(w, " %s |", p.Name)
	}
	fmt.Fprintf(w, "\n| --- | --- |%s\n", strings.Repeat(" --- |", len(policies)))
	sums := make([]float64, len(policies))
	for q := range compared[0] {
		fmt.Fprintf(w, "| %s | %.3f |", compared[0][q].Pattern, compared[0][q].BaseValue())
		for p := range policies {
			mean, err := compared[p][q].Difference()
			sums[p] += mean
			fmt.Fprintf(w, " %+.3f ± %.3f |", mean, err)
		}
		fmt.Fprintln(w)
	}
	fmt.Fprint(w, "| mean | |")
	for _, sum := range sums {
		fmt.Fprintf(w, " %+.3f |", sum/float64(len(compared[0])))
	}
	fmt.Fprintln(w)
}
