package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// tierSummary sums up the calls of one tier.
type tierSummary struct {
	sent, whole, retried int
	// endings counts the calls that were not answered whole, by reason.
	endings map[string]int
}

// WriteSummary prints goodput and endings of each tier.
func WriteSummary(w io.Writer, outcomes []Outcome) {
	tiers := map[int]*tierSummary{}
	for _, outcome := range outcomes {
		tier := tiers[outcome.Flow.Tier]
		if tier == nil {
			tier = &tierSummary{endings: map[string]int{}}
			tiers[outcome.Flow.Tier] = tier
		}
		tier.add(outcome)
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "TIER\tSENT\tWHOLE\tGOODPUT\tRETRIED\tNOT ANSWERED WHOLE")
	for _, number := range slices.Sorted(maps.Keys(tiers)) {
		tier := tiers[number]
		fmt.Fprintf(table, "%d\t%d\t%d\t%.1f%%\t%d\t%s\n", number, tier.sent, tier.whole,
			100*float64(tier.whole)/float64(tier.sent), tier.retried, tier.reasons())
	}
	table.Flush()
}

func (t *tierSummary) add(outcome Outcome) {
	t.sent++
	if outcome.Result != nil && len(outcome.Result.Attempts) > 1 {
		t.retried++
	}
	if outcome.Whole {
		t.whole++
		return
	}
	t.endings[reason(outcome)]++
}

func reason(outcome Outcome) string {
	switch {
	case outcome.Err != nil:
		return "failed"
	case outcome.Result.Last().Refusal.Code != "":
		return outcome.Result.Last().Refusal.Code + " (ran: " + outcome.Result.Ran + ")"
	default:
		return "broken (ran: " + outcome.Result.Ran + ")"
	}
}

func (t *tierSummary) reasons() string {
	if len(t.endings) == 0 {
		return "-"
	}
	text := ""
	for _, reason := range slices.Sorted(maps.Keys(t.endings)) {
		text += fmt.Sprintf("%s %d  ", reason, t.endings[reason])
	}
	return text
}

// CountWhole returns how many calls were answered whole.
func CountWhole(outcomes []Outcome) int {
	whole := 0
	for _, outcome := range outcomes {
		if outcome.Whole {
			whole++
		}
	}
	return whole
}
