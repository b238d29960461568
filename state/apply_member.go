package state

import "slices"

func (tx *txn) registerWorker(b *RegisterWorker) Result {
	object := "worker/" + b.ID
	if !idPattern.MatchString(b.ID) || !idPattern.MatchString(b.Zone) {
		return tx.refuse(CodeInvalid, object, "invalid id of a worker or name of its availability zone")
	}
	if !b.Capacity.Valid() || b.Capacity.IsZero() {
		return tx.refuse(CodeInvalid, object, "capacity must not be negative or all zero")
	}
	w := Worker{ID: b.ID, Condition: WorkerReady}
	if old, ok := tx.workers.get(b.ID); ok {
		w = *old
	}
	if r, ok := tx.checkVersion(object, b.ExpectedVersion, w.Version); !ok {
		return r
	}
	if !w.Reserved.FitsIn(b.Capacity) {
		return tx.refuse(CodeInvalid, object, "the worker's tasks hold %s", w.Reserved)
	}
	if w.Version != 0 && w.Zone != b.Zone && tx.hasTasks(b.ID) {
		return tx.refuse(CodeInvalid, object, "a worker with tasks can't change its availability zone")
	}
	w.Zone, w.Rack, w.Address, w.Capacity = b.Zone, b.Rack, b.Address, b.Capacity
	w.Version = tx.index
	tx.workers.put(w.ID, &w)
	tx.addZone(w.Zone)
	return tx.changed(object)
}

func (tx *txn) markWorkerLost(b *MarkWorkerLost) Result {
	r, ok := tx.checkFence(AssignWorker, b.Worker, b.Fence)
	if !ok {
		return r
	}
	return tx.changeWorker(b.Worker, func(w *Worker) {
		if w.Condition != WorkerLost || w.LostFence != b.Fence {
			w.LostIndex = tx.index
		}
		w.Condition, w.LostFence = WorkerLost, b.Fence
	})
}

func (tx *txn) markWorkerReturned(b *MarkWorkerReturned) Result {
	r, ok := tx.checkFence(AssignWorker, b.Worker, b.Fence)
	if !ok {
		return r
	}
	return tx.changeWorker(b.Worker, func(w *Worker) {
		w.Condition, w.LostFence, w.LostIndex = WorkerReady, 0, 0
		if w.QuarantinedAt != 0 {
			w.Condition = WorkerQuarantined
		}
	})
}

func (tx *txn) markWorkerLeaseEnded(b *MarkWorkerLeaseExpired) Result {
	object := "worker/" + b.Worker
	w, ok := tx.workers.get(b.Worker)
	if !ok || w.Condition != WorkerLost || w.LostFence != b.LostFence || w.LostIndex != b.LostIndex {
		return tx.refuse(CodeStale, object, "worker was not lost under fence %d at index %d", b.LostFence, b.LostIndex)
	}
	for _, k := range tx.tasksByWorker.keys(key(b.Worker, "")) {
		t, _ := tx.tasks.get(lastPart(k))
		tx.recordRunEnd(t, "", "worker lost")
	}
	return Result{Code: CodeOK, Object: object}
}

func (tx *txn) quarantineWorker(b *QuarantineWorker) Result {
	return tx.changeWorker(b.Worker, func(w *Worker) {
		if !b.Quarantined {
			w.QuarantinedAt, w.FailedOwners = 0, nil
			if w.Condition == WorkerQuarantined {
				w.Condition = WorkerReady
			}
			return
		}
		w.QuarantinedAt = tx.now
		if w.Condition == WorkerReady {
			w.Condition = WorkerQuarantined
		}
	})
}

// changeWorker applies change to a copy of a worker and stores the copy.
func (tx *txn) changeWorker(id string, change func(*Worker)) Result {
	object := "worker/" + id
	old, ok := tx.workers.get(id)
	if !ok {
		return tx.refuse(CodeNotFound, object, "%s does not exist", object)
	}
	w := *old
	change(&w)
	tx.workers.put(id, &w)
	return Result{Code: CodeOK, Object: object}
}

func (tx *txn) assign(b *Assign) Result {
	stale := 0
	for _, ch := range b.Changes {
		if !tx.assignOne(ch) {
			stale++
		}
	}
	if stale > 0 && stale == len(b.Changes) {
		return tx.refuse(CodeStale, "", "no change names the current fence and a known owner")
	}
	return Result{Code: CodeOK}
}

func (tx *txn) assignOne(ch OwnerChange) bool {
	to, ok := tx.Instances.Get(ch.To)
	if !ok || to.ShuttingDown {
		return false
	}
	switch ch.Kind {
	case AssignEndpoint:
		_, ok = tx.Endpoints.Get(ch.ID)
	case AssignWorker:
		_, ok = tx.workers.get(ch.ID)
	default:
		ok = false
	}
	if !ok {
		return false
	}
	var fence uint64
	old, _ := tx.assignments.get(AssignmentKey(ch.Kind, ch.ID))
	if old != nil {
		fence = old.Fence
	}
	if fence != ch.Fence {
		return false
	}
	tx.putAssignment(old, &Assignment{Kind: ch.Kind, ID: ch.ID, Owner: ch.To, Fence: tx.index})
	return true
}

// putAssignment replaces the assignment old by a. A nil old means that a is
// new; a nil a means that old is deleted.
func (tx *txn) putAssignment(old, a *Assignment) {
	if old != nil {
		k := AssignmentKey(old.Kind, old.ID)
		tx.assignmentsByOwner.delete(key(old.Owner, k))
		tx.assignments.delete(k)
	}
	if a != nil {
		k := AssignmentKey(a.Kind, a.ID)
		tx.assignmentsByOwner.put(key(a.Owner, k), struct{}{})
		tx.assignments.put(k, a)
	}
}

func (tx *txn) registerEndpoint(b *RegisterEndpoint) Result {
	e := b.Endpoint
	object := "endpoint/" + e.ID
	if !idPattern.MatchString(e.ID) || e.Slots < 0 || e.ConnectionLimit < 0 {
		return tx.refuse(CodeInvalid, object, "an endpoint needs a valid id, and slots and a connection limit that are not negative")
	}
	if old, ok := tx.Endpoints.Get(e.ID); ok {
		if e.Incarnation < old.Incarnation {
			return tx.refuse(CodeStale, object, "current incarnation is %d", old.Incarnation)
		}
		// Announcements can arrive out of order, so a draining incarnation
		// stays draining.
		if e.Incarnation == old.Incarnation && old.Draining {
			e.Draining = true
		}
	}
	tx.Endpoints = tx.Endpoints.Put(e.ID, &e)
	return Result{Code: CodeOK, Object: object}
}

func (tx *txn) removeEndpoint(b *RemoveEndpoint) Result {
	object := "endpoint/" + b.ID
	e, ok := tx.Endpoints.Get(b.ID)
	if !ok {
		return tx.refuse(CodeNotFound, object, "%s does not exist", object)
	}
	var fence uint64
	a, _ := tx.assignments.get(AssignmentKey(AssignEndpoint, b.ID))
	if a != nil {
		fence = a.Fence
	}
	if e.Incarnation != b.Incarnation || fence != b.Fence {
		return tx.refuse(CodeStale, object, "current incarnation is %d, current fence %d", e.Incarnation, fence)
	}
	tx.Endpoints = tx.Endpoints.Delete(b.ID)
	tx.putAssignment(a, nil)
	return Result{Code: CodeOK, Object: object}
}

// maxEarlierStarts is the number of earlier InstanceStart values that are
// stored for an instance. A registration that is delayed by more restarts is
// not recognised as stale.
const maxEarlierStarts = 8

func (tx *txn) registerInstance(b *RegisterInstance) Result {
	in := b.Instance
	object := "instance/" + in.ID
	if !idPattern.MatchString(in.ID) {
		return tx.refuse(CodeInvalid, object, "invalid id of an instance")
	}
	old, ok := tx.Instances.Get(in.ID)
	in.ShuttingDown, in.RegisteredAt, in.RegisteredIndex, in.EarlierStarts = false, tx.now, tx.index, nil
	switch {
	case !ok:
	case slices.Contains(old.EarlierStarts, in.InstanceStart):
		return tx.refuse(CodeStale, object, "the instance has started again since")
	case old.InstanceStart == in.InstanceStart:
		in.ShuttingDown, in.RegisteredAt = old.ShuttingDown, old.RegisteredAt
		in.RegisteredIndex, in.EarlierStarts = old.RegisteredIndex, old.EarlierStarts
	default:
		starts := append(slices.Clip(old.EarlierStarts), old.InstanceStart)
		in.EarlierStarts = starts[max(0, len(starts)-maxEarlierStarts):]
		tx.handleRestart(in.ID)
	}
	tx.Instances = tx.Instances.Put(in.ID, &in)
	return Result{Code: CodeOK, Object: object}
}

// handleRestart updates assignments and ledger buckets after the start of a
// new process of a known instance.
func (tx *txn) handleRestart(instance string) {
	tx.renewFences(instance)
	tx.removeLedgerCopies(instance)
}

// renewFences sets a new fence on the assignments of a restarted instance, so
// messages from the earlier process are rejected.
func (tx *txn) renewFences(instance string) {
	for _, k := range tx.assignmentsByOwner.keys(key(instance, "")) {
		old, _ := tx.assignments.get(lastPart(k))
		a := *old
		a.Fence = tx.index
		tx.putAssignment(old, &a)
	}
}

// removeLedgerCopies removes a restarted instance from its ledger buckets. The
// instance stored them in memory only, so the backup becomes the primary; a
// bucket without a backup is lost.
func (tx *txn) removeLedgerCopies(instance string) {
	for k, old := range tx.Buckets.All() {
		b := *old
		switch {
		case b.Backup == instance:
			b.Backup = ""
		case b.Primary == instance && b.Backup != "":
			b.Primary, b.Backup = b.Backup, ""
		case b.Primary == instance:
			b.LostAt = tx.now
		default:
			continue
		}
		b.Epoch = tx.index
		tx.Buckets = tx.Buckets.Put(k, &b)
	}
}

func (tx *txn) handOver(b *HandOver) Result {
	object := "instance/" + b.Instance
	old, ok := tx.Instances.Get(b.Instance)
	if !ok || old.InstanceStart != b.InstanceStart {
		return tx.refuse(CodeStale, object, "instance is not in that start")
	}
	in := *old
	in.ShuttingDown = true
	tx.Instances = tx.Instances.Put(in.ID, &in)
	return Result{Code: CodeOK, Object: object}
}

// LedgerBuckets is the number of buckets of the request ledger.
const LedgerBuckets = 64

func (tx *txn) setLedgerBuckets(b *SetLedgerBuckets) Result {
	stale := 0
	for _, bucket := range b.Buckets {
		if !tx.setBucket(bucket) {
			stale++
		}
	}
	if stale > 0 && stale == len(b.Buckets) {
		return tx.refuse(CodeStale, "", "no entry names the current epoch and known instances")
	}
	return Result{Code: CodeOK}
}

func (tx *txn) setBucket(b LedgerBucket) bool {
	if b.Number < 0 || b.Number >= LedgerBuckets || b.Primary == b.Backup {
		return false
	}
	if _, ok := tx.Instances.Get(b.Primary); !ok {
		return false
	}
	var epoch uint64
	b.FirstEpoch, b.PreviousEpoch, b.InheritedEpoch = tx.index, 0, 0
	if old, ok := tx.Buckets.Get(BucketKey(b.Number)); ok {
		epoch = old.Epoch
		b.FirstEpoch, b.PreviousEpoch, b.InheritedEpoch = old.FirstEpoch, old.Epoch, old.InheritedEpoch
		if b.Primary != old.Primary {
			b.InheritedEpoch = old.Epoch
		}
		b.LostAt = max(b.LostAt, old.LostAt)
	}
	if epoch != b.Epoch {
		return false
	}
	b.Epoch = tx.index
	tx.Buckets = tx.Buckets.Put(BucketKey(b.Number), &b)
	return true
}
