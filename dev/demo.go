package dev

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"apricotrouter/cli"
	workerstandin "apricotrouter/standin/worker"
	"apricotrouter/state"
)

const (
	// stepTimeout is the time within which the effect of a step must be visible.
	stepTimeout = 30 * time.Second
	// drainBound is the time after a drain from which no task may start in the
	// availability zone.
	drainBound = 5 * time.Second

	demoRequests = 300
	demoZone     = "zone-b"
)

const serviceSpec = `name: receipts
path_prefix: /receipts
replicas: 6
resources: {milli_cpu: 1000, memory_mib: 1024, accelerators: 0}
slots: 8
connection_limit: 64
`

const jobSpec = `id: yearly-run
class: receipt-batch
priority: normal
tasks: 6
resources: {milli_cpu: 2000, memory_mib: 2048, accelerators: 0}
expected_seconds: 6
`

// demo runs requests and operator commands against a cluster and checks the
// effect of each step.
type demo struct {
	cluster *Cluster
	out     io.Writer
	client  *http.Client
}

func newDemo(c *Cluster, out io.Writer) *demo {
	return &demo{cluster: c, out: out, client: &http.Client{Timeout: 10 * time.Second}}
}

// run runs all steps. The error contains the name of the failed step.
func (d *demo) run() error {
	for _, step := range []struct {
		name string
		do   func() error
	}{
		{"form the control group", d.formGroup},
		{"register workers", d.registerWorkers},
		{"create a service", d.createService},
		{"serve requests", d.serveRequests},
		{"submit a batch job", d.submitJob},
		{"evict a task, which resumes", d.evictTask},
		{"take an availability zone out", d.drainZone},
		{"bring the availability zone back", d.returnZone},
		{"complete the job", d.completeJob},
		{"check the workers' records", d.checkRecords},
		{"show the audit trail", d.showAudit},
	} {
		fmt.Fprintf(d.out, "== %s\n", step.name)
		if err := step.do(); err != nil {
			return fmt.Errorf("step %q failed: %w", step.name, err)
		}
	}
	fmt.Fprintln(d.out, "\nall steps passed")
	return nil
}

// operator runs an operator command and returns its output.
func (d *demo) operator(args ...string) (string, error) {
	var out, errOut bytes.Buffer
	all := []string{"--actor", "dev"}
	for _, s := range d.cluster.Operators() {
		all = append(all, "--server", s)
	}
	if code := cli.Run(cli.NewRoot(), append(all, args...), &out, &errOut); code != cli.ExitOK {
		return "", fmt.Errorf("apricotrouter %s: exit code %d: %s", strings.Join(args, " "), code, strings.TrimSpace(errOut.String()))
	}
	return out.String(), nil
}

// operatorWithSpec runs an operator command with a specification file.
func (d *demo) operatorWithSpec(spec string, args ...string) error {
	path := filepath.Join(d.cluster.opts.Dir, "spec.yaml")
	if err := os.WriteFile(path, []byte(spec), 0o600); err != nil {
		return err
	}
	_, err := d.operator(append(args, "-f", path)...)
	return err
}

func (d *demo) controlState() *state.State { return d.cluster.daemons[0].State() }

// await waits until check returns nil, at most stepTimeout.
func await(check func() error) error {
	deadline := time.Now().Add(stepTimeout)
	for {
		err := check()
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("condition not met within %v: %w", stepTimeout, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (d *demo) formGroup() error {
	out, err := d.operator("init")
	if err != nil {
		return err
	}
	fmt.Fprint(d.out, out)
	return await(func() error {
		for i, instance := range d.cluster.daemons {
			if !instance.Ready() {
				return fmt.Errorf("entry-%d is not ready", i+1)
			}
		}
		return nil
	})
}

func (d *demo) registerWorkers() error {
	for i, w := range d.cluster.workers {
		_, err := d.operator("worker", "register", w.ID(),
			"--zone", zoneName(i/workersPerZone), "--rack", "rack-"+strconv.Itoa(i/workersPerZone+1),
			"--address", d.cluster.workerAddresses[i],
			"--milli-cpu", strconv.FormatInt(WorkerCapacity.MilliCPU, 10),
			"--memory-mib", strconv.FormatInt(WorkerCapacity.MemoryMiB, 10),
			"--accelerators", strconv.FormatInt(WorkerCapacity.Accelerators, 10))
		if err != nil {
			return err
		}
	}
	fmt.Fprintf(d.out, "%d workers in %d availability zones\n", len(d.cluster.workers), zoneCount)
	return nil
}

func (d *demo) createService() error {
	if err := d.operatorWithSpec(serviceSpec, "service", "apply"); err != nil {
		return err
	}
	err := await(func() error {
		if n := d.controlState().Endpoints.Len(); n < 6 {
			return fmt.Errorf("%d of 6 endpoints announced themselves", n)
		}
		return d.allEntriesServe()
	})
	if err != nil {
		return err
	}
	out, err := d.operator("endpoint", "list")
	fmt.Fprint(d.out, out)
	return err
}

// allEntriesServe sends one request through each entry instance.
func (d *demo) allEntriesServe() error {
	for _, entry := range d.cluster.Entries() {
		if _, err := d.request(entry); err != nil {
			return err
		}
	}
	return nil
}

// request sends one request and returns the time until its response was read.
func (d *demo) request(entry string) (time.Duration, error) {
	start := time.Now()
	resp, err := d.client.Get("http://" + entry + "/receipts/1")
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err
	}
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("%s responded %s: %s", entry, resp.Status, bytes.TrimSpace(body))
	}
	return time.Since(start), nil
}

func (d *demo) serveRequests() error {
	h := hdrhistogram.New(1, int64(10*time.Second/time.Microsecond), 3)
	entries := d.cluster.Entries()
	for i := range demoRequests {
		took, err := d.request(entries[i%len(entries)])
		if err != nil {
			return err
		}
		_ = h.RecordValue(took.Microseconds())
	}
	fmt.Fprintf(d.out, "%d requests through %d entry instances: p50 %.2f ms, p99 %.2f ms (%v of it at the endpoint)\n",
		demoRequests, len(entries), milliseconds(h.ValueAtQuantile(50)), milliseconds(h.ValueAtQuantile(99)), d.cluster.opts.ServiceTime)
	return nil
}

func milliseconds(microseconds int64) float64 { return float64(microseconds) / 1000 }

func (d *demo) submitJob() error {
	if err := d.operatorWithSpec(jobSpec, "job", "submit"); err != nil {
		return err
	}
	return await(func() error {
		if n := d.countTasks(state.PhaseRunning); n < 6 {
			return fmt.Errorf("%d of 6 batch tasks run", n)
		}
		return nil
	})
}

// countTasks counts the job's tasks in a phase.
func (d *demo) countTasks(phase state.TaskPhase) int {
	n := 0
	for t := range d.controlState().TasksOf(state.KindBatch, "yearly-run") {
		if t.Phase == phase {
			n++
		}
	}
	return n
}

func (d *demo) evictTask() error {
	var task *state.Task
	for t := range d.controlState().TasksOf(state.KindBatch, "yearly-run") {
		if t.Phase == state.PhaseRunning {
			task = t
			break
		}
	}
	if task == nil {
		return errors.New("no batch task is running")
	}
	// The task needs some progress to checkpoint.
	time.Sleep(time.Second)
	if _, err := d.operator("task", "evict", task.ID); err != nil {
		return err
	}
	return await(func() error {
		current, _ := d.controlState().Tasks.Get(task.ID)
		if current.Incarnation <= task.Incarnation || current.Phase != state.PhaseRunning {
			return fmt.Errorf("task %s is %s in incarnation %d", current.ID, current.Phase, current.Incarnation)
		}
		fmt.Fprintf(d.out, "%s: incarnation %d on %s, then %d on %s from checkpoint %s\n",
			task.ID, task.Incarnation, task.Worker, current.Incarnation, current.Worker, current.Checkpoint)
		return nil
	})
}

func (d *demo) drainZone() error {
	out, err := d.operator("zone", "out", demoZone)
	if err != nil {
		return err
	}
	accepted := time.Now()
	fmt.Fprint(d.out, out)
	err = await(func() error {
		for i, w := range d.cluster.workers {
			if zoneName(i/workersPerZone) != demoZone {
				continue
			}
			if n := countRunning(w.Records()); n > 0 {
				return fmt.Errorf("%d tasks still run on %s", n, w.ID())
			}
		}
		return d.allEntriesServe()
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(d.out, "%s is empty after %.1f s; requests are served\n", demoZone, time.Since(accepted).Seconds())
	return d.checkNoLateStart(accepted)
}

func countRunning(records []workerstandin.Record) int {
	n := 0
	for _, r := range records {
		if r.Finish.IsZero() {
			n++
		}
	}
	return n
}

// checkNoLateStart checks that no task started in the drained zone more than
// drainBound after the drain was accepted.
func (d *demo) checkNoLateStart(accepted time.Time) error {
	for i, w := range d.cluster.workers {
		if zoneName(i/workersPerZone) != demoZone {
			continue
		}
		for _, r := range w.Records() {
			if r.Start.After(accepted.Add(drainBound)) {
				return fmt.Errorf("%s started on %s %v after the zone was drained", r.Task, w.ID(), r.Start.Sub(accepted))
			}
		}
	}
	return nil
}

func (d *demo) returnZone() error {
	out, err := d.operator("zone", "in", demoZone)
	if err != nil {
		return err
	}
	fmt.Fprint(d.out, out)
	return d.allEntriesServe()
}

func (d *demo) completeJob() error {
	err := await(func() error {
		if j, _ := d.controlState().Jobs.Get("yearly-run"); j.Phase != state.JobCompleted {
			return fmt.Errorf("job is %s with %d of 6 tasks completed", j.Phase, j.Completed)
		}
		return nil
	})
	if err != nil {
		return err
	}
	out, err := d.operator("job", "list")
	fmt.Fprint(d.out, out)
	return err
}

// checkRecords checks the guarantees against the records of the simulated
// workers.
func (d *demo) checkRecords() error {
	records := workerstandin.AllRecords(d.cluster.workers...)
	if overlaps := workerstandin.Overlaps(records); len(overlaps) > 0 {
		return fmt.Errorf("tasks ran concurrently on two workers: %s", strings.Join(overlaps, "; "))
	}
	if repeated := workerstandin.Repeated(records); len(repeated) > 0 {
		return fmt.Errorf("work was done more than once: %s", strings.Join(repeated, "; "))
	}
	for _, w := range d.cluster.workers {
		if peak := w.Peak(); !peak.FitsIn(WorkerCapacity) {
			return fmt.Errorf("%s ran tasks of %v at once, more than its capacity", w.ID(), peak)
		}
	}
	fmt.Fprintf(d.out, "%d task runs: none in two places, none repeated, no worker over its capacity\n", len(records))
	return nil
}

// auditOutput has the fields of the audit command's output that the demonstration
// reads.
type auditOutput struct {
	Records []struct {
		Object string `json:"object"`
	} `json:"records"`
}

func (d *demo) showAudit() error {
	table, err := d.operator("audit")
	if err != nil {
		return err
	}
	fmt.Fprint(d.out, table)
	out, err := d.operator("audit", "--output", "json", "--object", "zone/"+demoZone)
	if err != nil {
		return err
	}
	var audit auditOutput
	if err := json.Unmarshal([]byte(out), &audit); err != nil {
		return err
	}
	if n := len(audit.Records); n != 2 {
		return fmt.Errorf("audit trail has %d changes of %s, want 2", n, demoZone)
	}
	return nil
}
