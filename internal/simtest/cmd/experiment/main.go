// Command experiment compares policies of the scheduler with the one in use, on
// named patterns of load in virtual time, and prints a table of the differences
// in worth. With -plot it draws them.
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
	workers := flag.Int("workers", max(1, runtime.NumCPU()/2), "runs at a time")
	policy := flag.String("policy", "", "only this policy, one of "+strings.Join(names(), ", "))
	plotFile := flag.String("plot", "", "draw the differences into this PNG file")
	flag.Parse()
	policies := slices.DeleteFunc(experiment.Changes(), func(p experiment.Policy) bool { return *policy != "" && p.Name != *policy })
	if len(policies) == 0 {
		fmt.Fprintf(os.Stderr, "experiment: there is no policy %q; name one of %s\n", *policy, strings.Join(names(), ", "))
		os.Exit(2)
	}
	patterns := experiment.Patterns()
	compared := experiment.Compare(patterns, policies, *seed, max(1, *seeds), *workers)
	write(os.Stdout, policies, compared)
	if *plotFile == "" {
		return
	}
	if err := draw(*plotFile, policies, compared); err != nil {
		fmt.Fprintf(os.Stderr, "experiment: cannot draw %s: %v\n", *plotFile, err)
		os.Exit(1)
	}
}

func names() (list []string) {
	for _, p := range experiment.Changes() {
		list = append(list, p.Name)
	}
	return list
}

// write prints the worth of the policy in use and the differences from it, with
// their standard errors.
func write(w io.Writer, policies []experiment.Policy, compared [][]experiment.Comparison) {
	fmt.Fprint(w, "| pattern | base |")
	for _, p := range policies {
		fmt.Fprintf(w, " %s |", p.Name)
	}
	fmt.Fprintf(w, "\n| --- | --- |%s\n", strings.Repeat(" --- |", len(policies)))
	sums := make([]float64, len(policies))
	for q := range compared[0] {
		fmt.Fprintf(w, "| %s | %.3f |", compared[0][q].Pattern, compared[0][q].BaseWorth())
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
