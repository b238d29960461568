// Package soak runs the real programs as processes on one machine, injects
// faults from outside the processes, and checks what clients and workers observe
// against the guarantees of the product. The seed of a run determines its random
// choices.
package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"apricotrouter/platform"
)

// Options of a run.
type Options struct {
	Daemon   string // path of apricotrouterd
	Dir      string // for data, settings and logs; wiped before the run and kept after it
	Seed     uint64
	Duration time.Duration // during which faults are injected
	Controls int           // control instances; at most one is down or wiped at a time
	Entries  int
	Workers  int
	Output   io.Writer // progress; nil for none
}

const (
	// maxFaultPause is the longest pause between two faults.
	maxFaultPause = 1500 * time.Millisecond
	// maxFaultDuration is longer than maxLease, so that leases expire during long
	// faults.
	maxFaultDuration = 4 * time.Second
	// settleTimeout is how long all jobs may take to end after the last fault: two
	// elections, one lease and the waiting runs.
	settleTimeout = 40 * time.Second
	// undisturbedLoad is how long clients go on after the last fault and the last
	// crash. Waits beside free capacity count after undisturbedTime only, which
	// leaves 8 s of load in which they do.
	undisturbedLoad = 15 * time.Second
)

// process is one daemon, which faults kill, pause and restart.
type process struct {
	name, role, ip string
	opts           *Options
	settingsPath   string
	dataDir        string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// network is the loopback network (a /24 prefix) and the ports of a run. Each run
// reserves its network by listening on a port of it until the run ends, so
// concurrent runs can't join each other's group.
type network struct {
	prefix                 string
	peer, control, callers int
	reservation            net.Listener
}

const (
	// reservationPort is the port that reserves a network. It is below the
	// ephemeral range from which the other ports are taken.
	reservationPort = 20999
	// networkCount is the number of loopback networks available to runs.
	networkCount = 250
)

func newNetwork(o *Options) (network, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return network{}, err
	}
	port := l.Addr().(*net.TCPAddr).Port
	if err := l.Close(); err != nil {
		return network{}, err
	}
	n := network{peer: port, control: port + 1, callers: port + 1}
	for i := range uint64(networkCount) {
		n.prefix = fmt.Sprintf("127.40.%d", (o.Seed+i)%networkCount+1)
		if n.reservation, err = net.Listen("tcp", fmt.Sprintf("%s.250:%d", n.prefix, reservationPort)); err == nil {
			return n, nil
		}
	}
	return network{}, fmt.Errorf("no free loopback network: %w", err)
}

func (n network) controlIP(i int) string { return fmt.Sprintf("%s.%d", n.prefix, i+1) }

func (n network) entryIP(i int) string { return fmt.Sprintf("%s.%d", n.prefix, i+101) }

func newProcess(o *Options, n network, role, ip string, bootstrap bool) (*process, error) {
	p := &process{name: role + "-" + ip, role: role, ip: ip, opts: o}
	p.settingsPath = filepath.Join(o.Dir, p.name+".yaml")
	p.dataDir = filepath.Join(o.Dir, p.name+".data")
	return p, p.writeSettings(n, bootstrap)
}

// writeSettings writes the settings file of the daemon.
func (p *process) writeSettings(n network, bootstrap bool) error {
	var seeds []string
	for i := range min(p.opts.Controls, 3) {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", n.controlIP(i), n.control)))
	}
	text := fmt.Sprintf(`
instance: %s
availability_zone: zone-%s
ip: %s
peer_port: %d
seeds: [%s]
bootstrap: %t
lost_instances: %d
limits: {grace_s: 3}
workers: {heartbeat_ms: 500, lease_ms: 3000, stop_grace_ms: 100}
log: {level: info, format: json}
`, p.name, p.ip, p.ip, n.peer, strings.Join(seeds, ","), bootstrap, (p.opts.Controls-1)/2)
	if p.role == "control" {
		text += fmt.Sprintf("data_folder: %s\nlisten: {control: %q}\n", p.dataDir, fmt.Sprintf("%s:%d", p.ip, n.control))
	} else {
		text += fmt.Sprintf("listen: {callers: %q}\n", fmt.Sprintf("%s:%d", p.ip, n.callers))
	}
	return os.WriteFile(p.settingsPath, []byte(text), 0o600)
}

// start starts the daemon if it is not running. Its output is appended to a log
// file.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	out, err := os.OpenFile(filepath.Join(p.opts.Dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.opts.Daemon, p.role)
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+p.settingsPath)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		_ = out.Close()
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait() // the exit status is ignored: faults kill daemons
		_ = out.Close()
		close(exited)
	}()
	p.cmd, p.exited = cmd, exited
	return nil
}

// signal sends a signal to the running daemon.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s) // the process may exit concurrently
	}
}

// stop sends a terminating signal and waits until the daemon has exited. It sends
// SIGKILL after 2 * maxFaultDuration.
func (p *process) stop(s syscall.Signal) {
	p.signal(syscall.SIGCONT)
	p.signal(s)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	select {
	case <-p.exited:
	case <-time.After(2 * maxFaultDuration):
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
	p.cmd = nil
}

// alive reports whether the daemon is running or was stopped by the run; false
// means that it exited by itself.
func (p *process) alive() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return true
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// fault is one kind of fault that a run injects.
type fault struct {
	name  string
	entry bool // affects entry instances only
	apply func(r *rand.Rand, d time.Duration) error
}
