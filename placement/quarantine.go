package placement

import (
	"fmt"
	"strings"

	"apricotrouter/state"
)

// probeInterval is the delay before a quarantined worker that failed a task
// gets the next one, in milliseconds.
const probeInterval = 10_000

// quarantine quarantines the workers on which tasks of suspectOwners different
// jobs failed, and ends the quarantine of workers on which a task succeeded.
func (p *plan) quarantine() {
	for i := range p.view.workers {
		w := p.view.workers[i].worker
		switch {
		case w.QuarantinedAt == 0 && len(w.FailedOwners) >= suspectOwners:
			p.bodies = append(p.bodies, state.QuarantineWorker{
				Worker: w.ID, Quarantined: true,
				Reason: fmt.Sprintf("failed tasks of jobs %s", strings.Join(w.FailedOwners, ", ")),
			})
		case w.QuarantinedAt != 0 && len(w.FailedOwners) == 0:
			p.bodies = append(p.bodies, state.QuarantineWorker{Worker: w.ID, Reason: "a task succeeded"})
		}
	}
}

// probeDue reports whether a quarantined worker may get its next task.
func (p *plan) probeDue(w *state.Worker) bool {
	return w.QuarantinedAt != 0 && p.now-w.QuarantinedAt >= probeInterval
}
