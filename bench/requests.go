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

// Parameters of the measured service.
const (
	appPath         = "/app"
	slots           = 8
	endpointCount   = 6
	serviceTime     = 20 * time.Millisecond
	requestDeadline = time.Second
	// slotCapacity is the maximum throughput of all slots, in requests per second.
	slotCapacity = float64(endpointCount*slots) / (float64(serviceTime) / float64(time.Second))
)

// slotQueue limits the concurrency of a simulated endpoint to its slots and delays
// further requests, as a real endpoint with that many threads would.
type slotQueue struct {
	mu       sync.Mutex
	freeAt   [slots]time.Time // time at which each slot becomes free
	slowdown int              // factor of the service time
}

func newSlotQueue() *slotQueue { return &slotQueue{slowdown: 1} }

func (q *slotQueue) behavior(*http.Request) endpoint.Behavior {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	earliest := 0
	for i := range q.freeAt {
		if q.freeAt[i].Before(q.freeAt[earliest]) {
			earliest = i
		}
	}
	start := q.freeAt[earliest]
	if start.Before(now) {
		start = now
	}
	q.freeAt[earliest] = start.Add(serviceTime * time.Duration(q.slowdown))
	return endpoint.Behavior{Delay: q.freeAt[earliest].Sub(now)}
}

// summary is the summary of a load.
type summary struct {
	p50, p99, p999   float64 // milliseconds, of answered requests
	answeredFraction float64 // fraction of all requests
	goodput          float64 // requests per second answered within requestDeadline
}

// summarize summarizes the results that were due in [from, to).
func summarize(results []caller.Result, from, to time.Time) summary {
	h := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	total, answered, withinDeadline := 0, 0, 0
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
		if r.Latency() <= requestDeadline {
			withinDeadline++
		}
	}
	quantile := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return summary{
		p50: quantile(50), p99: quantile(99), p999: quantile(99.9),
		answeredFraction: float64(answered) / float64(max(total, 1)),
		goodput:          float64(withinDeadline) / to.Sub(from).Seconds(),
	}
}

// warmUp is the duration of the initial part of a load that is not reported.
const warmUp = 2 * time.Second

// runLoad sends an open-loop load (rate in requests per second) to the targets and
// returns its summary.
func (b *bench) runLoad(targets []string, rate float64, seed uint64) summary {
	l := caller.Start(caller.Options{
		Targets: targets, Path: appPath, Rate: rate, Timeout: requestDeadline, Seed: seed,
		Prefix: fmt.Sprintf("%s-%d-%d-", b.section, seed, time.Now().UnixNano()),
	})
	begin := time.Now().Add(warmUp)
	end := begin.Add(b.duration)
	time.Sleep(time.Until(end))
	return summarize(l.Stop(), begin, end)
}

// measureRequests compares requests through one entry instance with requests of
// the same client directly to the endpoints. Latencies count from the due time of
// a request.
func (b *bench) measureRequests() error {
	for i, load := range []float64{0.5, 0.8, 1.2} {
		rate := slotCapacity * load
		direct, err := b.measureDirect(rate, uint64(i))
		if err != nil {
			return err
		}
		routed, err := b.measureThroughInstance(rate, uint64(i))
		if err != nil {
			return err
		}
		b.reportLoad(fmt.Sprintf("%.0f%% of the slots, %.0f/s", load*100, rate), routed, direct)
	}
	return nil
}

func (b *bench) reportLoad(name string, s, baseline summary) {
	b.compare(name, "p50", s.p50, baseline.p50, "ms")
	b.compare(name, "p99", s.p99, baseline.p99, "ms")
	b.compare(name, "p99.9", s.p999, baseline.p999, "ms")
	b.compare(name, "answered", s.answeredFraction*100, baseline.answeredFraction*100, "%")
	b.compare(name, "answered within 1 s", s.goodput, baseline.goodput, "1/s")
}

func (b *bench) measureDirect(rate float64, seed uint64) (summary, error) {
	var targets []string
	for i := range endpointCount {
		e, err := startEndpoint(i, nil)
		if err != nil {
			return summary{}, err
		}
		defer e.Kill()
		targets = append(targets, e.Address())
	}
	return b.runLoad(targets, rate, seed), nil
}

func (b *bench) measureThroughInstance(rate float64, seed uint64) (summary, error) {
	g, err := b.startGroup(fmt.Sprintf("requests-%d", seed), 1)
	if err != nil {
		return summary{}, err
	}
	defer func() { _ = g.stop() }()
	if err := g.addEndpoints(endpointCount); err != nil {
		return summary{}, err
	}
	return b.runLoad(g.entries(), rate, seed), nil
}

// measureFaults measures three entry instances at 50% of slotCapacity during a
// sequence of faults.
func (b *bench) measureFaults() error {
	g, err := b.startGroup("faults", zoneCount)
	if err != nil {
		return err
	}
	defer func() { _ = g.stop() }()
	if err := g.addEndpoints(endpointCount); err != nil {
		return err
	}
	l := caller.Start(caller.Options{
		Targets: g.entries(), Path: appPath, Rate: slotCapacity / 2, Timeout: requestDeadline, Seed: 7, NonIdempotent: 0.5,
		Prefix: "faults-",
	})
	time.Sleep(warmUp)
	phases, err := b.runPhases(g)
	results := l.Stop()
	if err != nil {
		return err
	}
	var baseline summary
	for i, p := range phases {
		s := summarize(results, p.begin, p.end)
		if i == 0 {
			baseline = s
		}
		b.reportLoad(p.name, s, baseline)
	}
	tally := caller.Count(results)
	b.add("all", "refused as not-run", float64(tally.NotRun), "")
	b.add("all", "outcome unknown", float64(tally.Unknown), "")
	b.add("all", "violations", float64(len(caller.Violations(results, g.endpoints...))), "")
	return nil
}

// phase is the part of a load after one fault or change.
type phase struct {
	name       string
	begin, end time.Time
}

// runPhases applies one fault or change after another to the group.
func (b *bench) runPhases(g *group) ([]phase, error) {
	noisy := newSlotQueue()
	noisy.slowdown = 4
	steps := []struct {
		name string
		do   func() error
	}{
		{"calm", func() error { return nil }},
		{"batch noise: 1 endpoint 4x slower", func() error { g.endpoints[0].SetBehavior(noisy.behavior); return nil }},
		{"noise has ended", func() error { g.endpoints[0].SetBehavior(newSlotQueue().behavior); return nil }},
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
		time.Sleep(b.duration)
		phases = append(phases, phase{s.name, begin, time.Now()})
	}
	return phases, nil
}

// setZone drains the first availability zone or returns it to service.
func setZone(g *group, out bool) error {
	z, _ := g.daemons[0].State().Zones.Get(zoneName(0))
	var version uint64
	if z != nil {
		version = z.Version
	}
	return g.propose(state.SetZone{Name: zoneName(0), Out: out, ExpectedVersion: version})
}
