package admission_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"apricotrouter/admission"
)

func submissionOf(w *replayed) *admission.Submission {
	j := w.job()
	return &admission.Submission{Job: j, Initial: []admission.TaskSize{{MilliCPU: w.milliCPU}}, CopiesMillis: 1000}
}

// Load pattern: more work than can be done, with and without urgent work that
// takes minutes and with capacity that returns. Guards against the refusal of
// work that could have been served, and while capacity is free: each submission
// that would be refused is admitted, and its result must have been useless.
func TestOnlyWhatCanNotBeServedIsRefused(t *testing.T) {
	all := map[string]load{
		"urgent work":                           {seconds: 180, rate: 5, overload: 0.8, urgent: 1000},
		"urgent work and capacity that returns": {seconds: 180, rate: 5, overload: 1.2, urgent: 1000, returning: 1.4},
		"urgent work, varying run times":        {seconds: 180, rate: 5, overload: 0.8, urgent: 700, widely: true},
		"enough capacity":                       {seconds: 180, rate: 5, overload: 0.7},
	}
	for name, l := range loads {
		all[name] = l
	}
	for name, l := range all {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			refused, useless := 0, 0
			for seed := range uint64(replaySeeds) {
				l.seed = seed + 1
				_, workflows := replay(l, byAdmission, func(now int64, w *replayed, b *admission.Backlog, idle int64) int64 {
					if d := admission.Decide(now, submissionOf(w), b); d.Refuse {
						w.wouldRefuse = true
						g.Expect(idle).To(BeNumerically("<", w.milliCPU), "capacity was free")
					}
					return 0
				})
				for _, w := range workflows {
					if w.ended > w.late {
						useless++
					}
					if w.wouldRefuse {
						refused++
						g.Expect(w.ended).To(BeNumerically(">", w.late), "%s could have been served", w.id)
					}
				}
			}
			t.Logf("%d were useless, %d of them would have been refused", useless, refused)
			if l.urgent > 0 {
				g.Expect(refused).To(BeNumerically(">", 0), "no case was certain")
			}
		})
	}
}

// Guards against refusals that cost callers results: with clients that send
// again up to four times after the given time, the same value is delivered.
func TestRefusalsCostNoValue(t *testing.T) {
	g := NewWithT(t)
	l := load{seconds: 180, rate: 5, overload: 0.8, urgent: 1000, seed: 1}
	refusals := 0
	with, _ := replay(l, byAdmission, func(now int64, w *replayed, b *admission.Backlog, _ int64) int64 {
		d := admission.Decide(now, submissionOf(w), b)
		if d.Refuse {
			refusals++
		}
		return d.RetryAfterMillis
	})
	without, _ := replay(l, byAdmission, nil)
	t.Logf("value %.4f with %d refusals, %.4f without", with.value, refusals, without.value)
	g.Expect(refusals).To(BeNumerically(">", 0))
	g.Expect(with.value).To(BeNumerically(">=", without.value))
}

// newBacklog returns a backlog of a minute of urgent work, at one processor.
func newBacklog(mod func(p *admission.Pressure, r *admission.Rate)) *admission.Backlog {
	return newBacklogOf(9e7, mod)
}

func newBacklogOf(work float64, mod func(p *admission.Pressure, r *admission.Rate)) *admission.Backlog {
	var rate admission.Rate
	for now := int64(1); now < 10_000; now += 1000 {
		rate.Observe(now, true)
		rate.Completed(1000 * 1000)
	}
	p := short(nil)
	mod(p, &rate)
	size := admission.TaskSize{MilliCPU: 1000, MemoryMiB: 100}
	jobs := []admission.Job{{ID: "ahead", Deadline: 1e9, LateDeadline: 2e9, Work: work, WorkLeft: work, WorkReady: work, Ready: size, CriticalPathMillis: 10}}
	return admission.NewBacklog(10_000, jobs, p, &rate, []admission.TaskSize{{MilliCPU: 100, MemoryMiB: 10}, size})
}

func newSubmission(mod func(*admission.Submission)) *admission.Submission {
	s := &admission.Submission{
		Job: admission.Job{
			ID: "new", Priority: 1, SubmittedAt: 10_000, Deadline: 20_000, LateDeadline: 40_000, Work: 1e6, WorkLeft: 1e6, CriticalPathMillis: 1000,
		},
		Initial: []admission.TaskSize{{MilliCPU: 1000, MemoryMiB: 100}}, CopiesMillis: 4000,
	}
	mod(s)
	return s
}

// Guards against refusals without certainty.
func TestDecide(t *testing.T) {
	unchanged := func(*admission.Pressure, *admission.Rate) {}
	for name, tc := range map[string]struct {
		backlog    func(*admission.Pressure, *admission.Rate)
		submission func(*admission.Submission)
		now        int64
		refuse     bool
	}{
		"a minute of work is ahead": {refuse: true},
		"of other priority":         {submission: func(s *admission.Submission) { s.Priority = -1 }},
		"can wait":                  {submission: func(s *admission.Submission) { s.Deadline, s.LateDeadline = 60_000, 80_000 }},
		"rate not known":            {backlog: func(_ *admission.Pressure, r *admission.Rate) { *r = admission.Rate{} }},
		"old rate":                  {backlog: func(_ *admission.Pressure, r *admission.Rate) { r.Observe(100_000, true) }},
		"everything fits":           {backlog: func(p *admission.Pressure, _ *admission.Rate) { p.Waiting = admission.Demand{} }},
		"old backlog":               {now: 13_000},
		// The shares of tenants decide within the priority of the work ahead, which
		// may belong to a tenant above its share.
		"shares of tenants decide": {
			backlog:    func(p *admission.Pressure, _ *admission.Rate) { p.Tenants = true },
			submission: func(s *admission.Submission) { s.Priority, s.Work, s.WorkLeft = 0, 1e10, 1e10 },
		},
		"no shares of tenants":            {submission: func(s *admission.Submission) { s.Priority, s.Work, s.WorkLeft = 0, 1e10, 1e10 }, refuse: true},
		"more urgent work beside tenants": {backlog: func(p *admission.Pressure, _ *admission.Rate) { p.Tenants = true }, refuse: true},
		// A task for which no worker is suitable waits in an idle pool.
		"a long wait alone": {backlog: func(p *admission.Pressure, _ *admission.Rate) {
			p.Free, p.LongestWaitMillis = p.Waiting, 60_000
		}},
		"smaller":     {submission: func(s *admission.Submission) { s.Initial[0].MilliCPU = 999 }},
		"less memory": {submission: func(s *admission.Submission) { s.Initial[0].MemoryMiB = 99 }},
		"best-effort": {submission: func(s *admission.Submission) { s.Initial[0].BestEffort = true }},
		"a small initial task": {submission: func(s *admission.Submission) {
			s.Initial = append(s.Initial, admission.TaskSize{MilliCPU: 1})
		}},
		"useless in an empty pool": {submission: func(s *admission.Submission) { s.CriticalPathMillis = 100_000 }},
		"no work":                  {submission: func(s *admission.Submission) { s.WorkLeft = 0 }},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			if tc.backlog == nil {
				tc.backlog = unchanged
			}
			if tc.submission == nil {
				tc.submission = func(*admission.Submission) {}
			}
			if tc.now == 0 {
				tc.now = 10_000
			}
			d := admission.Decide(tc.now, newSubmission(tc.submission), newBacklog(tc.backlog))
			g.Expect(d.Refuse).To(Equal(tc.refuse), "%+v", d)
			g.Expect(d.RetryAfterMillis > 0).To(Equal(tc.refuse))
		})
	}
}

// Guards against times that overflow with the largest declared work, which
// depends on the processor.
func TestForecastOfTheLargestWork(t *testing.T) {
	g := NewWithT(t)
	d := admission.Decide(10_000, newSubmission(func(*admission.Submission) {}), newBacklogOf(1e30, func(*admission.Pressure, *admission.Rate) {}))
	g.Expect(d.Refuse).To(BeTrue())
	g.Expect(d.RetryAfterMillis).To(BeNumerically("<=", 120_000))
}

// Guards against clients that return in the same second: at most a fifth of
// those refused in one second may send again in one later second. Also guards
// against a retry before copies of the submission have arrived.
func TestRetriesAreSpread(t *testing.T) {
	g := NewWithT(t)
	b := newBacklog(func(*admission.Pressure, *admission.Rate) {})
	const refused = 1000
	bySecond := make(map[int64]int)
	for i := range refused {
		d := admission.Decide(10_000, newSubmission(func(s *admission.Submission) { s.ID = fmt.Sprintf("%016x", i) }), b)
		g.Expect(d.Refuse).To(BeTrue())
		g.Expect(d.RetryAfterMillis).To(BeNumerically(">=", 4000))
		g.Expect(d.RetryAfterMillis).To(BeNumerically("<=", 2*60_000))
		bySecond[(d.RetryAfterMillis+999)/1000]++
	}
	for second, n := range bySecond {
		g.Expect(n).To(BeNumerically("<=", refused/5), "second %d", second)
	}
}

// Guards against a rate that is learned while capacity is free.
func TestRateIsLearnedOnlyWhileWorkWaits(t *testing.T) {
	g := NewWithT(t)
	var r admission.Rate
	for now := int64(1); now < 60_000; now += 1000 {
		r.Observe(now, now%5000 > 2000)
		r.Completed(5000)
	}
	g.Expect(r.Highest()).To(BeZero())
	for now := int64(60_001); now <= 65_001; now += 1000 {
		r.Observe(now, true)
		r.Completed(5000)
	}
	g.Expect(r.Highest()).To(BeNumerically("~", 5, 1))
	r.Observe(130_000, true)
	g.Expect(r.Highest()).To(BeZero())
}
