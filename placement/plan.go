// Package placement decides, from the state, the observations and the time,
// which commands the leader proposes: replicas to add, tasks to place, throttle
// and stop, and workers to quarantine. A plan does not depend on earlier plans.
package placement

import (
	"slices"

	"apricotrouter/state"
)

// Limits of one command. Longer lists are split, so that no single command
// delays the other entries of the log for long.
const (
	maxPlacementsPerCommand = 256
	maxStopsPerCommand      = 256
)

// Options are the settings of a Planner.
type Options struct {
	// Interference is the response to interference; InterferenceStepwise if
	// empty.
	Interference InterferencePolicy
	// RefillPerSecond is the rate at which a zone that returned to service is
	// filled, in tasks per second; DefaultRefillPerSecond if 0.
	RefillPerSecond int64
	// MaxPlacements limits the placements of one plan; DefaultMaxPlacements if
	// 0.
	MaxPlacements int
	// MaxPreemptions limits the tasks that one plan evicts in favour of tasks
	// of a higher rank; DefaultMaxPreemptions if 0.
	MaxPreemptions int
	// EvictionsPerMinute limits the evictions because of interference or
	// overload in the whole cluster; DefaultEvictionsPerMinute if 0.
	EvictionsPerMinute int
}

// Defaults of Options.
const (
	DefaultRefillPerSecond = 20
	DefaultMaxPlacements   = 512
	DefaultMaxPreemptions  = 64
)

// Planner creates plans with its options.
type Planner struct {
	options Options
}

// New returns a planner. Options that are zero get their default.
func New(o Options) *Planner {
	if o.Interference == "" {
		o.Interference = InterferenceStepwise
	}
	if o.RefillPerSecond == 0 {
		o.RefillPerSecond = DefaultRefillPerSecond
	}
	if o.MaxPlacements == 0 {
		o.MaxPlacements = DefaultMaxPlacements
	}
	if o.MaxPreemptions == 0 {
		o.MaxPreemptions = DefaultMaxPreemptions
	}
	if o.EvictionsPerMinute == 0 {
		o.EvictionsPerMinute = DefaultEvictionsPerMinute
	}
	return &Planner{options: o}
}

var defaultPlanner = New(Options{})

// Plan returns the commands to propose under the default options. now is in
// Unix milliseconds.
func Plan(s *state.State, obs Observations, now int64) []state.Body {
	return defaultPlanner.Plan(s, obs, now)
}

// Plan returns the commands to propose. The result depends only on the
// arguments and the options. now is in Unix milliseconds.
func (p *Planner) Plan(s *state.State, obs Observations, now int64) []state.Body {
	pl := &plan{Options: p.options, s: s, obs: obs, now: now}
	pl.buildView()
	pl.services()
	pl.drainBatchTasks()
	pl.quarantine()
	pl.evictOverMemory()
	pl.mitigateInterference()
	pl.placePending()
	return pl.commands()
}

// plan collects the decisions of one call of Plan.
type plan struct {
	Options
	s   *state.State
	obs Observations
	now int64

	view view

	bodies     []state.Body
	stops      []state.TaskStop
	stopped    map[string]bool // tasks in stops
	placements []state.Placement

	replicaSets       []*replicaSet
	replicasByService map[string]*replicaCounts // by service; nil until needed
	servicesByWorker  [][]string                // services with replicas, by index of the worker
	harmedServices    map[string]bool           // services of harmful pairs; nil until needed
	harmfulClasses    map[string]bool           // classes of harmful pairs
	residentsByWorker [][]resident              // by index of the worker; nil until needed
	unplaceable       []state.Resources         // sizes for which no worker has enough free capacity
	scanned           int
	blocked           int
	// imminent lists the reservations that become available within
	// stopDuration.
	imminent      []*reservation
	blockedUrgent int
	preempted     int
	evicted       int // because of interference or overload
}

func (p *plan) stop(t *state.Task, why state.StopReason, reason string) {
	if p.stopped[t.ID] {
		return
	}
	if p.stopped == nil {
		p.stopped = make(map[string]bool)
	}
	p.stopped[t.ID] = true
	p.stops = append(p.stops, state.TaskStop{
		Task: t.ID, Incarnation: t.Incarnation, StopReason: why, Reason: reason,
	})
}

// commands returns all decisions as commands, stops first.
func (p *plan) commands() []state.Body {
	var out []state.Body
	for part := range slices.Chunk(p.stops, maxStopsPerCommand) {
		out = append(out, state.StopTasks{Stops: part})
	}
	out = append(out, p.bodies...)
	for part := range slices.Chunk(p.placements, maxPlacementsPerCommand) {
		out = append(out, state.PlaceTasks{Placements: part})
	}
	return out
}
