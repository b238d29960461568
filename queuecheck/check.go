// Package queuecheck examines a configuration of queues before an operator sends
// it: errors for which instances would refuse it, entries that can never match,
// limits that contradict each other, and what differs from the configuration in
// force. It uses no input or output.
package queuecheck

import (
	"fmt"
	"net"
	"strings"

	"apricotrouter/config"
	"apricotrouter/fleet"
	"apricotrouter/state"
)

// Severity says what a finding means for the configuration.
type Severity string

// Severities.
const (
	Error         Severity = "error"         // instances refuse the configuration
	NeverMatches  Severity = "never-matches" // the entry has no effect, or not the one that its fields suggest
	Contradiction Severity = "contradiction" // limits of which not all can be kept
)

// Finding is one thing that is wrong with a configuration.
type Finding struct {
	Severity Severity
	Entry    string // kind and name, such as "queue receipts"
	Text     string
}

// Promises are the limits that a configuration promises to clients. 0 means that
// it does not name the limit.
type Promises struct {
	HeaderBytes, BodyBytes                 int64
	HeaderTimeoutMillis, IdleTimeoutMillis int64
}

// findings collects findings about one entry at a time.
type findings []Finding

func (f *findings) add(s Severity, entry, format string, args ...any) {
	*f = append(*f, Finding{s, entry, fmt.Sprintf(format, args...)})
}

// Check returns what is wrong with a configuration, in the order of its entries,
// errors first. instances are the limits in the settings of the entry instances.
func Check(c *state.QueueConfig, p Promises, instances config.NodeLimits) []Finding {
	var f findings
	for _, err := range fleet.QueueErrors(c) {
		f.add(Error, "configuration", "%v", err)
	}
	for i := range c.Queues {
		f.checkMatching(c.Queues, i)
		f.checkLimits(&c.Queues[i], len(c.Tenants) > 0)
	}
	f.checkPools(c)
	f.checkTenants(c.Tenants)
	f.checkPromises(p, instances)
	return f
}

func queueEntry(q *state.WorkflowQueue) string { return "queue " + q.Name }

// checkMatching finds out which calls a queue never gets. A call goes to the first
// queue with its host, without port and in any case, and the longest prefix of its
// path. The rest of the path is an id of a workflow or empty.
func (f *findings) checkMatching(all []state.WorkflowQueue, i int) {
	q := &all[i]
	entry := queueEntry(q)
	if _, _, err := net.SplitHostPort(q.Host); err == nil {
		f.add(NeverMatches, entry, "host %q has a port; hosts of calls are compared without it", q.Host)
	} else if strings.ContainsAny(q.Host, "/ \t") {
		f.add(NeverMatches, entry, "%q is not the name of a host", q.Host)
	}
	switch {
	case q.PathPrefix != "" && !strings.HasPrefix(q.PathPrefix, "/"):
		f.add(NeverMatches, entry, "prefix %q does not begin with a slash, as each path does", q.PathPrefix)
	case strings.ContainsAny(q.PathPrefix, "?#"):
		f.add(NeverMatches, entry, "prefix %q has a query or a fragment, which are no part of a path", q.PathPrefix)
	case strings.Contains(q.PathPrefix, "%"):
		f.add(NeverMatches, entry, "prefix %q has an escape; paths are compared unescaped", q.PathPrefix)
	}
	for k := range all {
		other := &all[k]
		if k == i || !strings.EqualFold(other.Host, q.Host) {
			continue
		}
		rest, longer := strings.CutPrefix(q.PathPrefix, other.PathPrefix)
		switch {
		case longer && rest == "" && k < i && other.Host != q.Host:
			f.add(NeverMatches, entry, "queue %s has the same prefix, and its host differs only in case", other.Name)
		case longer && rest != "" && len(rest) <= fleet.WorkflowIDDigits && strings.Trim(rest, "0123456789abcdef") == "":
			f.add(NeverMatches, queueEntry(other), "workflows whose id begins with %s go to queue %s, which refuses them", rest, q.Name)
		}
	}
}

// checkLimits compares the limits of a queue with each other.
func (f *findings) checkLimits(q *state.WorkflowQueue, tenants bool) {
	entry := queueEntry(q)
	switch {
	case q.MaxSlowdown < 0 || q.ObjectiveMillis < 0:
		f.add(Contradiction, entry, "the objective is negative (slowdown %g, %d ms): every workflow misses it", q.MaxSlowdown, q.ObjectiveMillis)
	case q.MaxSlowdown < 1 && q.ObjectiveMillis == 0:
		f.add(Contradiction, entry, "slowdown %g without further time ends the objective before the critical path: every workflow misses it", q.MaxSlowdown)
	case q.MaxSlowdown < 1:
		f.add(Contradiction, entry, "slowdown %g: workflows with a critical path over %.0f ms miss their objective", q.MaxSlowdown, float64(q.ObjectiveMillis)/(1-q.MaxSlowdown))
	}
	if q.MaxAttempts <= 0 {
		f.add(Contradiction, entry, "maximum of %d attempts: a task that always fails is started without end", q.MaxAttempts)
	}
	if q.TimeoutMillis > fleet.MaxCallMillis {
		f.add(Contradiction, entry, "timeout of %d ms is above the %d ms after which a call is answered", q.TimeoutMillis, fleet.MaxCallMillis)
	}
	if p := q.Policy; p != nil && p.TicketTTLMillis <= p.DecisionMillis+p.PerWorkerMillis {
		f.add(Contradiction, entry, "tickets are valid for %d ms, and a decision about one worker takes %d ms", p.TicketTTLMillis, p.DecisionMillis+p.PerWorkerMillis)
	}
	if q.Anonymous && !tenants {
		f.add(NeverMatches, entry, "it permits calls without a key, but there are no tenants, so that all calls are permitted")
	}
}

// checkPools finds pools whose workers get no work.
func (f *findings) checkPools(c *state.QueueConfig) {
	used := make(map[string]bool)
	for i := range c.Queues {
		used[c.Queues[i].Pool] = true
	}
	for _, p := range c.Pools {
		if !used[p.Name] {
			f.add(NeverMatches, "pool "+p.Name, "no queue names it; its workers get no work")
		}
	}
}

// checkTenants finds tenants that no call belongs to.
func (f *findings) checkTenants(all []state.Tenant) {
	for i := range all {
		if len(all[i].Keys) == 0 {
			f.add(NeverMatches, "tenant "+all[i].Name, "it has no key, so that no call belongs to it")
		}
	}
}

// checkPromises compares the limits that are promised to clients with those that
// entry instances apply.
func (f *findings) checkPromises(p Promises, instances config.NodeLimits) {
	const kib = 1 << 10
	for _, l := range []struct {
		promise           string
		promised, applied int64
		setting           string
	}{
		{"headers of %d bytes", p.HeaderBytes, instances.HeaderKiB * kib, "header_kib"},
		{"bodies of %d bytes", p.BodyBytes, instances.BodyKiB * kib, "body_kib"},
		{"%d ms for headers", p.HeaderTimeoutMillis, int64(instances.HeaderTimeoutMS), "header_timeout_ms"},
		{"%d ms between requests", p.IdleTimeoutMillis, int64(instances.IdleTimeoutMS), "idle_timeout_ms"},
	} {
		if l.promised < 0 || l.promised > l.applied {
			f.add(Contradiction, "limits", l.promise+" are promised, and instances apply %d (limits.%s)", l.promised, l.applied, l.setting)
		}
	}
}
