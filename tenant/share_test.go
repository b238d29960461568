package tenant_test

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"apricotrouter/state"
	"apricotrouter/tenant"
)

func entitled(capacity state.Resources, claims ...tenant.Claim) []float64 {
	var all []float64
	for _, d := range tenant.Deficits(capacity, claims) {
		all = append(all, d.Entitled)
	}
	return all
}

// Guards against shares that are not those of dominant-resource fairness.
func TestDeficitsDivideTheDominantResources(t *testing.T) {
	g := NewWithT(t)
	capacity := state.Resources{MilliCPU: 9000, MemoryMiB: 18_000}
	a := tenant.Claim{Name: "a", Weight: 1, Demand: state.Resources{MilliCPU: 100_000, MemoryMiB: 400_000}}
	b := tenant.Claim{Name: "b", Weight: 1, Demand: state.Resources{MilliCPU: 300_000, MemoryMiB: 100_000}}
	// The shares x of memory and of CPU are equal, and all CPU is used: x/2 + x = 1.
	g.Expect(entitled(capacity, a, b)).To(HaveExactElements(BeNumerically("~", 2.0/3, 1e-6), BeNumerically("~", 2.0/3, 1e-6)))
	b.Weight = 2 // x/2 + 2x = 1
	g.Expect(entitled(capacity, a, b)).To(HaveExactElements(BeNumerically("~", 0.4, 1e-6), BeNumerically("~", 0.8, 1e-6)))
	// What one tenant does not ask for, the other gets.
	b.Demand = state.Resources{MilliCPU: 900}
	g.Expect(entitled(capacity, a, b)).To(HaveExactElements(BeNumerically("~", 1, 1e-6), BeNumerically("~", 0.1, 1e-6)))
	// A tenant that uses another resource only is not bound by the others.
	c := tenant.Claim{Name: "c", Weight: 1, Demand: state.Resources{Accelerators: 4}}
	capacity.Accelerators = 8
	b.Demand = state.Resources{MilliCPU: 300_000}
	g.Expect(entitled(capacity, b, c)).To(HaveExactElements(BeNumerically("~", 1, 1e-6), BeNumerically("~", 0.5, 1e-6)))
	used := tenant.Deficits(capacity, []tenant.Claim{{Name: "b", Weight: 1, Used: state.Resources{MilliCPU: 2250}, Demand: b.Demand}})
	g.Expect(used[0].Missing()).To(BeNumerically("~", 0.75, 1e-6))
	g.Expect(tenant.Deficits(state.Resources{}, []tenant.Claim{a, b})).To(HaveLen(2), "no workers")
	g.Expect(tenant.Deficits(capacity, nil)).To(BeEmpty())
}

// Guards against shares above the capacity or the demand, against demand that is
// cut although everything fits, and against a tenant that gets less per weight
// than another although it asks for more.
func TestDeficitsOfRandomClaims(t *testing.T) {
	for seed := range uint64(300) {
		g := NewWithT(t)
		rng := rand.New(rand.NewPCG(seed, 3))
		capacity := state.Resources{MilliCPU: 1 + rng.Int64N(1000), MemoryMiB: 1 + rng.Int64N(1000)}
		var claims []tenant.Claim
		var total state.Resources
		for range 1 + rng.IntN(6) {
			c := tenant.Claim{Weight: 0.5 + rng.Float64()*5, Demand: state.Resources{MilliCPU: rng.Int64N(600), MemoryMiB: rng.Int64N(300)}}
			total = total.Add(c.Demand)
			claims = append(claims, c)
		}
		var cpuShare, memoryShare float64
		shares := entitled(capacity, claims...)
		for i, c := range claims {
			demand := tenant.DominantShare(c.Demand, capacity)
			g.Expect(shares[i]).To(BeNumerically("<=", demand+1e-6), "seed %d", seed)
			if total.FitsIn(capacity) {
				g.Expect(shares[i]).To(BeNumerically("~", demand, 1e-6), "seed %d", seed)
			}
			if demand > 0 {
				cpuShare += shares[i] / demand * float64(c.Demand.MilliCPU) / float64(capacity.MilliCPU)
				memoryShare += shares[i] / demand * float64(c.Demand.MemoryMiB) / float64(capacity.MemoryMiB)
			}
			for k, other := range claims {
				both := c.Demand.MilliCPU > 0 && other.Demand.MilliCPU > 0 && c.Demand.MemoryMiB > 0 && other.Demand.MemoryMiB > 0
				if both && shares[i] < demand-1e-6 {
					g.Expect(shares[i]/c.Weight).To(BeNumerically(">=", shares[k]/other.Weight-1e-6), "seed %d: %d and %d", seed, i, k)
				}
			}
		}
		g.Expect(max(cpuShare, memoryShare)).To(BeNumerically("<=", 1+1e-6), "seed %d", seed)
	}
}

// Guards against a rate that counts a burst within one second as excess, or that
// lets a steady excess pass.
func TestRateOfSubmissions(t *testing.T) {
	g := NewWithT(t)
	admitted := func(rate float64, count int, interval int64) int {
		var m tenant.RateMeter
		n := 0
		for i := range int64(count) {
			if m.Admit(rate, 1_000_000+i*interval) {
				n++
			}
		}
		return n
	}
	g.Expect(admitted(20, 20, 0)).To(Equal(20))
	g.Expect(admitted(20, 40, 0)).To(Equal(20))
	g.Expect(admitted(20, 200, 50)).To(Equal(200))
	g.Expect(admitted(20, 400, 25)).To(BeNumerically("~", 220, 2))
	g.Expect(admitted(1, 10, 1000)).To(Equal(10))
	g.Expect(admitted(0.5, 10, 1000)).To(Equal(5))
}

// replayJob is a job of the replay: tasks of one core and one second.
type replayJob struct {
	tenant    string
	submitted int64
	waiting   int
	firstAt   int64 // start of its first task
	done      int
	size      int
}

// replay serves 60 s of submissions of three tenants to 100 cores and returns
// the work done in core-seconds and the mean wait in milliseconds, by tenant.
// Tenant a floods the queue, b asks for more than its share, c for less.
func replay(seed uint64, shares bool, rates map[string]float64) (work map[string]int64, wait map[string]float64, jobs []*replayJob) {
	const cores, tick, duration = 100, 50, 60_000
	weights := map[string]float64{"a": 3, "b": 1, "c": 1}
	names := []string{"a", "b", "c"}
	rng := rand.New(rand.NewPCG(seed, 5))
	var running []struct {
		job   *replayJob
		until int64
	}
	work, wait = make(map[string]int64), make(map[string]float64)
	used := make(map[string]int64)
	for now := int64(0); now < duration; now += tick {
		for _, name := range names {
			for rng.Float64() < rates[name]*tick/1000 {
				size := 1 + rng.IntN(19)
				jobs = append(jobs, &replayJob{tenant: name, submitted: now, waiting: size, size: size, firstAt: -1})
				if rng.Float64() < 0.5 {
					break
				}
			}
		}
		kept := running[:0]
		for _, r := range running {
			if r.until <= now {
				used[r.job.tenant]--
				work[r.job.tenant]++
				r.job.done++
				continue
			}
			kept = append(kept, r)
		}
		running = kept
		var queue []*replayJob
		for _, j := range jobs {
			if j.waiting > 0 {
				queue = append(queue, j)
			}
		}
		if shares {
			accounts := make(map[string]tenant.Account)
			var waiting []tenant.Waiting
			for _, name := range names {
				accounts[name] = tenant.Account{Used: cpu(used[name]), Weight: weights[name]}
			}
			for _, j := range queue {
				waiting = append(waiting, tenant.Waiting{Tenant: j.tenant, Size: cpu(int64(j.waiting))})
			}
			keys := make(map[*replayJob]float64)
			for i, key := range tenant.Keys(cpu(cores), accounts, waiting) {
				keys[queue[i]] = key
			}
			slices.SortStableFunc(queue, func(a, b *replayJob) int { return cmp.Compare(keys[a], keys[b]) })
		}
		for _, j := range queue {
			for j.waiting > 0 && len(running) < cores {
				if j.firstAt < 0 {
					j.firstAt = now
				}
				j.waiting--
				used[j.tenant]++
				running = append(running, struct {
					job   *replayJob
					until int64
				}{j, now + 1000})
			}
		}
	}
	count := make(map[string]float64)
	for _, j := range jobs {
		at := j.firstAt
		if at < 0 {
			at = duration
		}
		wait[j.tenant] += float64(at - j.submitted)
		count[j.tenant]++
	}
	for name := range wait {
		wait[name] /= count[name]
	}
	return work, wait, jobs
}

// Guards against a tenant that gets more by submitting more. First in, first out
// serves tenants in proportion to what they submit.
func TestReplayOfAFloodIsServedByWeight(t *testing.T) {
	for seed := range uint64(5) {
		g := NewWithT(t)
		rates := map[string]float64{"a": 12, "b": 4, "c": 0.7}
		fifo, fifoWait, _ := replay(seed, false, rates)
		work, wait, jobs := replay(seed, true, rates)
		t.Logf("seed %d: work %v, wait %v; first in, first out: work %v, wait %v", seed, work, wait, fifo, fifoWait)
		total := work["a"] + work["b"] + work["c"]
		g.Expect(total).To(BeNumerically(">=", (fifo["a"]+fifo["b"]+fifo["c"])*98/100), "no capacity stays idle")
		g.Expect(float64(work["a"]) / float64(work["b"])).To(BeNumerically("~", 3, 0.3))
		g.Expect(wait["c"]).To(BeNumerically("<", 1500), "a tenant below its share does not wait behind the others")
		g.Expect(fifoWait["c"]).To(BeNumerically(">", 5000))
		// Large jobs of the flooding tenant are served as often as the others.
		var served, submitted [2]float64
		for _, j := range jobs {
			if j.tenant != "a" {
				continue
			}
			large := 0
			if j.size > 16 {
				large = 1
			}
			submitted[large]++
			if j.done == j.size {
				served[large]++
			}
		}
		g.Expect(served[1] / submitted[1]).To(BeNumerically(">=", served[0]/submitted[0]/2))
	}
}

// Guards against capacity that stays idle because of a share.
func TestReplayGivesIdleCapacityToAnyone(t *testing.T) {
	g := NewWithT(t)
	fifo, _, _ := replay(1, false, map[string]float64{"b": 12})
	work, _, _ := replay(1, true, map[string]float64{"b": 12})
	g.Expect(work["b"]).To(Equal(fifo["b"]))
}
