package queuecheck_test

import (
	"crypto/sha256"
	"testing"

	. "github.com/onsi/gomega"

	"apricotrouter/config"
	"apricotrouter/queuecheck"
	"apricotrouter/state"
)

func hash(key string) []byte {
	h := sha256.Sum256([]byte(key))
	return h[:]
}

func newConfig(mod func(c *state.QueueConfig)) *state.QueueConfig {
	c := &state.QueueConfig{
		Version: 7,
		Queues: []state.WorkflowQueue{
			{Name: "receipts", Host: "a.example", PathPrefix: "/receipts/", Pool: "workers", MaxAttempts: 3, MaxSlowdown: 1.5, TimeoutMillis: 3000},
			{Name: "statements", Host: "a.example", PathPrefix: "/statements/", Pool: "workers", MaxAttempts: 3, ObjectiveMillis: 100, MaxSlowdown: 2, TimeoutMillis: 3000},
		},
		Pools: []state.Pool{{Name: "workers"}},
	}
	mod(c)
	return c
}

var promises = queuecheck.Promises{HeaderBytes: 16 << 10, BodyBytes: 256 << 10, HeaderTimeoutMillis: 3000, IdleTimeoutMillis: 15_000}

// Guards against a check that is silent about what instances refuse or never
// match, and against one that complains about a sound configuration.
func TestCheck(t *testing.T) {
	for _, c := range []struct {
		name     string
		mod      func(c *state.QueueConfig)
		severity queuecheck.Severity
		entry    string
		text     string
	}{
		{"sound", func(*state.QueueConfig) {}, "", "", ""},
		{"unknown pool", func(c *state.QueueConfig) { c.Queues[0].Pool = "x" }, queuecheck.Error, "configuration", "unknown pool"},
		{"no timeout", func(c *state.QueueConfig) { c.Queues[1].TimeoutMillis = 0 }, queuecheck.Error, "configuration", "no timeout"},
		{"shared key", func(c *state.QueueConfig) {
			c.Tenants = []state.Tenant{{Name: "a", Weight: 1, Keys: [][]byte{hash("k")}}, {Name: "b", Weight: 1, Keys: [][]byte{hash("k")}}}
		}, queuecheck.Error, "configuration", "share a key"},
		{"host with port", func(c *state.QueueConfig) { c.Queues[0].Host = "a.example:80" }, queuecheck.NeverMatches, "queue receipts", "port"},
		{"host with path", func(c *state.QueueConfig) { c.Queues[0].Host = "a.example/x" }, queuecheck.NeverMatches, "queue receipts", "name of a host"},
		{"prefix without slash", func(c *state.QueueConfig) { c.Queues[0].PathPrefix = "receipts/" }, queuecheck.NeverMatches, "queue receipts", "slash"},
		{"prefix with query", func(c *state.QueueConfig) { c.Queues[0].PathPrefix = "/receipts?x=" }, queuecheck.NeverMatches, "queue receipts", "query"},
		{"prefix with escape", func(c *state.QueueConfig) { c.Queues[0].PathPrefix = "/a%20b/" }, queuecheck.NeverMatches, "queue receipts", "unescaped"},
		{"host in another case", func(c *state.QueueConfig) {
			c.Queues[1].Host, c.Queues[1].PathPrefix = "A.example", "/receipts/"
		}, queuecheck.NeverMatches, "queue statements", "case"},
		{"prefix takes ids", func(c *state.QueueConfig) { c.Queues[1].PathPrefix = "/receipts/0f" }, queuecheck.NeverMatches, "queue receipts", "begins with 0f go to queue statements"},
		{"prefix that is no id", func(c *state.QueueConfig) { c.Queues[1].PathPrefix = "/receipts/yearly/" }, "", "", ""},
		{"unused pool", func(c *state.QueueConfig) { c.Pools = append(c.Pools, state.Pool{Name: "spare"}) }, queuecheck.NeverMatches, "pool spare", "no queue"},
		{"anonymous calls without tenants", func(c *state.QueueConfig) { c.Queues[0].Anonymous = true }, queuecheck.NeverMatches, "queue receipts", "no tenants"},
		{"tenant without key", func(c *state.QueueConfig) { c.Tenants = []state.Tenant{{Name: "a", Weight: 1}} }, queuecheck.NeverMatches, "tenant a", "no key"},
		{"no objective", func(c *state.QueueConfig) { c.Queues[0].MaxSlowdown = 0.5 }, queuecheck.Contradiction, "queue receipts", "every workflow"},
		{"objective of short workflows", func(c *state.QueueConfig) { c.Queues[1].MaxSlowdown = 0.5 }, queuecheck.Contradiction, "queue statements", "over 200 ms"},
		{"attempts without end", func(c *state.QueueConfig) { c.Queues[0].MaxAttempts = 0 }, queuecheck.Contradiction, "queue receipts", "without end"},
		{"long timeout", func(c *state.QueueConfig) { c.Queues[0].TimeoutMillis = 90_000 }, queuecheck.Contradiction, "queue receipts", "60000 ms"},
		{"short tickets", func(c *state.QueueConfig) {
			c.Queues[0].Policy = &state.QueuePolicy{DecisionMillis: 50, PerWorkerMillis: 1, TicketTTLMillis: 51}
		}, queuecheck.Contradiction, "queue receipts", "valid for 51 ms"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			found := queuecheck.Check(newConfig(c.mod), promises, config.DefaultNodeLimits())
			if c.severity == "" {
				g.Expect(found).To(BeEmpty())
				return
			}
			g.Expect(found).To(HaveLen(1))
			g.Expect(found[0].Severity).To(Equal(c.severity))
			g.Expect(found[0].Entry).To(Equal(c.entry))
			g.Expect(found[0].Text).To(ContainSubstring(c.text))
		})
	}
}

// Guards against a check that names only the first of several errors.
func TestCheckNamesAllErrors(t *testing.T) {
	found := queuecheck.Check(newConfig(func(c *state.QueueConfig) {
		c.Queues[0].TimeoutMillis, c.Queues[1].Pool = 0, "x"
	}), promises, config.DefaultNodeLimits())
	NewWithT(t).Expect(found).To(ContainElements(HaveField("Text", ContainSubstring("timeout")), HaveField("Text", ContainSubstring("pool"))))
}

// Guards against promises to clients that instances don't keep.
func TestPromisesAboveTheLimitsOfInstances(t *testing.T) {
	g := NewWithT(t)
	p := queuecheck.Promises{HeaderBytes: 64 << 10, BodyBytes: 2 << 20, HeaderTimeoutMillis: 9000, IdleTimeoutMillis: 90_000}
	found := queuecheck.Check(newConfig(func(*state.QueueConfig) {}), p, config.DefaultNodeLimits())
	g.Expect(found).To(HaveLen(4))
	g.Expect(found[1].Text).To(Equal("bodies of 2097152 bytes are promised, and instances apply 1048576 (limits.body_kib)"))
}

// Guards against a comparison that misses a change, or that shows keys.
func TestDiff(t *testing.T) {
	g := NewWithT(t)
	inForce := newConfig(func(c *state.QueueConfig) {
		c.Tenants = []state.Tenant{{Name: "a", Weight: 1, Keys: [][]byte{hash("old"), hash("both")}}, {Name: "gone", Weight: 1}}
	})
	g.Expect(queuecheck.Diff(inForce, newConfig(func(c *state.QueueConfig) { c.Version, c.Tenants = 8, inForce.Tenants }))).To(BeEmpty())
	g.Expect(queuecheck.Diff(inForce, newConfig(func(c *state.QueueConfig) {
		c.Queues = c.Queues[1:]
		c.Queues[0].TimeoutMillis, c.Queues[0].Policy = 4000, &state.QueuePolicy{TicketTTLMillis: 9}
		c.Pools = append(c.Pools, state.Pool{Name: "spare"})
		c.Tenants = []state.Tenant{{Name: "a", Weight: 2, Keys: [][]byte{hash("both"), hash("new"), hash("newer")}, Cap: state.Resources{MilliCPU: 5}}}
	}))).To(Equal([]string{
		"version 7 is not higher than 7 in force: it would be acknowledged and change nothing",
		"queue receipts is removed",
		"queue statements: timeout in ms 3000 -> 4000",
		"queue statements: policy service false -> true",
		"queue statements: validity of tickets in ms 0 -> 9",
		"pool spare is added",
		"tenant a: 1 of its keys are refused from then on",
		"tenant a: 2 keys are added",
		"tenant a: weight 1 -> 2",
		"tenant a: cap " + state.Resources{}.String() + " -> " + state.Resources{MilliCPU: 5}.String(),
		"tenant gone is removed",
	}))
}

// Guards against changed limits of clients that are not shown.
func TestDiffPromises(t *testing.T) {
	g := NewWithT(t)
	g.Expect(queuecheck.DiffPromises(promises, promises)).To(BeEmpty())
	other := promises
	other.BodyBytes, other.IdleTimeoutMillis = 1, 2
	g.Expect(queuecheck.DiffPromises(promises, other)).To(Equal([]string{
		"limits: body in bytes 262144 -> 1", "limits: time between requests in ms 15000 -> 2",
	}))
}
