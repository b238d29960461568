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
	proposers     = 64 // that commit at once
	elections     = 3
	zoneChanges   = 40
	changeTimeout = 10 * time.Second
)

// control measures the control group.
func (b *bench) control() error {
	for _, f := range []func() error{b.commits, b.elections, b.restarts} {
		if err := f(); err != nil {
			return err
		}
	}
	return nil
}

// commits measures three voters under many proposals at once, and how soon a
// change is in force on all instances.
func (b *bench) commits() error {
	g, err := b.startGroup("commits", 3)
	if err != nil {
		return err
	}
	defer func() { _ = g.stop() }()
	for _, clients := range []int{1, proposers} {
		rate, h := g.commitRate(clients, b.seconds/2)
		name := fmt.Sprintf("3 voters, %d at once", clients)
		b.add(name, "commits", rate, "1/s")
		b.add(name, "commit p50", ms(h.ValueAtQuantile(50)), "ms")
		b.add(name, "commit p99", ms(h.ValueAtQuantile(99)), "ms")
	}
	h := newHistogram()
	for i := range zoneChanges {
		d, err := g.inForce(i%2 == 0)
		if err != nil {
			return err
		}
		_ = h.RecordValue(d.Microseconds())
	}
	name := fmt.Sprintf("%d zone changes", zoneChanges)
	b.add(name, "in force everywhere p50", ms(h.ValueAtQuantile(50)), "ms")
	b.add(name, "in force everywhere max", ms(h.Max()), "ms")
	return nil
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, time.Minute.Microseconds(), 3)
}

func ms(microseconds int64) float64 { return float64(microseconds) / 1000 }

// commitRate lets clients commit one command after the other, each through
// the next instance.
func (g *group) commitRate(clients int, d time.Duration) (float64, *hdrhistogram.Histogram) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	var mu sync.Mutex
	h := newHistogram()
	var done atomic.Int64
	var wg sync.WaitGroup
	begin := time.Now()
	for i := range clients {
		wg.Go(func() {
			r := g.daemons[i%len(g.daemons)].Replica()
			for ctx.Err() == nil {
				sent := time.Now()
				if _, err := r.Propose(ctx, state.NewCommand(state.Noop{})); err != nil {
					continue
				}
				done.Add(1)
				mu.Lock()
				_ = h.RecordValue(time.Since(sent).Microseconds())
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return float64(done.Load()) / time.Since(begin).Seconds(), h
}

// inForce changes a zone and returns the time from the request until every
// instance has applied it.
func (g *group) inForce(out bool) (time.Duration, error) {
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

// elections measures the time from the loss of the leader until a change is
// committed under the next one.
func (b *bench) elections() error {
	h := newHistogram()
	for i := range elections {
		d, err := b.election(fmt.Sprintf("election-%d", i))
		if err != nil {
			return err
		}
		_ = h.RecordValue(d.Microseconds())
	}
	name := fmt.Sprintf("leader killed, %d times", elections)
	b.add(name, "next commit p50", ms(h.ValueAtQuantile(50)), "ms")
	b.add(name, "next commit max", ms(h.Max()), "ms")
	return nil
}

func (b *bench) election(name string) (time.Duration, error) {
	g, err := b.startGroup(name, 3)
	if err != nil {
		return 0, err
	}
	defer func() { _ = g.stop() }()
	var leader, other *daemon.Daemon
	err = await(func() bool {
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

// restarts measures the time from the start of an instance until it has
// applied all changes of its data folder.
func (b *bench) restarts() error {
	for _, changes := range []int{100, 1000, 5000} {
		name := fmt.Sprintf("restart-%d", changes)
		index, err := b.fill(name, changes)
		if err != nil {
			return err
		}
		took, err := b.restart(name, index)
		if err != nil {
			return err
		}
		b.add(fmt.Sprintf("restart after %d changes", changes), "all applied", took.Seconds()*1000, "ms")
	}
	return nil
}

// fill commits changes of teams in a new data folder and returns the index of
// the last one.
func (b *bench) fill(name string, changes int) (uint64, error) {
	g, err := b.startGroup(name, 1)
	if err != nil {
		return 0, err
	}
	var wg sync.WaitGroup
	errs := make([]error, proposers)
	for i := range proposers {
		wg.Go(func() {
			for n := i; n < changes && errs[i] == nil; n += proposers {
				errs[i] = g.propose(state.ApplyTeam{Name: fmt.Sprintf("t%d", n), Weight: 1})
			}
		})
	}
	wg.Wait()
	index := g.daemons[0].State().Index
	return index, errors.Join(append(errs, g.stop())...)
}

func (b *bench) restart(name string, index uint64) (time.Duration, error) {
	peers, listeners, err := peersOf(1)
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
	g.run(d)
	defer func() { _ = g.stop() }()
	for d.State().Index < index {
		if time.Since(begin) > changeTimeout {
			return 0, errTimeout
		}
		time.Sleep(time.Millisecond)
	}
	return time.Since(begin), nil
}
