package main

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/citrongate/citrongate/internal/account"
	"github.com/citrongate/citrongate/internal/eventlog"
)

const (
	// windowMs is the length of the report's windows in milliseconds.
	windowMs = 2000
	// shownPrices is the largest number of prices that are printed, the largest first.
	shownPrices = 5
)

// day holds the inputs for one day of the bench.
type day struct {
	site     *site
	report   *report
	attempts []*account.Attempt
}

// writeReport prints all tables and lists in Markdown.
func writeReport(w io.Writer, d day) {
	d.writeSlots(w)
	d.writeAttempts(w)
	d.writeValue(w)
	d.writeUnserved(w)
}

// writeSlots prints how the engines' slot time was used.
func (d day) writeSlots(w io.Writer) {
	engineService := d.site.engineService()
	t := account.Slots(d.attempts, account.Engines{Count: engineService.serverCount(), Slots: engineService.Slots})
	percent := func(seconds float64) string { return fmt.Sprintf("%.1f%%", 100*seconds/t.Available) }
	lost := t.ByOutcome[account.CutOff] + t.ByOutcome[account.CallerDisconnected] + t.ByOutcome[account.Refused] + t.ByOutcome[account.UpstreamError] + t.ByOutcome[account.Unknown]
	late := t.ByOutcome[account.LateFirst] + t.ByOutcome[account.LateGap]
	free := t.Available - t.Repeated - lost - late - t.ByOutcome[account.InTime]
	fmt.Fprintf(w, "| slot time had | in time | late | lost | sent again | free while requests waited | free otherwise | largest prompts on an engine |\n")
	fmt.Fprintf(w, "| --- | --- | --- | --- | --- | --- | --- | --- |\n")
	fmt.Fprintf(w, "| %.0f s | %s | %s | %s | %s | %s | %s | %.0f%% of its memory |\n\n", t.Available, percent(t.ByOutcome[account.InTime]), percent(late),
		percent(lost), percent(t.Repeated), percent(t.IdleWhileWaiting), percent(free-t.IdleWhileWaiting),
		100*float64(t.PeakPrompt)/float64(engineService.LLM.KVCacheTokens))
}

// column is a column of the table of attempts: its title and the attempts that it counts.
type column struct {
	title   string
	matches func(*account.Attempt) bool
}

func outcome(o account.Outcome) column {
	return column{o.String(), func(a *account.Attempt) bool { return a.Outcome == o }}
}

func refused(reason string) column {
	return column{reason, func(a *account.Attempt) bool { return a.Outcome == account.Refused && a.Reason == reason }}
}

// writeAttempts prints the number of attempts by outcome, for each priority and goal.
func (d day) writeAttempts(w io.Writer) {
	reasons := map[string]int{}
	kinds := map[account.RouteClass]bool{}
	for _, a := range d.attempts {
		kinds[a.RouteClass] = true
		if a.Outcome == account.Refused {
			reasons[a.Reason]++
		}
	}
	columns := []column{{"attempts", func(*account.Attempt) bool { return true }}, outcome(account.InTime), outcome(account.LateFirst),
		outcome(account.LateGap), outcome(account.UpstreamError), outcome(account.CutOff), outcome(account.CallerDisconnected)}
	for _, reason := range slices.Sorted(maps.Keys(reasons)) {
		columns = append(columns, refused(reason))
	}
	fmt.Fprint(w, "| priority, goal |")
	for _, c := range columns {
		fmt.Fprintf(w, " %s |", c.title)
	}
	fmt.Fprint(w, "\n| --- |")
	for range columns {
		fmt.Fprint(w, " --- |")
	}
	fmt.Fprintln(w)
	for _, kind := range sortedKinds(kinds) {
		fmt.Fprintf(w, "| %d, %d ms |", kind.Priority, kind.Goal/time.Millisecond)
		for _, c := range columns {
			n := 0
			for _, a := range d.attempts {
				if a.RouteClass == kind && c.matches(a) {
					n++
				}
			}
			fmt.Fprintf(w, " %d |", n)
		}
		fmt.Fprintln(w)
	}
	fmt.Fprintln(w)
}

func sortedKinds(kinds map[account.RouteClass]bool) []account.RouteClass {
	return slices.SortedFunc(maps.Keys(kinds), func(a, b account.RouteClass) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Goal, b.Goal))
	})
}

// writeValue prints the value owed, the upper bound of what could be earned, and the
// value earned. Requests to plain services count in the bound with their full value.
func (d day) writeValue(w io.Writer) {
	engineService := d.site.engineService()
	var demands []account.Demand
	owed, earned, serviceValue := 0.0, 0.0, 0.0
	for _, c := range d.report.Classes {
		i := slices.IndexFunc(d.site.Classes, func(k class) bool { return k.Name == c.Name })
		if i < 0 {
			continue
		}
		k := d.site.Classes[i]
		owed += c.owed() * k.Worth
		earned += c.owed() * k.Worth * c.Worth
		if k.Service != engineService.Name {
			serviceValue += c.owed() * k.Worth
			continue
		}
		prompt, events := d.lengths(k)
		demands = append(demands, account.Demand{Requests: c.owed(), Worth: k.Worth, Prompt: prompt, Tokens: events * engineService.LLM.TokensPerEvent})
	}
	dayMs := float64(len(d.report.Windows)) * windowMs
	bound := serviceValue + account.MaxValue(demands, engineService.engineCosts(), dayMs)
	fmt.Fprintf(w, "| worth owed | bound | earned | of the bound | engine time that the owed requests take, full batches |\n")
	fmt.Fprintf(w, "| --- | --- | --- | --- | --- |\n")
	fmt.Fprintf(w, "| %.0f | %.0f | %.0f | %.2f | %.0f%% |\n\n", owed, bound, earned, earned/bound, 100*account.LoadRatio(demands, engineService.engineCosts(), dayMs))
}

// lengths returns the mean prompt length in tokens and the mean number of events of
// the class's complete answers, or the means of the site file if there are none.
func (d day) lengths(k class) (prompt, events float64) {
	kind := account.RouteClass{Priority: k.Priority, Goal: eventlog.Duration(k.GoalMs)}
	n := 0.0
	for _, a := range d.attempts {
		if a.RouteClass == kind && a.Events > 0 {
			n, prompt, events = n+1, prompt+float64(a.Prompt), events+float64(a.Events)
		}
	}
	if n == 0 {
		return k.Stream.Prompt.Mean, k.Stream.Events.Mean
	}
	return prompt / n, events / n
}

// writeUnserved prints the numbers of owed requests that were not served, by their last
// answer, the largest prices, and the bench's hints.
func (d day) writeUnserved(w io.Writer) {
	fmt.Fprint(w, "Not served, by the last answer: ")
	for _, u := range d.report.UnservedBy {
		fmt.Fprintf(w, "%s %d; ", u.answer, u.count)
	}
	fmt.Fprint(w, "\nPrices: ")
	slices.SortFunc(d.report.Prices, func(a, b price) int { return cmp.Compare(b.fraction, a.fraction) })
	for _, p := range d.report.Prices[:min(shownPrices, len(d.report.Prices))] {
		fmt.Fprintf(w, "%s %.3f; ", p.name, p.fraction)
	}
	fmt.Fprintln(w)
	for _, hint := range d.report.Hints {
		fmt.Fprintln(w, "Bench:", hint)
	}
}
