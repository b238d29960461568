package integration_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"apricotrouter/integration"
	"apricotrouter/platform"
	"apricotrouter/platform/platformtest"
)

const (
	// nodeMemoryMiB and nodeDescriptors are the limits in the settings of the
	// nodes under test, and the bounds on what they use. An entry instance on a
	// customer's machine has at least twice this memory.
	nodeMemoryMiB   = 96
	nodeDescriptors = 300
	// callersSlots and controlSlots are the shares of the connections that the
	// descriptors leave to clients and to operators and workers.
	callersSlots = nodeDescriptors * 80 / 100
	controlSlots = nodeDescriptors * 15 / 100
	// requestAttempt bounds one attempt of an ordinary request, and
	// requestGivenUp the wait for its response. They decide when a request
	// counts as unanswered, not how fast it must be answered.
	requestAttempt = 5 * time.Second
	requestGivenUp = 25 * time.Second
)

// node is one process of the platform's role entry or control.
type node struct {
	*WithT
	command *exec.Cmd
	logPath string
	exited  chan struct{}
	callers string // address for clients; of an entry instance only
	control string // address for operators and workers; of a control instance only
}

// nodes are one control instance, which leads alone, and one entry instance.
type nodes struct {
	entry, control *node
}

func startNodes(t *testing.T) nodes {
	t.Helper()
	g := NewWithT(t)
	free, err := integration.FreeAddresses(1)
	g.Expect(err).NotTo(HaveOccurred())
	_, port, err := net.SplitHostPort(free[0])
	g.Expect(err).NotTo(HaveOccurred())
	n, err := strconv.Atoi(port)
	g.Expect(err).NotTo(HaveOccurred())
	const controlIP, entryIP = "127.33.0.1", "127.33.0.2"
	listener := func(ip string, offset int) string { return net.JoinHostPort(ip, strconv.Itoa(n+offset)) }
	settings := func(ip, extra string) string {
		return fmt.Sprintf("instance: i-%[1]s\navailability_zone: z\nip: %[1]s\npeer_port: %[2]d\nseeds: [\"%[3]s\"]\nbootstrap: true\n"+
			"limits: {memory_mib: %[4]d, descriptors: %[5]d, grace_s: 2}\n%[6]s", ip, n, listener(controlIP, 1), nodeMemoryMiB, nodeDescriptors, extra)
	}
	control := startNode(t, "control", settings(controlIP, fmt.Sprintf("data_folder: %q\nlisten: {control: %q}\n", t.TempDir(), listener(controlIP, 1))))
	control.control = listener(controlIP, 1)
	entry := startNode(t, "entry", settings(entryIP, fmt.Sprintf("listen: {callers: %q, readiness: %q}\n", listener(entryIP, 1), listener(entryIP, 2))))
	entry.callers = listener(entryIP, 1)
	all := nodes{entry: entry, control: control}
	g.Eventually(func() (int, error) {
		return send(http.MethodPut, control.control, platformtest.ConfigPath, platformtest.Config(1, 0))
	},
		startTimeout, "50ms").Should(Equal(http.StatusOK), control.log)
	all.expectSubmission()
	return all
}

func startNode(t *testing.T, role, settings string) *node {
	t.Helper()
	n := &node{WithT: NewWithT(t), exited: make(chan struct{})}
	dir := t.TempDir()
	path := filepath.Join(dir, "settings.yaml")
	n.logPath = filepath.Join(dir, "log")
	n.Expect(os.WriteFile(path, []byte(settings), 0o600)).To(Succeed())
	out, err := os.Create(n.logPath)
	n.Expect(err).NotTo(HaveOccurred())
	defer out.Close()
	n.command = exec.Command(daemonProgram, role)
	n.command.Env = append(os.Environ(), platform.SettingsVariable+"="+path)
	n.command.Stdout, n.command.Stderr = out, out
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	startRequests <- func() { started <- n.command.Start() }
	n.Expect(<-started).To(Succeed())
	go func() { _ = n.command.Wait(); close(n.exited) }()
	t.Cleanup(func() {
		_ = n.command.Process.Kill() // fails if it has exited
		<-n.exited
		if t.Failed() {
			t.Logf("end of the log of %s:\n%s", role, n.log())
		}
	})
	return n
}

// log returns the end of the node's output.
func (n *node) log() string {
	const limit = 1500
	data, err := os.ReadFile(n.logPath)
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-limit):])
}

// peakMemoryMiB returns the peak resident memory of the process.
func (n *node) peakMemoryMiB() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.command.Process.Pid))
	n.Expect(err).NotTo(HaveOccurred())
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kib, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			n.Expect(err).NotTo(HaveOccurred())
			return kib >> 10
		}
	}
	n.Expect(string(data)).To(ContainSubstring("VmHWM:"))
	return 0
}

func (n *node) descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.command.Process.Pid))
	n.Expect(err).NotTo(HaveOccurred())
	return len(entries)
}

// expectWithinLimits checks that the process lives and that its memory and its
// descriptors are within the limits of its settings.
func (n *node) expectWithinLimits(what string) {
	n.Expect(n.exited).NotTo(BeClosed(), what)
	n.Expect(n.peakMemoryMiB()).To(BeNumerically("<=", nodeMemoryMiB), "peak memory in MiB "+what)
	n.Expect(n.descriptors()).To(BeNumerically("<=", nodeDescriptors), "descriptors "+what)
}

// send sends a request on a new connection and returns the status.
func send(method, address, path, body string) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), requestAttempt)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewBufferString(body))
	if err != nil {
		return 0, err
	}
	if method == http.MethodPost {
		req.Host = "jobs.example"
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// expectSubmission sends an ordinary submission until it is stored.
func (n nodes) expectSubmission() {
	n.entry.Eventually(func() (int, error) {
		return send(http.MethodPost, n.entry.callers, "/jobs/00000000000000aa", platformtest.Submission())
	}, requestGivenUp, "100ms").Should(Equal(http.StatusOK), "an ordinary submission is not answered")
}

// expectHeartbeat sends a worker's ordinary heartbeat until it is accepted.
func (n nodes) expectHeartbeat() {
	n.control.Eventually(func() (int, error) {
		return send(http.MethodPut, n.control.control, platformtest.WorkerPath("i-1"), platformtest.HeartbeatBody(0))
	},
		requestGivenUp, "100ms").Should(Equal(http.StatusOK), "an ordinary heartbeat is not answered")
}
