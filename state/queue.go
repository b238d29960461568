package state

import (
	"fmt"
	"strings"
)

// Rank is the scheduling rank of a pending task. Lower ranks are scheduled
// first.
type Rank int

// Ranks in scheduling order.
const (
	RankLatencyCritical Rank = iota
	RankUrgent
	RankNormal
	RankLow
)

// Rank returns the rank of the task.
func (t *Task) Rank() Rank {
	if t.Kind == KindLatencyCritical {
		return RankLatencyCritical
	}
	switch t.Priority {
	case PriorityUrgent:
		return RankUrgent
	case PriorityLow:
		return RankLow
	default:
		return RankNormal
	}
}

// queueKey returns the key of a pending task. Keys are ordered by rank, team,
// time of submission and owner.
func queueKey(t *Task) string {
	return key(queuePrefix(t.Rank(), t.Team), fmt.Sprintf("%016x", t.SubmittedAt), t.Owner, t.ID)
}

func queuePrefix(rank Rank, team string) string {
	return key(fmt.Sprintf("%d", rank), team)
}

// Queue identifies the pending tasks of one rank and team.
type Queue struct {
	Rank Rank
	Team string
}

// afterSeparator is the byte value that follows keySeparator. A prefix with
// afterSeparator appended is the lower bound of the keys after those with the
// prefix.
const afterSeparator = "\x01"

// PendingQueues returns the queues that are not empty, ordered by rank and team.
// Its cost is proportional to the number of queues, not of tasks.
func (s *State) PendingQueues() []Queue {
	var queues []Queue
	for from := ""; ; {
		k, ok := s.pending.lowerBound(from)
		if !ok {
			return queues
		}
		parts := strings.SplitN(k, keySeparator, 3)
		q := Queue{Rank: Rank(parts[0][0] - '0'), Team: parts[1]}
		queues = append(queues, q)
		from = queuePrefix(q.Rank, q.Team) + afterSeparator
	}
}

// QueueCursor iterates over the pending tasks of one queue in order of
// submission.
type QueueCursor struct {
	state  *State
	prefix string
	from   string
	last   string
}

// Pending returns a cursor before the first task of the queue.
func (s *State) Pending(q Queue) *QueueCursor {
	prefix := queuePrefix(q.Rank, q.Team) + keySeparator
	return &QueueCursor{state: s, prefix: prefix, from: prefix}
}

// Next returns the next task, or nil at the end.
func (c *QueueCursor) Next() *Task {
	k, ok := c.state.pending.lowerBound(c.from)
	if !ok || !strings.HasPrefix(k, c.prefix) {
		return nil
	}
	c.last = k
	c.from = k + keySeparator
	t, _ := c.state.Tasks.Get(lastPart(k))
	return t
}

// SkipOwner skips the remaining tasks of the job whose task Next returned last.
// Only tasks submitted at the same time are skipped.
func (c *QueueCursor) SkipOwner() {
	owner := c.last[:strings.LastIndex(c.last, keySeparator)]
	c.from = owner + afterSeparator
}
