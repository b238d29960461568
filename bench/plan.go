package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"apricotrouter/placement"
	"apricotrouter/state"
)

const (
	tasksPerWorker = 12
	backlogSeed    = 11
	teamCount      = 160
)

// measurePlacement measures how fast placement.Plan places a backlog on an empty
// cluster, for several cluster sizes. The time to apply the commands is not
// counted.
func (b *bench) measurePlacement() error {
	for _, workers := range []int{50, 100, 200, 400, 740} {
		p, err := newPlanner(workers)
		if err != nil {
			return err
		}
		placed, took, longest := p.placeAll()
		name := fmt.Sprintf("%d workers", workers)
		b.add(name, "decisions", float64(placed)/took.Seconds(), "1/s")
		b.add(name, "longest plan", longest.Seconds()*1000, "ms")
		b.add(name, "tasks placed", float64(placed), "")
	}
	return nil
}

// planner plans placements and applies the commands to its own state.
type planner struct {
	state *state.State
	now   int64
}

func newPlanner(workers int) (*planner, error) {
	p := &planner{state: state.New(), now: time.Now().UnixMilli()}
	random := rand.New(rand.NewPCG(backlogSeed, uint64(workers)))
	for i := range workers {
		p.apply(state.RegisterWorker{
			ID: fmt.Sprintf("w%d", i), Zone: fmt.Sprintf("z%d", i%6), Rack: fmt.Sprintf("r%d", i/8), Address: "127.0.0.1:1",
			Capacity: state.Resources{MilliCPU: 64_000, MemoryMiB: 250_000, Accelerators: int64(i % 4)},
		})
	}
	for i := range teamCount {
		p.apply(state.ApplyTeam{Name: fmt.Sprintf("team%d", i), Weight: 1})
	}
	classes := []state.Priority{state.PriorityUrgent, state.PriorityNormal, state.PriorityLow}
	for i := range workers {
		r := p.apply(state.SubmitJob{Spec: state.JobSpec{
			ID: fmt.Sprintf("j%d", i), Team: fmt.Sprintf("team%d", i%teamCount), Class: fmt.Sprintf("c%d", i%20),
			Priority: classes[i%len(classes)], Tasks: tasksPerWorker, ExpectedSeconds: 60,
			Resources: state.Resources{MilliCPU: 1000 + random.Int64N(6000), MemoryMiB: 1000 + random.Int64N(16_000)},
		}})
		if r.Code != state.CodeOK {
			return nil, fmt.Errorf("submit job: %s", r.Message)
		}
	}
	return p, nil
}

func (p *planner) apply(b state.Body) state.Result {
	p.now += 10
	c := state.NewCommand(b)
	c.Time = p.now
	next, r := p.state.Apply(p.state.Index+1, c)
	p.state = next
	return r
}

// placeAll plans and applies until a plan has no placements. It returns the number
// of placements, the total planning time and the longest planning time.
func (p *planner) placeAll() (placed int, took, longest time.Duration) {
	for {
		begin := time.Now()
		bodies := placement.Plan(p.state, placement.Observations{}, p.now)
		d := time.Since(begin)
		took += d
		longest = max(longest, d)
		n := 0
		for _, b := range bodies {
			if t, ok := b.(state.PlaceTasks); ok {
				n += len(t.Placements)
			}
			p.apply(b)
		}
		if n == 0 {
			return placed, took, longest
		}
		placed += n
	}
}
