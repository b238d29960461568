package placement_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"apricotrouter/placement"
	"apricotrouter/state"
)

func TestRejectionsCountFirstReason(t *testing.T) {
	g := NewWithT(t)
	newWorker := func(cpu, memory, accelerators int64) *placement.WorkerCapacity {
		return &placement.WorkerCapacity{Free: state.Resources{MilliCPU: cpu, MemoryMiB: memory, Accelerators: accelerators}, Labels: []string{"kind"}}
	}
	workers := []*placement.WorkerCapacity{
		nil, newWorker(1000, 9000, 1), newWorker(9000, 1000, 1), newWorker(9000, 9000, 0), newWorker(30_000, 9000, 1), newWorker(20_000, 9000, 1), newWorker(5000, 9000, 1),
		{Free: state.Resources{MilliCPU: 9000, MemoryMiB: 9000, Accelerators: 1}},
	}
	task := placement.PoolTask{
		Step:     &state.WorkflowStep{Size: state.Resources{MilliCPU: 4000, MemoryMiB: 4000, Accelerators: 1}, LongRunning: true, Label: "kind"},
		Excluded: func(i int) bool { return i == 4 },
	}
	g.Expect(placement.CountRejections(workers, task, nil)).To(Equal(placement.Rejections{
		Admitted: 2, ReservedForOthers: 1, Label: 1, Processors: 1, Memory: 1, Accelerators: 1, Excluded: 1, LargestAdmitted: 20_000,
	}))
	share := placement.NewBatchReservation(workers[1:], 60_000, sameSize(18_000))
	g.Expect(placement.CountRejections(workers, task, share)).To(Equal(placement.Rejections{
		Admitted: 1, ReservedForOthers: 1, Label: 1, Processors: 1, Memory: 1, Accelerators: 1, Excluded: 1, BatchReservation: 1, LargestAdmitted: 20_000,
	}))
}
