//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// cluster is the project's own programs as separate processes on loopback
// addresses.
type cluster struct {
	dir, prefix              string
	peer, control, callers   int
	daemons                  []*daemon
	numControls, numFrontend int
}

type daemon struct {
	name, role, ip, settings string
	dir                      string
	mu                       sync.Mutex
	cmd                      *exec.Cmd
	exited                   chan struct{}
	state                    *os.ProcessState // of the last process that ended
}

func newCluster(controls, entries int) (*cluster, error) {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	c := &cluster{dir: dir, numControls: controls, numFrontend: entries}
	for range 50 {
		c.prefix = fmt.Sprintf("127.%d.%d", 70+rand.IntN(60), 1+rand.IntN(250))
		c.peer = 20_000 + rand.IntN(10_000)
		c.control, c.callers = c.peer+20, c.peer+21
		if c.free() {
			break
		}
	}
	c.stopAtEnd()
	for i := range controls {
		c.daemons = append(c.daemons, c.newDaemon("control", fmt.Sprintf("%s.%d", c.prefix, i+1), i))
	}
	for i := range entries {
		c.daemons = append(c.daemons, c.newDaemon("entry", fmt.Sprintf("%s.%d", c.prefix, i+101), i))
	}
	return c, nil
}

func (c *cluster) free() bool {
	for _, port := range []int{c.peer, c.control, c.callers} {
		l, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", c.prefix, port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// newDaemon writes the settings of a daemon, in the format of the project's
// template.
func (c *cluster) newDaemon(role, ip string, i int) *daemon {
	d := &daemon{name: fmt.Sprintf("%s-%d", role, i+1), role: role, ip: ip, dir: c.dir}
	d.settings = filepath.Join(c.dir, d.name+".yaml")
	return d
}

func (c *cluster) writeSettings(d *daemon, bootstrap bool) error {
	folder, control, callers, readiness := "", "", "", ""
	if d.role == "control" {
		folder = filepath.Join(c.dir, d.name+".data")
		control = fmt.Sprintf("%s:%d", d.ip, c.control)
	} else {
		callers, readiness = fmt.Sprintf("%s:%d", d.ip, c.callers), fmt.Sprintf("%s:%d", d.ip, c.callers+1)
	}
	text := fmt.Sprintf(`instance: %q
availability_zone: "zone-a"
ip: %q
peer_port: %d
data_folder: %q
seeds: ["%s.1:%d","%s.2:%d","%s.3:%d"]
bootstrap: %t
lost_instances: 2
listen:
  callers: %q
  readiness: %q
  control: %q
  metrics: "%s:%d"
limits:
  memory_mib: 280
  descriptors: 4096
  grace_s: 6
workers:
  heartbeat_ms: 1500
  lease_ms: 6000
  stop_grace_ms: 400
  restore_ms: 250
  pace_delay_ms: 100
  max_over_target_ms: 4000
log:
  level: info
  format: json
`, d.name, d.ip, c.peer, folder, c.prefix, c.control, c.prefix, c.control, c.prefix, c.control, bootstrap, callers, readiness, control, d.ip, c.peer+40)
	return os.WriteFile(d.settings, []byte(text), 0o600)
}

func (c *cluster) start() error {
	for _, d := range c.daemons {
		if err := c.writeSettings(d, true); err != nil {
			return err
		}
		if err := d.start(); err != nil {
			return err
		}
	}
	return nil
}

func (d *daemon) start() error {
	out, err := os.OpenFile(filepath.Join(d.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/apricotrouterd", d.role)
	cmd.Env = append(os.Environ(), "APRICOTROUTER_NODE_FILE="+d.settings)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return errors.Join(err, out.Close())
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	exited := make(chan struct{})
	d.cmd, d.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		d.mu.Lock()
		d.state = cmd.ProcessState
		d.mu.Unlock()
		close(exited)
	}()
	return nil
}

func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd != nil {
		_ = d.cmd.Process.Signal(s)
	}
}

// wait waits until the process has ended, and reports false after the timeout.
func (d *daemon) wait(timeout time.Duration) bool {
	d.mu.Lock()
	exited := d.exited
	d.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(timeout):
		return false
	}
}

// maxDuration is the longest that a case may run.
const maxDuration = 112 * time.Second

// stopAtEnd ends the case when it was interrupted or has taken too long.
func (c *cluster) stopAtEnd() {
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-interrupted:
		case <-time.After(maxDuration):
		}
		c.stop()
		fmt.Fprintln(os.Stderr, "interrupted, or not done in time")
		os.Exit(exitCannotRun)
	}()
}

// stop ends the cluster's processes and removes their folder.
func (c *cluster) stop() {
	for _, d := range c.daemons {
		d.signal(syscall.SIGCONT)
		d.signal(syscall.SIGKILL)
	}
	for _, d := range c.daemons {
		if d.exited != nil {
			d.wait(5 * time.Second)
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	}
}

// controls returns the addresses of the control instances in random order.
func (c *cluster) controls() []string {
	var all []string
	for _, i := range rand.Perm(c.numControls) {
		all = append(all, fmt.Sprintf("%s.%d:%d", c.prefix, i+1, c.control))
	}
	return all
}

// entries returns the addresses of the entry instances in random order.
func (c *cluster) entries() []string {
	var all []string
	for _, i := range rand.Perm(c.numFrontend) {
		all = append(all, fmt.Sprintf("%s.%d:%d", c.prefix, i+101, c.callers))
	}
	return all
}

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}

// send sends a call and returns the status, or 0 if there was no response.
func send(method, address, path, host string, body any, timeout time.Duration) (int, string) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	q, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return 0, err.Error()
	}
	q.Host = host
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set("X-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	cl := *client
	cl.Timeout = timeout
	resp, err := cl.Do(q)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(answer)
}

// configure sends the manifest until it is acknowledged.
func (c *cluster) configure(manifest map[string]any) bool {
	for begin := time.Now(); time.Since(begin) < 25*time.Second; {
		for _, address := range c.controls() {
			if status, _ := send(http.MethodPut, address, "/config", "", manifest, time.Second); status == http.StatusOK {
				return true
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

const (
	queueHost = "jobs.example"
	service   = "service"
)

func manifest() map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []any{
			map[string]any{"name": "r-1", "host": queueHost, "pathPrefix": "/jobs/", "kind": "non_idempotent", "timeoutMs": 3000, "completionTargetMs": 300, "priority": 0, "service": service, "maxAttempts": 3, "stretch": 2.0},
		},
		"services": []any{
			map[string]any{"name": service, "healthPath": "/health", "maxConnections": 64, "protocol": "h1", "tls": false, "warmupS": 0.0, "coldPerS": 0.0, "rejectsOverload": true, "standby": false},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// callJob sends a request of a requester until it is answered clearly.
func (c *cluster) callJob(method, id string, body any) int {
	for begin := time.Now(); time.Since(begin) < 10*time.Second; {
		for _, address := range c.entries() {
			status, _ := send(method, address, "/jobs/"+id, queueHost, body, 3*time.Second)
			if status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout && status != http.StatusServiceUnavailable {
				return status
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return 0
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
