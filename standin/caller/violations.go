package caller

import (
	"fmt"

	"apricotrouter/standin/endpoint"
)

// Violations compares the results of callers with the requests that the endpoints
// ran, and describes each result that violates a guarantee.
func Violations(results []Result, endpoints ...*endpoint.Endpoint) []string {
	runs := make(map[string]int)
	for _, e := range endpoints {
		for _, r := range e.Records() {
			runs[r.RequestID]++
		}
	}
	var violations []string
	for _, r := range results {
		if text := r.violation(runs[r.ID]); text != "" {
			violations = append(violations, fmt.Sprintf("request %s through %s (%s, %s): %s", r.ID, r.Target, r.Outcome, r.Detail, text))
		}
	}
	return violations
}

// violation describes the violation in the result of a request that ran runs
// times. It returns "" if there is none.
func (r Result) violation(runs int) string {
	switch {
	case r.Outcome == Mismatched:
		return "response belongs to another request or is incomplete"
	case r.Outcome == Completed && runs == 0:
		return "response received, but the request never ran"
	case r.Outcome == NotRun && runs > 0:
		return fmt.Sprintf("refused as not-run, but ran %d times", runs)
	case !r.Idempotent && runs > 1:
		return fmt.Sprintf("not idempotent, but ran %d times", runs)
	}
	return ""
}

// Tally is the number of results by outcome.
type Tally struct {
	Total, Completed, NotRun, Unknown, Mismatched int
}

// Count counts results by outcome.
func Count(results []Result) Tally {
	t := Tally{Total: len(results)}
	for _, r := range results {
		switch r.Outcome {
		case Completed:
			t.Completed++
		case NotRun:
			t.NotRun++
		case Mismatched:
			t.Mismatched++
		default:
			t.Unknown++
		}
	}
	return t
}
