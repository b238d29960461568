//go:build review

package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	rounds       = 12
	lastingCPU   = 48_000 // thousandths of a core
	largeCPU     = 96_000
	otherRunners = 14
)

// antiAffinity runs submissions of two tasks that last, at most one of them on a
// runner. Two runners have their label; one has room for both tasks. Both tasks
// fail at the same moment.
func antiAffinity(rec *record, trouble bool) error {
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
	var all []*runner
	add := func(name, label string, cpu int64) error {
		r, err := newRunner(rec, "i-"+newID()[:10]+name, fmt.Sprintf("%s.%d", c.prefix, 200), []string{label, "r1-1"}, cpu)
		if err == nil {
			all = append(all, r)
		}
		return err
	}
	err = errors.Join(add("b1", "b", runnerCPU), add("b2", "b", largeCPU))
	for i := range otherRunners {
		err = errors.Join(err, add(fmt.Sprintf("a%d", i), "a", runnerCPU))
	}
	if err != nil {
		return err
	}
	defer func() {
		for _, r := range all {
			_ = r.server.Close()
		}
	}()
	w := &watcher{rec: rec, runs: make(map[string]map[string]*runner)}
	rec.onStart = w.check
	if !c.configure(manifest()) {
		return errors.New("the first manifest was not acknowledged")
	}
	rec.line("manifest acknowledged")
	for _, r := range all {
		go r.checkIns(c, service, stop)
	}
	time.Sleep(3 * time.Second)
	go background(c, rec, stop)
	for i := range rounds {
		if err := w.round(c, all[:2], trouble); err != nil {
			return fmt.Errorf("round %d: %w", i, err)
		}
		if time.Since(rec.begin) > 95*time.Second {
			break
		}
	}
	return nil
}

// background submits small batch work for the other runners.
func background(c *cluster, rec *record, stop <-chan struct{}) {
	for {
		id := newID()
		rec.declare(id, step{size: size{500, 256}, runtime: 60 * time.Millisecond})
		c.callJob(http.MethodPost, id, map[string]any{"taskSpec": "batch", "steps": []any{
			map[string]any{"count": 6, "cpu": 500, "memMb": 256, "estRuntimeMs": 60, "nodeSelector": "a"},
		}})
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// watcher checks each start of a task against antiAffinity: what runs on the
// runner, until its end is listed, counts.
type watcher struct {
	rec  *record
	mu   sync.Mutex
	runs map[string]map[string]*runner // tasks that last with the runner of their last start, by submission
}

func (w *watcher) check(r *runner, x *run) {
	s := w.rec.stepOf(x.task)
	if s.antiAffinity == 0 {
		return
	}
	others := 0
	for task := range r.running {
		if stepName(task) == stepName(x.task) {
			others++
		}
	}
	if others > s.antiAffinity {
		w.rec.broken("ROUTE: %s run %d starts on %s, where %d tasks of its step run then; antiAffinity is %d", x.task, x.id, r.id, others, s.antiAffinity)
	}
}

// round submits the two tasks, lets both fail and cancels the submission.
func (w *watcher) round(c *cluster, pair []*runner, trouble bool) error {
	id := newID()
	w.rec.declare(id, step{size: size{lastingCPU, 4096}, antiAffinity: 1})
	w.rec.line("POST %s", id)
	status := c.callJob(http.MethodPost, id, map[string]any{"taskSpec": "service", "steps": []any{
		map[string]any{"count": 2, "cpu": lastingCPU, "memMb": 4096, "estRuntimeMs": 1000, "antiAffinity": 1, "nodeSelector": "b", "longRunning": true},
	}})
	w.rec.line("answer %d", status)
	if status != http.StatusOK {
		return fmt.Errorf("submission was answered %d", status)
	}
	if !waitFor(8*time.Second, func() bool { return running(pair[0], id) == 1 && running(pair[1], id) == 1 }) {
		return errors.New("the tasks did not start")
	}
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		w.rec.line("both tasks of %s fail", id)
		for _, r := range pair {
			go r.failAll(id)
		}
	}
	time.Sleep(1500 * time.Millisecond)
	w.rec.line("DELETE %s", id)
	w.rec.line("answer %d", c.callJob(http.MethodDelete, id, nil))
	waitFor(4*time.Second, func() bool { return running(pair[0], id)+running(pair[1], id) == 0 })
	return w.succeed(c, pair)
}

// succeed runs a task that ends well on each of the two runners.
func (w *watcher) succeed(c *cluster, pair []*runner) error {
	id := newID()
	w.rec.declare(id, step{size: size{1000, 256}, runtime: 100 * time.Millisecond, antiAffinity: 1})
	if status := c.callJob(http.MethodPost, id, map[string]any{"taskSpec": "batch", "steps": []any{
		map[string]any{"count": 2, "cpu": 1000, "memMb": 256, "estRuntimeMs": 100, "antiAffinity": 1, "nodeSelector": "b"},
	}}); status != http.StatusOK {
		return fmt.Errorf("submission was answered %d", status)
	}
	waitFor(5*time.Second, func() bool {
		_, body := send(http.MethodGet, c.entries()[0], "/jobs/"+id, queueHost, nil, 3*time.Second)
		return body == `{"state":"completed"}`
	})
	return nil
}

// failAll ends all tasks of a submission on the runner as failed.
func (r *runner) failAll(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for task := range r.running {
		if task[:len(id)] == id {
			r.end(task, "failed")
		}
	}
}
