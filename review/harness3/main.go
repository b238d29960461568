//go:build review

// Command harness3 runs the programs of the deploy file as processes on loopback
// addresses, with stand-ins for runners, requesters and the operator, brings
// faults about from outside, and compares what ran with what was asked.
package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

var (
	daemon    = flag.String("daemon", "target/apricotrouterd", "")
	seed      = flag.Uint64("seed", 1, "")
	duration  = flag.Duration("duration", 30*time.Second, "")
	settle    = flag.Duration("settle", 40*time.Second, "")
	runnersN  = flag.Int("runners", 12, "")
	lateP     = flag.Float64("late", 0.01, "share of late orders")
	faults    = flag.String("faults", "killcore,killleader,stop,term,killentry,termentry,crash,reborn,drain,evac,herd,cut,oneway,cut,oneway", "")
	dir       = flag.String("dir", "", "")
	injectors = flag.Int("injectors", 3, "")
	caseName  = flag.String("case", "", "case of the review to run instead of the random faults")
	recordTo  = flag.String("record", "", "file for what was sent, answered and run")
	gap       = flag.Duration("gap", 1500*time.Millisecond, "longest pause between faults")
)

type process struct {
	role, ip, settings, data, log string
	cmd                           *exec.Cmd
	exited                        chan struct{}
	stopped                       bool
	mu                            sync.Mutex
}

type cluster struct {
	dir     string
	prefix  string
	port    int
	procs   []*process
	core    []*process
	entries []*process
	f       *fleet
	http    *http.Client
	logMu   sync.Mutex
	out     io.Writer
	ended   []string
}

func (c *cluster) logf(format string, args ...any) {
	c.logMu.Lock()
	defer c.logMu.Unlock()
	fmt.Fprintf(c.out, "%s "+format+"\n", append([]any{time.Now().Format("15:04:05.000")}, args...)...)
}

func (c *cluster) write(p *process, bootstrap bool) {
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s.%d:%d", c.prefix, i+1, c.port+1)))
	}
	data, listen := "", fmt.Sprintf("  callers: %q\n  readiness: %q\n  control: \"\"\n", addr(p.ip, c.port+2), addr(p.ip, c.port+3))
	if p.role == "control" {
		data, listen = p.data, fmt.Sprintf("  callers: \"\"\n  readiness: \"\"\n  control: %q\n", addr(p.ip, c.port+1))
	}
	zone := fmt.Sprintf("z%d", hash(p.ip)%3)
	text := fmt.Sprintf(`instance: %q
availability_zone: %q
ip: %q
peer_port: %d
data_folder: %q
seeds: [%s]
bootstrap: %t
lost_instances: 2
listen:
%s  metrics: ""
limits:
  memory_mib: 284
  descriptors: 4096
  grace_s: 6
workers:
  heartbeat_ms: %d
  lease_ms: %d
  stop_grace_ms: %d
  restore_ms: 600
  pace_delay_ms: 100
  max_over_target_ms: 4000
log:
  level: info
  format: json
`, p.role+"-"+p.ip, zone, p.ip, c.port, data, strings.Join(seeds, ","), bootstrap, listen, heartbeatMS, holdMaxMS, stopGraceMS)
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		panic(err)
	}
}

func addr(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

func (c *cluster) start(p *process) {
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	cmd := exec.Command(*daemon, p.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "APRICOTROUTER_NODE_FILE=" + p.settings}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		panic(err)
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.exited, p.stopped = cmd, exited, false
	p.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		p.mu.Lock()
		if !p.stopped {
			c.ended = append(c.ended, p.role+"-"+p.ip)
			c.logf("process %s-%s ended by itself", p.role, p.ip)
		}
		p.mu.Unlock()
		close(exited)
	}()
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.stopped = true
	}
	_ = p.cmd.Process.Signal(s)
}

func (c *cluster) stop(p *process, s syscall.Signal) {
	p.signal(s)
	select {
	case <-p.exited:
	case <-time.After(6 * time.Second):
		p.signal(syscall.SIGKILL)
		<-p.exited
	}
}

func newCluster() *cluster {
	var out io.Writer = os.Stdout
	if *recordTo != "" {
		f, err := os.Create(*recordTo)
		if err != nil {
			panic(err)
		}
		out = f
	}
	c := &cluster{dir: *dir, out: out, http: &http.Client{Timeout: 4 * time.Second}}
	if c.dir == "" {
		c.dir, _ = os.MkdirTemp("", "review-3-")
	}
	_ = os.MkdirAll(c.dir, 0o755)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	c.port = l.Addr().(*net.TCPAddr).Port
	_ = l.Close()
	c.prefix = fmt.Sprintf("127.%d.%d", 64+*seed%100, 1+os.Getpid()%250)
	for i := range 10 {
		p := &process{role: "control", ip: fmt.Sprintf("%s.%d", c.prefix, i+1)}
		if i >= 5 {
			p.role, p.ip = "entry", fmt.Sprintf("%s.%d", c.prefix, 100+i)
		}
		p.settings = filepath.Join(c.dir, p.role+"-"+p.ip+".yaml")
		p.data = filepath.Join(c.dir, p.role+"-"+p.ip+".data")
		p.log = filepath.Join(c.dir, p.role+"-"+p.ip+".log")
		c.write(p, true)
		c.procs = append(c.procs, p)
		if p.role == "control" {
			c.core = append(c.core, p)
		} else {
			c.entries = append(c.entries, p)
		}
		c.start(p)
	}
	return c
}

func (c *cluster) call(method, address, path, hostName string, body any, timeout time.Duration) (int, string) {
	var r io.Reader
	if body != nil {
		data, _ := json.Marshal(body)
		r = bytes.NewReader(data)
	}
	req, err := http.NewRequest(method, "http://"+address+path, r)
	if err != nil {
		return 0, err.Error()
	}
	if hostName != "" {
		req.Host = hostName
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", "3000")
	cl := &http.Client{Timeout: timeout, Transport: c.http.Transport}
	resp, err := cl.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(data)
}

func (c *cluster) control(r *rand.Rand) string {
	return addr(c.core[r.IntN(len(c.core))].ip, c.port+1)
}

func (c *cluster) entry(r *rand.Rand) string {
	return addr(c.entries[r.IntN(len(c.entries))].ip, c.port+2)
}

// operator sends an order until it is acknowledged.
func (c *cluster) operator(r *rand.Rand, method, path string, body any) bool {
	for range 60 {
		status, _ := c.call(method, c.control(r), path, "", body, time.Second)
		if status/100 == 2 {
			return true
		}
		if status/100 == 4 {
			c.f.mu.Lock()
			c.f.violation("CONFIG %s %s got %d", method, path, status)
			c.f.mu.Unlock()
			return false
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

func manifest(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r", "host": host, "pathPrefix": prefix, "kind": "non_idempotent", "timeoutMs": 3000, "completionTargetMs": 300, "priority": 0,
			"service": service, "maxAttempts": maxAttempts, "stretch": 1.5,
		}},
		"services": []any{map[string]any{"name": service, "healthPath": "/health", "maxConnections": 64, "protocol": "h1", "rejectsOverload": true}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

func (c *cluster) submit(r *rand.Rand, j *job) {
	for range 5 {
		status, _ := c.call("POST", c.entry(r), prefix+j.id, host, j.body(), 3*time.Second)
		c.f.mu.Lock()
		switch {
		case status/100 == 2:
			j.accepted = time.Now()
		case status == 429 || status == 503 || status == 404 || status == 400:
			j.rejected++
			if status == 400 {
				c.f.violation("valid submission %s got 400", j.id)
			}
		default:
			j.unanswered++
		}
		c.f.mu.Unlock()
		if status/100 == 2 || status/100 == 4 {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	if j.accepted.IsZero() {
		return
	}
	if r.IntN(20) == 0 { // a late copy
		go func() {
			time.Sleep(3 * time.Second)
			c.call("POST", c.entry(rand.New(rand.NewPCG(1, 2))), prefix+j.id, host, j.body(), 3*time.Second)
		}()
	}
	if r.IntN(8) == 0 || j.steps[0].LongRunning && r.IntN(6) != 0 {
		time.Sleep(time.Duration(r.IntN(1500)) * time.Millisecond)
		c.f.mu.Lock()
		j.cancelSent = time.Now()
		c.f.mu.Unlock()
		for range 8 {
			status, _ := c.call("DELETE", c.entry(r), prefix+j.id, host, nil, 3*time.Second)
			if status/100 == 2 || status == 410 {
				c.f.mu.Lock()
				j.cancelled = time.Now()
				if status == 410 {
					c.f.violation("LOST cancel of accepted %s got 410", j.id)
				}
				c.f.mu.Unlock()
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}

func (c *cluster) refresh(r *rand.Rand) int {
	c.f.mu.Lock()
	var all []*job
	for _, j := range c.f.jobs {
		if !j.accepted.IsZero() && !j.hopeless && (j.state == "" || j.state == "queued" || j.state == "active") {
			all = append(all, j)
		}
	}
	c.f.mu.Unlock()
	open := 0
	for _, j := range all {
		status, body := c.call("GET", c.entry(r), prefix+j.id, host, nil, 3*time.Second)
		c.f.mu.Lock()
		if status == 410 {
			j.state = "gone"
		}
		if status == 200 {
			var s struct {
				State string `json:"state"`
			}
			_ = json.Unmarshal([]byte(body), &s)
			j.state = s.State
		}
		if (j.state != "completed" && j.state != "failed" && j.state != "cancelled" && j.state != "gone") && !(j.steps[0].LongRunning && j.cancelSent.IsZero() && j.state == "active") {
			open++
		}
		c.f.mu.Unlock()
	}
	return open
}

func main() {
	flag.IntVar(&hopelessPercent, "hopeless", 0, "share of hopeless submissions in percent")
	flag.IntVar(&lasting, "lasting", 0, "1 for more lasting submissions")
	flag.Parse()
	c := newCluster()
	r := rand.New(rand.NewPCG(*seed, 1))
	c.f = &fleet{jobs: make(map[string]*job), gangs: make(map[string]*gangRun), rng: rand.New(rand.NewPCG(*seed, 2)), lateP: 0, log: c.logf}
	c.f.log = func(format string, args ...any) { c.logf(format, args...) }
	go func() {
		stop := make(chan os.Signal, 1)
		signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
		limit := *duration + *settle + 30*time.Second
		if *caseName != "" {
			limit = 100 * time.Second
		}
		select {
		case <-stop:
		case <-time.After(limit):
		}
		c.logf("the run takes too long")
		c.end()
		os.Exit(2)
	}()
	code := 0
	func() {
		defer c.end()
		switch *caseName {
		case "":
			code = c.run(r)
		default:
			code = c.runCase(r, *caseName)
		}
	}()
	os.Exit(code)
}

// end ends all processes.
func (c *cluster) end() {
	for _, p := range c.procs {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
	}
	for _, p := range c.procs {
		<-p.exited
	}
	if *dir == "" {
		_ = os.RemoveAll(c.dir)
	}
}

func (c *cluster) run(r *rand.Rand) int {
	if !c.operator(r, "PUT", "/config", manifest(1)) {
		c.logf("no manifest was acknowledged")
		return 2
	}
	for i := range *runnersN {
		rr := rand.New(rand.NewPCG(*seed, uint64(100+i)))
		w := &runner{fleet: c.f, name: fmt.Sprintf("m%d", i), zone: fmt.Sprintf("z%d", i%3), rack: fmt.Sprintf("r%d", i%2), cpu: 8000, mem: 12000}
		w.beatTo = func() []string {
			var all []string
			for _, k := range rr.Perm(len(c.core)) {
				all = append(all, addr(c.core[k].ip, c.port+1))
			}
			return all
		}
		if err := w.start(fmt.Sprintf("i-%d-%d", *seed, i), ""); err != nil {
			panic(err)
		}
		c.f.runners = append(c.f.runners, w)
	}
	time.Sleep(1500 * time.Millisecond)
	c.f.mu.Lock()
	c.f.lateP = *lateP
	c.f.mu.Unlock()
	stop := time.Now().Add(*duration)
	var wg sync.WaitGroup
	for i := range 4 {
		rr := rand.New(rand.NewPCG(*seed, uint64(10+i)))
		wg.Go(func() {
			for time.Now().Before(stop) {
				j := newJob(rr)
				c.f.mu.Lock()
				c.f.jobs[j.id] = j
				c.f.mu.Unlock()
				c.submit(rr, j)
				time.Sleep(time.Duration(50+rr.IntN(400)) * time.Millisecond)
			}
		})
	}
	kinds := strings.Split(*faults, ",")
	if os.Getenv("TROUBLE") != "0" && *faults != "" {
		for i := range *injectors {
			rr := rand.New(rand.NewPCG(*seed, uint64(30+i)))
			wg.Go(func() {
				for time.Now().Before(stop) {
					c.fault(rr, kinds[rr.IntN(len(kinds))])
					time.Sleep(time.Duration(rr.Int64N(int64(*gap))))
				}
			})
		}
	}
	wg.Wait()
	c.f.mu.Lock()
	c.f.lateP = 0
	c.f.mu.Unlock()
	c.logf("faults have ended")
	limit := time.Now().Add(*settle)
	for time.Now().Before(limit) && c.refresh(r) > 0 {
		time.Sleep(300 * time.Millisecond)
	}
	c.refresh(r)
	c.f.mu.Lock()
	defer c.f.mu.Unlock()
	c.f.check(time.Now())
	accepted := 0
	for _, j := range c.f.jobs {
		if !j.accepted.IsZero() {
			accepted++
		}
	}
	c.logf("seed %d: %d jobs, %d accepted, %d runs, %d violations, %d processes ended by themselves", *seed, len(c.f.jobs), accepted, len(c.f.records), len(c.f.bad), len(c.ended))
	if len(c.f.bad) > 0 || len(c.ended) > 0 {
		return 1
	}
	return 0
}

var coreMu sync.Mutex // at most two machines of the core are away

// leader returns the machine whose log has the newest takeover of the workers.
func (c *cluster) leader() *process {
	var best *process
	var at string
	for _, p := range c.core {
		data, _ := os.ReadFile(p.log)
		for _, line := range strings.Split(string(data), "\n") {
			if strings.Contains(line, `"fence"`) && strings.Contains(line, `"workers"`) {
				var e struct {
					Time string `json:"time"`
				}
				if json.Unmarshal([]byte(line), &e) == nil && e.Time > at {
					at, best = e.Time, p
				}
			}
		}
	}
	if best == nil {
		best = c.core[0]
	}
	return best
}

func (c *cluster) fault(r *rand.Rand, kind string) {
	c.logf("fault %s", kind)
	pick := func() *life {
		c.f.mu.Lock()
		defer c.f.mu.Unlock()
		w := c.f.runners[r.IntN(len(c.f.runners))]
		if w.life.dead || w.life.draining {
			return nil
		}
		return w.life
	}
	d := time.Duration(r.IntN(3000)) * time.Millisecond
	switch kind {
	case "killcore", "killleader", "stop", "term":
		coreMu.Lock()
		defer coreMu.Unlock()
		p := c.core[r.IntN(len(c.core))]
		if kind == "killleader" || kind != "killcore" && r.IntN(2) == 0 {
			p = c.leader()
		}
		c.logf("  %s %s for %s", kind, p.ip, d)
		switch kind {
		case "stop":
			p.signal(syscall.SIGSTOP)
			time.Sleep(d + 500*time.Millisecond)
			p.signal(syscall.SIGCONT)
		case "term":
			c.stop(p, syscall.SIGTERM)
			c.write(p, false)
			c.start(p)
		default:
			c.stop(p, syscall.SIGKILL)
			time.Sleep(d)
			c.write(p, false)
			c.start(p)
		}
	case "stop2", "kill2", "wipe":
		coreMu.Lock()
		defer coreMu.Unlock()
		n := r.IntN(len(c.core))
		two := []*process{c.core[n], c.core[(n+1+r.IntN(len(c.core)-1))%len(c.core)]}
		if l := c.leader(); l != two[1] && r.IntN(2) == 0 {
			two[0] = l
		}
		if kind == "wipe" {
			two = two[:1]
		}
		for _, p := range two {
			c.logf("  %s %s for %s", kind, p.ip, d)
			if kind == "stop2" {
				p.signal(syscall.SIGSTOP)
			} else {
				c.stop(p, syscall.SIGKILL)
			}
		}
		time.Sleep(d + 500*time.Millisecond)
		for _, p := range two {
			if kind == "stop2" {
				p.signal(syscall.SIGCONT)
				continue
			}
			if kind == "wipe" {
				_ = os.RemoveAll(p.data)
			}
			c.write(p, false)
			c.start(p)
		}
		time.Sleep(4 * time.Second) // catchUpS
	case "herd":
		coreMu.Lock()
		defer coreMu.Unlock()
		for _, p := range c.core {
			p.signal(syscall.SIGKILL)
		}
		for _, p := range c.core {
			<-p.exited
			c.write(p, false)
			c.start(p)
		}
		time.Sleep(2 * time.Second)
	case "killentry", "termentry":
		coreMu.Lock()
		defer coreMu.Unlock()
		p := c.entries[r.IntN(len(c.entries))]
		s := syscall.SIGKILL
		if kind == "termentry" {
			s = syscall.SIGTERM
		}
		c.stop(p, s)
		c.start(p)
	case "crash", "reborn":
		l := pick()
		if l == nil {
			return
		}
		l.crash("crashed")
		time.Sleep(d / 2)
		id, address := l.id, l.addr
		if kind == "crash" {
			id, address = fmt.Sprintf("%s-%d", strings.SplitN(l.id, "+", 2)[0]+"+", l.r.n), ""
		}
		if err := l.r.start(id, address); err != nil {
			c.logf("restart %s: %v", id, err)
			_ = l.r.start(id, "")
		}
	case "cut", "oneway":
		l := pick()
		if l == nil {
			return
		}
		c.f.mu.Lock()
		l.cutIn, l.cutOut = kind == "cut", true
		c.f.mu.Unlock()
		time.Sleep(time.Duration(r.IntN(6000)) * time.Millisecond)
		c.f.mu.Lock()
		l.cutIn, l.cutOut = false, false
		c.f.mu.Unlock()
	case "drain":
		l := pick()
		if l == nil {
			return
		}
		l.drain()
		time.Sleep(d / 2)
		_ = l.r.start(fmt.Sprintf("%s-%d", strings.SplitN(l.id, "+", 2)[0]+"+", l.r.n), "")
	case "evac":
		z := fmt.Sprintf("z%d", r.IntN(3))
		if c.operator(r, "POST", "/evacuations/"+z, nil) {
			time.Sleep(d)
			c.operator(r, "DELETE", "/evacuations/"+z, nil)
		}
	}
}
