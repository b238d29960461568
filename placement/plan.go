// Package placement decides, from the state, the observations and the time,
// which commands the leader proposes: replicas to add, tasks to place, throttle
// and stop, and workers to quarantine. It keeps nothing between two calls.
package placement

import (
	"slices"

	"apricotrouter/state"
)

// Limits of one command. Larger lists are split, so that no command delays the
// others of the log for long.
const (
	maxPlacementsPerCommand = 256
	maxStopsPerCommand      = 256
)

// Options are the settings of a Planner.
type Options struct {
	// Interference is the response to interference; InterferenceStepwise if empty.
	Interference InterferencePolicy
	// RefillPerSecond is the rate at which a zone that came back is filled, in
	// tasks; DefaultRefillPerSecond if 0.
	RefillPerSecond int64
	// MaxPlacements bounds the placements of one plan; DefaultMaxPlacements if 0.
	MaxPlacements int
	// MaxPreemptions bounds the tasks that one plan evicts for tasks of a
	// higher rank; DefaultMaxPreemptions if 0.
	MaxPreemptions int
	// EvictionsPerMinute bounds the evictions by interference in the whole
	// cluster; DefaultEvictionsPerMinute if 0.
	EvictionsPerMinute int
}

// Defaults of Options.
const (
	DefaultRefillPerSecond = 20
	DefaultMaxPlacements   = 512
	DefaultMaxPreemptions  = 64
)

// Planner makes plans under its options.
type Planner struct {
	options Options
}

// New returns a planner.
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

// Plan returns the commands to propose. It reads nothing but its arguments.
// now is in Unix milliseconds.
func (p *Planner) Plan(s *state.State, obs Observations, now int64) []state.Body {
	pl := &plan{Options: p.options, s: s, obs: obs, now: now}
	pl.buildView()
	pl.services()
	pl.drainZones()
	pl.quarantine()
	pl.relieve()
	pl.interference()
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

	sets        []*replicaSet
	spreads     map[string]*spread // by service; nil until needed
	hosted      [][]string         // services with replicas, by index of the worker
	harmed      map[string]bool    // services of harmful pairs; nil until needed
	harmful     map[string]bool    // classes of harmful pairs
	residentsOf [][]resident       // by index of the worker; nil until needed
	noRoom      []state.Resources  // sizes for which no worker has enough left
	scanned     int
	blocked     int
	// soon are the reservations of workers that will have room at once.
	soon          []*reservation
	blockedUrgent int
	preempted     int
	evicted       int // by interference
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

// commands returns all decisions, stops first.
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
