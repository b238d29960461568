package caller

import (
	"fmt"

	"apricotrouter/standin/endpoint"
)

// Violations compares the results of callers with what the endpoints ran, and
// describes each result that should not be possible.
func Violations(results []Result, endpoints ...*endpoint.Endpoint) []string {
	runs := make(map[string]int)
	for _, e := range endpoints {
		for _, r := range e.Records() {
			runs[r.RequestID]++
		}
	}
	var found []string
	for _, r := range results {
		if text := r.violation(runs[r.ID]); text != "" {
			found = append(found, fmt.Sprintf("request %s through %s (%s, %s): %s", r.ID, r.Target, r.Outcome, r.Detail, text))
		}
	}
	return found
}

// violation says what is wrong with a request that ran so many times.
func (r Result) violation(runs int) string {
	switch {
	case r.Outcome == Wrong:
		return "the answer belongs to another request or is incomplete"
	case r.Outcome == Answered && runs == 0:
		return "answered without a run"
	case r.Outcome == NotRun && runs > 0:
		return fmt.Sprintf("refused as not-run, but ran %d times", runs)
	case !r.Idempotent && runs > 1:
		return fmt.Sprintf("not idempotent, but ran %d times", runs)
	}
	return ""
}

// Tally counts results by outcome.
type Tally struct {
	Total, Answered, NotRun, Unknown, Wrong int
}

// Count returns the tally of results.
func Count(results []Result) Tally {
	t := Tally{Total: len(results)}
	for _, r := range results {
		switch r.Outcome {
		case Answered:
			t.Answered++
		case NotRun:
			t.NotRun++
		case Wrong:
			t.Wrong++
		default:
			t.Unknown++
		}
	}
	return t
}
