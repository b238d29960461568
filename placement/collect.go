package placement

import "apricotrouter/state"

// Collector turns the notices of session holders into Observations. It is
// used by one goroutine.
type Collector struct {
	obs Observations
}

// NewCollector returns an empty collector of a leader elected at since, in
// Unix milliseconds.
func NewCollector(since int64) *Collector {
	return &Collector{obs: Observations{Since: since, Workers: make(map[string]*WorkerSample)}}
}

// Observations returns what is known. It is valid until the next call of Add
// or NoteAction.
func (c *Collector) Observations() Observations { return c.obs }

// Add takes in a notice received at now. Samples of an earlier owner and ones
// older than the last are dropped.
func (c *Collector) Add(s *state.State, n *ObservationsNotice, now int64) {
	for i := range n.Workers {
		w := &n.Workers[i]
		a := s.Assignment(state.AssignWorker, w.Worker)
		old := c.obs.Workers[w.Worker]
		if a == nil || a.Fence != w.Fence || old != nil && old.SampledAt >= w.SampledAt {
			continue
		}
		// The clock of the sender may be ahead of this one.
		w.SampledAt = min(w.SampledAt, now)
		c.obs.Workers[w.Worker] = w
	}
}

// NoteAction remembers a command that acts on interference.
func (c *Collector) NoteAction(body state.Body, now int64) {}
