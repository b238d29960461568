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

// startRequests has the functions that start processes, for startProcesses.
var startRequests = make(chan func())

// startProcesses starts all processes from one locked OS thread that lives as
// long as the test process. The kernel kills a daemon (Pdeathsig) when the
// thread that started it ends, so no daemon outlives the test process.
func startProcesses() {
	runtime.LockOSThread()
	for start := range startRequests {
		start()
	}
}

// process is one daemon process.
type process struct {
	integration.Member
	settingsPath string
	logPath      string // stdout and stderr
	command      *exec.Cmd
	exited       chan struct{}
	exitErr      error // from Wait; valid once exited is closed
}

// start starts the daemon and waits until its admin port serves /healthz.
func (p *process) start() error {
	out, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	p.command = exec.Command(daemonProgram, "-config", p.settingsPath)
	p.command.Stdout, p.command.Stderr = out, out
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	result := make(chan error)
	startRequests <- func() { result <- p.command.Start() }
	if err := <-result; err != nil {
		return err
	}
	exited := make(chan struct{})
	p.exited = exited
	go func() {
		p.exitErr = p.command.Wait()
		close(exited)
	}()
	return p.awaitOK("/healthz", 10*time.Second)
}

// awaitOK waits until the admin port responds with status 200 at path.
func (p *process) awaitOK(path string, timeout time.Duration) error {
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
		case <-p.exited:
			return fmt.Errorf("%s exited: %w\n%s", p.ID, p.exitErr, p.tail())
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
	data, err := os.ReadFile(p.logPath)
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-limit):])
}

// signal sends a signal to the daemon if it is running.
func (p *process) signal(s os.Signal) {
	if p.running() {
		_ = p.command.Process.Signal(s) // The process may exit concurrently.
	}
}

// kill sends SIGKILL and waits until the daemon has exited.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}
