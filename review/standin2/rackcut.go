//go:build review

package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	racks         = 6
	perRack       = 8
	cutFor        = 3500 * time.Millisecond // at most 5.5 s in the site file
	crashAfter    = 500 * time.Millisecond  // into the cut
	downFor       = 2 * time.Second         // addrReuseS
	startSpread   = 800 * time.Millisecond
	maxBackoff    = heartbeat
	taskCPU       = 16_000
	taskRuntime   = 30 * time.Second
	afterHeal     = 8 * time.Second
	rackCutRounds = 5
)

// machine is the address of a runner behind a proxy that can be cut off. One
// lifetime of the runner after the other uses it.
type machine struct {
	listener net.Listener
	ip       string
	labels   []string

	mu      sync.Mutex
	current *runner // nil while it is down
	backend string  // address of the current lifetime behind the proxy
	healed  chan struct{}
	conns   map[net.Conn]bool
}

func newMachine(ip string, labels []string) (*machine, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	m := &machine{listener: l, ip: ip, labels: labels, conns: make(map[net.Conn]bool)}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go m.serve(conn)
		}
	}()
	return m, nil
}

// serve forwards a connection. A connection that was opened during a cut gets no
// answer and is reset when the cut has healed.
func (m *machine) serve(conn net.Conn) {
	m.mu.Lock()
	cut, backend := m.healed, m.backend
	m.mu.Unlock()
	if cut != nil {
		<-cut
		reset(conn)
		return
	}
	if backend == "" {
		reset(conn)
		return
	}
	to, err := net.Dial("tcp", backend)
	if err != nil {
		reset(conn)
		return
	}
	m.mu.Lock()
	m.conns[conn], m.conns[to] = true, true
	m.mu.Unlock()
	var g sync.WaitGroup
	g.Go(func() { m.copy(to, conn) })
	g.Go(func() { m.copy(conn, to) })
	g.Wait()
	m.mu.Lock()
	delete(m.conns, conn)
	delete(m.conns, to)
	m.mu.Unlock()
}

// copy forwards bytes in one direction. They are held up during a cut.
func (m *machine) copy(to, from net.Conn) {
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		m.awaitHealed()
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			if errors.Is(err, io.EOF) {
				_ = to.Close()
			} else {
				reset(to)
			}
			_ = from.Close()
			return
		}
	}
}

func (m *machine) awaitHealed() {
	m.mu.Lock()
	cut := m.healed
	m.mu.Unlock()
	if cut != nil {
		<-cut
	}
}

func reset(conn net.Conn) {
	if c, ok := conn.(*net.TCPConn); ok {
		_ = c.SetLinger(0)
	}
	_ = conn.Close()
}

// begin starts a lifetime of the machine's runner with an id of its own.
func (m *machine) begin(rec *record) error {
	r, err := newRunner(rec, "i-"+newID()[:10], m.ip, m.labels, runnerCPU)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.current, m.backend = r, r.address
	r.address = m.listener.Addr().String()
	return nil
}

// crash ends the current lifetime with all that runs on it. Its connections are
// reset, as far as the cut lets that through.
func (m *machine) crash(rec *record) {
	m.mu.Lock()
	r := m.current
	m.current, m.backend = nil, ""
	var conns []net.Conn
	for conn := range m.conns {
		conns = append(conns, conn)
	}
	m.mu.Unlock()
	_ = r.server.Close()
	r.mu.Lock()
	for task, x := range r.running {
		rec.line("crash of %s with %s run %d", r.id, task, x.id)
		rec.crashed(task)
	}
	clear(r.running)
	r.mu.Unlock()
	go func() {
		m.awaitHealed()
		for _, conn := range conns {
			reset(conn)
		}
	}()
}

func (m *machine) cut() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.healed = make(chan struct{})
}

func (m *machine) heal() {
	m.mu.Lock()
	defer m.mu.Unlock()
	close(m.healed)
	m.healed = nil
}

// checkIns sends the check-ins of the machine's runner: one every heartbeat,
// and after each failure the next daemon with increasing backoff. A call that
// begins during a cut gets no answer within its second.
func (m *machine) checkIns(c *cluster, stop <-chan struct{}) {
	backoff := 100 * time.Millisecond
	var last *runner
	for {
		pause := heartbeat
		m.mu.Lock()
		r, cut := m.current, m.healed != nil
		m.mu.Unlock()
		if r != last {
			last, backoff = r, 100*time.Millisecond
		}
		switch {
		case r == nil:
			pause = 10 * time.Millisecond
		case cut:
			time.Sleep(time.Second)
			pause, backoff = backoff, min(2*backoff, maxBackoff)
		case r.checkInAt(c.controls()[0], service):
			backoff = 100 * time.Millisecond
		default:
			pause, backoff = backoff, min(2*backoff, maxBackoff)
		}
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
	}
}

// rackCut cuts one rack of idle runners off, with one task on it. The runners
// crash behind the cut and start again.
func rackCut(rec *record, trouble bool) error {
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
	var rack []*machine
	for i := range racks * perRack {
		m, err := newMachine(fmt.Sprintf("%s.%d", c.prefix, 150+i), []string{"a", fmt.Sprintf("r1-%d", i/perRack)})
		if err == nil {
			err = m.begin(rec)
		}
		if err != nil {
			return err
		}
		defer m.listener.Close()
		if i/perRack == 3 {
			rack = append(rack, m)
		}
		time.AfterFunc(time.Duration(rand.Int64N(int64(heartbeat))), func() { m.checkIns(c, stop) })
	}
	if !c.configure(manifest()) {
		return errors.New("the first manifest was not acknowledged")
	}
	rec.line("manifest acknowledged")
	time.Sleep(4 * time.Second)
	for i := range rackCutRounds {
		if time.Since(rec.begin) > 98*time.Second {
			break
		}
		if err := playRackCut(c, rec, rack, trouble); err != nil {
			return fmt.Errorf("round %d: %w", i, err)
		}
	}
	return nil
}

func playRackCut(c *cluster, rec *record, rack []*machine, trouble bool) error {
	id := newID()
	rec.declare(id, step{size: size{taskCPU, 4096}, runtime: taskRuntime})
	rec.line("POST %s", id)
	status := c.callJob(http.MethodPost, id, map[string]any{"taskSpec": "batch", "steps": []any{
		map[string]any{"count": 1, "cpu": taskCPU, "memMb": 4096, "estRuntimeMs": taskRuntime.Milliseconds(), "dataRack": "r1-3"},
	}})
	rec.line("answer %d", status)
	if status != http.StatusOK {
		return fmt.Errorf("submission was answered %d", status)
	}
	onRack := func() bool {
		for _, m := range rack {
			m.mu.Lock()
			r := m.current
			m.mu.Unlock()
			if r != nil && running(r, id) == 1 {
				return true
			}
		}
		return false
	}
	if !waitFor(5*time.Second, onRack) {
		return errors.New("the task does not run in the rack")
	}
	time.Sleep(time.Second)
	if trouble {
		rec.line("the rack is cut off")
		for _, m := range rack {
			m.cut()
		}
		time.Sleep(crashAfter)
		for _, m := range rack {
			m.crash(rec)
		}
		var g errgroup
		for _, m := range rack {
			g.run(func() error {
				time.Sleep(downFor + time.Duration(rand.Int64N(int64(startSpread))))
				return m.begin(rec)
			})
		}
		time.Sleep(cutFor - crashAfter)
		for _, m := range rack {
			m.heal()
		}
		rec.line("the cut has healed")
		if err := g.wait(); err != nil {
			return err
		}
	} else {
		time.Sleep(cutFor)
	}
	time.Sleep(afterHeal)
	state := ""
	waitFor(10*time.Second, func() bool {
		for _, address := range c.entries() {
			var status int
			if status, state = send(http.MethodGet, address, "/jobs/"+id, queueHost, nil, 3*time.Second); status == http.StatusOK {
				return true
			}
		}
		return false
	})
	rec.line("GET %s: %s", id, state)
	crashes, failures := rec.endsOf(id)
	if strings.Contains(state, "failed") && crashes < 2 && failures == 0 {
		rec.broken("LOST: %s is shown as failed; %d runners crashed under its task, which has failed %d times", id, crashes, failures)
	}
	rec.line("DELETE %s", id)
	rec.line("answer %d", c.callJob(http.MethodDelete, id, nil))
	time.Sleep(2 * time.Second)
	return nil
}

// errgroup runs functions concurrently and collects their errors.
type errgroup struct {
	wg  sync.WaitGroup
	mu  sync.Mutex
	err error
}

func (g *errgroup) run(f func() error) {
	g.wg.Go(func() {
		err := f()
		g.mu.Lock()
		defer g.mu.Unlock()
		g.err = errors.Join(g.err, err)
	})
}

func (g *errgroup) wait() error {
	g.wg.Wait()
	return g.err
}
