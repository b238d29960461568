package event

import "log/slog"

// Events of workflows and their workers: 800 to 899.
var (
	FleetLeaderFound = define(801, "fleet-leader-found", slog.LevelInfo,
		"reached the leader", "Calls are carried to this leader. Nothing to do.")
	FleetLeaderLost = define(802, "fleet-leader-lost", slog.LevelWarn,
		"leader does not answer or no longer leads", "Calls wait for another leader until their deadline. If it goes on, check the control group.")
	FleetLeaderStarted = define(803, "fleet-took-over", slog.LevelInfo,
		"leader holds the workers", "This instance leads and looks at every known worker under its own fence. Nothing to do.")
	FleetLeaderStopped = define(804, "fleet-gave-up", slog.LevelInfo,
		"leader no longer holds the workers", "Another instance leads, or a commit has an unknown outcome and the state is read again. Nothing to do.")
	FleetLoopFailed = define(806, "fleet-loop-failed", slog.LevelError,
		"the controller of workflows failed and starts anew", "A fault of this program. The controller has read the replicated state again under a higher fence, so that runs go on. If it repeats within seconds the process stops and another instance leads. Report it with the stack.")
	FleetCall = define(805, "fleet-call", slog.LevelInfo,
		"answered a call", "The outcome of a client's or operator's call, with its id, on the instance that took it.")
	WorkflowAccepted = define(811, "workflow-accepted", slog.LevelInfo,
		"workflow accepted", "The workflow is stored. Its objective and the number of tasks are named.")
	WorkflowRefused = define(812, "workflow-refused", slog.LevelInfo,
		"workflow refused", "The workflow was not stored and never runs; the reason and the time to come back are named.")
	WorkflowEnded = define(813, "workflow-ended", slog.LevelInfo,
		"workflow ended", "The workflow completed, failed or was cancelled, with the time that it took and its objective.")
	WorkflowMissedObjective = define(814, "workflow-late", slog.LevelInfo,
		"workflow missed its objective", "Logged once by each leader that sees it late and open: how many tasks are done, run and wait for a worker, and for how long the longest has waited. Waiting tasks point at `pool-room`, running ones at workers that are slow.")
	TaskPlaced = define(821, "task-placed", slog.LevelInfo,
		"task placed", "A run of a task was recorded for a worker and is sent to it.")
	FleetStartRefused = define(822, "fleet-start-refused", slog.LevelInfo,
		"worker refused a start", "The run is void and the task waits for another worker. Check the worker if it repeats.")
	TaskStartUnknown = define(823, "task-start-unknown", slog.LevelWarn,
		"outcome of a start is unknown", "The run is stopped before the task is started again. If it repeats, check the worker and the way to it.")
	TaskEnded = define(824, "task-ended", slog.LevelInfo,
		"run of a task ended", "How a run ended on its worker. A lost run is started again.")
	TaskStopping = define(825, "task-stopping", slog.LevelInfo,
		"stopping a run", "The reason is named: cancelled, preempted, stray, draining worker or unknown outcome.")
	TaskRateChanged = define(826, "task-paced", slog.LevelInfo,
		"changed the pace of a run", "A task that uses leftover processors is slowed for the sake of a serving task on the same worker, or let go again.")
	InterferenceNotSaved = define(827, "pressures-not-saved", slog.LevelWarn,
		"learned pressures were not saved", "The next leader starts from older estimates. They are saved again within seconds; check the control group if it repeats.")
	PoolCapacity = define(828, "pool-room", slog.LevelInfo,
		"room of a pool after a round of placement", "At most one a second while tasks wait: what the pool's usable workers have, what serving tasks reserve, what is free in all and on one worker, what is kept for serving tasks, and which tasks wait for how much.")
	ServingTaskWaiting = define(829, "serving-task-waits", slog.LevelInfo,
		"serving task waits for a worker", "At most one a second for each pool, of the serving task that has waited longest, from 2 s on and first of those that ran before (`run`): how many usable workers have room for it, and what keeps it off the others. `share` counts rooms that are kept for batch tasks; `idle` is how many serving tasks may go beyond the share. If workers have room (`admitted`, `share`, `excluded`, `held`) and it goes on, report it.")
	WorkerRegistered = define(831, "worker-known", slog.LevelInfo,
		"worker registered", "A new life of a worker, or a change of what it reported. Nothing to do.")
	WorkerRemoved = define(832, "worker-gone", slog.LevelInfo,
		"life of a worker ended", "It left, was replaced by another life, or its lease ended. Its runs are lost and start again.")
	WorkerUnresponsive = define(833, "worker-silent", slog.LevelWarn,
		"worker does not answer", "Nothing is placed there. Its runs are lost once its lease has ended.")
	WorkerResponsive = define(834, "worker-answers", slog.LevelInfo,
		"worker answers again", "Nothing to do.")
	WorkerQuarantined = define(835, "worker-quarantined", slog.LevelWarn,
		"worker is not used for a while", "It failed or refused several tasks that others could run. Check the worker.")
	WorkerCallNotSent = define(836, "worker-call-not-sent", slog.LevelWarn,
		"calls to workers fail on this instance", "The calls were never sent, for want of descriptors, memory or ports here. Nothing is held against the workers. Compare the open connections with their limit in the metrics.")
	WorkerLeaving = define(837, "worker-leaves", slog.LevelInfo,
		"worker says that it leaves", "Its runs are given up once it no longer answers. Nothing to do.")
	WorkerRemovalNotSaved = define(838, "worker-gone-not-saved", slog.LevelWarn,
		"could not commit that a worker is gone", "Nothing is placed there. A later leader finds that it does not answer. If it repeats, check that the control group has a leader.")
	QueuesChanged = define(841, "queues-changed", slog.LevelInfo,
		"configuration of queues changed", "A newer version is in force. Nothing to do.")
	ZoneEvacuation = define(842, "zone-evacuation", slog.LevelInfo,
		"evacuation of an availability zone changed", "Nothing is started on the workers of an evacuated zone.")
	HeartbeatRefused = define(851, "heartbeat-refused", slog.LevelWarn,
		"refused heartbeat", "The report could not be read or names no usable worker. Check its sender.")
)
