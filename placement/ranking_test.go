package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"

	"apricotrouter/placement"
	"apricotrouter/state"
)

// randomRooms returns a pool in use: serving tasks on most workers, and batch
// tasks on some.
func randomRooms(r *rand.Rand, workers int) []*placement.PoolRoom {
	rooms := make([]*placement.PoolRoom, workers)
	for i := range rooms {
		if r.IntN(20) == 0 {
			continue // held
		}
		room := &placement.PoolRoom{
			Labels: []string{"a", fmt.Sprint("r", i/12)}, Capacity: state.Resources{MilliCPU: 64000, MemoryMiB: 256000},
			Free: state.Resources{MilliCPU: 64000, MemoryMiB: 256000}, IdleCPU: 64000,
		}
		for range r.IntN(4) {
			s := &state.WorkflowStep{
				LongRunning: true, TailMillis: 50, Image: fmt.Sprint("s", r.IntN(5)),
				Size: state.Resources{MilliCPU: 5000 + r.Int64N(9000), MemoryMiB: 20000},
			}
			room.Take(placement.PoolTask{Step: s})
			room.Servers[0].Headroom = r.Float64()
		}
		rooms[i] = room
	}
	return rooms
}

func cloneRooms(rooms []*placement.PoolRoom) []*placement.PoolRoom {
	all := make([]*placement.PoolRoom, len(rooms))
	for i, r := range rooms {
		if r != nil {
			c := *r
			c.Servers = append([]placement.RoomServer(nil), r.Servers...)
			all[i] = &c
		}
	}
	return all
}

// Guards against a ranking that sends a wide step to other workers than a look
// at all of them for each task would.
func TestRankingChoosesLikeALookAtAllRooms(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for round := range 200 {
		g := NewWithT(t)
		rooms := randomRooms(r, 40)
		step := &state.WorkflowStep{
			Image: "l", Size: state.Resources{MilliCPU: 1000 + r.Int64N(20000), MemoryMiB: r.Int64N(60000)},
			Leftover: r.IntN(2) == 0,
		}
		if r.IntN(4) == 0 {
			step.DataRack = "r1"
		}
		if r.IntN(4) == 0 {
			step.Leftover, step.LongRunning, step.TailMillis = false, true, 40
		}
		perWorker := r.IntN(3)
		task := func(on map[int]int) placement.PoolTask {
			return placement.PoolTask{Step: step, Pressure: placement.NewPressure(), Excluded: func(i int) bool {
				return perWorker > 0 && on[i] >= perWorker
			}}
		}
		plain, ranked := cloneRooms(rooms), cloneRooms(rooms)
		onPlain, onRanked := map[int]int{}, map[int]int{}
		ranking := placement.Rank(ranked, task(onRanked))
		for range 60 {
			want, got := placement.ChooseRoom(plain, task(onPlain)), ranking.Best()
			g.Expect(got).To(Equal(want), "round %d", round)
			if want < 0 {
				break
			}
			plain[want].Take(task(onPlain))
			onPlain[want]++
			ranked[got].Take(task(onRanked))
			onRanked[got]++
			ranking.Update()
		}
	}
}

// BenchmarkWideStep measures a decision of a step with 40 tasks, with a look at
// all rooms for each task and with a ranking.
func BenchmarkWideStep(b *testing.B) {
	const width = 40
	for _, workers := range []int{50, 350, 890, 2000} {
		rooms := randomRooms(rand.New(rand.NewPCG(1, 2)), workers)
		task := placement.PoolTask{Pressure: placement.NewPressure(), Step: &state.WorkflowStep{
			Image: "l", Leftover: true, Size: state.Resources{MilliCPU: 7000, MemoryMiB: 13000},
		}}
		b.Run(fmt.Sprintf("workers=%d/each", workers), func(b *testing.B) {
			for b.Loop() {
				trial := cloneRooms(rooms)
				for range width {
					trial[placement.ChooseRoom(trial, task)].Take(task)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/width, "us/task")
		})
		b.Run(fmt.Sprintf("workers=%d/ranked", workers), func(b *testing.B) {
			for b.Loop() {
				trial := cloneRooms(rooms)
				ranking := placement.Rank(trial, task)
				for range width {
					trial[ranking.Best()].Take(task)
					ranking.Update()
				}
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/width, "us/task")
		})
	}
}
