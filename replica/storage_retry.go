package replica

import (
	"errors"
	"fmt"
	"log/slog"
	"time"

	"apricotrouter/event"
	"apricotrouter/raft"
)

// storageRetryInterval is the delay between attempts to open the data directory
// again after a failed write. An attempt reads and rewrites the whole log.
const storageRetryInterval = time.Second

// detachStorage continues as a replica without a disk after a failed write or
// sync. The content of the disk is then unknown, so the old replica id must not
// respond for it until the disk has been read again. Until then the replica has
// a new id and starts from its applied state.
func (r *Replica) detachStorage(cause error) {
	event.Log(r.opts.Logger, event.ReplicaStorageFailed, slog.Any("error", cause))
	r.metrics.storageFailures.Inc()
	setBool(r.metrics.disk, false)
	if err := r.store.close(); err != nil {
		event.Log(r.opts.Logger, event.ReplicaStorageUnavailable, slog.Any("error", err))
	}
	r.store = nil
	r.nextStorageRetry = r.now() + storageRetryInterval
	r.adoptReceivedState() // the core may have accepted it already
	position, ok := r.core.Position(r.State().Index)
	if !ok {
		position = r.core.Base()
	}
	r.id = identity{Replica: newReplicaID(), Group: r.id.Group}
	r.startCore(raft.Options{Base: position, Applied: r.State().Index})
	r.updateRole(r.now())
}

// retryStorage tries to open the data directory again after a failure, such as
// a disk that was full for a moment. The replica then has its id again, like
// after a restart.
func (r *Replica) retryStorage(now time.Duration) error {
	// A snapshot that is still being saved uses the same files.
	if r.store != nil || r.opts.DataDir == "" || now < r.nextStorageRetry || r.compact.running {
		return nil
	}
	store, id, rec, err := r.reopenStorage()
	if err != nil {
		r.nextStorageRetry = r.now() + storageRetryInterval
		event.Log(r.opts.Logger, event.ReplicaStorageUnavailable, slog.Any("error", err))
		return nil
	}
	r.store, r.id = store, id
	err = r.restore(rec)
	r.updateRole(r.now())
	return err
}

// reopenStorage recovers term, vote and entries from the disk, because only
// these have been acknowledged, and brings the disk up to date with the applied
// state.
func (r *Replica) reopenStorage() (*storage, identity, recoveredState, error) {
	store, id, rec, err := openStorage(r.opts.FS, r.opts.DataDir)
	if err != nil {
		return nil, id, rec, err
	}
	position, ok := r.core.Position(r.State().Index)
	switch {
	case !ok:
		err = fmt.Errorf("position of the applied state at %d is unknown", r.State().Index)
	case id.Group == "":
		id.Group = r.id.Group
		err = store.saveIdentity(id)
	case r.id.Group != "" && r.id.Group != id.Group:
		err = fmt.Errorf("data folder %s belongs to group %s instead of %s", r.opts.DataDir, id.Group, r.id.Group)
	}
	if err == nil {
		err = store.advance(&rec, position, r.State())
	}
	if err != nil {
		return nil, id, rec, errors.Join(err, store.close())
	}
	return store, id, rec, nil
}
