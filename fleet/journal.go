package fleet

import (
	"context"

	"apricotrouter/state"
)

const (
	// maxStartsPerCommit bounds the starts in one log entry. It keeps the entry
	// far below the size limit of commands.
	maxStartsPerCommit = 512
)

// startRecord is a start to be committed and then sent.
type startRecord struct {
	attempt *attempt
	start   state.TaskStart
}

// journal collects the content of the next log entry. One entry is in flight at
// a time; later records go into the next one.
type journal struct {
	ends     []state.TaskEnd
	starts   []startRecord
	answered []state.TaskRun // serving tasks whose start was carried out
	settled  []state.TaskRun // tasks whose unanswered starts can no longer arrive
	onCommit []func()        // run once the entry is committed
	inFlight bool
}

func (j *journal) full() bool { return len(j.starts) >= maxStartsPerCommit }

func (j *journal) empty() bool { return !j.recordsAny() && len(j.onCommit) == 0 }

// recordsAny reports whether the journal has records to commit.
func (j *journal) recordsAny() bool {
	return len(j.ends) > 0 || len(j.starts) > 0 || len(j.answered) > 0 || len(j.settled) > 0
}

// settle records that starts of a task can no longer arrive. The ends that are
// recorded with it are applied after it.
func (j *journal) settle(r state.TaskRun) {
	j.settled = append(j.settled, r)
	for i := range j.ends {
		if e := &j.ends[i]; e.Workflow == r.Workflow && e.Task == r.Task {
			e.Unanswered = false
		}
	}
}

// commit proposes the content of the journal.
func (c *Controller) commit() {
	if c.journal.inFlight || c.journal.empty() {
		return
	}
	batch := c.journal
	c.journal = journal{inFlight: true}
	body := state.RecordTasks{Ends: batch.ends, Answered: batch.answered, Settled: batch.settled}
	for _, s := range batch.starts {
		body.Starts = append(body.Starts, s.start)
	}
	var err error
	done := c.inGeneration(func() { c.committed(batch, err) })
	begin := c.now()
	go func() {
		if batch.recordsAny() {
			err = c.propose(state.NewCommand(body))
		}
		c.metrics.commit.Observe((c.now() - begin).Seconds())
		done()
	}()
}

func (c *Controller) propose(cmd state.Command) error {
	ctx, cancel := context.WithTimeout(c.ctx, proposeTimeout)
	defer cancel()
	_, err := c.opts.Log.Propose(ctx, cmd)
	return err
}

// committed sends the starts of a batch and frees the tasks whose ends it
// records.
func (c *Controller) committed(batch journal, err error) {
	c.journal.inFlight = false
	if err != nil {
		c.reactivate("outcome of a commit is unknown: " + err.Error())
		return
	}
	s := c.opts.Log.State()
	generation := c.generation
	for _, e := range batch.ends {
		if c.endCommitted(s, e); c.generation != generation {
			return // reactivated; polls find that unsent starts are not running
		}
	}
	for _, r := range batch.starts {
		c.startCommitted(s, r)
	}
	for _, f := range batch.onCommit {
		f()
	}
	c.dirty = true
}

// endCommitted updates tasks from the state after their ends were applied.
func (c *Controller) endCommitted(s *state.State, e state.TaskEnd) {
	f := c.workflows[e.Workflow]
	if f == nil {
		return
	}
	w, ok := s.Workflows.Get(e.Workflow)
	if !ok || w.Phase.Ended() {
		c.closeWorkflow(f, w)
		return
	}
	if e.Crash != state.CrashNone || e.Explained {
		f.tasks[e.Task].uncommittedCrashes--
	}
	if t := f.tasks[e.Task]; t.endPending && e.Run >= t.run {
		t.endPending = false
		if w.Tasks[e.Task].Phase != state.TaskDone {
			c.reactivate("the state took another end than was expected")
			return
		}
	}
	p := f.spec.Position(e.Task)
	first, count := e.Task, 1
	if f.spec.Steps[p.Step].Gang {
		first, count = f.spec.FirstTask(p.Occurrence, p.Step), f.spec.Steps[p.Step].Count
	}
	for n := first; n < first+count; n++ {
		c.syncTask(f.tasks[n], &w.Tasks[n])
	}
	c.unblockTasks(f)
}

// startCommitted sends a start if the state contains it. An entry of an earlier
// activation may have recorded the same run for another worker.
func (c *Controller) startCommitted(s *state.State, r startRecord) {
	a := r.attempt
	if a.phase != attemptRecording {
		return
	}
	w, ok := s.Workflows.Get(r.start.Workflow)
	if !ok || w.Phase.Ended() || !w.Tasks[r.start.Task].IsRun(r.start) {
		c.dropAttempt(a)
		if a.task.phase == taskOnWorker {
			a.task.block()
		}
		if f := c.workflows[r.start.Workflow]; f != nil && ok && !w.Phase.Ended() {
			c.syncTask(a.task, &w.Tasks[r.start.Task])
			c.unblockTasks(f)
		}
		return
	}
	a.task.run = r.start.Run
	c.sendStart(a)
}
