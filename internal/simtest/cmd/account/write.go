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
	// windowMs is the length of the report's windows.
	windowMs = 2000
	// shownPrices is how many prices are printed, the largest first.
	shownPrices = 5
)

// day is what is known of one day.
type day struct {
	site     *site
	report   *report
	attempts []*account.Attempt
}

// write prints the account in Markdown.
func write(w io.Writer, d day) {
	d.writeSlots(w)
	d.writeAttempts(w)
	d.writeWorth(w)
	d.writeLost(w)
}

func (d day) writeSlots(w io.Writer) {
	engines := d.site.engines()
	t := account.Slots(d.attempts, account.Engines{Count: engines.size(), Slots: engines.Slots})
	part := func(seconds float64) string { return fmt.Sprintf("%.1f%%", 100*seconds/t.Had) }
	lost := t.By[account.Broken] + t.By[account.CallerLeft] + t.By[account.Refused] + t.By[account.UpstreamError] + t.By[account.Open]
	late := t.By[account.LateFirst] + t.By[account.LatePause]
	free := t.Had - t.Again - lost - late - t.By[account.InTime]
	fmt.Fprintf(w, "| slot time had | in time | late | lost | sent again | free while requests waited | free otherwise | largest prompts on an engine |\n")
	fmt.Fprintf(w, "| --- | --- | --- | --- | --- | --- | --- | --- |\n")
	fmt.Fprintf(w, "| %.0f s | %s | %s | %s | %s | %s | %s | %.0f%% of its memory |\n\n", t.Had, part(t.By[account.InTime]), part(late),
		part(lost), part(t.Again), part(t.IdleWhileWaiting), part(free-t.IdleWhileWaiting),
		100*float64(t.PeakPrompt)/float64(engines.LLM.MemoryOfATokens))
}

// column is one column of the table of attempts.
type column struct {
	title string
	has   func(*account.Attempt) bool
}

func outcome(o account.Outcome) column {
	return column{o.String(), func(a *account.Attempt) bool { return a.Outcome == o }}
}

func refused(reason string) column {
	return column{reason, func(a *account.Attempt) bool { return a.Outcome == account.Refused && a.Reason == reason }}
}

// writeAttempts prints what became of attempts, by priority and goal.
func (d day) writeAttempts(w io.Writer) {
	reasons := map[string]int{}
	kinds := map[account.Kind]bool{}
	for _, a := range d.attempts {
		kinds[a.Kind] = true
		if a.Outcome == account.Refused {
			reasons[a.Reason]++
		}
	}
	columns := []column{{"attempts", func(*account.Attempt) bool { return true }}, outcome(account.InTime), outcome(account.LateFirst),
		outcome(account.LatePause), outcome(account.UpstreamError), outcome(account.Broken), outcome(account.CallerLeft)}
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
				if a.Kind == kind && c.has(a) {
					n++
				}
			}
			fmt.Fprintf(w, " %d |", n)
		}
		fmt.Fprintln(w)
	}
	fmt.Fprintln(w)
}

func sortedKinds(kinds map[account.Kind]bool) []account.Kind {
	return slices.SortedFunc(maps.Keys(kinds), func(a, b account.Kind) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Goal, b.Goal))
	})
}

// writeWorth prints what was owed, earned and possible.
func (d day) writeWorth(w io.Writer) {
	engines := d.site.engines()
	var demands []account.Demand
	owed, earned, plain := 0.0, 0.0, 0.0
	for _, c := range d.report.Classes {
		i := slices.IndexFunc(d.site.Classes, func(k class) bool { return k.Name == c.Name })
		if i < 0 {
			continue
		}
		k := d.site.Classes[i]
		owed += c.owed() * k.Worth
		earned += c.owed() * k.Worth * c.Worth
		if k.Service != engines.Name {
			plain += c.owed() * k.Worth
			continue
		}
		prompt, events := d.lengths(k)
		demands = append(demands, account.Demand{Requests: c.owed(), Worth: k.Worth, Prompt: prompt, Tokens: events * engines.LLM.TokensPerEvent})
	}
	dayMs := float64(len(d.report.Windows)) * windowMs
	bound := plain + account.Bound(demands, engines.list(), dayMs)
	fmt.Fprintf(w, "| worth owed | bound | earned | of the bound | engine time that the owed requests take, full batches |\n")
	fmt.Fprintf(w, "| --- | --- | --- | --- | --- |\n")
	fmt.Fprintf(w, "| %.0f | %.0f | %.0f | %.2f | %.0f%% |\n\n", owed, bound, earned, earned/bound, 100*account.Load(demands, engines.list(), dayMs))
}

// lengths returns the mean prompt in tokens and the mean number of events of
// the kind's whole answers, or those of the site file without any.
func (d day) lengths(k class) (prompt, events float64) {
	kind := account.Kind{Priority: k.Priority, Goal: eventlog.Duration(k.GoalMs)}
	n := 0.0
	for _, a := range d.attempts {
		if a.Kind == kind && a.Events > 0 {
			n, prompt, events = n+1, prompt+float64(a.Prompt), events+float64(a.Events)
		}
	}
	if n == 0 {
		return k.Stream.Prompt.Mean, k.Stream.Events.Mean
	}
	return prompt / n, events / n
}

// writeLost prints the owed requests that were not served by their last answer,
// and the largest prices.
func (d day) writeLost(w io.Writer) {
	fmt.Fprint(w, "Not served, by the last answer: ")
	for _, l := range d.report.UnservedBy {
		fmt.Fprintf(w, "%s %d; ", l.answer, l.count)
	}
	fmt.Fprint(w, "\nPrices: ")
	slices.SortFunc(d.report.Prices, func(a, b price) int { return cmp.Compare(b.part, a.part) })
	for _, p := range d.report.Prices[:min(shownPrices, len(d.report.Prices))] {
		fmt.Fprintf(w, "%s %.3f; ", p.name, p.part)
	}
	fmt.Fprintln(w)
	for _, hint := range d.report.Hints {
		fmt.Fprintln(w, "Bench:", hint)
	}
}
