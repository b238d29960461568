//go:build review

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"syscall"
	"time"
)

// trouble reports whether the disruption is to be brought about.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

// send sends one call, and records it with its answer.
func (c *cluster) send(method, address, path, hostName string, body any, timeout time.Duration) int {
	begin := time.Now()
	status, text := c.call(method, address, path, hostName, body, timeout)
	answer := fmt.Sprint(status, " ", text)
	if status == 0 {
		answer = "no answer"
	}
	c.logf("%s %s%s: %s after %d ms", method, address, path, answer, time.Since(begin).Milliseconds())
	return status
}

// until sends a call to one daemon after the other, as callers do, until one of
// them answers with success.
func (c *cluster) until(method string, addresses []string, path string) bool {
	for _, a := range addresses {
		if c.send(method, a, path, "", nil, time.Second)/100 == 2 {
			return true
		}
	}
	return false
}

// startRunners starts two runners in each of three zones, and waits until tasks
// run on them.
func (c *cluster) startRunners(n int) {
	for i := range n {
		w := &runner{fleet: c.f, name: fmt.Sprintf("m%d", i), zone: fmt.Sprintf("z%d", i%3), rack: fmt.Sprintf("r%d", i%2), cpu: 8000, mem: 12000}
		w.beatTo = func() []string {
			var all []string
			for k := range c.core {
				all = append(all, addr(c.core[(i+k)%len(c.core)].ip, c.port+1))
			}
			return all
		}
		if err := w.start(fmt.Sprintf("i-%d", i), ""); err != nil {
			panic(err)
		}
		c.f.runners = append(c.f.runners, w)
	}
	time.Sleep(2500 * time.Millisecond)
}

// freeze stops the process for d, unless the disruption is off.
func (c *cluster) freeze(p *process, d time.Duration) {
	if !trouble() {
		return
	}
	c.logf("%s-%s stands still for %s", p.role, p.ip, d)
	p.signal(syscall.SIGSTOP)
	time.AfterFunc(d, func() {
		p.signal(syscall.SIGCONT)
		c.logf("%s-%s runs on", p.role, p.ip)
	})
}

// runCase returns 1 if the rule was broken, 0 if it held and 2 if the case could
// not run.
func (c *cluster) runCase(r *rand.Rand, name string) int {
	if !c.operator(r, "PUT", "/config", manifest(1)) {
		c.logf("no manifest was acknowledged")
		return 2
	}
	runners := 6
	if name == "reborn" {
		runners = 8
	}
	c.startRunners(runners)
	var code int
	switch name {
	case "evacuation":
		code = c.evacuation(r)
	case "cancel":
		code = c.cancel()
	case "reborn":
		code = c.reborn(r)
	default:
		c.logf("no such case")
		return 2
	}
	c.f.mu.Lock()
	for _, rec := range c.f.records {
		c.logf("run %d of %s on %s from %s to %s %s", rec.run, rec.task, rec.runner, rec.started.Format("15:04:05.000"), rec.ended.Format("15:04:05.000"), rec.how)
	}
	c.f.mu.Unlock()
	c.logf("result %d", code)
	return code
}

// controlsFrom returns the control addresses of all machines but one, with that of
// the given one first.
func (c *cluster) controlsFrom(first *process) []string {
	all := []string{addr(first.ip, c.port+1)}
	for _, p := range c.core {
		if p != first {
			all = append(all, addr(p.ip, c.port+1))
		}
	}
	return all
}

// followers returns the machines of the core that do not lead.
func (c *cluster) followers() []*process {
	leader := c.leader()
	var all []*process
	for _, p := range c.core {
		if p != leader {
			all = append(all, p)
		}
	}
	return all
}

const (
	evacuateMS = 5000
	frozenMS   = 1100
	rounds     = 3
)

// evacuation takes an evacuation back and orders it again while a machine of the
// core stands still.
func (c *cluster) evacuation(r *rand.Rand) int {
	stop := make(chan struct{})
	defer close(stop)
	go func() { // work that could run in any zone
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(150 * time.Millisecond):
			}
			j := &job{id: fmt.Sprintf("%016x", r.Uint64()), taskSpec: "t", steps: []stepSpec{{Count: 6, CPU: 500, MemMB: 100, EstRuntimeMS: 300, AntiAffinity: 1}}}
			c.f.mu.Lock()
			c.f.jobs[j.id] = j
			c.f.mu.Unlock()
			go c.call("POST", addr(c.entries[i%3].ip, c.port+2), prefix+j.id, host, j.body(), 3*time.Second)
		}
	}()
	time.Sleep(time.Second)
	const path = "/evacuations/z1"
	broken, opened := 0, 0
	for round := range rounds {
		x := c.followers()[round]
		controls := c.controlsFrom(x)
		if !c.until("POST", controls, path) {
			return 2
		}
		time.Sleep(3 * time.Second)
		time.Sleep(time.Duration(rand.IntN(500)) * time.Millisecond)
		c.freeze(x, frozen())
		if !c.until("DELETE", controls, path) || !c.until("POST", controls[1:], path) {
			return 2
		}
		acked := time.Now()
		time.Sleep(evacuateMS*time.Millisecond + 4*time.Second)
		late, others := 0, 0
		c.f.mu.Lock()
		for _, rec := range c.f.records {
			switch {
			case rec.started.Before(acked.Add(evacuateMS * time.Millisecond)):
			case c.zoneOf(rec) == "z1":
				late++
			default:
				others++
			}
		}
		if late > 0 {
			broken++
			c.f.violation("EVAC %d tasks started in z1 later than evacuateMs after its evacuation was acknowledged, and it was not taken back", late)
		}
		c.f.mu.Unlock()
		if others > 0 {
			opened++
		}
		c.logf("round %d: %d starts in z1, %d elsewhere", round+1, late, others)
	}
	switch {
	case broken > 0:
		return 1
	case opened < rounds:
		return 2
	}
	return 0
}

// zoneOf returns the zone of the runner of a run.
func (c *cluster) zoneOf(rec *record) string {
	for i, w := range c.f.runners {
		if strings.HasPrefix(rec.runner, fmt.Sprintf("i-%d/", i)) {
			return w.zone
		}
	}
	return ""
}

// cancel cancels a submission that got no answer, because the entry machine that
// took it stands still.
func (c *cluster) cancel() int {
	acked := make(map[string]time.Time)
	for round := range rounds {
		j := &job{id: fmt.Sprintf("00000000000000c%d", round), taskSpec: "t"}
		for i := range 4 {
			s := stepSpec{Count: 1, CPU: 500, MemMB: 100, EstRuntimeMS: 2500}
			if i > 0 {
				s.DependsOn = []int{i - 1}
			}
			j.steps = append(j.steps, s)
		}
		c.f.mu.Lock()
		c.f.jobs[j.id] = j
		c.f.mu.Unlock()
		x, y := c.entries[round], c.entries[(round+1)%len(c.entries)]
		time.Sleep(time.Duration(rand.IntN(500)) * time.Millisecond)
		c.freeze(x, frozen())
		accepted := c.send("POST", addr(x.ip, c.port+2), prefix+j.id, host, j.body(), time.Second)/100 == 2
		status := c.send("DELETE", addr(y.ip, c.port+2), prefix+j.id, host, nil, 3*time.Second)
		if status/100 != 2 && status != 410 || accepted == trouble() {
			return 2
		}
		acked[j.id] = time.Now()
		time.Sleep(3 * time.Second)
	}
	time.Sleep(12 * time.Second)
	for id := range acked {
		c.send("GET", addr(c.entries[0].ip, c.port+2), prefix+id, host, nil, 3*time.Second)
	}
	c.f.mu.Lock()
	defer c.f.mu.Unlock()
	broken := make(map[string]bool)
	for _, rec := range c.f.records {
		id, _, _ := strings.Cut(rec.task, ".")
		if late := rec.started.Sub(acked[id]); late > cancelMS*time.Millisecond {
			broken[id] = true
			c.f.violation("UNASKED %s started %s after its cancelling was acknowledged", rec.task, late)
		}
	}
	c.logf("%d of %d rounds broken", len(broken), rounds)
	if len(broken) > 0 {
		return 1
	}
	return 0
}

// frozen returns how long a machine stands still.
func frozen() time.Duration {
	ms := frozenMS
	if s := os.Getenv("FROZEN_MS"); s != "" {
		fmt.Sscan(s, &ms)
	}
	return time.Duration(ms) * time.Millisecond
}

const (
	// lateMin and lateMax are how late a runner carries out an order.
	lateMin, lateMax = 2 * time.Second, 12 * time.Second
	// holdFor is how long starts may go unanswered.
	holdFor = 5500 * time.Millisecond
)

// reborn lets a runner crash that has left a start unanswered, and that is back
// under its id and at its address when the start is carried out.
func (c *cluster) reborn(r *rand.Rand) int {
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(300 * time.Millisecond):
			}
			j := &job{id: fmt.Sprintf("%016x", r.Uint64()), taskSpec: "t", steps: []stepSpec{{Count: 2, CPU: 1000, MemMB: 200, EstRuntimeMS: 6000}}}
			c.f.mu.Lock()
			c.f.jobs[j.id] = j
			c.f.mu.Unlock()
			go c.call("POST", addr(c.entries[r.IntN(3)].ip, c.port+2), prefix+j.id, host, j.body(), 3*time.Second)
		}
	}()
	if !trouble() {
		time.Sleep(40 * time.Second)
	}
	crashes := 0
	for end := time.Now().Add(70 * time.Second); trouble() && crashes < rounds && time.Now().Before(end); {
		time.Sleep(5 * time.Second)
		c.f.mu.Lock()
		c.f.holdP = 0.05
		c.f.mu.Unlock()
		h := c.awaitReplaced(holdFor)
		c.f.mu.Lock()
		c.f.holdP = 0
		c.f.mu.Unlock()
		if h == nil {
			continue
		}
		crashes++
		c.logf("%s left the start of %s run %d unanswered; it crashes", h.life.name(), h.o.Task, h.o.RunID)
		w := h.life.r
		h.life.crash("crashed")
		time.Sleep(max(time.Second, lateMin-time.Since(h.at)))
		w.started = func(l *life) {
			a := l.runStart(context.Background(), h.o)
			c.logf("%s is back and carries the start out, %s after it arrived: %d %v", l.name(), time.Since(h.at), a.status, a.body)
		}
		if err := w.start(h.life.id, h.life.addr); err != nil {
			c.logf("%v", err)
		}
		w.started = nil
	}
	time.Sleep(4 * time.Second)
	c.f.mu.Lock()
	defer c.f.mu.Unlock()
	twice, starts := 0, make(map[string][]*record)
	for _, rec := range c.f.records {
		for _, other := range starts[rec.task] {
			if other.ended.IsZero() || rec.started.Before(other.ended) {
				twice++
				c.f.violation("TWICE %s: run %d on %s from %s to %s, run %d on %s from %s to %s", rec.task, other.run, other.runner, other.started.Format("05.000"),
					other.ended.Format("05.000"), rec.run, rec.runner, rec.started.Format("05.000"), rec.ended.Format("05.000"))
			}
		}
		starts[rec.task] = append(starts[rec.task], rec)
	}
	switch {
	case twice > 0:
		return 1
	case len(starts) < 100:
		return 2
	}
	return 0
}

// awaitReplaced waits until a task whose start was held runs on another runner,
// and returns that start. Held starts that are too old are carried out.
func (c *cluster) awaitReplaced(limit time.Duration) *heldStart {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		c.f.mu.Lock()
		var found *heldStart
		var old []*heldStart
		for _, h := range c.f.held {
			if h.gone || h.life.dead {
				continue
			}
			if time.Since(h.at) > lateMax-2*time.Second {
				h.gone = true
				old = append(old, h)
				continue
			}
			for _, rec := range c.f.records {
				if rec.task == h.o.Task && rec.run > h.o.RunID && rec.ended.IsZero() && rec.runner != h.life.name() && time.Since(rec.started) < time.Second {
					found = h
				}
			}
		}
		if found != nil {
			found.gone = true
		}
		c.f.mu.Unlock()
		for _, h := range old {
			h.life.runStart(context.Background(), h.o)
		}
		if found != nil {
			return found
		}
	}
	return nil
}
