package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// tierSummary counts the calls of one tier.
type tierSummary struct {
	sent, complete, retried int
	// failures counts the calls without a complete answer, by reason.
	failures map[string]int
}

// WriteSummary prints the goodput of each tier and its failed calls by reason.
func WriteSummary(w io.Writer, outcomes []Outcome) {
	tiers := map[int]*tierSummary{}
	for _, outcome := range outcomes {
		tier := tiers[outcome.Flow.Tier]
		if tier == nil {
			tier = &tierSummary{failures: map[string]int{}}
			tiers[outcome.Flow.Tier] = tier
		}
		tier.add(outcome)
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "TIER\tSENT\tWHOLE\tGOODPUT\tRETRIED\tNOT ANSWERED WHOLE")
	for _, number := range slices.Sorted(maps.Keys(tiers)) {
		tier := tiers[number]
		fmt.Fprintf(table, "%d\t%d\t%d\t%.1f%%\t%d\t%s\n", number, tier.sent, tier.complete,
			100*float64(tier.complete)/float64(tier.sent), tier.retried, tier.formatFailures())
	}
	table.Flush()
}

func (t *tierSummary) add(outcome Outcome) {
	t.sent++
	if outcome.Result != nil && len(outcome.Result.Attempts) > 1 {
		t.retried++
	}
	if outcome.Complete {
		t.complete++
		return
	}
	t.failures[failureReason(outcome)]++
}

func failureReason(outcome Outcome) string {
	switch {
	case outcome.Err != nil:
		return "failed"
	case outcome.Result.Last().Refusal.Code != "":
		return outcome.Result.Last().Refusal.Code + " (ran: " + outcome.Result.Ran + ")"
	default:
		return "broken (ran: " + outcome.Result.Ran + ")"
	}
}

func (t *tierSummary) formatFailures() string {
	if len(t.failures) == 0 {
		return "-"
	}
	text := ""
	for _, reason := range slices.Sorted(maps.Keys(t.failures)) {
		text += fmt.Sprintf("%s %d  ", reason, t.failures[reason])
	}
	return text
}

// CountComplete returns the number of calls with a complete answer.
func CountComplete(outcomes []Outcome) int {
	complete := 0
	for _, outcome := range outcomes {
		if outcome.Complete {
			complete++
		}
	}
	return complete
}
