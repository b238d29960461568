package event

import "log/slog"

// Events of peer connections: 100 to 199.
var (
	PeerConnected = define(101, "peer-connected", slog.LevelInfo,
		"connected to peer", "A connection to another entry instance is open. Nothing to do.")
	PeerDisconnected = define(102, "peer-disconnected", slog.LevelWarn,
		"lost connection to peer", "The connection broke or became unresponsive and is opened again. If it repeats, check the network between the two instances.")
	PeerRefused = define(103, "peer-refused", slog.LevelWarn,
		"refused peer connection", "The handshake named another protocol version or an unknown instance. Check the settings and the versions of both instances.")
	PeerFrameRefused = define(104, "peer-frame-refused", slog.LevelWarn,
		"refused frame from peer", "A frame was too large or could not be decoded; the connection is closed and opened again. Check that both instances run the same version.")
	PeerCallsExpired = define(106, "peer-calls-expired", slog.LevelWarn,
		"calls from peer arrived too late", "At most one line per second for each connection: calls that were on their way for longer (`delay_ms`) than their callers waited (`waits_ms`), and were not carried out. One of the two instances stood still, or the network delayed them. If it repeats, check both.")
	PeerHandlerFailed = define(105, "peer-handler-failed", slog.LevelError,
		"message from peer could not be handled", "A defect of this program, triggered by this one message; the sender got an error, and other messages are still handled. Report it with the stack.")
)
