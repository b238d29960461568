package operator_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	goa "goa.design/goa/v3/pkg"

	gen "apricotrouter/gen/operator"
	"apricotrouter/operator"
	"apricotrouter/replica"
	"apricotrouter/state"
	"apricotrouter/steperr"
)

var startTime = time.Date(2026, 1, 2, 8, 0, 0, 0, time.UTC)

// fakeGroup is a formed control group with the leader e1 in zone z1 and the
// learner e2 in zone z2.
type fakeGroup struct {
	id  string
	err error
}

func (f *fakeGroup) Init(context.Context) (string, []string, error) {
	return f.id, []string{"e1"}, f.err
}

func (f *fakeGroup) Status() operator.Status {
	return operator.Status{
		Instance: "e1", GroupID: f.id, Leader: "e1", Term: 3, AppliedIndex: 9, Fresh: true,
		Instances: []operator.InstanceStatus{
			{ID: "e1", Zone: "z1", Role: operator.RoleLeader, LastContact: 20 * time.Millisecond},
			{ID: "e2", Zone: "z2", Role: operator.RoleLearner, LastContact: operator.LastContactUnknown},
		},
	}
}

// droppedResultLog commits commands, but returns an error instead of the result
// for the first ones, as many as remaining says.
type droppedResultLog struct {
	replica.Log
	remaining atomic.Int64
}

func (l *droppedResultLog) Propose(ctx context.Context, c state.Command) (state.Result, error) {
	r, err := l.Log.Propose(ctx, c)
	if l.remaining.Add(-1) >= 0 {
		return state.Result{}, errors.New("connection to leader was lost before the response arrived")
	}
	return r, err
}

func newService(log replica.Log) *operator.Service {
	return operator.New(operator.Options{
		Log:        log,
		Group:      &fakeGroup{id: "g1"},
		Clock:      clockwork.NewFakeClockAt(startTime),
		Registerer: prometheus.NewRegistry(),
	})
}

func setZonePayload(id string, version uint64, out bool) *gen.SetZonePayload {
	return &gen.SetZonePayload{RequestID: id, Name: "z1", Out: out, ExpectedVersion: &version}
}

// errorName returns the name of a typed error of the service.
func errorName(err error) string {
	var named goa.GoaErrorNamer
	if !errors.As(err, &named) {
		return fmt.Sprint(err)
	}
	return named.GoaErrorName()
}

// Guards against concurrent changes that are based on the same version and
// overwrite each other.
func TestOneOfRacingOperatorsWins(t *testing.T) {
	g := NewWithT(t)
	s := newService(replica.NewFakeLog(clockwork.NewFakeClockAt(startTime)))
	const operators = 8
	results := make([]*gen.ChangeResult, operators)
	errs := make([]error, operators)
	var wg sync.WaitGroup
	for i := range operators {
		wg.Go(func() {
			results[i], errs[i] = s.SetZone(t.Context(), setZonePayload(fmt.Sprint("r", i), 0, i%2 == 0))
		})
	}
	wg.Wait()
	var committedVersions []uint64
	for i := range operators {
		if errs[i] == nil {
			committedVersions = append(committedVersions, results[i].Version)
		}
	}
	g.Expect(committedVersions).To(HaveLen(1))
	for _, err := range errs {
		var conflict *gen.Conflict
		if err != nil {
			g.Expect(errors.As(err, &conflict)).To(BeTrue())
			g.Expect(conflict.Object).To(Equal("zone/z1"))
			g.Expect(conflict.CurrentVersion).To(Equal(committedVersions[0]))
			g.Expect(conflict.Message).To(ContainSubstring(fmt.Sprintf("current version is %d", committedVersions[0])))
		}
	}
}

// Guards against a change that is applied twice because the request is resent
// after its response was lost, to the same or to another instance.
func TestResendAfterLostAnswerReturnsFirstResult(t *testing.T) {
	g := NewWithT(t)
	log := replica.NewFakeLog(clockwork.NewFakeClockAt(startTime))
	lossyLog := &droppedResultLog{Log: log}
	lossyLog.remaining.Store(1)
	_, err := newService(lossyLog).SetZone(t.Context(), setZonePayload("r1", 0, true))
	g.Expect(errorName(err)).To(Equal("unavailable"))
	g.Expect(err).To(MatchError(ContainSubstring(`resend the same request with request id "r1"`)))

	otherService := newService(log)
	first, err := otherService.SetZone(t.Context(), setZonePayload("r1", 0, true))
	g.Expect(err).NotTo(HaveOccurred())
	repeated, err := otherService.SetZone(t.Context(), setZonePayload("r1", 0, true))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(repeated).To(Equal(first))
	z, _ := log.State().Zones.Get("z1")
	g.Expect(z.Version).To(Equal(first.Version))
}

// Guards against a request with a reused id but other content that is treated as
// a resend.
func TestReusedRequestIDWithOtherContentIsRefused(t *testing.T) {
	g := NewWithT(t)
	log := replica.NewFakeLog(clockwork.NewFakeClockAt(startTime))
	s := newService(log)
	_, err := s.SetZone(t.Context(), setZonePayload("r1", 0, true))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = s.SetZone(t.Context(), setZonePayload("r1", 0, false))
	g.Expect(errorName(err)).To(Equal("reused_request_id"))
	g.Expect(log.State().IsZoneDrained("z1")).To(BeTrue())
}

// Guards against a partitioned instance that serves stale state or accepts
// changes. Its status must remain available for diagnosis.
func TestInstanceWithoutConfirmedStateRefuses(t *testing.T) {
	g := NewWithT(t)
	log := replica.NewFakeLog(clockwork.NewFakeClockAt(startTime))
	s := newService(log)
	log.SetFresh(false)
	index := log.State().Index
	calls := map[string]func() error{
		"set zone":  func() error { _, err := s.SetZone(t.Context(), setZonePayload("r1", 0, true)); return err },
		"job":       func() error { _, err := s.SubmitJob(t.Context(), jobPayload("r2", "j1", 1)); return err },
		"zones":     func() error { _, err := s.ListZones(t.Context()); return err },
		"services":  func() error { _, err := s.ListServices(t.Context()); return err },
		"teams":     func() error { _, err := s.ListTeams(t.Context()); return err },
		"jobs":      func() error { _, err := s.ListJobs(t.Context(), &gen.ListJobsPayload{}); return err },
		"show job":  func() error { _, err := s.ShowJob(t.Context(), &gen.ShowJobPayload{ID: "j1"}); return err },
		"workers":   func() error { _, err := s.ListWorkers(t.Context()); return err },
		"worker":    func() error { _, err := s.ShowWorker(t.Context(), &gen.ShowWorkerPayload{ID: "w1"}); return err },
		"endpoints": func() error { _, err := s.ListEndpoints(t.Context()); return err },
		"audit":     func() error { _, err := s.Audit(t.Context(), &gen.AuditPayload{}); return err },
		"explain":   func() error { _, err := s.Explain(t.Context(), &gen.ExplainPayload{Object: "zone/z1"}); return err },
	}
	for name, call := range calls {
		err := call()
		g.Expect(errorName(err)).To(Equal("unavailable"), name)
		g.Expect(err).To(MatchError(ContainSubstring("send it to another instance")), name)
	}
	g.Expect(log.State().Index).To(Equal(index))
	st, err := s.Status(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(st.Leader).To(Equal("e1"))
	g.Expect(st.Instances[1].LastContactMs).To(Equal(int64(-1)))
}

// Guards against a misspelt zone name that is accepted, so that the intended
// zone is not drained.
func TestUnknownZoneIsRefused(t *testing.T) {
	g := NewWithT(t)
	log := replica.NewFakeLog(clockwork.NewFakeClockAt(startTime))
	s := newService(log)
	p := setZonePayload("r1", 0, true)
	p.Name = "z11"
	_, err := s.SetZone(t.Context(), p)
	g.Expect(errorName(err)).To(Equal("not_found"))
	g.Expect(err).To(MatchError(ContainSubstring("known are z1, z2")))
	g.Expect(log.State().Zones.Len()).To(BeZero())
}

func TestInitReportsUnconfirmedGroup(t *testing.T) {
	g := NewWithT(t)
	group := &fakeGroup{id: "g1"}
	s := operator.New(operator.Options{Log: replica.NewFakeLog(clockwork.NewFakeClock()), Group: group, Clock: clockwork.NewFakeClock()})
	res, err := s.Init(t.Context(), &gen.InitPayload{RequestID: "r1"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(res).To(Equal(&gen.InitResult{GroupID: "g1", Voters: []string{"e1"}}))
	group.err = errors.New("no answer from e2")
	_, err = s.Init(t.Context(), &gen.InitPayload{RequestID: "r1"})
	g.Expect(errorName(err)).To(Equal("unavailable"))
	g.Expect(err).To(MatchError(And(ContainSubstring("all initial voters run"), ContainSubstring("no answer from e2"))))
}

func TestRefusalsAreTyped(t *testing.T) {
	g := NewWithT(t)
	s := newService(replica.NewFakeLog(clockwork.NewFakeClockAt(startTime)))
	_, err := s.CancelJobs(t.Context(), &gen.CancelJobsPayload{RequestID: "r1", Ids: []string{"none"}})
	g.Expect(errorName(err)).To(Equal("not_found"))
	_, err = s.CancelJobs(t.Context(), &gen.CancelJobsPayload{RequestID: "r2"})
	g.Expect(errorName(err)).To(Equal("invalid"))
	_, err = s.RegisterWorker(t.Context(), &gen.RegisterWorkerPayload{RequestID: "r3", ID: "w1", Zone: "z1", Rack: "r", Address: "worker:7500", Capacity: &gen.Resources{MilliCPU: 1}})
	g.Expect(errorName(err)).To(Equal("invalid"))
	_, err = s.SubmitJob(t.Context(), jobPayload("r4", "j1", -1))
	g.Expect(errorName(err)).To(Equal("invalid"))
	_, err = s.ShowWorker(t.Context(), &gen.ShowWorkerPayload{ID: "w9"})
	g.Expect(errorName(err)).To(Equal("not_found"))
}

func jobPayload(request, id string, tasks int64) *gen.SubmitJobPayload {
	return &gen.SubmitJobPayload{RequestID: request, Spec: &gen.JobSpec{
		ID: id, Class: "receipts", Priority: "normal", Tasks: tasks,
		Resources: &gen.Resources{MilliCPU: 1000, MemoryMib: 512},
	}}
}

func TestListsShowCountsAndAudit(t *testing.T) {
	g := NewWithT(t)
	log := replica.NewFakeLog(clockwork.NewFakeClockAt(startTime))
	s := newService(log)
	actor := "ana"
	_, err := s.RegisterWorker(t.Context(), &gen.RegisterWorkerPayload{RequestID: "r1", Actor: &actor, ID: "w1", Zone: "z3", Rack: "k1", Address: "127.0.0.1:7500", Capacity: &gen.Resources{MilliCPU: 4000, MemoryMib: 4096}})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = s.SubmitJob(t.Context(), jobPayload("r2", "j1", 2))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = s.ApplyTeam(t.Context(), &gen.ApplyTeamPayload{RequestID: "r3", Name: "t1", Weight: 2, Quota: &gen.Resources{}})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = s.ApplyService(t.Context(), &gen.ApplyServicePayload{RequestID: "r4", Spec: &gen.ServiceSpec{Name: "s1", Replicas: 1, Resources: &gen.Resources{MilliCPU: 100}, Slots: 8, ConnectionLimit: 64}})
	g.Expect(err).NotTo(HaveOccurred())
	mustPropose(g, log, state.AddReplicas{Service: "s1"})

	zones, err := s.ListZones(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(zones.Zones).To(HaveLen(3))
	g.Expect(zones.Zones[2].Workers).To(Equal(int64(1)))
	shown, err := s.ShowJob(t.Context(), &gen.ShowJobPayload{ID: "j1"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(shown.Job.Pending).To(Equal(int64(2)))
	g.Expect(shown.Tasks).To(HaveLen(2))
	phase := "failed"
	jobs, err := s.ListJobs(t.Context(), &gen.ListJobsPayload{Phase: &phase})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(jobs.Jobs).To(BeEmpty())
	services, err := s.ListServices(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(services.Services[0].Spec.Slots).To(Equal(int64(8)))
	workers, err := s.ListWorkers(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(workers.Workers[0].Version).To(Equal(uint64(1)))

	object, limit := "worker/w1", int64(1)
	audit, err := s.Audit(t.Context(), &gen.AuditPayload{Object: &object, Limit: &limit})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(audit.Records).To(HaveLen(1))
	g.Expect(audit.Records[0].Actor).To(Equal("ana"))
	since := startTime.Add(time.Hour).UnixMilli()
	audit, err = s.Audit(t.Context(), &gen.AuditPayload{SinceMs: &since})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(audit.Records).To(BeEmpty())
}

func mustPropose(g *WithT, log replica.Log, body state.Body) state.Result {
	r, err := log.Propose(context.Background(), state.NewCommand(body))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.Code).To(Equal(state.CodeOK), r.Message)
	return r
}

// Guards against a retryable error for a request that is too large to be ever
// committed: the client would resend it without end.
func TestTooLargeRequestIsRefused(t *testing.T) {
	g := NewWithT(t)
	log := replica.NewFakeLog(clockwork.NewFakeClockAt(startTime))
	log.SetError(steperr.Wrap(replica.ErrTooLarge, "propose", ""))
	_, err := newService(log).SubmitJob(t.Context(), jobPayload("r1", "j1", 1))
	g.Expect(errorName(err)).To(Equal("invalid"))
}

// Guards against a status without the learners on instances other than the
// leader, where the learners would appear to be lost.
func TestStatusIncludesInstancesMissingFromGroup(t *testing.T) {
	g := NewWithT(t)
	log := replica.NewFakeLog(clockwork.NewFakeClockAt(startTime))
	for _, id := range []string{"e1", "e7"} {
		mustPropose(g, log, state.RegisterInstance{Instance: state.Instance{ID: id, PeerAddress: "127.0.0.1:7", Zone: "z7", InstanceStart: 1}})
	}
	st, err := newService(log).Status(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(st.Instances).To(HaveLen(3))
	g.Expect(*st.Instances[2]).To(Equal(gen.InstanceInfo{ID: "e7", Zone: "z7", PeerAddress: "127.0.0.1:7", Role: operator.RoleLearner, LastContactMs: -1}))
}
