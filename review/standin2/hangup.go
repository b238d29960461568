//go:build review

package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	requesters   = 24
	perRequester = 140
	specBytes    = 3900 // a taskSpec has up to 4,000 bytes
	hupAfter     = 30 * time.Millisecond
	restarted    = 3 // control instances, more than half of five
	hupRounds    = 3
)

// hangup restarts control instances in turn with SIGTERM. The settings file of
// each changes again right after its start, which SIGHUP announces.
func hangup(rec *record, trouble bool) error {
	c, err := newCluster(5, 2)
	if err != nil {
		return err
	}
	defer c.stop()
	if err := c.start(); err != nil {
		return err
	}
	if !c.configure(manifest()) {
		return errors.New("the first manifest was not acknowledged")
	}
	rec.line("manifest acknowledged")
	accepted := submitLarge(c)
	rec.line("%d submissions accepted", accepted)
	if accepted < requesters*perRequester*9/10 {
		return fmt.Errorf("only %d submissions were accepted", accepted)
	}
	ends := make(map[string]int)
	for round := range hupRounds {
		for _, d := range c.daemons[:restarted] {
			ended, err := restart(c, rec, d, trouble)
			if err != nil {
				return err
			}
			if ended {
				ends[d.name]++
				rec.line("%s ended by itself for the %d. time, in round %d", d.name, ends[d.name], round+1)
			}
		}
	}
	often := 0
	for _, n := range ends {
		if n >= hupRounds {
			often++
		}
	}
	if often >= restarted {
		rec.broken("Fault: the processes of %d of 5 core machines ended by themselves %d times", often, hupRounds)
	}
	return nil
}

func submitLarge(c *cluster) int {
	var g sync.WaitGroup
	var mu sync.Mutex
	accepted := 0
	for range requesters {
		g.Go(func() {
			for range perRequester {
				status := c.callJob(http.MethodPost, newID(), map[string]any{"taskSpec": strings.Repeat("x", specBytes), "steps": []any{
					map[string]any{"count": 1, "cpu": 500, "memMb": 256, "estRuntimeMs": 900},
				}})
				mu.Lock()
				if status == http.StatusOK {
					accepted++
				}
				mu.Unlock()
			}
		})
	}
	g.Wait()
	return accepted
}

// restart restarts a daemon and reports whether its process then ended by
// itself. It leaves the daemon running.
func restart(c *cluster, rec *record, d *daemon, trouble bool) (bool, error) {
	rec.line("SIGTERM to %s", d.name)
	d.signal(syscall.SIGTERM)
	if !d.wait(7 * time.Second) {
		return false, fmt.Errorf("%s did not end after SIGTERM", d.name)
	}
	if err := c.writeSettings(d, false); err != nil {
		return false, err
	}
	if err := d.start(); err != nil {
		return false, err
	}
	rec.line("%s started", d.name)
	time.Sleep(hupAfter)
	if err := c.writeSettings(d, false); err != nil {
		return false, err
	}
	if trouble {
		rec.line("SIGHUP to %s", d.name)
		d.signal(syscall.SIGHUP)
	}
	ended := d.wait(3 * time.Second)
	if ended {
		rec.line("%s: %s", d.name, d.state)
		if err := d.start(); err != nil {
			return false, err
		}
		time.Sleep(2 * time.Second)
	}
	return ended, nil
}
