package fleet_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"apricotrouter/event"
	"apricotrouter/fleet"
	"apricotrouter/standin/pool"
	"apricotrouter/state"
)

// all returns the lines of an event.
func (b *logBuffer) all(e event.Event) []map[string]any {
	b.mu.Lock()
	defer b.mu.Unlock()
	var found []map[string]any
	for line := range bytes.Lines(b.lines.Bytes()) {
		var fields map[string]any
		if json.Unmarshal(line, &fields) == nil && fields["event"] == float64(e.Number) {
			found = append(found, fields)
		}
	}
	return found
}

func logTo(l *logBuffer) func(*fleet.Options) {
	return func(o *fleet.Options) { o.Logger = slog.New(slog.NewJSONHandler(l, nil)) }
}

// Guards against a log that grows with the calls of clients without a key, and
// against keys in the log.
func TestUnauthorizedCallsAreLoggedAtABoundedRate(t *testing.T) {
	var log logBuffer
	h := newHarness(t, logTo(&log))
	h.setConfig(tenantConfig(2, "a"))
	begin := time.Now()
	for range 300 {
		h.Expect(h.callAs("secret", fleet.OpSubmit, "/jobs/00000000000000a1")).To(Equal(fleet.OutcomeUnauthorized))
	}
	lines := log.all(event.CallUnauthorized)
	h.Expect(lines).NotTo(BeEmpty())
	h.Expect(len(lines)).To(BeNumerically("<=", 1+int(time.Since(begin)/time.Second)))
	h.Expect(lines[0]).To(HaveKeyWithValue("key", true))
	h.Expect(log.lines.String()).NotTo(SatisfyAny(ContainSubstring("secret"), ContainSubstring(fmt.Sprintf("%x", keyHash("secret")))))
}

// Guards against a tenant that waits for its quota without an event, and against
// an event for each pass.
func TestTenantThatWaitsForItsQuotaIsLogged(t *testing.T) {
	var log logBuffer
	h := newHarness(t, logTo(&log))
	h.addWorker("w", pool.Options{RunTime: runForever})
	h.setConfig(withCaps(2, map[string]state.Resources{"a": milliCPU(1000), "b": {}}))
	h.submitFor("b", workB, step(1))
	h.submitFor("a", workA, step(3))
	quota := func() []map[string]any { return log.all(event.TenantHeldBack) }
	h.Eventually(quota, waitTimeout, "20ms").ShouldNot(BeEmpty())
	h.Expect(quota()[0]).To(SatisfyAll(
		HaveKeyWithValue("tenant", "a"), HaveKeyWithValue("tasks", 2.0), HaveKeyWithValue("milli_cpu", 1000.0), HaveKeyWithValue("cap_milli_cpu", 1000.0),
	))
	h.Consistently(quota, "1500ms", "50ms").Should(HaveLen(1))
	h.Expect(log.all(event.PoolCapacity)).To(BeEmpty(), "tasks that a cap holds back don't wait for capacity")
}

// Guards against metrics whose number grows with the tenants.
func TestMetricsOfTenantsAreBounded(t *testing.T) {
	registry := prometheus.NewRegistry()
	h := newHarness(t, func(o *fleet.Options) { o.Registerer = registry })
	h.addWorker("w", pool.Options{RunTime: runForever})
	names := make([]string, 120)
	for i := range names {
		names[i] = fmt.Sprintf("t%03d", i)
	}
	cfg := tenantConfig(2, names...)
	for i := range cfg.Tenants {
		cfg.Tenants[i].Weight = float64(1 + i)
	}
	h.setConfig(cfg)
	for i, n := range names {
		h.submitFor(n, fmt.Sprintf("%016x", i), step(1, func(s *state.WorkflowStep) { s.Size = state.Resources{MilliCPU: 10} }))
	}
	series := func() map[string]float64 {
		families, err := registry.Gather()
		h.Expect(err).NotTo(HaveOccurred())
		all := make(map[string]float64)
		for _, f := range families {
			if f.GetName() != "apricotrouter_fleet_tenant_processors" {
				continue
			}
			for _, m := range f.GetMetric() {
				labels := m.GetLabel()
				if labels[1].GetValue() == "used" {
					all[labels[0].GetValue()] = m.GetGauge().GetValue()
				}
			}
		}
		return all
	}
	h.Eventually(func() float64 { return series()["other tenants"] }, waitTimeout, "20ms").Should(BeNumerically("~", 0.7, 1e-9))
	h.Expect(series()).To(HaveLen(51))
	h.Expect(series()).To(HaveKeyWithValue("t119", 0.01))
}
