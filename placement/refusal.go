package placement

// Refusals counts the rooms of a pool by the first thing that keeps a task out
// of each of them.
type Refusals struct {
	Admitted     int // rooms that the task could take
	Held         int // kept for tasks that have waited too long
	Label        int // without the label that the task needs
	Processors   int
	Memory       int
	Accelerators int
	Excluded     int // by the task's own limit for a worker, or after a failure there
	Share        int // kept for batch tasks
	// LargestAdmitted is the most processors that a room which only the share
	// refuses, or none, has free, in thousandths.
	LargestAdmitted int64
}

// Refuse counts what keeps a task out of rooms; a nil room is held. Share is
// that of serving tasks, or nil if the task is not bound by it.
func Refuse(rooms []*PoolRoom, t PoolTask, share *Share) Refusals {
	var n Refusals
	size := t.Step.Reserves()
	for i, r := range rooms {
		switch {
		case r == nil:
			n.Held++
		case !hasLabel(r, t.Step):
			n.Label++
		case size.MilliCPU > r.Free.MilliCPU:
			n.Processors++
		case size.MemoryMiB > r.Free.MemoryMiB:
			n.Memory++
		case size.Accelerators > r.Free.Accelerators:
			n.Accelerators++
		case t.Excluded != nil && t.Excluded(i):
			n.Excluded++
		case share != nil && !share.Admits(r, size.MilliCPU):
			n.Share++
			n.LargestAdmitted = max(n.LargestAdmitted, r.Free.MilliCPU)
		default:
			n.Admitted++
			n.LargestAdmitted = max(n.LargestAdmitted, r.Free.MilliCPU)
		}
	}
	return n
}

// Room returns how many processors are left for batch tasks, and how many of
// them are kept, in thousandths.
func (s *Share) Room() (room, kept int64) { return s.room, s.kept }
