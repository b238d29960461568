package bench

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"apricotrouter/daemon"
	"apricotrouter/state"
)

const (
	proposerCount = 64 // concurrent proposers
	electionCount = 3
	zoneChanges   = 40
	changeTimeout = 10 * time.Second
)

// measureControl measures the control group.
func (b *bench) measureControl() error {
	for _, f := range []func() error{b.measureCommits, b.measureElections, b.measureRestarts} {
		if err := f(); err != nil {
			return err
		}
	}
	return nil
}

// measureCommits measures the commit rate of three voters under concurrent
// proposals, and the time until all instances have applied a change.
func (b *bench) measureCommits() error {
	g, err := b.startGroup("commits", 3)
	if err != nil {
		return err
	}
	defer func() { _ = g.stop() }()
	for _, clients := range []int{1, proposerCount} {
		rate, h := g.commitRate(clients, b.duration/2)
		name := fmt.Sprintf("3 voters, %d at once", clients)
		b.add(name, "commits", rate, "1/s")
		b.add(name, "commit p50", milliseconds(h.ValueAtQuantile(50)), "ms")
		b.add(name, "commit p99", milliseconds(h.ValueAtQuantile(99)), "ms")
	}
	h := newHistogram()
	for i := range zoneChanges {
		d, err := g.timeZoneChange(i%2 == 0)
		if err != nil {
			return err
		}
		_ = h.RecordValue(d.Microseconds())
	}
	name := fmt.Sprintf("%d zone changes", zoneChanges)
	b.add(name, "in force everywhere p50", milliseconds(h.ValueAtQuantile(50)), "ms")
	b.add(name, "in force everywhere max", milliseconds(h.Max()), "ms")
	return nil
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, time.Minute.Microseconds(), 3)
}

func milliseconds(microseconds int64) float64 { return float64(microseconds) / 1000 }

// commitRate returns the commits per second and the commit latencies in
// microseconds. Each client proposes one command after another through its
// instance; clients are spread over the instances.
func (g *group) commitRate(clients int, d time.Duration) (float64, *hdrhistogram.Histogram) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	var mu sync.Mutex
	h := newHistogram()
	var committed atomic.Int64
	var wg sync.WaitGroup
	begin := time.Now()
	for i := range clients {
		wg.Go(func() {
			r := g.daemons[i%len(g.daemons)].Replica()
			for ctx.Err() == nil {
				proposedAt := time.Now()
				if _, err := r.Propose(ctx, state.NewCommand(state.Noop{})); err != nil {
					continue
				}
				committed.Add(1)
				mu.Lock()
				_ = h.RecordValue(time.Since(proposedAt).Microseconds())
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return float64(committed.Load()) / time.Since(begin).Seconds(), h
}

// timeZoneChange drains a zone or returns it to service, and returns the time from
// the request until every instance has applied the change.
func (g *group) timeZoneChange(out bool) (time.Duration, error) {
	begin := time.Now()
	if err := setZone(g, out); err != nil {
		return 0, err
	}
	for _, d := range g.daemons {
		for d.State().IsZoneDrained(zoneName(0)) != out {
			if time.Since(begin) > changeTimeout {
				return 0, errTimeout
			}
			time.Sleep(100 * time.Microsecond)
		}
	}
	return time.Since(begin), nil
}

// measureElections measures the time from the loss of the leader until the next
// leader has committed a change.
func (b *bench) measureElections() error {
	h := newHistogram()
	for i := range electionCount {
		d, err := b.measureElection(fmt.Sprintf("election-%d", i))
		if err != nil {
			return err
		}
		_ = h.RecordValue(d.Microseconds())
	}
	name := fmt.Sprintf("leader killed, %d times", electionCount)
	b.add(name, "next commit p50", milliseconds(h.ValueAtQuantile(50)), "ms")
	b.add(name, "next commit max", milliseconds(h.Max()), "ms")
	return nil
}

func (b *bench) measureElection(name string) (time.Duration, error) {
	g, err := b.startGroup(name, 3)
	if err != nil {
		return 0, err
	}
	defer func() { _ = g.stop() }()
	var leader, other *daemon.Daemon
	err = awaitCondition(func() bool {
		leader, other = nil, nil
		for _, d := range g.daemons {
			if d.Replica().Leadership().Self {
				leader = d
			} else {
				other = d
			}
		}
		return leader != nil && other != nil
	})
	if err != nil {
		return 0, err
	}
	begin := time.Now()
	leader.Kill()
	for time.Since(begin) < changeTimeout {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_, err = other.Replica().Propose(ctx, state.NewCommand(state.Noop{}))
		cancel()
		if err == nil {
			return time.Since(begin), nil
		}
	}
	return 0, errors.Join(errTimeout, err)
}

// measureRestarts measures the time from the start of an instance until it has
// applied all changes in its data directory.
func (b *bench) measureRestarts() error {
	for _, changes := range []int{100, 1000, 5000} {
		name := fmt.Sprintf("restart-%d", changes)
		index, err := b.commitTeamChanges(name, changes)
		if err != nil {
			return err
		}
		took, err := b.measureRestart(name, index)
		if err != nil {
			return err
		}
		b.add(fmt.Sprintf("restart after %d changes", changes), "all applied", took.Seconds()*1000, "ms")
	}
	return nil
}

// commitTeamChanges commits changes of teams in a new data directory and returns
// the index of the last one.
func (b *bench) commitTeamChanges(name string, changes int) (uint64, error) {
	g, err := b.startGroup(name, 1)
	if err != nil {
		return 0, err
	}
	var wg sync.WaitGroup
	errs := make([]error, proposerCount)
	for i := range proposerCount {
		wg.Go(func() {
			for n := i; n < changes && errs[i] == nil; n += proposerCount {
				errs[i] = g.propose(state.ApplyTeam{Name: fmt.Sprintf("t%d", n), Weight: 1})
			}
		})
	}
	wg.Wait()
	index := g.daemons[0].State().Index
	return index, errors.Join(append(errs, g.stop())...)
}

func (b *bench) measureRestart(name string, index uint64) (time.Duration, error) {
	peers, listeners, err := listenPeers(1)
	if err != nil {
		return 0, err
	}
	begin := time.Now()
	d, err := daemon.New(daemon.Options{
		Config: b.settings(name, peers, 0), Logger: b.logger, Version: "bench", PeerListener: listeners[0],
	})
	if err != nil {
		return 0, err
	}
	g := &group{}
	g.runDaemon(d)
	defer func() { _ = g.stop() }()
	for d.State().Index < index {
		if time.Since(begin) > changeTimeout {
			return 0, errTimeout
		}
		time.Sleep(time.Millisecond)
	}
	return time.Since(begin), nil
}
