package fleet

import (
	"github.com/prometheus/client_golang/prometheus"

	"apricotrouter/state"
)

// metrics are the metrics of the controller and the service.
type metrics struct {
	polls       prometheus.Counter
	unsent      prometheus.Counter
	inFlight    prometheus.Gauge
	panics      prometheus.Counter
	crashes     prometheus.Counter
	givenUp     prometheus.Counter
	missingEnds prometheus.Counter

	unansweredStarts prometheus.Counter
	confinedWaits    prometheus.Histogram

	cancellationsRefused prometheus.Counter

	start       prometheus.Histogram
	commit      prometheus.Histogram
	refusals    *prometheus.CounterVec
	lateStarts  *prometheus.CounterVec
	duration    *prometheus.HistogramVec
	calls       *prometheus.CounterVec
	late        *prometheus.CounterVec
	processors  *prometheus.GaugeVec
	waiting     *prometheus.GaugeVec
	tenantUse   *prometheus.GaugeVec
	tenantHeld  *prometheus.GaugeVec
	tenantShare *prometheus.GaugeVec
	short       *prometheus.GaugeVec
	drain       *prometheus.GaugeVec
	refused     *prometheus.CounterVec
	retryAfter  prometheus.Histogram
	stored      prometheus.Gauge

	runTimes       *prometheus.CounterVec
	runTimeRatio   *prometheus.HistogramVec
	runTimeChanges prometheus.Counter
	runTimeKeys    prometheus.Gauge
	slowWorkers    prometheus.Counter
	copies         *prometheus.CounterVec
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		polls: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "apricotrouter_fleet_looks_total", Help: "Looks at workers.",
		}),
		unsent: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "apricotrouter_fleet_unsent_calls_total", Help: "Calls to workers that failed on this instance before they were sent.",
		}),
		inFlight: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "apricotrouter_fleet_calls_in_flight", Help: "Calls to workers that have not been answered.",
		}),
		panics: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "apricotrouter_fleet_loop_failures_total", Help: "Faults of the controller's loop after which it started anew.",
		}),
		crashes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "apricotrouter_fleet_worker_crashes_total", Help: "Workers that were replaced by another incarnation without having announced their shutdown.",
		}),
		givenUp: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "apricotrouter_fleet_tasks_given_up_total", Help: "Tasks that were given up because workers crashed while they ran them.",
		}),
		missingEnds: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "apricotrouter_fleet_missing_ends_total", Help: "Ends of runs that workers discarded before they were read.",
		}),
		unansweredStarts: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "apricotrouter_fleet_unanswered_starts_total", Help: "Starts without an answer that confined their task to one worker.",
		}),
		confinedWaits: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "apricotrouter_fleet_confined_wait_seconds", Help: "Time that confined tasks waited until they started on their worker or could start on any.",
			Buckets: []float64{0.01, 0.03, 0.1, 0.3, 1, 3, 6, 12, 15},
		}),
		cancellationsRefused: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "apricotrouter_fleet_cancellations_refused_total", Help: "Cancellations of unknown workflows that were refused, because too many are remembered.",
		}),
		start: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "apricotrouter_fleet_start_seconds", Help: "Time until a worker answered a start.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 12),
		}),
		commit: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "apricotrouter_fleet_commit_seconds", Help: "Time until starts and ends of tasks were committed.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 12),
		}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "apricotrouter_fleet_start_refusals_total", Help: "Starts that workers refused, by reason.",
		}, []string{"reason"}),
		lateStarts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "apricotrouter_fleet_late_starts_total", Help: "Starts answered after their run had been resolved or taken over by a later incarnation of the worker, by outcome.",
		}, []string{"outcome"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "apricotrouter_fleet_workflow_objective_ratio", Help: "Time that workflows took, as a share of their objective, by phase.",
			Buckets: []float64{0.25, 0.5, 0.75, 1, 1.5, 2, 3, 5},
		}, []string{"phase"}),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "apricotrouter_fleet_calls_total", Help: "Calls to the leader, by operation and outcome.",
		}, []string{"operation", "outcome"}),
		late: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "apricotrouter_fleet_late_workflows_total", Help: "Workflows that missed their objective while open, by queue and by whether tasks waited for a worker.",
		}, []string{"queue", "waiting"}),
		processors: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "apricotrouter_fleet_pool_processors", Help: "Processors of a pool's usable workers after the last round of placement, by use.",
		}, []string{"pool", "use"}),
		waiting: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "apricotrouter_fleet_waiting_tasks", Help: "Tasks that waited for a worker after the last round of placement, by pool and kind.",
		}, []string{"pool", "kind"}),
		runTimes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "apricotrouter_fleet_completed_runs_total", Help: "Runs that completed their task, by what their duration says about the task's run time.",
		}, []string{"kind"}),
		runTimeRatio: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "apricotrouter_fleet_run_time_ratio", Help: "Run times of tasks at full speed, as a share of the declared and of the median learned run time.",
			Buckets: []float64{0.25, 0.5, 0.7, 0.8, 0.9, 1, 1.1, 1.25, 1.5, 2, 3, 5, 8},
		}, []string{"against"}),
		runTimeChanges: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "apricotrouter_fleet_run_time_changes_total", Help: "Abrupt changes of the run times of an image.",
		}),
		slowWorkers: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "apricotrouter_fleet_worker_speed_changes_total", Help: "Workers that were found to be slow, or no longer slow, by the run times of their tasks.",
		}),
		copies: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "apricotrouter_fleet_copies_total", Help: "Copies of slow runs that were started, and which of the two runs completed first.",
		}, []string{"event"}),
		runTimeKeys: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "apricotrouter_fleet_run_time_distributions", Help: "Distributions of run times that the leader has learned.",
		}),
		short: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "apricotrouter_fleet_pool_short", Help: "1 while more work waits in a pool than fits, else 0.",
		}, []string{"pool"}),
		drain: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "apricotrouter_fleet_backlog_seconds", Help: "Least time until the waiting work of a pool that can be of use has been started; 0 while it fits or the rate of the pool is not known.",
		}, []string{"pool"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "apricotrouter_fleet_refused_workflows_total", Help: "Submissions that were refused for lack of capacity or memory, by queue.",
		}, []string{"queue"}),
		retryAfter: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "apricotrouter_fleet_retry_after_seconds", Help: "Time after which refused submissions may be sent again.",
			Buckets: []float64{1, 2, 5, 10, 20, 50, 100, 200},
		}),
		stored: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "apricotrouter_fleet_stored_bytes", Help: "Estimated memory of the open workflows on the leader, in bytes.",
		}),
		tenantUse: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "apricotrouter_fleet_tenant_processors", Help: "Processors that the runs of a tenant use as declared, and its cap (0 is unlimited), by use. The 50 tenants with the highest weights are named.",
		}, []string{"tenant", "use"}),
		tenantHeld: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "apricotrouter_fleet_tenant_held_tasks", Help: "Tasks that wait because of the cap of their tenant.",
		}, []string{"tenant"}),
		tenantShare: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "apricotrouter_fleet_tenant_missing_share", Help: "Part of the capacity of its dominant resource that a tenant lacks of its share; negative above its share.",
		}, []string{"tenant"}),
	}
	if r != nil {
		r.MustRegister(m.polls, m.unsent, m.inFlight, m.panics, m.crashes, m.givenUp, m.missingEnds, m.start, m.commit, m.refusals, m.lateStarts, m.unansweredStarts, m.confinedWaits, m.cancellationsRefused, m.duration, m.calls, m.late, m.processors, m.waiting,
			m.runTimes, m.runTimeRatio, m.runTimeChanges, m.runTimeKeys, m.slowWorkers, m.copies, m.short, m.drain, m.refused, m.retryAfter, m.stored,
			m.tenantUse, m.tenantHeld, m.tenantShare)
	}
	return m
}

func (m *metrics) countRefusal(r RefusalReason) { m.refusals.WithLabelValues(r.String()).Inc() }

func (m *metrics) observeEnd(phase state.WorkflowPhase, duration, objective int64) {
	if objective > 0 {
		m.duration.WithLabelValues(string(phase)).Observe(float64(duration) / float64(objective))
	}
}

// setOccupancy sets the gauges of a pool.
func (m *metrics) setOccupancy(pool string, o occupancy) {
	const milli = 1000
	for use, milliCPU := range map[string]int64{"all": o.capacity, "serving": o.serving, "free": o.free, "held": o.reservedFree} {
		m.processors.WithLabelValues(pool, use).Set(float64(milliCPU) / milli)
	}
	for k, d := range o.waiting {
		m.waiting.WithLabelValues(pool, taskKindNames[k]).Set(float64(d.tasks))
	}
}
