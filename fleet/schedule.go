package fleet

import (
	"cmp"
	"slices"
	"time"

	"apricotrouter/placement"
	"apricotrouter/state"
)

// servingUse is the share of its reserved processors that a serving task is
// assumed to use, in percent.
const servingUse = 60

// pool is the rooms of one pool during one round of placement.
type pool struct {
	sessions []*session
	rooms    []*placement.PoolRoom
	// allRooms are the rooms with those that are held, which are nil in rooms.
	allRooms []*placement.PoolRoom
	// tight holds the smallest tasks that found no room in this round, by what
	// else decides about room: larger ones find none either.
	tight map[roomClass]state.Resources
	// held are the rooms that pressing tasks keep from others in this round.
	held map[int]bool
	// keptFor are all rooms that were held in this round.
	keptFor map[int]bool
	// shares are those of serving tasks by their priority.
	shares map[int]*placement.Share
	// idle is how many serving tasks may go beyond their share in this round.
	idle         int
	idleObserved bool
}

func newPool(workers int) *pool {
	return &pool{
		sessions: make([]*session, 0, workers), rooms: make([]*placement.PoolRoom, 0, workers),
		tight: make(map[roomClass]state.Resources), held: make(map[int]bool), keptFor: make(map[int]bool),
		shares: make(map[int]*placement.Share),
	}
}

// roomClass is what decides about the room of a task besides its size.
type roomClass struct {
	kind     taskKind
	leftover bool
	image    string // of a task on leftover processors, which decides whom it disturbs
	// priority and beyondShare of a serving task, which decide about its share.
	priority              int
	beyondShare, seesHeld bool
}

func classOf(s *state.WorkflowStep, j placement.WaitingJob) roomClass {
	class := roomClass{kind: kindOf(s), leftover: s.Leftover}
	if s.Leftover {
		class.image = s.Image
	}
	if s.LongRunning {
		class.priority, class.beyondShare = j.Priority, j.BeyondShare
	}
	return class
}

// full reports whether a smaller task of the same class found no room. It
// answers a long queue: a round that finds no room costs one look at the rooms
// for each class, not for each workflow.
func (p *pool) full(s *state.WorkflowStep, class roomClass) bool {
	least, ok := p.tight[class]
	return ok && least.Fits(s.Size)
}

// hold keeps tasks that are not pressing off the worker with the most
// processors free, of those that have room for the task once batch tasks end.
// Other pressing tasks may be small enough for it.
func (p *pool) hold(t placement.PoolTask) {
	best := -1
	for i, r := range p.rooms {
		if r == nil || p.held[i] || t.Excluded != nil && t.Excluded(i) || !placement.AdmitsWithoutBatch(r, t.Step) {
			continue
		}
		if best < 0 || r.Free.MilliCPU > p.rooms[best].Free.MilliCPU {
			best = i
		}
	}
	if best >= 0 {
		p.held[best] = true
	}
}

// applyHolds takes the held rooms out of the round.
func (p *pool) applyHolds() {
	for i := range p.held {
		p.rooms[i] = nil
		p.keptFor[i] = true
	}
	clear(p.held)
}

// noRoom notes that a task found no room. One that is bound to some workers
// says nothing about others.
func (p *pool) noRoom(t *task, class roomClass) {
	s := t.step
	if s.Label != "" || s.DataRack != "" || s.MaxPerWorker > 0 || len(t.avoid) > 0 || len(t.refusals) > 0 {
		return
	}
	if least, ok := p.tight[class]; !ok || s.Size.Fits(least) {
		p.tight[class] = s.Size
	}
}

// schedule places ready tasks: queues by priority, then workflows by deadline.
func (c *Controller) schedule() {
	now := c.now()
	waiting := c.waitingJobs()
	if len(waiting) == 0 && now < c.nextReport {
		return
	}
	pools := c.pools(now)
	defer c.reportRoom(pools)
	if len(waiting) == 0 {
		return
	}
	placement.OrderJobs(c.opts.Clock.Now().UnixMilli(), waiting)
	for _, j := range waiting {
		pool := c.flows[j.ID].spec.Pool
		if p := pools[pool]; p != nil && j.Serving {
			c.setShare(pool, p, j.Priority)
		}
	}
	for _, j := range waiting {
		f := c.flows[j.ID]
		if p := pools[f.spec.Pool]; p != nil && !j.Pressing() {
			p.applyHolds()
		}
		if c.journal.full() {
			c.dirty = true
			return
		}
		if p := pools[f.spec.Pool]; p != nil {
			if j.BeyondShare {
				c.observeIdle(f.spec.Pool, p)
			}
			c.placeFlow(f, p, j)
		}
	}
}

// lateFactor is the multiple of its objective after which a workflow is of no
// use any more, from the users' terms.
const lateFactor = 3

func (c *Controller) waitingJobs() []placement.WaitingJob {
	now := c.now()
	var waiting []placement.WaitingJob
	for _, f := range c.flows {
		c.release(f)
		if f.ready > 0 {
			serving, waited := f.servingWait(now)
			j := placement.WaitingJob{
				Serving: serving, WaitedMillis: waited.Milliseconds(),
				ID: f.spec.ID, Priority: f.spec.Priority, Deadline: f.deadline,
				LateDeadline: f.submittedAt + lateFactor*(f.deadline-f.submittedAt), RemainingMillis: f.remainingMillis(),
			}
			waiting = append(waiting, j)
			if serving && placement.NearlyOverdue(waited.Milliseconds()) {
				j.BeyondShare = true
				waiting = append(waiting, j)
			}
		}
	}
	return waiting
}

// servingWait reports whether serving tasks of the workflow wait, and how long
// the first of them has waited.
func (f *flow) servingWait(now time.Duration) (bool, time.Duration) {
	serving, waited := false, time.Duration(0)
	for _, t := range f.tasks {
		if t.phase == taskReady && t.step.LongRunning {
			serving, waited = true, max(waited, now-t.readyAt)
		}
	}
	return serving, waited
}

// remainingMillis returns the longest chain of estimated work that is left.
func (f *flow) remainingMillis() int64 {
	rest := make([]int64, len(f.spec.Steps))
	for _, t := range f.tasks {
		if t.phase == taskDone {
			continue
		}
		left := t.step.EstimateMillis
		if t.attempt != nil && !t.step.LongRunning {
			left = left * int64(full-t.attempt.measures.progress) / full
		}
		rest[t.pos.Step] = max(rest[t.pos.Step], left)
	}
	return longestChain(f.spec, func(step int) int64 { return rest[step] })
}

// pools returns the usable workers by pool, in the order of their ids.
func (c *Controller) pools(now time.Duration) map[string]*pool {
	s := c.opts.Log.State()
	all := make(map[string]*pool)
	evacuated := make(map[string]bool)
	var p *pool // of the worker before
	name := ""
	for _, w := range c.sortedSessions() {
		if !w.usable(c, now) {
			continue
		}
		out, known := evacuated[w.worker.Zone]
		if !known {
			out = s.ZoneEvacuated(w.worker.Zone)
			evacuated[w.worker.Zone] = out
		}
		if out {
			continue
		}
		if !w.roomKnown {
			c.updateRoom(w)
		}
		if p == nil || name != w.worker.Pool {
			name = w.worker.Pool
			if p = all[name]; p == nil {
				p = newPool(len(c.sorted))
				all[name] = p
			}
		}
		p.sessions = append(p.sessions, w)
		p.rooms = append(p.rooms, &w.room)
		p.allRooms = append(p.allRooms, &w.room)
	}
	return all
}

// sortedSessions returns all sessions in the order of their workers' ids.
func (c *Controller) sortedSessions() []*session {
	if c.sorted == nil {
		for _, s := range c.sessions {
			c.sorted = append(c.sorted, s)
		}
		slices.SortFunc(c.sorted, func(a, b *session) int { return cmp.Compare(a.worker.ID, b.worker.ID) })
	}
	return c.sorted
}

// updateRoom computes what the worker has left.
func (c *Controller) updateRoom(s *session) {
	s.roomKnown = true
	r := &s.room
	*r = placement.PoolRoom{
		Zone: s.worker.Zone, Labels: s.worker.Labels, Capacity: s.worker.Capacity, Free: s.free(),
		IdleCPU: s.worker.Capacity.MilliCPU, Servers: r.Servers[:0],
	}
	clear(c.uses)
	servers := 0
	for _, a := range s.attempts {
		step := a.task.step
		use := step.Size.MilliCPU
		if step.LongRunning {
			use = use * servingUse / 100
			if step.TailMillis > 0 {
				servers++
			}
		}
		if step.Leftover {
			r.Leftover++
			c.uses[step.Image] += s.share(step.Size.MilliCPU)
		}
		r.IdleCPU -= use
		if !step.LongRunning {
			r.Batch = r.Batch.Add(step.Reserves())
		}
	}
	if servers == 0 {
		return
	}
	for _, a := range s.attempts {
		if a.task.step.LongRunning && a.task.step.TailMillis > 0 {
			r.AddServer(a.task.step.Image, c.headroom(a, c.uses))
		}
	}
}

// headroom returns how much more a serving task bears, with the load that is
// expected of it.
func (c *Controller) headroom(a *attempt, uses map[string]float64) float64 {
	step := a.task.step
	headroom := c.pressure.Limit(step.Image, step.TailMillis) - c.expectedLoad(a, c.now(), placeHorizon)
	for image, use := range uses {
		headroom -= c.pressure.Of(step.Image, image) * use
	}
	return headroom
}

// placeFlow places the ready tasks of a workflow. Tasks of a step are equal but
// for the workers that they avoid: when one finds no room, neither do others
// that avoid the same ones. A pressing serving task that finds none keeps the
// worker with the most room for itself, until enough of it is free.
func (c *Controller) placeFlow(f *flow, p *pool, j placement.WaitingJob) {
	full := fullStep{step: -1}
	var equal *equalTasks
	for _, t := range f.tasks {
		if t.phase != taskReady {
			continue
		}
		t.forgetRefusals(c.now())
		barred := c.barred(t, p)
		waited := (c.now() - t.readyAt).Milliseconds()
		seesHeld := j.BeyondShare && placement.Missing(waited, t.ranBefore()) ||
			j.Pressing() && t.step.LongRunning && placement.Overdue(waited)
		if full.includes(t, seesHeld, barred) {
			continue
		}
		if j.BeyondShare && (!t.step.LongRunning || !placement.Overdue(waited)) {
			continue
		}
		if t.step.Gang {
			c.placeGang(t, p, seesHeld)
			equal, full = nil, fullStep{step: t.pos.Step, occurrence: t.pos.Occurrence, seesHeld: true}
			continue
		}
		class := classOf(t.step, j)
		class.seesHeld = seesHeld
		if !equal.includes(t) || equal.seesHeld != seesHeld {
			equal = c.equalTasks(t, p, j, seesHeld, t.avoid)
		}
		i := -1
		if !p.full(t.step, class) {
			i = equal.find(j, waited, t.ranBefore())
			if i < 0 && len(t.avoid) > 0 && len(barred) == 0 {
				equal = c.equalTasks(t, p, j, seesHeld, nil)
				i = equal.find(j, waited, t.ranBefore())
			}
		}
		if i < 0 {
			p.noRoom(t, class)
			if j.Pressing() && t.step.LongRunning && len(barred) == 0 && len(t.refusals) == 0 {
				p.hold(equal.request)
			}
			if !j.BeyondShare && len(t.refusals) == 0 { // siblings may have room otherwise
				full = fullStep{t.pos.Step, t.pos.Occurrence, seesHeld, barred}
			}
			continue
		}
		p.take(i, equal.request)
		if j.BeyondShare {
			p.idle = max(0, p.idle-1)
		}
		c.place(t, p.sessions[i], t.run+1)
		equal.placed(i)
	}
}

// fullStep is a step of which a task found no room in this round. Tasks of it
// that are barred from the same workers at least find none either.
type fullStep struct {
	step, occurrence int
	seesHeld         bool // held rooms were there for it
	barred           map[string]bool
}

func (f *fullStep) includes(t *task, seesHeld bool, barred map[string]bool) bool {
	if t.pos.Step != f.step || t.pos.Occurrence != f.occurrence || seesHeld && !f.seesHeld {
		return false
	}
	for worker := range f.barred {
		if !barred[worker] {
			return false
		}
	}
	return true
}

// equalTasks is the tasks of a step that look for room in one round.
type equalTasks struct {
	first    *task
	pool     *pool
	seesHeld bool // they have waited too long for rooms to be held from them
	rooms    []*placement.PoolRoom
	request  placement.PoolTask
	// onWorker is how many tasks of the step a worker has, where that is bounded.
	onWorker map[*session]int
	ranking  *placement.Ranking // nil before it is needed
}

func (c *Controller) equalTasks(t *task, p *pool, j placement.WaitingJob, seesHeld bool, avoid map[string]bool) *equalTasks {
	e := &equalTasks{first: t, pool: p, seesHeld: seesHeld, rooms: p.rooms}
	if seesHeld {
		e.rooms = p.allRooms
	}
	e.request, e.onWorker = c.poolTask(t, p, avoid)
	if !j.BeyondShare {
		e.request.Excluded = p.withinShare(t, e.request.Excluded)
	}
	return e
}

// includes reports whether a task may go where the first may.
func (e *equalTasks) includes(t *task) bool {
	return e != nil && e.first.pos.Step == t.pos.Step && e.first.pos.Occurrence == t.pos.Occurrence &&
		len(e.first.avoid) == 0 && len(t.avoid) == 0 && len(e.first.refusals) == 0 && len(t.refusals) == 0
}

// mayExceedShare reports whether the next of the tasks may go beyond the share
// of serving tasks.
func (e *equalTasks) mayExceedShare(waitedMillis int64, ranBefore bool) bool {
	places := 0
	if e.seesHeld {
		places = placement.Places(e.rooms, e.request)
	}
	return placement.BeyondShare(waitedMillis, ranBefore, e.pool.idle, places)
}

// find returns the index of the best room that the next of the tasks may have in
// the turn of its job, or -1.
func (e *equalTasks) find(j placement.WaitingJob, waitedMillis int64, ranBefore bool) int {
	if j.BeyondShare && !e.mayExceedShare(waitedMillis, ranBefore) {
		return -1
	}
	if e.ranking == nil {
		e.ranking = placement.Rank(e.rooms, e.request)
	}
	return e.ranking.Best()
}

// placed notes that a task was booked on the best room.
func (e *equalTasks) placed(room int) {
	if e.onWorker != nil {
		e.onWorker[e.pool.sessions[room]]++
	}
	e.ranking.Update()
}

// barred returns the workers on which the task doesn't run even if no other has
// room: those that it avoids, or none if it failed on nearly all of the pool,
// since it is at fault itself then, or if it is a serving task that has waited
// too long.
func (c *Controller) barred(t *task, p *pool) map[string]bool {
	if len(t.avoid)*2 >= len(p.sessions) || t.step.LongRunning && placement.WaitedTooLong((c.now()-t.readyAt).Milliseconds()) {
		return nil
	}
	return t.avoid
}

// poolTask returns what a task asks for that avoids workers, and how many tasks
// of its step each worker has if that is bounded.
func (c *Controller) poolTask(t *task, p *pool, avoid map[string]bool) (placement.PoolTask, map[*session]int) {
	limit := t.step.MaxPerWorker
	if limit == 0 && len(avoid) == 0 && len(t.refusals) == 0 {
		return placement.PoolTask{Step: t.step, Pressure: c.pressure}, nil
	}
	onWorker := make(map[*session]int)
	first := t.flow.spec.FirstTask(t.pos.Occurrence, t.pos.Step)
	for _, other := range t.flow.tasks[first : first+t.step.Count] {
		if other.attempt != nil && other.attempt.phase != attemptEnded {
			onWorker[other.attempt.session]++
		}
	}
	return placement.PoolTask{Step: t.step, Pressure: c.pressure, Excluded: func(i int) bool {
		s := p.sessions[i]
		_, refused := t.refusals[s.worker.ID]
		return limit > 0 && onWorker[s] >= limit || avoid[s.worker.ID] || refused
	}}, onWorker
}

// placeGang places all tasks of a gang, or none. They share the run number.
func (c *Controller) placeGang(t *task, p *pool, seesHeld bool) {
	f := t.flow
	first := f.spec.FirstTask(t.pos.Occurrence, t.pos.Step)
	members := f.tasks[first : first+t.step.Count]
	var number uint64
	for _, m := range members {
		if m.phase != taskReady {
			return
		}
		m.forgetRefusals(c.now())
		number = max(number, m.run+1)
	}
	rooms := slices.Clone(p.rooms)
	if seesHeld {
		copy(rooms, p.allRooms)
	}
	for i, s := range p.sessions {
		if slices.ContainsFunc(members, func(m *task) bool { _, refused := m.refusals[s.worker.ID]; return refused }) {
			rooms[i] = nil
		}
	}
	request, _ := c.poolTask(t, p, nil)
	for _, rack := range gangRacks(t.step, p) {
		if chosen := chooseGang(request, len(members), rooms, rack); chosen != nil {
			for i, m := range members {
				p.take(chosen[i], request)
				c.place(m, p.sessions[chosen[i]], number)
			}
			return
		}
	}
}

// gangRacks returns the labels to which a gang is confined, in the order in
// which they are tried; "" is no confinement.
func gangRacks(s *state.WorkflowStep, p *pool) []string {
	if !s.SameRack {
		return []string{""}
	}
	seen := make(map[string]bool)
	var racks []string
	for _, r := range p.rooms {
		if r == nil {
			continue
		}
		for _, l := range r.Labels {
			if !seen[l] && l != s.Label {
				seen[l] = true
				racks = append(racks, l)
			}
		}
	}
	slices.Sort(racks)
	return append(racks, "")
}

// chooseGang returns a room for each member of a gang, or nil.
func chooseGang(task placement.PoolTask, members int, rooms []*placement.PoolRoom, label string) []int {
	trial := make([]*placement.PoolRoom, len(rooms))
	for i, r := range rooms {
		if r != nil && (label == "" || slices.Contains(r.Labels, label)) {
			room := *r
			room.Servers = slices.Clone(r.Servers)
			trial[i] = &room
		}
	}
	onRoom := make(map[int]int)
	limit := task.Step.MaxPerWorker
	task.Excluded = func(i int) bool { return limit > 0 && onRoom[i] >= limit }
	chosen := make([]int, 0, members)
	for range members {
		i := placement.ChooseRoom(trial, task)
		if i < 0 {
			return nil
		}
		trial[i].Take(task)
		onRoom[i]++
		chosen = append(chosen, i)
	}
	return chosen
}
