//go:build review

package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	fillRunners  = 16
	servingCPU   = 20_000 // of 64,000 a runner
	targetMS     = 100
	fillCPU      = 8000
	fillTasks    = 4
	fillRuntime  = 3 * time.Second
	strong       = 4.0 // pressure of the image; the site file has 4.5
	weak         = 0.2
	finish       = 14 * time.Second // finish_s
	idleTooLong  = 3 * time.Second
	watchFurther = 20 * time.Second
)

// fills runs one task that serves on each runner, which takes 31 of 100 cores,
// and then submissions whose tasks fill and disturb it.
func fills(rec *record, trouble bool) error {
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
	pressure := weak
	if trouble {
		pressure = strong
	}
	var all []*runner
	for i := range fillRunners {
		r, err := newRunner(rec, "i-"+newID()[:10], fmt.Sprintf("%s.%d", c.prefix, 200), []string{"a", fmt.Sprintf("r1-%d", i/8)}, runnerCPU)
		if err != nil {
			return err
		}
		defer r.server.Close()
		all = append(all, r)
		go r.work(pressure, stop)
	}
	if !c.configure(manifest()) {
		return errors.New("the first manifest was not acknowledged")
	}
	rec.line("manifest acknowledged")
	for _, r := range all {
		go r.checkIns(c, service, stop)
	}
	time.Sleep(3 * time.Second)
	serving := newID()
	rec.declare(serving, step{size: size{servingCPU, 8192}, targetMS: targetMS})
	if err := c.submit(rec, serving, map[string]any{
		"count": fillRunners, "cpu": servingCPU, "memMb": 8192, "estRuntimeMs": 1000, "longRunning": true, "antiAffinity": 1, "image": "5e41a0", "targetMs": targetMS,
	}); err != nil {
		return err
	}
	if !waitFor(10*time.Second, func() bool { return runningOn(all, serving) == fillRunners }) {
		return errors.New("the tasks that serve do not run")
	}
	time.Sleep(4 * time.Second)
	first, err := c.submitFill(rec)
	if err != nil {
		return err
	}
	waitFor(20*time.Second, func() bool { return c.completed(first) })
	rec.line("first submission completed: %t", c.completed(first))
	var last []string
	for range 2 {
		id, err := c.submitFill(rec)
		if err != nil {
			return err
		}
		last = append(last, id)
	}
	rec.line("end of the traffic")
	idleSince := make(map[string]time.Time)
	for begin := time.Now(); time.Since(begin) < finish; time.Sleep(20 * time.Millisecond) {
		for _, id := range last {
			if runningOn(all, id) > 0 {
				delete(idleSince, id)
			} else if idleSince[id].IsZero() {
				idleSince[id] = time.Now()
			}
		}
	}
	for _, id := range last {
		idle := idleSince[id]
		if !idle.IsZero() && time.Since(idle) > idleTooLong && !c.completed(id) {
			rec.broken("LOST: %s, %s after the end of the traffic: nothing of it has run for %.1f s, and %d of %d cores are reserved", id, finish, time.Since(idle).Seconds(), fillRunners*servingCPU/1000, fillRunners*runnerCPU/1000)
		}
	}
	for begin := time.Now(); time.Since(begin) < watchFurther; time.Sleep(time.Second) {
		for _, id := range last {
			rec.line("%s: completed %t, tasks at work %d", id, c.completed(id), runningOn(all, id))
		}
	}
	return nil
}

func (c *cluster) submit(rec *record, id string, step map[string]any) error {
	rec.line("POST %s", id)
	status := c.callJob(http.MethodPost, id, map[string]any{"taskSpec": "spec", "steps": []any{step}})
	rec.line("answer %d", status)
	if status != http.StatusOK {
		return fmt.Errorf("submission was answered %d", status)
	}
	return nil
}

func (c *cluster) submitFill(rec *record) (string, error) {
	id := newID()
	rec.declare(id, step{size: size{fillCPU, 4096}, runtime: fillRuntime, fills: true})
	return id, c.submit(rec, id, map[string]any{
		"count": fillTasks, "cpu": fillCPU, "memMb": 4096, "estRuntimeMs": fillRuntime.Milliseconds(), "fills": true, "image": "f1115a",
	})
}

func (c *cluster) completed(id string) bool {
	_, body := send(http.MethodGet, c.entries()[0], "/jobs/"+id, queueHost, nil, 3*time.Second)
	return strings.Contains(body, `"completed"`)
}

// runningOn returns the number of tasks of a submission on all runners.
func runningOn(all []*runner, id string) int {
	n := 0
	for _, r := range all {
		n += running(r, id)
	}
	return n
}
