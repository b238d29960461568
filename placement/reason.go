package placement

import "strings"

// Causes of evictions and throttles. The reason stored with a task starts with
// its cause and a colon.
const (
	CauseInterference = "interference"
	CauseOverload     = "overload"
	CausePreemption   = "preemption"
	CauseZoneDrained  = "zone out"
)

const (
	reasonInterference = CauseInterference + ": "
	reasonOverload     = CauseOverload + ": "
	reasonPreemption   = CausePreemption + ": "
	reasonZoneDrained  = CauseZoneDrained + ": "
)

// Cause returns the cause that a reason starts with, or "" if there is none.
func Cause(reason string) string {
	cause, _, found := strings.Cut(reason, ": ")
	if !found {
		return ""
	}
	return cause
}
