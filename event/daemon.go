package event

import "log/slog"

// Events of the start, operation and shutdown of an entry instance: 700 to 799.
var (
	InstanceStarted = define(701, "instance-started", slog.LevelInfo,
		"instance started", "The ports are open and all components run. The instance reports ready once it has a valid freshness lease.")
	InstanceFailed = define(702, "instance-failed", slog.LevelError,
		"instance failed", "A component failed without which the instance can't serve; the process ends with an error. Read the error, which names the failed step.")
	InstanceStopped = define(703, "instance-stopped", slog.LevelInfo,
		"instance stopped", "All components have ended. Nothing to do.")
	ShutdownStarted = define(704, "shutdown-started", slog.LevelInfo,
		"shutdown started", "The instance reports not ready, accepts requests for the grace period, then finishes those in flight.")
	ShutdownIncomplete = define(705, "shutdown-incomplete", slog.LevelWarn,
		"shutdown ended with requests in flight", "The wait for requests in flight ended early. Compare with the callers' records.")
	HandOverFailed = define(706, "hand-over-failed", slog.LevelWarn,
		"assignments were not handed over", "No leader accepted the hand-over. The leader moves the assignments once the freshness lease of this instance has expired; endpoints and workers of this instance get no new work for about 2 s.")
	SignalIgnored = define(707, "signal-ignored", slog.LevelWarn,
		"signal ignored during shutdown", "A second signal does not abort requests. Send SIGKILL to end the process at once.")
	SettingsReloaded = define(708, "settings-reloaded", slog.LevelInfo,
		"settings changed", "The settings that may change without a restart are in effect. Nothing to do.")
	SettingsRefused = define(709, "settings-refused", slog.LevelWarn,
		"settings file can't be used", "The previous settings remain in effect. Correct the file; it is read again at intervals and on SIGHUP.")
	ConnectionsNearLimit = define(710, "connections-near-limit", slog.LevelWarn,
		"connections are near their limit", "On this instance, connections of this use beyond the limit wait or fail. Compare the open connections with their limit in the metrics; raise the limit of descriptors, or look for a peer that opens too many.")
	HangupIgnored = define(711, "hangup-ignored", slog.LevelWarn,
		"SIGHUP ignored", "This process reads its settings only when it starts. Restart it to apply a change.")
	ClientRefused = define(712, "client-refused", slog.LevelWarn,
		"clients were refused or disconnected", "Clients exceeded a limit, or the memory or the connections for clients of this use were used up. The line is written every 10 s at most: reason and remote are those of the last client, refused is the number since the last line. Counters by reason are in the metrics. If ordinary clients are among them, raise the limit in the settings.")
	ProcessStoodStill = define(714, "process-stood-still", slog.LevelWarn,
		"process did not run for some time", "The machine was suspended, or the process got no processor time. For a moment, calls of clients and operators count as that much older, and those that their callers may have given up are not carried out. If it repeats, check the machine.")
	HandlerFailed = define(713, "request-handler-failed", slog.LevelError,
		"request could not be handled", "A defect of this program, triggered by this one request, whose connection was closed; other requests are still handled. Report it with the stack.")
)
