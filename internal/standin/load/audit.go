package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/citrongate/citrongate/internal/standin/service"
)

// Audit compares the outcomes of bookings with the ledgers of all services, and
// checks the run counts of all engines. It returns one line for each violation: a
// booking that ran twice, that ran although it was reported as not run, or that did
// not run although it was reported as run; or a request that was started more than
// once on engines.
func Audit(ctx context.Context, outcomes []Outcome, services, engines []string) ([]string, error) {
	runs := map[string]int{}
	for _, address := range services {
		var ledger service.Ledger
		if err := getJSON(ctx, "http://"+address+"/control/ledger", &ledger); err != nil {
			return nil, err
		}
		for key, n := range ledger.ByKey {
			runs[key] += n
		}
	}
	violations := auditBookings(outcomes, runs)
	starts := map[string]int{}
	for _, address := range engines {
		var byID map[string]int
		if err := getJSON(ctx, "http://"+address+"/control/runs", &byID); err != nil {
			return nil, err
		}
		for id, n := range byID {
			starts[id] += n
		}
	}
	for id, n := range starts {
		if n > 1 {
			violations = append(violations, fmt.Sprintf("request %s was started %d times on engines", id, n))
		}
	}
	return violations, nil
}

func auditBookings(outcomes []Outcome, runs map[string]int) []string {
	var violations []string
	for _, outcome := range outcomes {
		if outcome.Flow.Type != Booking || outcome.Result == nil {
			continue
		}
		total, counted := 0, map[string]bool{}
		for _, attempt := range outcome.Result.Attempts {
			if !counted[attempt.Key] {
				total += runs[attempt.Key]
			}
			counted[attempt.Key] = true
		}
		ran := outcome.Result.Ran
		if total > 1 || ran == "no" && total != 0 || ran == "yes" && total != 1 {
			violations = append(violations, fmt.Sprintf("booking %d was reported as ran %s, and the ledgers show %d runs", outcome.Number, ran, total))
		}
	}
	return violations
}

func getJSON(ctx context.Context, url string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(into)
}
