package state_test

import (
	"fmt"
	"runtime"
	"testing"

	. "github.com/onsi/gomega"

	"apricotrouter/state"
)

// stateAtDesignCapacity returns a state with 740 workers, 8,400 running tasks
// and the given number of requests in the request results and the audit trail.
func stateAtDesignCapacity(b *testing.B, audit int) *machine {
	g := NewWithT(b)
	m := withWorkers(g)
	for i := range 740 {
		id := fmt.Sprintf("w%03d", i)
		m.do(state.RegisterWorker{ID: id, Zone: fmt.Sprint("z", i%6), Rack: "r", Address: "10.0.0.1:1", Capacity: size(64_000, 250_000)})
		m.do(state.Assign{Changes: []state.OwnerChange{{Kind: state.AssignWorker, ID: id, To: "i1"}}})
	}
	m.do(job("a", 8400, size(1000, 1000)))
	for i := range 8400 {
		m.place(fmt.Sprintf("a.%d", i), fmt.Sprintf("w%03d", i%740))
		m.report(fmt.Sprintf("a.%d", i), state.EventStarted, "")
	}
	for i := range audit {
		m.now += 10_000 // 8,640 requests a day
		m.apply(state.NewRequest(fmt.Sprintf("request-%08d", i), "operator", state.CancelJobs{IDs: []string{"none"}}))
	}
	return m
}

// BenchmarkSnapshot measures encoding and decoding at design capacity, with a
// full audit trail.
func BenchmarkSnapshot(b *testing.B) {
	m := stateAtDesignCapacity(b, 100_000)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	data, err := m.EncodeSnapshot()
	if err != nil {
		b.Fatal(err)
	}
	s, _ := state.DecodeSnapshot(data)
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.Run("encode", func(b *testing.B) {
		for b.Loop() {
			_, _ = m.EncodeSnapshot()
		}
		b.ReportMetric(float64(len(data))/1e6, "MB")
	})
	b.Run("decode", func(b *testing.B) {
		for b.Loop() {
			_, _ = state.DecodeSnapshot(data)
		}
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc-uint64(len(data)))/1e6, "heap-MB")
	})
	runtime.KeepAlive(s)
}

// BenchmarkApply measures single commands at design capacity.
func BenchmarkApply(b *testing.B) {
	m := stateAtDesignCapacity(b, 0)
	m.do(state.MarkWorkerLost{Worker: "w001", Fence: m.fence("w001")})
	w, _ := m.Workers.Get("w001")
	commands := map[string]state.Body{
		"report":         state.ReportTasks{Worker: "w000", Fence: m.fence("w000"), Reports: []state.TaskReport{{Task: "a.0", Incarnation: 1, Event: state.EventStarted, Checkpoint: "c"}}},
		"submit 10000":   job("big", 10_000, size(1, 1)),
		"cancel 8400":    state.CancelJobs{IDs: []string{"a"}},
		"lease ended 11": state.MarkWorkerLeaseExpired{Worker: "w001", LostFence: w.LostFence, LostIndex: w.LostIndex},
	}
	for name, body := range commands {
		b.Run(name, func(b *testing.B) {
			c := state.NewCommand(body)
			for b.Loop() {
				m.Apply(m.Index+1, c)
			}
		})
	}
}
