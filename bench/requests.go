package bench

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"apricotrouter/standin/caller"
	"apricotrouter/standin/endpoint"
	"apricotrouter/state"
)

// The service that is measured.
const (
	appPath       = "/app"
	slots         = 8
	endpointCount = 6
	serviceTime   = 20 * time.Millisecond
	deadline      = time.Second
	// capacity is how many requests per second all slots can serve.
	capacity = float64(endpointCount*slots) / (float64(serviceTime) / float64(time.Second))
)

// queue lets an endpoint run as many requests at once as it has slots and
// delays the others, as a real one with that many threads would.
type queue struct {
	mu     sync.Mutex
	free   [slots]time.Time // when each slot is free again
	factor int              // by which requests are slowed down
}

func newQueue() *queue { return &queue{factor: 1} }

func (q *queue) behavior(*http.Request) endpoint.Behavior {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	first := 0
	for i := range q.free {
		if q.free[i].Before(q.free[first]) {
			first = i
		}
	}
	start := q.free[first]
	if start.Before(now) {
		start = now
	}
	q.free[first] = start.Add(serviceTime * time.Duration(q.factor))
	return endpoint.Behavior{Delay: q.free[first].Sub(now)}
}

// summary is what is reported of a load.
type summary struct {
	p50, p99, p999 float64 // milliseconds, of answered requests
	answered       float64 // share of all
	inTime         float64 // per second, answered within the deadline
}

// summarize reads the results that were due in [from, to).
func summarize(results []caller.Result, from, to time.Time) summary {
	h := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	total, answered, inTime := 0, 0, 0
	for _, r := range results {
		if r.Due.Before(from) || !r.Due.Before(to) {
			continue
		}
		total++
		if r.Outcome != caller.Completed {
			continue
		}
		answered++
		_ = h.RecordValue(min(r.Latency(), time.Minute).Microseconds())
		if r.Latency() <= deadline {
			inTime++
		}
	}
	quantile := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return summary{
		p50: quantile(50), p99: quantile(99), p999: quantile(99.9),
		answered: float64(answered) / float64(max(total, 1)),
		inTime:   float64(inTime) / to.Sub(from).Seconds(),
	}
}

// warmUp is the part of a load that is not reported.
const warmUp = 2 * time.Second

// load sends an open-loop load to the targets and reports it.
func (b *bench) load(targets []string, rate float64, seed uint64) summary {
	l := caller.Start(caller.Options{
		Targets: targets, Path: appPath, Rate: rate, Timeout: deadline, Seed: seed,
		Prefix: fmt.Sprintf("%s-%d-%d-", b.section, seed, time.Now().UnixNano()),
	})
	begin := time.Now().Add(warmUp)
	end := begin.Add(b.seconds)
	time.Sleep(time.Until(end))
	return summarize(l.Stop(), begin, end)
}

// requests compares one entry instance with the same client straight to the
// endpoints. Latencies count from when a request was due.
func (b *bench) requests() error {
	for i, share := range []float64{0.5, 0.8, 1.2} {
		rate := capacity * share
		straight, err := b.straight(rate, uint64(i))
		if err != nil {
			return err
		}
		through, err := b.through(rate, uint64(i))
		if err != nil {
			return err
		}
		b.report(fmt.Sprintf("%.0f%% of the slots, %.0f/s", share*100, rate), through, straight)
	}
	return nil
}

func (b *bench) report(name string, s, baseline summary) {
	b.compare(name, "p50", s.p50, baseline.p50, "ms")
	b.compare(name, "p99", s.p99, baseline.p99, "ms")
	b.compare(name, "p99.9", s.p999, baseline.p999, "ms")
	b.compare(name, "answered", s.answered*100, baseline.answered*100, "%")
	b.compare(name, "answered within 1 s", s.inTime, baseline.inTime, "1/s")
}

func (b *bench) straight(rate float64, seed uint64) (summary, error) {
	var targets []string
	for i := range endpointCount {
		e, err := startEndpoint(i, nil)
		if err != nil {
			return summary{}, err
		}
		defer e.Kill()
		targets = append(targets, e.Address())
	}
	return b.load(targets, rate, seed), nil
}

func (b *bench) through(rate float64, seed uint64) (summary, error) {
	g, err := b.startGroup(fmt.Sprintf("requests-%d", seed), 1)
	if err != nil {
		return summary{}, err
	}
	defer func() { _ = g.stop() }()
	if err := g.addEndpoints(endpointCount); err != nil {
		return summary{}, err
	}
	return b.load(g.entries(), rate, seed), nil
}

// faults measures three entry instances at half of the slots while things
// happen one after the other.
func (b *bench) faults() error {
	g, err := b.startGroup("faults", zoneCount)
	if err != nil {
		return err
	}
	defer func() { _ = g.stop() }()
	if err := g.addEndpoints(endpointCount); err != nil {
		return err
	}
	l := caller.Start(caller.Options{
		Targets: g.entries(), Path: appPath, Rate: capacity / 2, Timeout: deadline, Seed: 7, NonIdempotent: 0.5,
		Prefix: "faults-",
	})
	time.Sleep(warmUp)
	phases, err := b.phases(g)
	results := l.Stop()
	if err != nil {
		return err
	}
	var calm summary
	for i, p := range phases {
		s := summarize(results, p.begin, p.end)
		if i == 0 {
			calm = s
		}
		b.report(p.name, s, calm)
	}
	tally := caller.Count(results)
	b.add("all", "refused as not-run", float64(tally.NotRun), "")
	b.add("all", "outcome unknown", float64(tally.Unknown), "")
	b.add("all", "violations", float64(len(caller.Violations(results, g.endpoints...))), "")
	return nil
}

// phase is a span of a load in which something happens.
type phase struct {
	name       string
	begin, end time.Time
}

// phases lets one thing after the other happen to the group.
func (b *bench) phases(g *group) ([]phase, error) {
	noisy := newQueue()
	noisy.factor = 4
	steps := []struct {
		name string
		do   func() error
	}{
		{"calm", func() error { return nil }},
		{"batch noise: 1 endpoint 4x slower", func() error { g.endpoints[0].SetBehavior(noisy.behavior); return nil }},
		{"noise has ended", func() error { g.endpoints[0].SetBehavior(newQueue().behavior); return nil }},
		{"connections to 1 endpoint silent", func() error { g.endpoints[1].BlackholeOpenConnections(); return nil }},
		{"1 endpoint fails", func() error { g.endpoints[2].Kill(); return nil }},
		{"availability zone out", func() error { return setZone(g, true) }},
		{"availability zone in", func() error { return setZone(g, false) }},
	}
	var phases []phase
	for _, s := range steps {
		begin := time.Now()
		if err := s.do(); err != nil {
			return nil, fmt.Errorf("%s: %w", s.name, err)
		}
		time.Sleep(b.seconds)
		phases = append(phases, phase{s.name, begin, time.Now()})
	}
	return phases, nil
}

// setZone takes the first availability zone out or brings it back.
func setZone(g *group, out bool) error {
	z, _ := g.daemons[0].State().Zones.Get(zoneName(0))
	var version uint64
	if z != nil {
		version = z.Version
	}
	return g.propose(state.SetZone{Name: zoneName(0), Out: out, ExpectedVersion: version})
}
