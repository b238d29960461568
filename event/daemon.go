package event

import "log/slog"

// Events of an entry instance's start and end: 700 to 799.
var (
	InstanceStarted = define(701, "instance-started", slog.LevelInfo,
		"instance started", "The ports are open and the parts run. The instance reports ready once it holds its freshness lease.")
	InstanceFailed = define(702, "instance-failed", slog.LevelError,
		"instance can't go on", "A part failed without which the instance can't serve; the process ends with an error. Read the error, which names the step.")
	InstanceStopped = define(703, "instance-stopped", slog.LevelInfo,
		"instance stopped", "All parts have ended. Nothing to do.")
	ShutdownStarted = define(704, "shutdown-started", slog.LevelInfo,
		"shutdown started", "The instance reports not ready, accepts requests for the grace period, then finishes those in flight.")
	ShutdownIncomplete = define(705, "shutdown-incomplete", slog.LevelWarn,
		"requests were still in flight", "The wait for requests in flight ended early. Compare with the callers' records.")
	HandOverFailed = define(706, "hand-over-failed", slog.LevelWarn,
		"assignments were not handed over", "No leader took the hand-over. The leader moves the assignments once the freshness lease of this instance has ended; endpoints and workers of this instance get no new work for about 2 s.")
	SignalIgnored = define(707, "signal-ignored", slog.LevelWarn,
		"shutdown is under way, signal ignored", "A second signal does not cut off requests. Send SIGKILL to end the process at once.")
	SettingsReloaded = define(708, "settings-reloaded", slog.LevelInfo,
		"settings changed", "What may change without a restart is in force. Nothing to do.")
	SettingsRefused = define(709, "settings-refused", slog.LevelWarn,
		"settings file can't be used", "The settings read before stay in force. Correct the file; it is read again at intervals and on SIGHUP.")
	ConnectionsNearLimit = define(710, "connections-near-limit", slog.LevelWarn,
		"connections are near their limit", "Connections of this use beyond the limit wait or fail here. Compare the open connections with their limit in the metrics; raise the limit of descriptors, or look for a peer that opens too many.")
)
