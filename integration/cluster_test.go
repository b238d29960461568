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

// Sizes of stand-ins.
var (
	workerSize = state.Resources{MilliCPU: 8000, MemoryMiB: 16 << 10}
	zones      = []string{"z1", "z2", "z3"}
)

const (
	endpointsPerZone = 2
	serviceTime      = 5 * time.Millisecond
	path             = "/app/x"
)

// cluster is a control group of processes with stand-ins.
type cluster struct {
	Gomega
	t         testing.TB
	dir       string
	network   *integration.Network
	processes []*process
	workers   []*workerstandin.Worker
	workerIn  map[*workerstandin.Worker]string // availability zone
	endpoints []*endpoint.Endpoint
	results   []caller.Result
}

// newCluster starts disks instances with data folders, of which the first
// three vote, forms the group, and waits until all are ready.
func newCluster(t testing.TB, disks int) *cluster {
	c := &cluster{
		Gomega: NewWithT(t), t: t, dir: t.TempDir(),
		network: integration.NewNetwork(), workerIn: make(map[*workerstandin.Worker]string),
	}
	t.Cleanup(c.stop)
	c.makeProcesses(disks)
	for _, p := range c.processes {
		c.Expect(p.start()).To(Succeed())
	}
	c.operator("init")
	for _, p := range c.processes {
		c.Expect(p.await("/readyz", 20*time.Second)).To(Succeed())
	}
	return c
}

func (c *cluster) makeProcesses(disks int) {
	ports, err := integration.FreeAddresses(4 * disks)
	c.Expect(err).NotTo(HaveOccurred())
	var members []integration.Member
	for i := range disks {
		id := fmt.Sprintf("e%d", i+1)
		members = append(members, integration.Member{
			ID: id, Zone: zones[i%len(zones)], Voter: i < 3, Disk: filepath.Join(c.dir, id),
			Entry: ports[4*i], Operator: ports[4*i+1], Peer: ports[4*i+2], Admin: ports[4*i+3],
		})
	}
	for _, m := range members {
		settings := integration.Settings(m, members, func(to string) string { return c.link(m.ID, to, members) })
		p := &process{Member: m, settings: filepath.Join(c.dir, m.ID+".yaml"), log: filepath.Join(c.dir, m.ID+".log")}
		c.Expect(os.WriteFile(p.settings, []byte(settings), 0o600)).To(Succeed())
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
		c.describe()
	}
	for _, p := range c.processes {
		if p.ended != nil {
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

// describe logs how each instance sees the group, and the end of its output.
func (c *cluster) describe() {
	for _, p := range c.processes {
		if p.ended == nil {
			continue
		}
		s, err := c.status(p)
		c.t.Logf("%s: running %t, status %+v, %v, end of its output:\n%s", p.ID, p.running(), s, err, p.tail())
	}
}

// operator runs a command of the operators' command line, which must succeed,
// and returns what it printed.
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

// groupStatus is what the tests read of the status of an instance.
type groupStatus struct {
	Leader       string `json:"leader"`
	AppliedIndex uint64 `json:"applied_index"`
	Fresh        bool   `json:"fresh"`
	Instances    []struct {
		ID   string `json:"id"`
		Role string `json:"role"`
	} `json:"instances"`
}

// status returns the status as p sees it.
func (c *cluster) status(p *process) (groupStatus, error) {
	var s groupStatus
	out, err := runCLI([]string{"--server", p.Operator, "--timeout", "1s", "-o", "json", "status"})
	if err != nil {
		return s, err
	}
	return s, json.Unmarshal([]byte(out), &s)
}

// leader returns the process that leads, once one does.
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

func (c *cluster) others(not *process) []*process {
	var all []*process
	for _, p := range c.processes {
		if p != not && p.running() {
			all = append(all, p)
		}
	}
	return all
}

// addWorkers registers n stand-in workers in each availability zone, each
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
		c.workerIn[w] = zone
	}
}

// runTime lets replicas run until they are stopped. Batch tasks run as long as
// declared in tenths of a second, which keeps the tests short.
func runTime(r worker.StartRequest) time.Duration {
	if r.Kind == state.KindLatencyCritical {
		return 0
	}
	return time.Duration(r.ExpectedSeconds) * time.Second / 10
}

// submit submits a batch job whose tasks take two cores each.
func (c *cluster) submit(id string, tasks, tenths int) {
	c.operatorFile(fmt.Sprintf("id: %s\nclass: batch\npriority: normal\ntasks: %d\nexpected_seconds: %d\n"+
		"resources: {milli_cpu: 2000, memory_mib: 1024, accelerators: 0}\n", id, tasks, tenths), "job", "submit")
}

func (c *cluster) operatorFile(spec string, args ...string) {
	f, err := os.CreateTemp(c.dir, "spec-*.yaml")
	c.Expect(err).NotTo(HaveOccurred())
	_, err = f.WriteString(spec)
	c.Expect(err).NotTo(HaveOccurred())
	c.Expect(f.Close()).To(Succeed())
	c.operator(append(args, "-f", f.Name())...)
}

// addEndpoints creates the service and starts endpoints in each availability
// zone, and waits until each instance answers requests.
func (c *cluster) addEndpoints() {
	c.operatorFile("name: app\npath_prefix: /app\nreplicas: 0\nslots: 8\nconnection_limit: 64\n"+
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

func (c *cluster) entries(of []*process) []string {
	var all []string
	for _, p := range of {
		all = append(all, p.Entry)
	}
	return all
}

var requestIDs struct {
	sync.Mutex
	n int
}

// uniqueID returns an id that no other request has.
func uniqueID(prefix string) string {
	requestIDs.Lock()
	defer requestIDs.Unlock()
	requestIDs.n++
	return fmt.Sprintf("%s-%d-", prefix, requestIDs.n)
}

// awaitServing waits until each process answers a request.
func (c *cluster) awaitServing(of []*process, timeout time.Duration) {
	client := caller.NewClient()
	defer client.CloseIdleConnections()
	for _, p := range of {
		c.Eventually(func() caller.Outcome {
			r := caller.Send(client, p.Entry, path, uniqueID("probe"), true, time.Second)
			c.results = append(c.results, r)
			return r.Outcome
		}, timeout, "20ms").Should(Equal(caller.Completed), "request through %s", p.ID)
	}
}

// load starts a load through the processes. Half of it is not idempotent.
func (c *cluster) load(of []*process, rate float64) *caller.Load {
	return caller.Start(caller.Options{
		Targets: c.entries(of), Path: path, Rate: rate, NonIdempotent: 0.5, Timeout: 3 * time.Second,
		Seed: 1, Prefix: uniqueID("load"),
	})
}

// end stops a load and keeps its results for check.
func (c *cluster) end(l *caller.Load) []caller.Result {
	results := l.Stop()
	c.results = append(c.results, results...)
	c.t.Logf("load: %+v", caller.Count(results))
	for reason, at := range unanswered(results) {
		c.t.Logf("%d not answered, from %v to %v: %s", at.count, at.first, at.last, reason)
	}
	return results
}

// span is when requests of a load were due.
type span struct {
	count       int
	first, last time.Duration // since the first request of the load
}

// unanswered groups the requests without an answer by target and reason.
func unanswered(results []caller.Result) map[string]span {
	spans := make(map[string]span)
	if len(results) == 0 {
		return spans
	}
	begin := results[0].Due
	for _, r := range results {
		if r.Outcome == caller.Completed {
			continue
		}
		key := fmt.Sprintf("%s %s %d %.160s", r.Target, r.Outcome, r.Status, strings.ReplaceAll(r.Detail, r.ID, "ID"))
		at, due := spans[key], r.Due.Sub(begin)
		if at.count == 0 {
			at.first = due
		}
		at.count++
		at.last = due
		spans[key] = at
	}
	return spans
}

// check asserts what must always hold, from the records of the stand-ins.
func (c *cluster) check() {
	records := workerstandin.AllRecords(c.workers...)
	c.Expect(workerstandin.Overlaps(records)).To(BeEmpty(), "tasks ran in two places at once")
	c.Expect(workerstandin.Repeated(records)).To(BeEmpty(), "work was done more than once")
	for _, w := range c.workers {
		c.Expect(w.OverCapacity()).To(BeFalse(), "%s held %v", w.ID(), w.Peak())
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
