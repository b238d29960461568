package state

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// snapshotFormat is the version of the snapshot's layout.
const snapshotFormat = 1

// snapshot is the encoded form of a State. Entries are in the order of their
// keys, so equal states have equal encodings.
type snapshot struct {
	Format      int               `cbor:"1,keyasint"`
	Index       uint64            `cbor:"2,keyasint"`
	Time        int64             `cbor:"3,keyasint"`
	NextAudit   uint64            `cbor:"4,keyasint"`
	Zones       []*ZoneRecord     `cbor:"5,keyasint"`
	Services    []*Service        `cbor:"6,keyasint"`
	Jobs        []*Job            `cbor:"7,keyasint"`
	Tasks       []*Task           `cbor:"8,keyasint"`
	Workers     []*Worker         `cbor:"9,keyasint"`
	Endpoints   []*Endpoint       `cbor:"10,keyasint"`
	Assignments []*Assignment     `cbor:"11,keyasint"`
	Instances   []*Instance       `cbor:"12,keyasint"`
	Teams       []*Team           `cbor:"13,keyasint"`
	Buckets     []*LedgerBucket   `cbor:"14,keyasint"`
	Requests    []*RequestResult  `cbor:"15,keyasint"`
	AuditBlocks [][]byte          `cbor:"16,keyasint"`
	AuditRecent []*AuditRecord    `cbor:"17,keyasint"`
	Queues      *QueueConfig      `cbor:"18,keyasint,omitempty"`
	Workflows   []*Workflow       `cbor:"19,keyasint,omitempty"`
	PoolWorkers []*PoolWorker     `cbor:"20,keyasint,omitempty"`
	Evacuated   []string          `cbor:"21,keyasint,omitempty"`
	Pressures   *SetPressures     `cbor:"22,keyasint,omitempty"`
	Departed    []*DepartedWorker `cbor:"23,keyasint,omitempty"`
}

// snapshotDecoding allows as many elements as the retention limits need.
var snapshotDecoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 27}.DecMode()
	if err != nil {
		panic(fmt.Sprintf("decoding options of snapshots: %v", err))
	}
	return mode
}()

// EncodeSnapshot returns the state in CBOR.
func (s *State) EncodeSnapshot() ([]byte, error) {
	return cbor.Marshal(snapshot{
		Format:      snapshotFormat,
		Index:       s.Index,
		Time:        s.Time,
		NextAudit:   s.NextAudit,
		Zones:       values(s.Zones),
		Services:    values(s.Services),
		Jobs:        values(s.Jobs),
		Tasks:       values(s.Tasks),
		Workers:     values(s.Workers),
		Endpoints:   values(s.Endpoints),
		Assignments: values(s.Assignments),
		Instances:   values(s.Instances),
		Teams:       values(s.Teams),
		Buckets:     values(s.Buckets),
		Requests:    values(s.Requests),
		AuditBlocks: values(s.Audit.blocks),
		AuditRecent: s.Audit.recent,
		Queues:      s.Queues,
		Workflows:   values(s.Workflows),
		PoolWorkers: values(s.PoolWorkers),
		Evacuated:   values(s.Evacuated),
		Departed:    values(s.Departed),
		Pressures:   s.Pressures,
	})
}

func values[T any](t Table[T]) []T {
	all := make([]T, 0, t.Len())
	for _, v := range t.All() {
		all = append(all, v)
	}
	return all
}

// DecodeSnapshot returns the state that EncodeSnapshot encoded.
func DecodeSnapshot(data []byte) (*State, error) {
	var sn snapshot
	if err := snapshotDecoding.Unmarshal(data, &sn); err != nil {
		return nil, fmt.Errorf("decode snapshot of the state: %w", err)
	}
	if sn.Format != snapshotFormat {
		return nil, fmt.Errorf("snapshot of the state has format %d, want %d", sn.Format, snapshotFormat)
	}
	s := &State{Index: sn.Index, Time: sn.Time, NextAudit: sn.NextAudit}
	s.Zones = tableOf(sn.Zones, func(v *ZoneRecord) string { return v.Name })
	s.Services = tableOf(sn.Services, func(v *Service) string { return v.Spec.Name })
	s.Jobs = tableOf(sn.Jobs, func(v *Job) string { return v.Spec.ID })
	s.Tasks = tableOf(sn.Tasks, func(v *Task) string { return v.ID })
	s.Workers = tableOf(sn.Workers, func(v *Worker) string { return v.ID })
	s.Endpoints = tableOf(sn.Endpoints, func(v *Endpoint) string { return v.ID })
	s.Assignments = tableOf(sn.Assignments, func(v *Assignment) string { return AssignmentKey(v.Kind, v.ID) })
	s.Instances = tableOf(sn.Instances, func(v *Instance) string { return v.ID })
	s.Teams = tableOf(sn.Teams, func(v *Team) string { return v.Name })
	s.Buckets = tableOf(sn.Buckets, func(v *LedgerBucket) string { return BucketKey(v.Number) })
	s.Requests = tableOf(sn.Requests, func(v *RequestResult) string { return v.RequestID })
	trail, err := trailOf(sn.AuditBlocks, sn.AuditRecent)
	if err != nil {
		return nil, err
	}
	s.Audit = trail
	s.Queues = sn.Queues
	s.Workflows = tableOf(sn.Workflows, func(v *Workflow) string { return v.Spec.ID })
	s.PoolWorkers = tableOf(sn.PoolWorkers, func(v *PoolWorker) string { return v.ID })
	s.Departed = tableOf(sn.Departed, func(v *DepartedWorker) string { return v.ID })
	s.Evacuated = tableOf(sn.Evacuated, func(v string) string { return v })
	s.Pressures = sn.Pressures
	s.rebuildIndexes()
	return s, nil
}

func tableOf[T any](all []T, id func(T) string) Table[T] {
	var t Table[T]
	e := edit[T]{table: &t}
	for _, v := range all {
		e.put(id(v), v)
	}
	e.commit()
	return t
}

// rebuildIndexes fills the secondary indexes from the tables.
func (s *State) rebuildIndexes() {
	tx := newTxn(s, s.Index)
	for _, t := range s.Tasks.All() {
		tx.tasksByOwner.put(key(string(t.Kind), t.Owner, t.ID), struct{}{})
		if t.Phase == PhasePending {
			tx.pending.put(queueKey(t), struct{}{})
		}
		if !t.Holds() {
			continue
		}
		tx.tasksByWorker.put(key(t.Worker, t.ID), t)
		if t.Kind == KindBatch && t.Team != "" {
			used, _ := tx.teamUsed.get(t.Team)
			tx.teamUsed.put(t.Team, used.Add(t.Resources))
		}
	}
	for k, a := range s.Assignments.All() {
		tx.byOwner.put(key(a.Owner, k), struct{}{})
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
		s.requestAges = s.requestAges.Put(requestAgeKey(r), id)
	}
	for id, j := range s.Jobs.All() {
		if j.EndedAt != 0 {
			s.endedJobs = s.endedJobs.Put(endedJobKey(j), id)
		}
	}
}
