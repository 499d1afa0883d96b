package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/citrongate/citrongate/internal/standin/service"
)

// Audit compares the outcomes of bookings with the ledgers of all services and
// the run counts of all engines. It returns one line for each violation: a
// booking that ran twice, that ran although the caller was told "not run", or
// that did not run although it was answered; or a request that was started
// twice on engines.
func Audit(ctx context.Context, outcomes []Outcome, services, engines []string) ([]string, error) {
	runs := map[string]int{}
	for _, address := range services {
		var ledger service.Ledger
		if err := read(ctx, "http://"+address+"/control/ledger", &ledger); err != nil {
			return nil, err
		}
		for key, n := range ledger.ByKey {
			runs[key] += n
		}
	}
	violations := auditBookings(outcomes, runs)
	started := map[string]int{}
	for _, address := range engines {
		var byID map[string]int
		if err := read(ctx, "http://"+address+"/control/runs", &byID); err != nil {
			return nil, err
		}
		for id, n := range byID {
			started[id] += n
		}
	}
	for id, n := range started {
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
		total, seen := 0, map[string]bool{}
		for _, attempt := range outcome.Result.Attempts {
			if !seen[attempt.Key] {
				total += runs[attempt.Key]
			}
			seen[attempt.Key] = true
		}
		ran := outcome.Result.Ran
		if total > 1 || ran == "no" && total != 0 || ran == "yes" && total != 1 {
			violations = append(violations, fmt.Sprintf("booking %d was reported as ran %s, and the ledgers show %d runs", outcome.Number, ran, total))
		}
	}
	return violations
}

func read(ctx context.Context, url string, into any) error {
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
