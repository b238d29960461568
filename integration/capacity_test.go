package integration_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"apricotrouter/standin/endpoint"
	"apricotrouter/state"
)

// Ratios of the planned size, which the sizes below keep: 6,800 batch tasks and
// 1,600 endpoints on 740 workers.
const (
	tasksPerWorker     = 9
	endpointsPerWorker = 2

	settleTime = 10 * time.Second
	sampleTime = 20 * time.Second
)

// cost is what one daemon used during a sample.
type cost struct {
	cpuPercent float64 // of one core
	residentMB float64
	sentKB     float64 // per second, to other entry instances
}

// BenchmarkControlCost measures what a daemon spends on control with nothing
// but running tasks, at several numbers of workers. The slopes go into
// docs/CAPACITY.md.
func BenchmarkControlCost(b *testing.B) {
	for _, workers := range []int{24, 48, 96, 192} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			for range b.N {
				controlCost(b, workers)
			}
		})
	}
}

func controlCost(b *testing.B, workers int) {
	c := newCluster(b, 8)
	c.addWorkers(workers / len(zones))
	c.fillWorkers(workers)
	c.startEndpoints(workers * endpointsPerWorker)
	time.Sleep(settleTime)
	leader := c.leader()
	before := c.readAll()
	time.Sleep(sampleTime)
	after := c.readAll()
	var mean cost
	for i, p := range c.processes {
		one := difference(before[i], after[i])
		mean.cpuPercent += one.cpuPercent / float64(len(c.processes))
		mean.residentMB += one.residentMB / float64(len(c.processes))
		mean.sentKB += one.sentKB / float64(len(c.processes))
		if p == leader {
			b.ReportMetric(one.cpuPercent, "leader-cpu-%")
			b.ReportMetric(one.residentMB, "leader-MB")
			b.ReportMetric(one.sentKB, "leader-sent-KB/s")
			b.Logf("leader, bytes sent in %v by kind: %v", sampleTime, kinds(before[i], after[i]))
		}
	}
	b.ReportMetric(mean.cpuPercent, "cpu-%/daemon")
	b.ReportMetric(mean.residentMB, "MB/daemon")
	b.ReportMetric(mean.sentKB, "sent-KB/s/daemon")
	c.stop()
}

// fillWorkers places small batch tasks that run until the end.
func (c *cluster) fillWorkers(workers int) {
	tasks := workers * tasksPerWorker
	for i := 0; i*1000 < tasks; i++ {
		c.operatorFile(fmt.Sprintf("id: fill-%d\nclass: fill\npriority: normal\ntasks: %d\nexpected_seconds: 100000\n"+
			"resources: {milli_cpu: 500, memory_mib: 256, accelerators: 0}\n", i, min(1000, tasks-i*1000)), "job", "submit")
	}
	c.Eventually(func() int {
		n := 0
		for _, w := range c.workers {
			for _, r := range w.Records() {
				if r.Kind == state.KindBatch && r.Finish.IsZero() {
					n++
				}
			}
		}
		return n
	}, "120s", "500ms").Should(Equal(tasks))
}

func (c *cluster) startEndpoints(n int) {
	c.operatorFile("name: app\npath_prefix: /app\nreplicas: 0\nslots: 8\nconnection_limit: 64\n"+
		"resources: {milli_cpu: 1000, memory_mib: 512, accelerators: 0}\n", "service", "apply")
	for i := range n {
		e, err := endpoint.Start(endpoint.Options{
			ID: "ep" + strconv.Itoa(i+1), Service: "app", Zone: zones[i%len(zones)], Incarnation: 1,
			Entries: c.entries(c.processes), ServiceTime: serviceTime,
		})
		c.Expect(err).NotTo(HaveOccurred())
		c.endpoints = append(c.endpoints, e)
	}
}

// sample is the metrics of one daemon by name and labels.
type sample map[string]float64

func (c *cluster) readAll() []sample {
	var all []sample
	for _, p := range c.processes {
		s, err := readMetrics(p.Admin)
		c.Expect(err).NotTo(HaveOccurred())
		all = append(all, s)
	}
	return all
}

func readMetrics(admin string) (sample, error) {
	resp, err := http.Get("http://" + admin + "/metrics")
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	s := make(sample)
	lines := bufio.NewScanner(io.LimitReader(resp.Body, 4<<20))
	for lines.Scan() {
		line := lines.Text()
		at := strings.LastIndexByte(line, ' ')
		if strings.HasPrefix(line, "#") || at < 0 {
			continue
		}
		if v, err := strconv.ParseFloat(line[at+1:], 64); err == nil {
			s[line[:at]] = v
		}
	}
	return s, lines.Err()
}

const sentPrefix = `apricotrouter_transport_message_bytes_total{direction="sent",`

func difference(before, after sample) cost {
	seconds := sampleTime.Seconds()
	cpu := after["process_cpu_seconds_total"] - before["process_cpu_seconds_total"]
	sent := 0.0
	for _, bytes := range kinds(before, after) {
		sent += bytes
	}
	return cost{
		cpuPercent: 100 * cpu / seconds,
		residentMB: after["process_resident_memory_bytes"] / 1e6,
		sentKB:     sent / seconds / 1e3,
	}
}

// kinds returns the bytes sent by kind of message.
func kinds(before, after sample) map[string]float64 {
	out := make(map[string]float64)
	for name, v := range after {
		if rest, ok := strings.CutPrefix(name, sentPrefix); ok && v > before[name] {
			out[rest] = v - before[name]
		}
	}
	return out
}
