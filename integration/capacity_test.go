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

// Ratios of the planned deployment (6,800 batch tasks and 1,600 endpoints on
// 740 workers). The smaller clusters of the benchmark use the same ratios.
const (
	tasksPerWorker     = 9
	endpointsPerWorker = 2

	settleTime = 10 * time.Second
	sampleTime = 20 * time.Second
)

// resourceUsage is the resource usage of one daemon over sampleTime.
type resourceUsage struct {
	cpuPercent float64 // of one core
	residentMB float64
	sentKB     float64 // KB/s to other entry instances
}

// BenchmarkControlCost measures the CPU, memory and network cost of control per
// daemon for several cluster sizes, with running tasks and no other load. The
// cost per additional worker is recorded in docs/CAPACITY.md.
func BenchmarkControlCost(b *testing.B) {
	for _, workers := range []int{24, 48, 96, 192} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			for range b.N {
				measureControlCost(b, workers)
			}
		})
	}
}

func measureControlCost(b *testing.B, workers int) {
	c := newCluster(b, 8)
	c.addWorkers(workers / len(zones))
	c.fillWorkers(workers)
	c.startEndpoints(workers * endpointsPerWorker)
	time.Sleep(settleTime)
	leader := c.leader()
	before := c.readAllMetrics()
	time.Sleep(sampleTime)
	after := c.readAllMetrics()
	var mean resourceUsage
	for i, p := range c.processes {
		usage := usageBetween(before[i], after[i])
		mean.cpuPercent += usage.cpuPercent / float64(len(c.processes))
		mean.residentMB += usage.residentMB / float64(len(c.processes))
		mean.sentKB += usage.sentKB / float64(len(c.processes))
		if p == leader {
			b.ReportMetric(usage.cpuPercent, "leader-cpu-%")
			b.ReportMetric(usage.residentMB, "leader-MB")
			b.ReportMetric(usage.sentKB, "leader-sent-KB/s")
			b.Logf("leader, bytes sent in %v by kind: %v", sampleTime, sentBytesByKind(before[i], after[i]))
		}
	}
	b.ReportMetric(mean.cpuPercent, "cpu-%/daemon")
	b.ReportMetric(mean.residentMB, "MB/daemon")
	b.ReportMetric(mean.sentKB, "sent-KB/s/daemon")
	c.stop()
}

// fillWorkers submits small batch tasks that run until the cluster stops, and
// waits until all of them run.
func (c *cluster) fillWorkers(workers int) {
	tasks := workers * tasksPerWorker
	for i := 0; i*1000 < tasks; i++ {
		c.operatorWithSpec(fmt.Sprintf("id: fill-%d\nclass: fill\npriority: normal\ntasks: %d\nexpected_seconds: 100000\n"+
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
	c.operatorWithSpec("name: app\npath_prefix: /app\nreplicas: 0\nslots: 8\nconnection_limit: 64\n"+
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

// metricValues maps metric names with labels to values, for one daemon.
type metricValues map[string]float64

func (c *cluster) readAllMetrics() []metricValues {
	var all []metricValues
	for _, p := range c.processes {
		s, err := readMetrics(p.Admin)
		c.Expect(err).NotTo(HaveOccurred())
		all = append(all, s)
	}
	return all
}

func readMetrics(admin string) (metricValues, error) {
	resp, err := http.Get("http://" + admin + "/metrics")
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	s := make(metricValues)
	lines := bufio.NewScanner(io.LimitReader(resp.Body, 4<<20))
	for lines.Scan() {
		line := lines.Text()
		space := strings.LastIndexByte(line, ' ')
		if strings.HasPrefix(line, "#") || space < 0 {
			continue
		}
		if v, err := strconv.ParseFloat(line[space+1:], 64); err == nil {
			s[line[:space]] = v
		}
	}
	return s, lines.Err()
}

const sentBytesPrefix = `apricotrouter_transport_message_bytes_total{direction="sent",`

func usageBetween(before, after metricValues) resourceUsage {
	seconds := sampleTime.Seconds()
	cpu := after["process_cpu_seconds_total"] - before["process_cpu_seconds_total"]
	sent := 0.0
	for _, bytes := range sentBytesByKind(before, after) {
		sent += bytes
	}
	return resourceUsage{
		cpuPercent: 100 * cpu / seconds,
		residentMB: after["process_resident_memory_bytes"] / 1e6,
		sentKB:     sent / seconds / 1e3,
	}
}

// sentBytesByKind returns the bytes sent between two scrapes, by message kind.
func sentBytesByKind(before, after metricValues) map[string]float64 {
	bytesByKind := make(map[string]float64)
	for name, v := range after {
		if labels, ok := strings.CutPrefix(name, sentBytesPrefix); ok && v > before[name] {
			bytesByKind[labels] = v - before[name]
		}
	}
	return bytesByKind
}
