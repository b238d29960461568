package integration_test

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"syscall"
	"testing"
	"time"

	"apricotrouter/integration"
)

// daemonProgram is the path of the daemon, built by TestMain.
var daemonProgram string

func TestMain(m *testing.M) {
	os.Exit(runAll(m))
}

func runAll(m *testing.M) int {
	dir, err := os.MkdirTemp("", "apricotrouter-integration-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	daemonProgram = filepath.Join(dir, "apricotrouterd")
	build := exec.Command("go", "build", "-o", daemonProgram, "apricotrouter/cmd/apricotrouterd")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build daemon: %v\n%s", err, out)
		return 1
	}
	go startProcesses()
	return m.Run()
}

// starts are the processes to start.
var starts = make(chan func())

// startProcesses starts all processes on one thread that never ends: the
// daemons get a signal when the thread that started them ends, so that none
// outlives the test process.
func startProcesses() {
	runtime.LockOSThread()
	for start := range starts {
		start()
	}
}

// process is one daemon.
type process struct {
	integration.Member
	settings string // path
	log      string // path of its output
	command  *exec.Cmd
	ended    chan struct{}
	err      error // of the end; valid once ended is closed
}

// start starts the daemon and waits until its admin port answers.
func (p *process) start() error {
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	p.command = exec.Command(daemonProgram, "-config", p.settings)
	p.command.Stdout, p.command.Stderr = out, out
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	result := make(chan error)
	starts <- func() { result <- p.command.Start() }
	if err := <-result; err != nil {
		return err
	}
	ended := make(chan struct{})
	p.ended = ended
	go func() {
		p.err = p.command.Wait()
		close(ended)
	}()
	return p.await("/healthz", 10*time.Second)
}

// await waits until the admin port answers 200 at path.
func (p *process) await(path string, timeout time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	deadline := time.Now().Add(timeout)
	for {
		resp, err := client.Get("http://" + p.Admin + path)
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
			err = fmt.Errorf("status %d", resp.StatusCode)
		}
		select {
		case <-p.ended:
			return fmt.Errorf("%s ended: %w\n%s", p.ID, p.err, p.tail())
		default:
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%s%s after %v: %w\n%s", p.ID, path, timeout, err, p.tail())
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// tail returns the end of the daemon's output.
func (p *process) tail() string {
	const limit = 2000
	data, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-limit):])
}

// signal sends a signal to the daemon if it runs.
func (p *process) signal(s os.Signal) {
	if p.running() {
		_ = p.command.Process.Signal(s) // It may end at the same time.
	}
}

// kill ends the daemon with SIGKILL and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

func (p *process) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}
