package operator_test

import (
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	gen "apricotrouter/gen/operator"
	"apricotrouter/operator"
	"apricotrouter/replica"
	"apricotrouter/state"
)

// Guards against an explanation without the reasons why a task is not placed:
// an operator could not distinguish a full cluster from a fault.
func TestExplainNamesCauses(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClockAt(startTime)
	log := replica.NewFakeLog(clock)
	s := operator.New(operator.Options{Log: log, Group: &fakeGroup{id: "g1"}, Clock: clock})
	explain := func(object string) string {
		res, err := s.Explain(t.Context(), &gen.ExplainPayload{Object: object})
		g.Expect(err).NotTo(HaveOccurred())
		return strings.Join(res.Lines, "\n")
	}
	worker := state.RegisterWorker{ID: "w1", Zone: "z1", Rack: "k1", Address: "127.0.0.1:1", Capacity: state.Resources{MilliCPU: 2000, MemoryMiB: 2048}}
	mustPropose(g, log, worker)
	worker.ID, worker.Zone = "w2", "z2"
	mustPropose(g, log, worker)
	worker.ID, worker.Zone = "w3", "z1"
	mustPropose(g, log, worker)
	mustPropose(g, log, state.RegisterInstance{Instance: state.Instance{ID: "e1", PeerAddress: "127.0.0.1:2", Zone: "z1", InstanceStart: 1}})
	mustPropose(g, log, state.Assign{Changes: []state.OwnerChange{{Kind: state.AssignWorker, ID: "w1", To: "e1"}}})
	fence := log.State().Assignment(state.AssignWorker, "w1").Fence
	z2, _ := log.State().Zones.Get("z2")
	_, err := s.SetZone(t.Context(), &gen.SetZonePayload{RequestID: "r1", Name: "z2", Out: true, ExpectedVersion: &z2.Version})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = s.SubmitJob(t.Context(), jobPayload("r2", "j1", 1))
	g.Expect(err).NotTo(HaveOccurred())

	clock.Advance(3 * time.Minute)
	text := explain("task/j1.0")
	g.Expect(text).To(ContainSubstring("task/j1.0 is pending, incarnation 0, batch task of j1"))
	g.Expect(text).To(ContainSubstring("queued 3m0s ago with priority normal"))
	g.Expect(text).To(ContainSubstring("of 3 workers 1 have room for it; 1 are in a zone that is out, 1 have no owner yet"))

	mustPropose(g, log, state.PlaceTasks{Placements: []state.Placement{{Task: "j1.0", Incarnation: 1, Worker: "w1"}}})
	g.Expect(explain("task/j1.0")).To(ContainSubstring("reserved on worker/w1; the worker has not confirmed the start yet"))
	mustPropose(g, log, state.ReportTasks{Worker: "w1", Fence: fence, Reports: []state.TaskReport{{Task: "j1.0", Incarnation: 1, Event: state.EventFailed, Reason: "exit status 3"}}})
	for _, object := range []string{"task/j1.0", "job/j1"} {
		g.Expect(explain(object)).To(ContainSubstring("task/j1.0 incarnation 1 failed on worker/w1 0s ago: exit status 3"), object)
	}
	g.Expect(explain("worker/w1")).To(And(ContainSubstring("entry instance e1 owns it"), ContainSubstring("tasks of these jobs or services failed here: j1")))
	g.Expect(explain("worker/w2")).To(And(ContainSubstring("zone z2 is out"), ContainSubstring("assigned to no entry instance")))
	g.Expect(explain("zone/z2")).To(And(ContainSubstring("out: nothing starts there, for 3m0s"), ContainSubstring("audit: 3m0s ago")))
	g.Expect(explain("request/r1")).To(ContainSubstring("with outcome ok"))
}

func TestExplainOfUnknownObjects(t *testing.T) {
	g := NewWithT(t)
	s := newService(replica.NewFakeLog(clockwork.NewFakeClockAt(startTime)))
	for object, want := range map[string]string{
		"j1":         "give KIND/ID",
		"cow/1":      `kind "cow" is not known`,
		"job/j1":     "job/j1 does not exist",
		"request/r1": "it was not committed, or its result is older",
		"endpoint/e": "endpoint/e does not exist",
		"service/s1": "service/s1 does not exist",
		"team/t1":    "team/t1 does not exist",
	} {
		_, err := s.Explain(t.Context(), &gen.ExplainPayload{Object: object})
		g.Expect(errorName(err)).To(Equal("not_found"))
		g.Expect(err).To(MatchError(ContainSubstring(want)))
	}
}
