package integration_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"apricotrouter/cli"
	"apricotrouter/integration"
	"apricotrouter/standin/caller"
	"apricotrouter/standin/endpoint"
	workerstandin "apricotrouter/standin/worker"
	"apricotrouter/state"
	"apricotrouter/worker"
)

// Sizes of the simulated workers and endpoints.
var (
	workerSize = state.Resources{MilliCPU: 8000, MemoryMiB: 16 << 10}
	zones      = []string{"z1", "z2", "z3"}
)

const (
	endpointsPerZone = 2
	serviceTime      = 5 * time.Millisecond
	appPath          = "/app/x"
)

// cluster is a control group of daemon processes with simulated workers and
// endpoints.
type cluster struct {
	Gomega
	t         testing.TB
	dir       string
	network   *integration.Network
	processes []*process
	workers   []*workerstandin.Worker
	zoneOf    map[*workerstandin.Worker]string
	endpoints []*endpoint.Endpoint
	results   []caller.Result
}

// newCluster starts the given number of instances, each with a data directory,
// forms the group and waits until all are ready. The first three are voters.
func newCluster(t testing.TB, instances int) *cluster {
	c := &cluster{
		Gomega: NewWithT(t), t: t, dir: t.TempDir(),
		network: integration.NewNetwork(), zoneOf: make(map[*workerstandin.Worker]string),
	}
	t.Cleanup(c.stop)
	c.makeProcesses(instances)
	for _, p := range c.processes {
		c.Expect(p.start()).To(Succeed())
	}
	c.operator("init")
	for _, p := range c.processes {
		c.Expect(p.awaitOK("/readyz", 20*time.Second)).To(Succeed())
	}
	return c
}

func (c *cluster) makeProcesses(instances int) {
	ports, err := integration.FreeAddresses(4 * instances)
	c.Expect(err).NotTo(HaveOccurred())
	var members []integration.Member
	for i := range instances {
		id := fmt.Sprintf("e%d", i+1)
		members = append(members, integration.Member{
			ID: id, Zone: zones[i%len(zones)], Voter: i < 3, Disk: filepath.Join(c.dir, id),
			Entry: ports[4*i], Operator: ports[4*i+1], Peer: ports[4*i+2], Admin: ports[4*i+3],
		})
	}
	for _, m := range members {
		settings := integration.Settings(m, members, func(to string) string { return c.link(m.ID, to, members) })
		p := &process{Member: m, settingsPath: filepath.Join(c.dir, m.ID+".yaml"), logPath: filepath.Join(c.dir, m.ID+".log")}
		c.Expect(os.WriteFile(p.settingsPath, []byte(settings), 0o600)).To(Succeed())
		c.processes = append(c.processes, p)
	}
}

func (c *cluster) link(from, to string, members []integration.Member) string {
	for _, m := range members {
		if m.ID == to {
			address, err := c.network.Link(from, to, m.Peer)
			c.Expect(err).NotTo(HaveOccurred())
			return address
		}
	}
	c.t.Fatalf("no member %s", to)
	return ""
}

func (c *cluster) stop() {
	if c.t.Failed() {
		c.logInstances()
	}
	for _, p := range c.processes {
		if p.exited != nil {
			p.kill()
		}
	}
	for _, e := range c.endpoints {
		e.Kill()
	}
	for _, w := range c.workers {
		w.Close()
	}
	c.network.Close()
}

// logInstances logs the group status in the view of each instance and the end
// of its output.
func (c *cluster) logInstances() {
	for _, p := range c.processes {
		if p.exited == nil {
			continue
		}
		s, err := c.status(p)
		c.t.Logf("%s: running %t, status %+v, %v, end of its output:\n%s", p.ID, p.running(), s, err, p.tail())
	}
}

// operator runs an operator command, fails the test on an error, and returns
// the output.
func (c *cluster) operator(args ...string) string {
	out, err := c.tryOperator(args...)
	c.Expect(err).NotTo(HaveOccurred())
	return out
}

func (c *cluster) tryOperator(args ...string) (string, error) {
	all := []string{"--actor", "test"}
	for _, p := range c.processes {
		if p.running() {
			all = append(all, "--server", p.Operator)
		}
	}
	return runCLI(append(all, args...))
}

func runCLI(args []string) (string, error) {
	var out, errOut bytes.Buffer
	if code := cli.Run(cli.NewRoot(), args, &out, &errOut); code != cli.ExitOK {
		return "", fmt.Errorf("%v: exit code %d: %s", args, code, errOut.String())
	}
	return out.String(), nil
}

// groupStatus has the fields of the status command that the tests read.
type groupStatus struct {
	Leader       string `json:"leader"`
	AppliedIndex uint64 `json:"applied_index"`
	Fresh        bool   `json:"fresh"`
	Instances    []struct {
		ID   string `json:"id"`
		Role string `json:"role"`
	} `json:"instances"`
}

// status returns the group status in the view of p.
func (c *cluster) status(p *process) (groupStatus, error) {
	var s groupStatus
	out, err := runCLI([]string{"--server", p.Operator, "--timeout", "1s", "-o", "json", "status"})
	if err != nil {
		return s, err
	}
	return s, json.Unmarshal([]byte(out), &s)
}

// leader waits until an instance leads and returns its process.
func (c *cluster) leader() *process {
	var found *process
	c.Eventually(func(g Gomega) {
		for _, p := range c.processes {
			if !p.running() {
				continue
			}
			s, err := c.status(p)
			if err == nil && s.Fresh && s.Leader == p.ID {
				found = p
				return
			}
		}
		g.Expect(found).NotTo(BeNil())
	}, "20s", "50ms").Should(Succeed())
	return found
}

func (c *cluster) runningExcept(excluded *process) []*process {
	var all []*process
	for _, p := range c.processes {
		if p != excluded && p.running() {
			all = append(all, p)
		}
	}
	return all
}

// addWorkers registers n simulated workers in each availability zone, each
// behind a proxy.
func (c *cluster) addWorkers(n int) {
	for i := range n * len(zones) {
		zone := zones[i%len(zones)]
		w := workerstandin.New(workerstandin.Options{
			ID: "w" + strconv.Itoa(i+1), Capacity: workerSize, Seed: uint64(i),
			ClockOffset: time.Duration(i) * time.Hour, RunTime: runTime,
		})
		upstream, err := w.Listen()
		c.Expect(err).NotTo(HaveOccurred())
		address, err := c.network.Link("instances", w.ID(), upstream)
		c.Expect(err).NotTo(HaveOccurred())
		c.operator("worker", "register", w.ID(), "--zone", zone, "--rack", "r-"+zone, "--address", address,
			"--milli-cpu", strconv.FormatInt(workerSize.MilliCPU, 10), "--memory-mib", strconv.FormatInt(workerSize.MemoryMiB, 10))
		c.workers = append(c.workers, w)
		c.zoneOf[w] = zone
	}
}

// runTime returns the run time of a task. Replicas run until they are stopped.
// Batch tasks run for a tenth of a second per declared second, which keeps the
// tests short.
func runTime(r worker.StartRequest) time.Duration {
	if r.Kind == state.KindLatencyCritical {
		return 0
	}
	return time.Duration(r.ExpectedSeconds) * time.Second / 10
}

// submit submits a batch job whose tasks reserve two cores each and run for the
// given number of tenths of a second.
func (c *cluster) submit(id string, tasks, tenths int) {
	c.operatorWithSpec(fmt.Sprintf("id: %s\nclass: batch\npriority: normal\ntasks: %d\nexpected_seconds: %d\n"+
		"resources: {milli_cpu: 2000, memory_mib: 1024, accelerators: 0}\n", id, tasks, tenths), "job", "submit")
}

func (c *cluster) operatorWithSpec(spec string, args ...string) {
	f, err := os.CreateTemp(c.dir, "spec-*.yaml")
	c.Expect(err).NotTo(HaveOccurred())
	_, err = f.WriteString(spec)
	c.Expect(err).NotTo(HaveOccurred())
	c.Expect(f.Close()).To(Succeed())
	c.operator(append(args, "-f", f.Name())...)
}

// addEndpoints creates the service, starts endpoints in each availability zone
// and waits until each instance serves requests.
func (c *cluster) addEndpoints() {
	c.operatorWithSpec("name: app\npath_prefix: /app\nreplicas: 0\nslots: 8\nconnection_limit: 64\n"+
		"resources: {milli_cpu: 1000, memory_mib: 512, accelerators: 0}\n", "service", "apply")
	for i := range endpointsPerZone * len(zones) {
		e, err := endpoint.Start(endpoint.Options{
			ID: "ep" + strconv.Itoa(i+1), Service: "app", Zone: zones[i%len(zones)], Incarnation: 1,
			Entries: c.entries(c.processes), ServiceTime: serviceTime,
		})
		c.Expect(err).NotTo(HaveOccurred())
		c.endpoints = append(c.endpoints, e)
	}
	c.awaitServing(c.processes, 20*time.Second)
}

func (c *cluster) entries(processes []*process) []string {
	var all []string
	for _, p := range processes {
		all = append(all, p.Entry)
	}
	return all
}

var requestIDs struct {
	sync.Mutex
	n int
}

// uniqueID returns a request id that no other request of this process uses.
func uniqueID(prefix string) string {
	requestIDs.Lock()
	defer requestIDs.Unlock()
	requestIDs.n++
	return fmt.Sprintf("%s-%d-", prefix, requestIDs.n)
}

// awaitServing waits until a request through each process is answered.
func (c *cluster) awaitServing(processes []*process, timeout time.Duration) {
	client := caller.NewClient()
	defer client.CloseIdleConnections()
	for _, p := range processes {
		c.Eventually(func() caller.Outcome {
			r := caller.Send(client, p.Entry, appPath, uniqueID("probe"), true, time.Second)
			c.results = append(c.results, r)
			return r.Outcome
		}, timeout, "20ms").Should(Equal(caller.Completed), "request through %s", p.ID)
	}
}

// startLoad sends requests at a fixed rate (per second) through the processes.
// Half of the requests are not idempotent.
func (c *cluster) startLoad(processes []*process, rate float64) *caller.Load {
	return caller.Start(caller.Options{
		Targets: c.entries(processes), Path: appPath, Rate: rate, NonIdempotent: 0.5, Timeout: 3 * time.Second,
		Seed: 1, Prefix: uniqueID("load"),
	})
}

// stopLoad stops a load and records its results for checkInvariants.
func (c *cluster) stopLoad(l *caller.Load) []caller.Result {
	results := l.Stop()
	c.results = append(c.results, results...)
	c.t.Logf("load: %+v", caller.Count(results))
	for reason, window := range groupFailures(results) {
		c.t.Logf("%d not answered, from %v to %v: %s", window.count, window.first, window.last, reason)
	}
	return results
}

// dueWindow is the number of requests in a group and the range of their due
// times.
type dueWindow struct {
	count       int
	first, last time.Duration // since the first request of the load
}

// groupFailures groups the requests that were not answered by target and reason.
func groupFailures(results []caller.Result) map[string]dueWindow {
	windows := make(map[string]dueWindow)
	if len(results) == 0 {
		return windows
	}
	start := results[0].Due
	for _, r := range results {
		if r.Outcome == caller.Completed {
			continue
		}
		key := fmt.Sprintf("%s %s %d %.160s", r.Target, r.Outcome, r.Status, strings.ReplaceAll(r.Detail, r.ID, "ID"))
		window, due := windows[key], r.Due.Sub(start)
		if window.count == 0 {
			window.first = due
		}
		window.count++
		window.last = due
		windows[key] = window
	}
	return windows
}

// checkInvariants checks the guarantees to customers against the records of the
// simulated workers and endpoints.
func (c *cluster) checkInvariants() {
	records := workerstandin.AllRecords(c.workers...)
	c.Expect(workerstandin.Overlaps(records)).To(BeEmpty(), "tasks ran concurrently on two workers")
	c.Expect(workerstandin.Repeated(records)).To(BeEmpty(), "work was done more than once")
	for _, w := range c.workers {
		c.Expect(w.OverCapacity()).To(BeFalse(), "%s exceeded its capacity: peak %v", w.ID(), w.Peak())
	}
	for _, e := range c.endpoints {
		c.Expect(e.HighestConcurrency()).To(BeNumerically("<=", 8), "slots of %s", e.ID())
		c.Expect(e.HighestConnections()).To(BeNumerically("<=", 64), "connections of %s", e.ID())
	}
	c.Expect(caller.Violations(c.results, c.endpoints...)).To(BeEmpty())
}

// jobPhase returns the phase of a job.
func (c *cluster) jobPhase(id string) string {
	out, err := c.tryOperator("-o", "json", "job", "show", id)
	if err != nil {
		return err.Error()
	}
	var show struct {
		Job struct {
			Phase string `json:"phase"`
		} `json:"job"`
	}
	c.Expect(json.Unmarshal([]byte(out), &show)).To(Succeed())
	return show.Job.Phase
}
