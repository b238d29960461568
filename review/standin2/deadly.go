//go:build review

package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	deadlyRunners = 48
	deadlyTasks   = 8
	crashesAfter  = 600 * time.Millisecond // of work
	backAfter     = 2 * time.Second
	submitFor     = 10 * time.Second
	submitEvery   = 2500 * time.Millisecond
	watchFor      = 22 * time.Second
	waves         = 3
	allowedStarts = 2 // after three runners have crashed under a task
)

// budget counts, by task, the runners that crashed under it and its starts
// after the third.
type budget struct {
	rec     *record
	mu      sync.Mutex
	crashes map[string]int
	starts  map[string]int
}

// deadly submits jobs whose tasks crash each runner that starts them.
func deadly(rec *record, trouble bool) error {
	c, err := newCluster(5, 2)
	if err != nil {
		return err
	}
	defer c.stop()
	if err := c.start(); err != nil {
		return err
	}
	stop := make(chan struct{})
	defer close(stop)
	machines := make(map[string]*machine) // by the address of their runners
	var all []*machine
	for i := range deadlyRunners {
		m, err := newMachine(fmt.Sprintf("%s.%d", c.prefix, 150+i), []string{"a", fmt.Sprintf("r1-%d", i/perRack)})
		if err == nil {
			err = m.begin(rec)
		}
		if err != nil {
			return err
		}
		defer m.listener.Close()
		machines[m.listener.Addr().String()] = m
		all = append(all, m)
		time.AfterFunc(time.Duration(rand.Int64N(int64(heartbeat))), func() { m.checkIns(c, stop) })
	}
	b := &budget{rec: rec, crashes: make(map[string]int), starts: make(map[string]int)}
	rec.onStart = func(r *runner, x *run) {
		b.started(x)
		if trouble {
			m := machines[r.address]
			time.AfterFunc(crashesAfter, func() { b.crash(m, r, x) })
		}
	}
	if !c.configure(manifest()) {
		return errors.New("the first manifest was not acknowledged")
	}
	time.Sleep(4 * time.Second)
	for range waves {
		if err := b.wave(c); err != nil {
			return err
		}
	}
	return nil
}

// wave submits jobs for some seconds and watches them.
func (b *budget) wave(c *cluster) error {
	rec := b.rec
	var ids []string
	for begin := time.Now(); time.Since(begin) < submitFor; time.Sleep(submitEvery) {
		id := newID()
		ids = append(ids, id)
		rec.declare(id, step{size: size{taskCPU, 4096}, runtime: 2 * time.Second, antiAffinity: 1})
		rec.line("POST %s", id)
		status := c.callJob(http.MethodPost, id, map[string]any{"taskSpec": "batch", "steps": []any{
			map[string]any{"count": deadlyTasks, "cpu": taskCPU, "memMb": 4096, "estRuntimeMs": 2000, "antiAffinity": 1},
		}})
		rec.line("answer %d", status)
		if status != http.StatusOK {
			return fmt.Errorf("submission was answered %d", status)
		}
	}
	time.Sleep(watchFor)
	for _, id := range ids {
		_, body := send(http.MethodGet, c.entries()[0], "/jobs/"+id, queueHost, nil, 3*time.Second)
		rec.line("GET %s: %s", id, body)
	}
	return nil
}

// started counts a start of a task.
func (b *budget) started(x *run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.crashes[x.task] < 3 {
		return
	}
	b.starts[x.task]++
	if b.starts[x.task] == allowedStarts+1 {
		b.rec.broken("BUDGET: %s run %d is the third start after three runners have crashed under it (%d by now)", x.task, x.id, b.crashes[x.task])
	}
}

// crash ends the runner's lifetime if the run is still there. Another lifetime
// begins at the address.
func (b *budget) crash(m *machine, r *runner, x *run) {
	r.mu.Lock()
	there := r.running[x.task] == x
	var under []string
	for task := range r.running {
		under = append(under, task)
	}
	r.mu.Unlock()
	m.mu.Lock()
	current := m.current == r
	m.mu.Unlock()
	if !there || !current {
		return
	}
	m.crash(b.rec)
	b.mu.Lock()
	for _, task := range under {
		b.crashes[task]++
	}
	b.mu.Unlock()
	time.Sleep(backAfter)
	if err := m.begin(b.rec); err != nil {
		b.rec.line("%v", err)
	}
}
