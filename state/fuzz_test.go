package state_test

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"apricotrouter/state"
)

// workflowState returns a state with a running workflow, workers and queues.
func workflowState() *state.State {
	s := state.New()
	for _, b := range workflowCommands() {
		c := state.NewCommand(b)
		c.Time = s.Time + 1
		s, _ = s.Apply(s.Index+1, c)
	}
	return s
}

func workflowCommands() []state.Body {
	return []state.Body{
		state.SetQueues{Config: state.QueueConfig{
			Version: 1, Pools: []state.Pool{{Name: "p"}}, Queues: []state.WorkflowQueue{{Name: "q", Pool: "p", MaxAttempts: 2}},
		}},
		state.SetPoolWorkers{Updated: []state.PoolWorker{{ID: "a", StartedAt: 5, Draining: true}, {ID: "b", StartedAt: 6}}},
		state.SetPoolWorkers{Removed: []state.PoolWorker{{ID: "a", StartedAt: 5}}},
		state.SubmitWorkflow{Spec: state.WorkflowSpec{ID: "w", MaxAttempts: 2, Occurrences: 2, Steps: []state.WorkflowStep{
			{Count: 2, Gang: true}, {Count: 3, DependsOn: []int{0}}, {Count: 1, LongRunning: true},
		}}},
		state.RecordTasks{Starts: []state.TaskStart{{Workflow: "w", Task: 0, Run: 1, Worker: "b"}, {Workflow: "w", Task: 1, Run: 1, Worker: "b"}}},
		state.RecordTasks{Ends: []state.TaskEnd{{Workflow: "w", Task: 0, Run: 1, Outcome: state.OutcomeFailed, Checkpoint: "c"}}},
		state.SetEvacuation{Zone: "z", Evacuate: true},
		state.CancelWorkflow{ID: "w"},
	}
}

// FuzzApply guards against a log entry that crashes every replica that applies
// it, and against a state whose snapshot can't be encoded or decoded.
func FuzzApply(f *testing.F) {
	for _, b := range workflowCommands() {
		c := state.NewCommand(b)
		f.Add(uint16(c.Kind), []byte(c.Body))
	}
	f.Fuzz(func(t *testing.T, kind uint16, body []byte) {
		if cbor.Wellformed(body) != nil {
			return
		}
		s := workflowState()
		c := state.Command{Kind: state.Kind(kind), Body: body, Time: s.Time + 1}
		next, _ := s.Apply(s.Index+1, c)
		data, err := next.EncodeSnapshot()
		if err != nil {
			t.Fatalf("encode state after command: %v", err)
		}
		if _, err := state.DecodeSnapshot(data); err != nil {
			t.Fatalf("decode state after command: %v", err)
		}
	})
}

// FuzzDecodeSnapshot guards against a corrupt snapshot that crashes the process
// instead of returning an error.
func FuzzDecodeSnapshot(f *testing.F) {
	data, err := workflowState().EncodeSnapshot()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add(data[:len(data)/2])
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = state.DecodeSnapshot(data)
	})
}
