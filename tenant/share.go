package tenant

import (
	"maps"

	"apricotrouter/state"
)

// Shares address tenants that together ask for more than there is: without
// them, the tenant that submits most gets most, and the others wait behind it.
// Each tenant is entitled to a share of its dominant resource (the one of which
// it uses the largest part, DRF) in proportion to its weight. What a tenant does
// not ask for is divided among the others.

// Claim is what a tenant uses and would use if nothing of it waited.
type Claim struct {
	Name   string
	Weight float64
	Used   state.Resources
	Demand state.Resources // includes Used
}

// Deficit is how much a tenant lacks of its share.
type Deficit struct {
	Name string
	// Used and Entitled are parts of the capacity of the dominant resource of the
	// tenant's demand, 0 to 1.
	Used, Entitled float64
}

// Missing returns the part of the capacity that the tenant lacks; it is negative
// if the tenant uses more than its share.
func (d Deficit) Missing() float64 { return d.Entitled - d.Used }

// DominantShare returns the largest part of the capacity of any resource that
// size is.
func DominantShare(size, capacity state.Resources) float64 {
	_, share := dominant(size, capacity)
	return share
}

// dominant returns the index of the dominant resource and its share.
func dominant(size, capacity state.Resources) (resource int, share float64) {
	s, c := amounts(size), amounts(capacity)
	for i := range s {
		if c[i] > 0 && s[i]/c[i] > share {
			resource, share = i, s[i]/c[i]
		}
	}
	return resource, share
}

const resourceKinds = 3

func amounts(r state.Resources) [resourceKinds]float64 {
	return [resourceKinds]float64{float64(r.MilliCPU), float64(r.MemoryMiB), float64(r.Accelerators)}
}

// Deficits returns the deficit of each tenant in the order of the claims. It
// raises the dominant shares of all tenants in proportion to their weights until
// their demand is met or a resource of their demand is used up.
func Deficits(capacity state.Resources, claims []Claim) []Deficit {
	total := amounts(capacity)
	deficits := make([]Deficit, len(claims))
	demand := make([][resourceKinds]float64, len(claims))  // as parts of the capacity
	granted := make([][resourceKinds]float64, len(claims)) // parts of the capacity
	main := make([]int, len(claims))                       // dominant resource
	open := make(map[int]bool)
	for i, c := range claims {
		var share float64
		main[i], share = dominant(c.Demand, capacity)
		d, used := amounts(c.Demand), amounts(c.Used)
		for r := range d {
			if total[r] > 0 {
				demand[i][r] = d[r] / total[r]
			}
		}
		deficits[i].Name = c.Name
		if share > 0 {
			deficits[i].Used = used[main[i]] / total[main[i]]
			open[i] = true
		}
	}
	for len(open) > 0 {
		level := fillLevel(claims, demand, granted, main, open)
		var left [resourceKinds]float64
		for r := range left {
			left[r] = 1
		}
		for i := range claims {
			if open[i] {
				granted[i] = scaled(demand[i], main[i], level*claims[i].Weight)
			}
			for r := range left {
				left[r] -= granted[i][r]
			}
		}
		closed := false
		for i := range claims {
			if open[i] && (granted[i][main[i]] >= demand[i][main[i]] || usesFull(demand[i], left)) {
				delete(open, i)
				closed = true
			}
		}
		if !closed {
			break
		}
	}
	for i := range claims {
		deficits[i].Entitled = granted[i][main[i]]
	}
	return deficits
}

// exhausted is the part of a resource below which it counts as used up. It
// covers rounding.
const exhausted = 1e-9

func usesFull(demand, left [resourceKinds]float64) bool {
	for r := range demand {
		if demand[r] > 0 && left[r] < exhausted {
			return true
		}
	}
	return false
}

// scaled returns the part of a demand whose dominant share is share, at most all
// of it.
func scaled(demand [resourceKinds]float64, dominant int, share float64) [resourceKinds]float64 {
	factor := min(1, share/demand[dominant])
	for r := range demand {
		demand[r] *= factor
	}
	return demand
}

// fillLevel returns the highest share per weight of the open claims for which
// every resource suffices, or at which all their demand is met.
func fillLevel(claims []Claim, demand, granted [][resourceKinds]float64, main []int, open map[int]bool) float64 {
	high := 0.0
	for i := range open {
		high = max(high, demand[i][main[i]]/claims[i].Weight)
	}
	fits := func(level float64) bool {
		var sum [resourceKinds]float64
		for i := range claims {
			g := granted[i]
			if open[i] {
				g = scaled(demand[i], main[i], level*claims[i].Weight)
			}
			for r := range sum {
				sum[r] += g[r]
			}
		}
		return sum[0] <= 1 && sum[1] <= 1 && sum[2] <= 1
	}
	if fits(high) {
		return high
	}
	low := 0.0
	for range 60 { // halves the interval down to the precision of a float64
		if middle := (low + high) / 2; fits(middle) {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

// Waiting is a job with tasks that wait.
type Waiting struct {
	Tenant string
	Size   state.Resources // of its waiting tasks
}

// Account is what a tenant uses, and its weight.
type Account struct {
	Used   state.Resources
	Weight float64
}

// Keys returns, for jobs in the order in which they start within a tenant, the
// dominant share per weight that the tenant has when half of each of them has
// started. Starting the jobs in the order of their keys raises the shares of the
// tenants in proportion to their weights. With the share before each job, a
// tenant with a low weight would get half a job more than its share.
func Keys(capacity state.Resources, accounts map[string]Account, jobs []Waiting) []float64 {
	accounts = maps.Clone(accounts)
	keys := make([]float64, len(jobs))
	for i, j := range jobs {
		a := accounts[j.Tenant]
		before := DominantShare(a.Used, capacity)
		a.Used = a.Used.Add(j.Size)
		keys[i] = (before + DominantShare(a.Used, capacity)) / 2 / a.Weight
		accounts[j.Tenant] = a
	}
	return keys
}

// burstMillis is how long a tenant may submit at once what it may submit at its
// rate, in milliseconds. The rate is given per second.
const burstMillis = 1000

// RateMeter counts the workflows of a tenant against its rate.
type RateMeter struct {
	due float64 // earliest time of the next workflow at an even rate, Unix milliseconds
}

// Admit reports whether a workflow that was submitted at the time, in Unix
// milliseconds, is within rate workflows per second. Workflows are counted in
// the order of their times.
func (m *RateMeter) Admit(rate float64, atMillis int64) bool {
	const second = 1000
	at, interval := float64(atMillis), second/rate
	if m.due > at+max(0, burstMillis-interval) {
		return false
	}
	m.due = max(m.due, at) + interval
	return true
}
