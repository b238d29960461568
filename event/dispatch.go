package event

import "log/slog"

// Events of the endpoint registry, the request path and the ledger: 500 to 599.
var (
	EndpointOwned = define(501, "endpoint-owned", slog.LevelInfo,
		"took over endpoint", "This instance now owns the endpoint and counts its slots. Nothing to do.")
	EndpointReleased = define(502, "endpoint-released", slog.LevelInfo,
		"no longer owns endpoint", "The endpoint was assigned to another instance or removed. Nothing to do.")
	EndpointDraining = define(503, "endpoint-draining", slog.LevelInfo,
		"endpoint is draining", "The endpoint announced its shutdown and receives no new requests. Nothing to do.")
	EndpointExpired = define(504, "endpoint-silent", slog.LevelWarn,
		"endpoint expired", "No announcement arrived within the time to live. Check the endpoint and its connection to the entry instances.")
	EndpointProposalFailed = define(505, "endpoint-proposal-failed", slog.LevelWarn,
		"could not commit change of endpoint", "The change is proposed again at the next announcement. If it repeats, check that the control group has a leader.")
	AnnouncementRefused = define(506, "announcement-refused", slog.LevelWarn,
		"refused announcement", "The announcement was invalid. Check the settings of the endpoint.")
	AttemptFailed = define(511, "attempt-failed", slog.LevelInfo,
		"attempt at endpoint failed", "One attempt at an endpoint or peer failed. If it repeats for one endpoint, check that endpoint.")
	ResponseTruncated = define(512, "answer-truncated", slog.LevelWarn,
		"response truncated", "The endpoint did not deliver its whole response, so the connection to the caller was aborted. Check the endpoint.")
	ResponseMismatched = define(513, "answer-mismatched", slog.LevelError,
		"response belongs to another request", "The endpoint responded with the id of another attempt. The response was dropped. Check the endpoint's server.")
	ConnectionUnresponsive = define(514, "connection-silent", slog.LevelWarn,
		"closed unresponsive connection", "No data arrived on a connection although a response was due. If it repeats, check the network between the two addresses.")
	EndpointEjected = define(515, "endpoint-ejected", slog.LevelWarn,
		"ejected endpoint", "Too many attempts at the endpoint failed; it receives no requests for a limited time. Check the endpoint.")
	EndpointReadmitted = define(516, "endpoint-readmitted", slog.LevelInfo,
		"readmitted endpoint", "The ejection of the endpoint has ended. Nothing to do.")
	LedgerBucketReady = define(521, "ledger-bucket-ready", slog.LevelInfo,
		"serves ledger bucket", "This instance serves claims of the bucket as its primary. Nothing to do.")
	LedgerBucketLost = define(522, "ledger-bucket-lost", slog.LevelWarn,
		"ledger bucket has no earlier entries", "Both copies of the bucket were lost. Requests with an id in this bucket get the outcome unknown for 10 minutes.")
	LedgerCopyFailed = define(523, "ledger-copy-failed", slog.LevelWarn,
		"could not copy ledger bucket to backup", "Claims of the bucket are refused until the copy succeeds. Check the connection to the backup.")
	LedgerFull = define(524, "ledger-full", slog.LevelWarn,
		"ledger bucket is full", "Claims of new request ids are refused until entries expire. Check for a caller that sends too many requests.")
	RequestNotRecorded = define(525, "request-not-recorded", slog.LevelWarn,
		"could not record end of request", "A resend of the request gets the outcome unknown. Check the connection to the primary of its ledger bucket.")
)
