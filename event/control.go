package event

import "log/slog"

// Events of the leader loop: 300 to 399.
var (
	ControlStarted = define(301, "control-started", slog.LevelInfo,
		"leader loop started", "This instance leads the control group and makes assignments and placements. Nothing to do.")
	ControlStopped = define(302, "control-stopped", slog.LevelInfo,
		"leader loop stopped", "This instance no longer leads the control group. Nothing to do.")
	ControlProposalFailed = define(303, "control-proposal-failed", slog.LevelWarn,
		"outcome of a proposal is unknown", "The leader decides anew from the next state. If it repeats, check whether the control group has a majority.")
	ControlProposalRefused = define(304, "control-proposal-refused", slog.LevelInfo,
		"a proposal no longer applied", "The state changed between decision and apply. Nothing to do unless it repeats for the same object.")
	ControlAssignmentsMoved = define(305, "control-owners-moved", slog.LevelInfo,
		"assignments moved to other instances", "An instance left or its lease ended. If it did not leave on purpose, check that instance.")
	ControlLeaseExpired = define(306, "control-worker-lease-ended", slog.LevelWarn,
		"lease of a lost worker has ended", "Its tasks are requeued from their last checkpoints. Check the worker.")
	ControlBucketsChanged = define(307, "control-ledger-buckets-changed", slog.LevelInfo,
		"holders of ledger buckets changed", "An instance joined, left or its lease ended. Nothing to do.")
	ControlBucketsLost = define(308, "control-ledger-buckets-lost", slog.LevelError,
		"both copies of ledger buckets were lost", "Requests of these buckets that could be resends are answered as unknown for the retention time. Check why two instances failed at once.")
	ControlNoInstance = define(309, "control-no-instance", slog.LevelWarn,
		"no live instance can own endpoints or workers", "Every known instance is leaving or its lease has ended. Start entry instances.")
	ControlQuarantine = define(310, "control-quarantine", slog.LevelWarn,
		"quarantine of a worker changed", "A worker that fails the tasks of several jobs gets one task at a time until one succeeds. Check the worker if it stays in quarantine.")
	ControlInterference = define(311, "control-interference", slog.LevelInfo,
		"acted on interference between tasks", "Batch tasks that slow a service down are throttled or evicted. Nothing to do unless it repeats for the same pair.")
	ControlTasksStopped = define(312, "control-tasks-stopped", slog.LevelInfo,
		"told tasks to stop", "Tasks are evicted, replaced or removed; the reason is that of the first. Nothing to do unless evictions repeat for the same reason.")
)
