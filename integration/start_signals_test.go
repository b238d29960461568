package integration_test

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"apricotrouter/integration"
	"apricotrouter/platform"
)

const startTimeout = 20 * time.Second

// startingDaemon is a daemon whose settings file is a pipe, so that its start
// lasts until the test provides the settings.
type startingDaemon struct {
	*WithT
	path     string
	pipe     *os.File
	settings func(seed string) string
	logPath  string
	command  *exec.Cmd
	exited   chan error
}

// forEachCommand runs a test with a daemon of each command that reads its
// settings.
func forEachCommand(t *testing.T, test func(d *startingDaemon, command string)) {
	for _, command := range []string{"entry", "control", "instance"} {
		t.Run(command, func(t *testing.T) {
			test(newStartingDaemon(t, command), command)
		})
	}
}

func newStartingDaemon(t *testing.T, command string) *startingDaemon {
	t.Helper()
	dir := t.TempDir()
	d := &startingDaemon{
		WithT: NewWithT(t), path: filepath.Join(dir, "settings.yaml"), logPath: filepath.Join(dir, "log"), exited: make(chan error, 1),
	}
	addresses, err := integration.FreeAddresses(4)
	d.Expect(err).NotTo(HaveOccurred())
	args := []string{command}
	if command == "instance" {
		args = []string{"--config", d.path}
		m := integration.Member{
			ID: "e1", Zone: "z1", Voter: true, Disk: filepath.Join(dir, "data"),
			Entry: addresses[0], Operator: addresses[1], Peer: addresses[2], Admin: addresses[3],
		}
		d.settings = func(string) string { return integration.Settings(m, []integration.Member{m}, nil) }
	} else {
		host, port, err := net.SplitHostPort(addresses[0])
		d.Expect(err).NotTo(HaveOccurred())
		d.settings = func(seed string) string {
			return fmt.Sprintf("instance: e1\navailability_zone: z1\nip: %q\npeer_port: %s\ndata_folder: %q\nseeds: [%q]\nlisten: {metrics: %q}\nlimits: {grace_s: 2}\n",
				host, port, filepath.Join(dir, "data"), seed, addresses[1])
		}
	}
	d.Expect(syscall.Mkfifo(d.path, 0o600)).To(Succeed())
	out, err := os.Create(d.logPath)
	d.Expect(err).NotTo(HaveOccurred())
	defer out.Close()
	d.command = exec.Command(daemonProgram, args...)
	d.command.Env = append(os.Environ(), platform.SettingsVariable+"="+d.path)
	d.command.Stdout, d.command.Stderr = out, out
	d.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	startRequests <- func() { started <- d.command.Start() }
	d.Expect(<-started).To(Succeed())
	go func() { d.exited <- d.command.Wait(); close(d.exited) }()
	t.Cleanup(func() {
		_ = d.command.Process.Kill() // fails if it has exited
		<-d.exited
	})
	d.Eventually(func() error { // fails until the daemon reads
		var err error
		d.pipe, err = os.OpenFile(d.path, os.O_WRONLY|syscall.O_NONBLOCK, 0)
		return err
	}, startTimeout, "5ms").Should(Succeed())
	return d
}

// provideSettings ends the wait of the daemon for its settings. Later reads get
// other ones.
func (d *startingDaemon) provideSettings() {
	next := d.path + ".next"
	d.Expect(os.WriteFile(next, []byte(d.settings("127.0.0.1:2")), 0o600)).To(Succeed())
	d.Expect(os.Rename(next, d.path)).To(Succeed())
	_, err := d.pipe.WriteString(d.settings("127.0.0.1:1"))
	d.Expect(err).NotTo(HaveOccurred())
	d.Expect(d.pipe.Close()).To(Succeed())
}

func (d *startingDaemon) log() string {
	data, err := os.ReadFile(d.logPath)
	d.Expect(err).NotTo(HaveOccurred())
	return string(data)
}

func (d *startingDaemon) signal(s os.Signal) { d.Expect(d.command.Process.Signal(s)).To(Succeed()) }

func (d *startingDaemon) expectExit() {
	d.Eventually(d.exited, startTimeout).Should(Receive(BeNil()), d.log)
}

// Guards against a SIGHUP that ends a daemon during its start, while it has no
// handler yet.
func TestHangupDuringTheStartEndsNoDaemon(t *testing.T) {
	forEachCommand(t, func(d *startingDaemon, command string) {
		d.signal(syscall.SIGHUP)
		d.provideSettings()
		handled := "settings-reloaded"
		if command == "instance" {
			handled = "hangup-ignored"
		}
		d.Eventually(d.log, startTimeout, "10ms").Should(And(ContainSubstring("instance-started"), ContainSubstring(handled)))
		d.signal(syscall.SIGTERM)
		d.expectExit()
	})
}

// Guards against a SIGTERM that kills a daemon during its start, or that the
// daemon forgets.
func TestTerminationDuringTheStartEndsTheDaemonInOrder(t *testing.T) {
	forEachCommand(t, func(d *startingDaemon, command string) {
		d.signal(syscall.SIGTERM)
		d.provideSettings()
		d.expectExit()
		d.Expect(d.log()).To(ContainSubstring("instance-stopped"))
		if command != "instance" { // which starts all components and then stops them
			d.Expect(d.log()).NotTo(ContainSubstring("instance-started"))
		}
	})
}
