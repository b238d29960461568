package event

import "log/slog"

// Events of sessions with workers: 400 to 499.
var (
	WorkerSessionStarted = define(401, "worker-session-started", slog.LevelInfo,
		"session with worker started", "The worker was assigned to this instance. Nothing to do.")
	WorkerSessionEnded = define(402, "worker-session-ended", slog.LevelInfo,
		"session with worker ended", "The worker was assigned to another instance, or this instance shuts down. Nothing to do.")
	WorkerUnreachable = define(403, "worker-unreachable", slog.LevelWarn,
		"worker is unresponsive", "Calls to the worker fail. After 5 s it is reported lost. Check the worker and the network to it.")
	WorkerLost = define(404, "worker-lost", slog.LevelWarn,
		"worker reported lost", "The worker's lease is no longer renewed; its tasks are requeued when the lease has expired. Check the worker.")
	WorkerReturned = define(405, "worker-returned", slog.LevelInfo,
		"worker is responsive again", "A lost worker responds and accepts tasks again. Nothing to do.")
	WorkerRestarted = define(406, "worker-restarted", slog.LevelWarn,
		"worker restarted", "The worker's boot id changed, so all its tasks have ended and are requeued. If it repeats, check the worker.")
	WorkerFenceRefused = define(407, "worker-fence-refused", slog.LevelWarn,
		"worker refused the fence of the session", "Another instance has a newer assignment of the worker. If it lasts longer than a few seconds, check whether the worker belongs to another control group.")
	TaskStartRefused = define(408, "task-start-refused", slog.LevelWarn,
		"worker refused to start a task", "The task is requeued. If it repeats, compare the worker's registered capacity with its actual one.")
	TaskStartExpired = define(409, "task-start-void", slog.LevelWarn,
		"start of a task did not reach the worker in time", "The task is requeued. If it repeats, check the network to the worker.")
	TaskCheckpointFailed = define(410, "task-checkpoint-failed", slog.LevelWarn,
		"checkpoint of a task failed", "It is retried; after several failures the task is stopped and resumes from its last checkpoint.")
	UnknownTaskStopped = define(411, "task-unknown-stopped", slog.LevelWarn,
		"stopped a task that is not placed on the worker in the replicated state", "The task belongs to an earlier incarnation. Nothing to do.")
	TaskReportFailed = define(412, "task-report-failed", slog.LevelWarn,
		"report of task events was not confirmed", "It is repeated in the next reconcile pass. If it lasts, check whether the control group has a leader.")
)
