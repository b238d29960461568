package state

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// snapshotFormat is the version of the snapshot format.
const snapshotFormat = 1

// snapshot is the encoded form of a State. Entries are ordered by key, so equal
// states have equal encodings.
type snapshot struct {
	Format         int              `cbor:"1,keyasint"`
	Index          uint64           `cbor:"2,keyasint"`
	Time           int64            `cbor:"3,keyasint"`
	NextAudit      uint64           `cbor:"4,keyasint"`
	Zones          []*ZoneRecord    `cbor:"5,keyasint"`
	Services       []*Service       `cbor:"6,keyasint"`
	Jobs           []*Job           `cbor:"7,keyasint"`
	Tasks          []*Task          `cbor:"8,keyasint"`
	Workers        []*Worker        `cbor:"9,keyasint"`
	Endpoints      []*Endpoint      `cbor:"10,keyasint"`
	Assignments    []*Assignment    `cbor:"11,keyasint"`
	Instances      []*Instance      `cbor:"12,keyasint"`
	Teams          []*Team          `cbor:"13,keyasint"`
	Buckets        []*LedgerBucket  `cbor:"14,keyasint"`
	Requests       []*RequestResult `cbor:"15,keyasint"`
	AuditBlocks    [][]byte         `cbor:"16,keyasint"`
	AuditRecent    []*AuditRecord   `cbor:"17,keyasint"`
	Queues         *QueueConfig     `cbor:"18,keyasint,omitempty"`
	Workflows      []*Workflow      `cbor:"19,keyasint,omitempty"`
	PoolWorkers    []*PoolWorker    `cbor:"20,keyasint,omitempty"`
	Evacuated      []string         `cbor:"21,keyasint,omitempty"`
	Interference   *SetInterference `cbor:"22,keyasint,omitempty"`
	RemovedWorkers []*RemovedWorker `cbor:"23,keyasint,omitempty"`

	RefusedWorkflows []*RefusedWorkflow `cbor:"24,keyasint,omitempty"`

	CancelledSubmissions []*CancelledSubmission `cbor:"25,keyasint,omitempty"`
}

// snapshotDecoding raises the limit on array elements to 2^27, because the
// retention limits allow more elements than the decoder's default.
var snapshotDecoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 27}.DecMode()
	if err != nil {
		panic(fmt.Sprintf("create snapshot decoding mode: %v", err))
	}
	return mode
}()

// EncodeSnapshot encodes the state in CBOR.
func (s *State) EncodeSnapshot() ([]byte, error) {
	return cbor.Marshal(snapshot{
		Format:         snapshotFormat,
		Index:          s.Index,
		Time:           s.Time,
		NextAudit:      s.NextAudit,
		Zones:          values(s.Zones),
		Services:       values(s.Services),
		Jobs:           values(s.Jobs),
		Tasks:          values(s.Tasks),
		Workers:        values(s.Workers),
		Endpoints:      values(s.Endpoints),
		Assignments:    values(s.Assignments),
		Instances:      values(s.Instances),
		Teams:          values(s.Teams),
		Buckets:        values(s.Buckets),
		Requests:       values(s.Requests),
		AuditBlocks:    values(s.Audit.blocks),
		AuditRecent:    s.Audit.recent,
		Queues:         s.Queues,
		Workflows:      values(s.Workflows),
		PoolWorkers:    values(s.PoolWorkers),
		Evacuated:      values(s.Evacuated),
		RemovedWorkers: values(s.RemovedWorkers),

		RefusedWorkflows: values(s.RefusedWorkflows),
		Interference:     s.Interference,

		CancelledSubmissions: values(s.CancelledSubmissions),
	})
}

func values[T any](t Table[T]) []T {
	all := make([]T, 0, t.Len())
	for _, v := range t.All() {
		all = append(all, v)
	}
	return all
}

// DecodeSnapshot decodes a snapshot that EncodeSnapshot returned. It returns an
// error if the data is malformed or has another format version.
func DecodeSnapshot(data []byte) (*State, error) {
	var sn snapshot
	if err := snapshotDecoding.Unmarshal(data, &sn); err != nil {
		return nil, fmt.Errorf("decode snapshot of the state: %w", err)
	}
	if sn.Format != snapshotFormat {
		return nil, fmt.Errorf("snapshot of the state has format %d, want %d", sn.Format, snapshotFormat)
	}
	s := &State{Index: sn.Index, Time: sn.Time, NextAudit: sn.NextAudit}
	s.Zones = newTable(sn.Zones, func(v *ZoneRecord) string { return v.Name })
	s.Services = newTable(sn.Services, func(v *Service) string { return v.Spec.Name })
	s.Jobs = newTable(sn.Jobs, func(v *Job) string { return v.Spec.ID })
	s.Tasks = newTable(sn.Tasks, func(v *Task) string { return v.ID })
	s.Workers = newTable(sn.Workers, func(v *Worker) string { return v.ID })
	s.Endpoints = newTable(sn.Endpoints, func(v *Endpoint) string { return v.ID })
	s.Assignments = newTable(sn.Assignments, func(v *Assignment) string { return AssignmentKey(v.Kind, v.ID) })
	s.Instances = newTable(sn.Instances, func(v *Instance) string { return v.ID })
	s.Teams = newTable(sn.Teams, func(v *Team) string { return v.Name })
	s.Buckets = newTable(sn.Buckets, func(v *LedgerBucket) string { return BucketKey(v.Number) })
	s.Requests = newTable(sn.Requests, func(v *RequestResult) string { return v.RequestID })
	trail, err := newAuditTrail(sn.AuditBlocks, sn.AuditRecent)
	if err != nil {
		return nil, err
	}
	s.Audit = trail
	s.Queues = sn.Queues
	s.Workflows = newTable(sn.Workflows, func(v *Workflow) string { return v.Spec.ID })
	s.PoolWorkers = newTable(sn.PoolWorkers, func(v *PoolWorker) string { return v.ID })
	s.RefusedWorkflows = newTable(sn.RefusedWorkflows, func(v *RefusedWorkflow) string { return v.ID })
	s.CancelledSubmissions = newTable(sn.CancelledSubmissions, func(v *CancelledSubmission) string { return cancelledKey(v.Tenant, v.ID) })
	s.RemovedWorkers = newTable(sn.RemovedWorkers, func(v *RemovedWorker) string { return v.ID })
	s.Evacuated = newTable(sn.Evacuated, func(v string) string { return v })
	s.Interference = sn.Interference
	s.rebuildIndexes()
	return s, nil
}

func newTable[T any](all []T, id func(T) string) Table[T] {
	var t Table[T]
	e := tableTxn[T]{table: &t}
	for _, v := range all {
		e.put(id(v), v)
	}
	e.commit()
	return t
}

// rebuildIndexes builds the secondary indexes from the tables.
func (s *State) rebuildIndexes() {
	tx := newTxn(s, s.Index)
	for _, t := range s.Tasks.All() {
		tx.tasksByOwner.put(key(string(t.Kind), t.Owner, t.ID), struct{}{})
		if t.Phase == PhasePending {
			tx.pending.put(queueKey(t), struct{}{})
		}
		if !t.HasReservation() {
			continue
		}
		tx.tasksByWorker.put(key(t.Worker, t.ID), t)
		if t.Kind == KindBatch && t.Team != "" {
			used, _ := tx.teamUsage.get(t.Team)
			tx.teamUsage.put(t.Team, used.Add(t.Resources))
		}
	}
	for k, a := range s.Assignments.All() {
		tx.assignmentsByOwner.put(key(a.Owner, k), struct{}{})
	}
	for id, w := range s.Workflows.All() {
		if w.Phase.Ended() {
			tx.endedWorkflows.put(endedWorkflowKey(w), id)
		} else {
			tx.openWorkflows.put(id, struct{}{})
		}
	}
	tx.commit()
	for id, r := range s.Requests.All() {
		s.requestsByAge = s.requestsByAge.Put(requestAgeKey(r), id)
	}
	for k, r := range s.CancelledSubmissions.All() {
		s.cancelledByAge = s.cancelledByAge.Put(cancelledAgeKey(r), k)
	}
	for id, j := range s.Jobs.All() {
		if j.EndedAt != 0 {
			s.endedJobsByAge = s.endedJobsByAge.Put(endedJobKey(j), id)
		}
	}
}
