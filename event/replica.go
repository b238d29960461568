package event

import "log/slog"

// Events of the control group and its replicas: 200 to 299.
var (
	ReplicaLeader = define(201, "replica-leader", slog.LevelInfo,
		"replica became leader", "This instance leads the control group in the given term. Nothing to do.")
	ReplicaLeaderLost = define(202, "replica-leader-lost", slog.LevelWarn,
		"replica is no longer leader", "Another replica leads, or the leader lost contact with a majority of voters. Proposals in flight got an unknown outcome. If it repeats, check the network between the instances and the load of the disks.")
	ReplicaFresh = define(203, "replica-fresh", slog.LevelInfo,
		"instance has a valid freshness lease", "The instance may serve requests. Nothing to do.")
	ReplicaNotFresh = define(204, "replica-not-fresh", slog.LevelWarn,
		"instance lost its freshness lease", "No confirmed leader responded within the lease. The instance refuses requests until it is fresh again. Check whether the control group has a leader and whether this instance reaches it.")
	ReplicaStorageFailed = define(205, "replica-storage-failed", slog.LevelError,
		"storage of the replica failed", "A write or sync failed. The instance continues without a disk and tries to open the data directory again. If event 215 repeats, make room on the disk, or replace it and restart with an empty data directory.")
	ReplicaOpened = define(206, "replica-opened", slog.LevelInfo,
		"opened data directory", "The replica has read its data directory. A new replica id means that the directory was empty. Nothing to do.")
	ReplicaFormed = define(207, "replica-formed", slog.LevelInfo,
		"replica joined a control group", "The replica has a group id from now on. Nothing to do.")
	ReplicaSnapshotInstalled = define(208, "replica-snapshot-installed", slog.LevelInfo,
		"installed snapshot from leader", "The instance was too far behind to receive individual log entries. Nothing to do.")
	ReplicaSnapshotFailed = define(209, "replica-snapshot-failed", slog.LevelWarn,
		"transfer of snapshot failed", "The transfer is repeated. If it repeats, check the connection to the peer.")
	ReplicaVoterAdded = define(210, "replica-voter-added", slog.LevelInfo,
		"adding voter", "The control group replaces a lost voter, moves a voter out of an availability zone, or adds a missing voter. Nothing to do.")
	ReplicaVoterRemoved = define(211, "replica-voter-removed", slog.LevelInfo,
		"removing voter", "The voter has been replaced. Nothing to do.")
	ReplicaTransfer = define(212, "replica-transfer", slog.LevelInfo,
		"transferring leadership", "The leader hands over, because it shuts down or its availability zone was drained. Nothing to do.")
	ReplicaMessageRefused = define(213, "replica-message-refused", slog.LevelDebug,
		"refused message for another replica or group", "The sender has not learned yet that this data directory is new, or it belongs to another group. If it persists, check the settings of both instances.")
	ReplicaBootstrapPending = define(214, "replica-bootstrap-waits", slog.LevelInfo,
		"control group is not formed yet", "An initial voter does not respond yet; the attempt is repeated. If it persists, check that every initial voter runs.")
	ReplicaStorageUnavailable = define(215, "replica-storage-unavailable", slog.LevelWarn,
		"data directory can't be used yet", "A replica whose storage failed tried to open its data directory again. The attempt is repeated every second; event 206 ends the series.")
)
