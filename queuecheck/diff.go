package queuecheck

import (
	"bytes"
	"fmt"
	"slices"

	"apricotrouter/state"
)

// Diff returns what a configuration changes compared with the one in force, an
// entry a line. It names no keys.
func Diff(inForce, c *state.QueueConfig) []string {
	var d []string
	if c.Version <= inForce.Version {
		d = append(d, fmt.Sprintf("version %d is not higher than %d in force: it would be acknowledged and change nothing", c.Version, inForce.Version))
	}
	d = append(d, diffEntries("queue", inForce.Queues, c.Queues, func(q *state.WorkflowQueue) string { return q.Name }, diffQueue)...)
	d = append(d, diffEntries("pool", inForce.Pools, c.Pools, func(p *state.Pool) string { return p.Name }, diffPool)...)
	return append(d, diffEntries("tenant", inForce.Tenants, c.Tenants, func(t *state.Tenant) string { return t.Name }, diffTenant)...)
}

// DiffPromises returns which limits a configuration promises to clients other than
// the one in force.
func DiffPromises(inForce, p Promises) []string {
	d := changed(nil, "limits: header in bytes", inForce.HeaderBytes, p.HeaderBytes)
	d = changed(d, "limits: body in bytes", inForce.BodyBytes, p.BodyBytes)
	d = changed(d, "limits: time for a header in ms", inForce.HeaderTimeoutMillis, p.HeaderTimeoutMillis)
	return changed(d, "limits: time between requests in ms", inForce.IdleTimeoutMillis, p.IdleTimeoutMillis)
}

// diffEntries compares entries by their names, in the order of the old ones and
// then of the new ones.
func diffEntries[T any](kind string, before, after []T, name func(*T) string, changes func(before, after *T) []string) []string {
	var d []string
	find := func(all []T, n string) *T {
		if i := slices.IndexFunc(all, func(e T) bool { return name(&e) == n }); i >= 0 {
			return &all[i]
		}
		return nil
	}
	for i := range before {
		entry := kind + " " + name(&before[i])
		other := find(after, name(&before[i]))
		if other == nil {
			d = append(d, entry+" is removed")
			continue
		}
		for _, change := range changes(&before[i], other) {
			d = append(d, entry+": "+change)
		}
	}
	for i := range after {
		if find(before, name(&after[i])) == nil {
			d = append(d, kind+" "+name(&after[i])+" is added")
		}
	}
	return d
}

// changed appends a change of a field, if there is one.
func changed[T comparable](d []string, field string, before, after T) []string {
	if before == after {
		return d
	}
	return append(d, fmt.Sprintf("%s %v -> %v", field, before, after))
}

func diffQueue(a, b *state.WorkflowQueue) []string {
	d := changed(nil, "host", a.Host, b.Host)
	d = changed(d, "prefix", a.PathPrefix, b.PathPrefix)
	d = changed(d, "pool", a.Pool, b.Pool)
	d = changed(d, "priority", a.Priority, b.Priority)
	d = changed(d, "maximum attempts", a.MaxAttempts, b.MaxAttempts)
	d = changed(d, "maximum slowdown", a.MaxSlowdown, b.MaxSlowdown)
	d = changed(d, "objective in ms", a.ObjectiveMillis, b.ObjectiveMillis)
	d = changed(d, "timeout in ms", a.TimeoutMillis, b.TimeoutMillis)
	d = changed(d, "calls without a key", a.Anonymous, b.Anonymous)
	var before, after state.QueuePolicy
	if a.Policy != nil {
		before = *a.Policy
	}
	if b.Policy != nil {
		after = *b.Policy
	}
	d = changed(d, "policy service", a.Policy != nil, b.Policy != nil)
	d = changed(d, "decision time in ms", before.DecisionMillis, after.DecisionMillis)
	d = changed(d, "decision time of a worker in ms", before.PerWorkerMillis, after.PerWorkerMillis)
	return changed(d, "validity of tickets in ms", before.TicketTTLMillis, after.TicketTTLMillis)
}

func diffPool(a, b *state.Pool) []string {
	d := changed(nil, "workers enforce their capacity", a.EnforcesCapacity, b.EnforcesCapacity)
	return changed(d, "standby", a.Standby, b.Standby)
}

func diffTenant(a, b *state.Tenant) []string {
	var d []string
	if n := missingKeys(a.Keys, b.Keys); n > 0 {
		d = append(d, fmt.Sprintf("%d of its keys are refused from then on", n))
	}
	if n := missingKeys(b.Keys, a.Keys); n > 0 {
		d = append(d, fmt.Sprintf("%d keys are added", n))
	}
	d = changed(d, "priority", a.Priority, b.Priority)
	d = changed(d, "weight", a.Weight, b.Weight)
	if a.Cap != b.Cap {
		d = append(d, fmt.Sprintf("cap %s -> %s", a.Cap, b.Cap))
	}
	return d
}

// missingKeys returns how many of the keys are not among others.
func missingKeys(keys, others [][]byte) int {
	n := 0
	for _, k := range keys {
		if !slices.ContainsFunc(others, func(o []byte) bool { return bytes.Equal(k, o) }) {
			n++
		}
	}
	return n
}
