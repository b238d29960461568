package event

import "log/slog"

//go:generate go test -count=1 -run TestEventsPageMatchesCatalogue . -args -update

// Events of the operator service: 600 to 699.
var (
	OperatorListening = define(601, "operator-listening", slog.LevelInfo,
		"operator port is open", "The operator service accepts calls. Nothing to do.")
	OperatorChanged = define(602, "operator-changed", slog.LevelInfo,
		"operator changed an object", "A change was committed. Nothing to do; `apricotrouter audit` lists it.")
	OperatorRefused = define(603, "operator-refused", slog.LevelInfo,
		"refused operator request", "The request changed nothing; the operator got the reason. Nothing to do.")
	OperatorUnavailable = define(604, "operator-unavailable", slog.LevelWarn,
		"could not serve operator request", "No leader confirmed the request in time, or this instance has no confirmed state. The operator resends with the same request id. If it repeats, check the control group with `apricotrouter status`.")
	OperatorGroupFormed = define(605, "operator-group-formed", slog.LevelInfo,
		"control group is formed", "`apricotrouter init` succeeded, or found an existing group. Nothing to do.")
)
