//go:build review

package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	controls      = 5
	entries       = 2
	lostInstances = 2
	heartbeat     = 1100 * time.Millisecond
	maxLease      = 6 * time.Second
	contact       = 3 * time.Second // contactMs
	ackTime       = 4 * time.Second // ackMs
	// restartDelay is the pause before the platform restarts a process that has
	// ended.
	restartDelay = 500 * time.Millisecond
)

// daemon is one process of the system on its own loopback address.
type daemon struct {
	name, role, ip, zone string
	settings, data, log  string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// cluster is a small deployment on loopback addresses.
type cluster struct {
	dir, program           string
	prefix                 string // first three bytes of the loopback network
	reservation            net.Listener
	peer, control, callers int
	daemons                []*daemon // the control instances come first
}

// newCluster writes the settings of all daemons and starts them with empty
// disks.
func newCluster(dir, program string) (*cluster, error) {
	c := &cluster{dir: dir, program: program}
	if err := c.reserve(); err != nil {
		return nil, err
	}
	zones := []string{"zone-a", "zone-b", "zone-c", "zone-a", "zone-b"}
	for i := range controls + entries {
		d := &daemon{role: "control", ip: fmt.Sprintf("%s.%d", c.prefix, i+1), zone: zones[i%len(zones)]}
		if i >= controls {
			d.role, d.ip = "entry", fmt.Sprintf("%s.%d", c.prefix, 101+i-controls)
		}
		d.name = fmt.Sprintf("%s-%d", d.role, i+1)
		d.settings = filepath.Join(dir, d.name+".yaml")
		d.data = filepath.Join(dir, d.name+".data")
		d.log = filepath.Join(dir, d.name+".log")
		c.daemons = append(c.daemons, d)
		if err := c.writeSettings(d, true); err != nil {
			return nil, err
		}
	}
	for _, d := range c.daemons {
		if err := c.start(d); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// formed writes the settings for later starts of the processes, which are
// without bootstrap.
func (c *cluster) formed() error {
	for _, d := range c.daemons {
		if err := c.writeSettings(d, false); err != nil {
			return err
		}
	}
	return nil
}

// reserve chooses a loopback network that no other run uses, and free ports.
func (c *cluster) reserve() error {
	const reservationPort = 20998
	for i := range 200 {
		c.prefix = fmt.Sprintf("127.43.%d", (os.Getpid()+i)%200+1)
		l, err := net.Listen("tcp", fmt.Sprintf("%s.250:%d", c.prefix, reservationPort))
		if err != nil {
			continue
		}
		c.reservation = l
		probe, err := net.Listen("tcp", c.prefix+".249:0")
		if err != nil {
			return err
		}
		c.peer = probe.Addr().(*net.TCPAddr).Port
		c.control, c.callers = c.peer+1, c.peer+2
		return probe.Close()
	}
	return errors.New("no free loopback network")
}

func (c *cluster) writeSettings(d *daemon, bootstrap bool) error {
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s.%d:%d", c.prefix, i+1, c.control)))
	}
	text := fmt.Sprintf(`instance: %q
availability_zone: %q
ip: %q
peer_port: %d
seeds: [%s]
bootstrap: %t
lost_instances: %d
limits: {memory_mib: 280, descriptors: 4096, grace_s: 6}
workers: {heartbeat_ms: %d, lease_ms: %d, stop_grace_ms: 200, restore_ms: 600, pace_delay_ms: 100, max_over_target_ms: 4000}
log: {level: info, format: json}
`, d.name, d.zone, d.ip, c.peer, strings.Join(seeds, ","), bootstrap, lostInstances, heartbeat.Milliseconds(), maxLease.Milliseconds())
	if d.role == "control" {
		text += fmt.Sprintf("data_folder: %q\nlisten: {control: %q}\n", d.data, fmt.Sprintf("%s:%d", d.ip, c.control))
	} else {
		text += fmt.Sprintf("listen: {callers: %q}\n", fmt.Sprintf("%s:%d", d.ip, c.callers))
	}
	return os.WriteFile(d.settings, []byte(text), 0o600)
}

func (c *cluster) start(d *daemon) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	out, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(c.program, d.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "APRICOTROUTER_NODE_FILE=" + d.settings}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		_ = out.Close()
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(exited)
	}()
	d.cmd, d.exited = cmd, exited
	return nil
}

func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd != nil {
		_ = d.cmd.Process.Signal(s)
	}
}

// stop sends a signal that ends the process and waits for its end. SIGKILL
// follows after graceS.
func (d *daemon) stop(s syscall.Signal) {
	d.signal(s)
	select {
	case <-d.exited:
	case <-time.After(6 * time.Second):
		d.signal(syscall.SIGKILL)
		<-d.exited
	}
}

// ended reports whether the process has ended.
func (d *daemon) ended() bool {
	select {
	case <-d.exited:
		return true
	default:
		return false
	}
}

func (c *cluster) close() {
	for _, d := range c.daemons {
		if d.cmd != nil {
			d.signal(syscall.SIGCONT)
			d.stop(syscall.SIGKILL)
		}
	}
	_ = c.reservation.Close()
}

func (c *cluster) controlAddress(i int) string {
	return fmt.Sprintf("%s:%d", c.daemons[i].ip, c.control)
}

func (c *cluster) entryAddress(i int) string {
	return fmt.Sprintf("%s:%d", c.daemons[controls+i].ip, c.callers)
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
