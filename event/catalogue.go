package event

import "log/slog"

// Events of peer connections: 100 to 199.
var (
	PeerConnected = define(101, "peer-connected", slog.LevelInfo,
		"connected to peer", "A connection to another entry instance is open. Nothing to do.")
	PeerDisconnected = define(102, "peer-disconnected", slog.LevelWarn,
		"lost connection to peer", "The connection broke or went silent and is redialled. If it repeats, check the network between the two instances.")
	PeerRefused = define(103, "peer-refused", slog.LevelWarn,
		"refused peer connection", "The handshake named another protocol version or an unknown instance. Check the settings of both instances and their versions.")
	PeerFrameRefused = define(104, "peer-frame-refused", slog.LevelWarn,
		"refused frame from peer", "A frame was too large or not decodable; the connection is closed and redialled. Check that both instances run the same version.")
	PeerHandlerFailed = define(105, "peer-handler-failed", slog.LevelError,
		"message from peer could not be handled", "A fault of this program, met by this one message; the sender got an error and other messages go on. Report it with the stack.")
)
