package event

import "log/slog"

// Events of the leader's control loop: 300 to 399.
var (
	ControlStarted = define(301, "control-started", slog.LevelInfo,
		"leader loop started", "This instance leads the control group and makes assignments and placements. Nothing to do.")
	ControlStopped = define(302, "control-stopped", slog.LevelInfo,
		"leader loop stopped", "This instance no longer leads the control group. Nothing to do.")
	ControlProposalFailed = define(303, "control-proposal-failed", slog.LevelWarn,
		"outcome of a proposal is unknown", "The leader decides again, based on the next state. If it repeats, check whether the control group has a majority.")
	ControlProposalRefused = define(304, "control-proposal-refused", slog.LevelInfo,
		"proposal refused because the state had changed", "The state changed between the decision and its application. Nothing to do unless it repeats for the same object.")
	ControlAssignmentsMoved = define(305, "control-owners-moved", slog.LevelInfo,
		"assignments moved to other instances", "An instance shut down or its lease expired. If the shutdown was not intended, check that instance.")
	ControlLeaseExpired = define(306, "control-worker-lease-ended", slog.LevelWarn,
		"lease of a lost worker has expired", "Its tasks are requeued from their last checkpoints. Check the worker.")
	ControlBucketsChanged = define(307, "control-ledger-buckets-changed", slog.LevelInfo,
		"assignment of ledger buckets changed", "An instance joined, left or its lease expired. Nothing to do.")
	ControlBucketsLost = define(308, "control-ledger-buckets-lost", slog.LevelError,
		"both copies of ledger buckets were lost", "Requests of these buckets that may be resends get the outcome unknown for the retention time. Check why two instances failed at the same time.")
	ControlNoInstance = define(309, "control-no-instance", slog.LevelWarn,
		"no available instance can own endpoints or workers", "Every known instance is shutting down or its lease has expired. Start entry instances.")
	ControlQuarantine = define(310, "control-quarantine", slog.LevelWarn,
		"quarantine of a worker changed", "A worker on which tasks of several jobs fail gets one task at a time until one succeeds. Check the worker if it remains in quarantine.")
	ControlInterference = define(311, "control-interference", slog.LevelInfo,
		"responded to interference between tasks", "Batch tasks that slow a service down are throttled or evicted. Nothing to do unless it repeats for the same pair.")
	ControlTasksStopped = define(312, "control-tasks-stopped", slog.LevelInfo,
		"stopping tasks", "Tasks are evicted, replaced or removed; the reason is that of the first task. Nothing to do unless evictions repeat for the same reason.")
)
