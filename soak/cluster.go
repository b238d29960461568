// Package soak runs the real programs as processes on one machine, injects
// faults from outside them, and checks what clients and workers see against
// the promises of the product. A run is chosen by its seed.
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
	Dir      string // for data, settings and logs; emptied before the run and kept after it
	Seed     uint64
	Duration time.Duration // during which faults are injected
	Controls int           // at most one is down or without its disk at a time
	Entries  int
	Workers  int
	Output   io.Writer // progress; nil for none
}

const (
	// restMax is the longest pause between two faults.
	restMax = 1500 * time.Millisecond
	// faultMax is the longest time that a fault lasts, above the longest lease.
	faultMax = 4 * time.Second
	// settleTime is how long everything may take to end after the faults: two
	// elections, a lease and the runs that wait.
	settleTime = 40 * time.Second
)

// process is one daemon. It may be killed, stopped and started again.
type process struct {
	name, role, ip string
	opts           *Options
	settings       string
	data           string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// network is the addresses of a run. Runs side by side have networks of their
// own: each holds a port of its network for as long as it lasts.
type network struct {
	prefix                 string
	peer, control, callers int
	lock                   net.Listener
}

const (
	// lockPort is the port that a run holds, below those that are drawn.
	lockPort = 20999
	// networks is how many loopback networks runs may take.
	networks = 250
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
	for i := range uint64(networks) {
		n.prefix = fmt.Sprintf("127.40.%d", (o.Seed+i)%networks+1)
		if n.lock, err = net.Listen("tcp", fmt.Sprintf("%s.250:%d", n.prefix, lockPort)); err == nil {
			return n, nil
		}
	}
	return network{}, fmt.Errorf("no free loopback network: %w", err)
}

func (n network) controlIP(i int) string { return fmt.Sprintf("%s.%d", n.prefix, i+1) }

func (n network) entryIP(i int) string { return fmt.Sprintf("%s.%d", n.prefix, i+101) }

func newProcess(o *Options, n network, role, ip string, bootstrap bool) (*process, error) {
	p := &process{name: role + "-" + ip, role: role, ip: ip, opts: o}
	p.settings = filepath.Join(o.Dir, p.name+".yaml")
	p.data = filepath.Join(o.Dir, p.name+".data")
	return p, p.configure(n, bootstrap)
}

// configure writes the settings file.
func (p *process) configure(n network, bootstrap bool) error {
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
		text += fmt.Sprintf("data_folder: %s\nlisten: {control: %q}\n", p.data, fmt.Sprintf("%s:%d", p.ip, n.control))
	} else {
		text += fmt.Sprintf("listen: {callers: %q}\n", fmt.Sprintf("%s:%d", p.ip, n.callers))
	}
	return os.WriteFile(p.settings, []byte(text), 0o600)
}

// start runs the daemon. Its output is appended to a log file.
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
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+p.settings)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		_ = out.Close()
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait() // how it ends is the injected fault's business
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
		_ = p.cmd.Process.Signal(s) // it may have ended meanwhile
	}
}

// stop sends a signal that ends the daemon, and waits until it has ended.
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
	case <-time.After(2 * faultMax):
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
	p.cmd = nil
}

// alive reports whether the daemon has not ended by itself.
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

// fault is one disturbance of a run.
type fault struct {
	name  string
	apply func(r *rand.Rand, d time.Duration) error
}
