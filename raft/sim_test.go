package raft

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
)

// TestMain sets a fixed seed for rapid unless a seed is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("20261204")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// testFailer is implemented by *testing.T and *rapid.T.
type testFailer interface {
	Helper()
	Fatalf(format string, args ...any)
}

// simNode is a replica with a simulated disk.
type simNode struct {
	id   ID
	core *Core // nil while the process is down

	// Content of the disk.
	hard    HardState
	base    Position
	entries []Entry

	applied uint64
}

// sim runs cores over a simulated network without timing. After every output it
// checks that no term has two leaders, that no committed entry is lost or
// changed, and that no applied index decreases.
type sim struct {
	t         testFailer
	nodes     map[ID]*simNode
	order     []ID
	queue     []Message
	leaders   map[uint64]ID
	committed map[uint64]Entry
	proposals int
	blocked   func(from, to ID) bool
}

func newSim(t testFailer, voters int) *sim {
	s := &sim{t: t, nodes: make(map[ID]*simNode), leaders: make(map[uint64]ID), committed: make(map[uint64]Entry)}
	s.committed[1] = Entry{Index: 1, Term: 1}
	var m Membership
	for i := 1; i <= voters; i++ {
		m.Voters = append(m.Voters, Member{ID: ID(i), Instance: fmt.Sprint(i)})
	}
	for i := 1; i <= voters; i++ {
		s.add(ID(i), Position{Index: 1, Term: 1, Members: m}, HardState{Term: 1})
	}
	return s
}

// add starts a replica. With an empty base it is a learner without a log.
func (s *sim) add(id ID, base Position, hard HardState) *simNode {
	n := &simNode{id: id, base: base, hard: hard}
	s.nodes[id] = n
	s.order = append(s.order, id)
	s.restart(n)
	return n
}

func (s *sim) restart(n *simNode) {
	n.applied = n.base.Index
	n.core = New(Options{
		Self: n.id, ElectionTicks: 10, HeartbeatTicks: 2, MaxAppendBytes: 100, MaxInflight: 4,
		HardState: n.hard, Base: n.base, Entries: n.entries, Applied: n.base.Index,
	})
}

// process carries out a replica's output. With crash set, the replica crashes
// before anything is sent: after the disk write if written is set, otherwise
// before it.
func (s *sim) process(n *simNode, crash, written bool) {
	for n.core != nil {
		out := n.core.Take()
		if out.Empty() {
			break
		}
		if crash && !written {
			n.core = nil
			return
		}
		s.persist(n, out)
		if crash {
			n.core = nil
			return
		}
		s.send(n, out.Messages)
		n.core.Persisted(out.Entries)
		s.apply(n, out)
	}
	if n.core != nil && n.core.role == Leader {
		if other, ok := s.leaders[n.core.term]; ok && other != n.id {
			s.t.Fatalf("term %d has leaders %d and %d", n.core.term, other, n.id)
		}
		s.leaders[n.core.term] = n.id
	}
}

func (s *sim) persist(n *simNode, out Output) {
	if out.Snapshot != nil {
		n.base, n.entries = *out.Snapshot, slices.Clone(n.core.Tail())
	} else if len(out.Entries) > 0 {
		keep := out.Entries[0].Index - n.base.Index - 1
		n.entries = append(slices.Clone(n.entries[:keep]), out.Entries...)
	}
	if out.HardState != nil {
		n.hard = *out.HardState
	}
}

func (s *sim) send(n *simNode, msgs []Message) {
	for _, m := range msgs {
		if m.Type == MsgSnapshot {
			p, ok := n.core.Position(n.applied)
			if !ok {
				s.t.Fatalf("position %d of replica %d is unknown", n.applied, n.id)
			}
			m.Snapshot = &p
		}
		s.queue = append(s.queue, m)
	}
}

func (s *sim) apply(n *simNode, out Output) {
	if out.Snapshot != nil {
		if out.Snapshot.Index <= n.applied {
			s.t.Fatalf("applied index of replica %d decreases from %d to snapshot %d", n.id, n.applied, out.Snapshot.Index)
		}
		n.applied = out.Snapshot.Index
		if e, ok := s.committed[n.applied]; !ok || e.Term != out.Snapshot.Term {
			s.t.Fatalf("replica %d installed a snapshot at %d that is not committed", n.id, n.applied)
		}
	}
	for _, e := range out.Committed {
		if e.Index != n.applied+1 {
			s.t.Fatalf("replica %d applies %d after %d", n.id, e.Index, n.applied)
		}
		n.applied = e.Index
		old, ok := s.committed[e.Index]
		if ok && (old.Term != e.Term || string(old.Data) != string(e.Data)) {
			s.t.Fatalf("entry %d changed from term %d %q to term %d %q", e.Index, old.Term, old.Data, e.Term, e.Data)
		}
		s.committed[e.Index] = e
	}
}

// deliver removes message i from the queue and delivers it unless lost is set.
func (s *sim) deliver(i int, lost bool) {
	m := s.queue[i]
	s.queue = slices.Delete(s.queue, i, i+1)
	s.handle(m, lost)
}

func (s *sim) handle(m Message, lost bool) {
	to, from := s.nodes[m.To], s.nodes[m.From]
	lost = lost || to == nil || to.core == nil || s.blocked != nil && s.blocked(m.From, m.To)
	if !lost {
		to.core.Step(m)
		s.process(to, false, false)
	}
	if m.Type == MsgSnapshot && from != nil && from.core != nil {
		index := m.Snapshot.Index
		if lost {
			index = 0
		}
		from.core.ReportSnapshot(m.To, index)
		s.process(from, false, false)
	}
}

func (s *sim) tick(n *simNode) {
	if n.core != nil {
		n.core.Tick()
		s.process(n, false, false)
	}
}

// run executes n rounds. Each ticks all replicas and delivers all messages.
func (s *sim) run(n int) {
	for range n {
		for _, id := range s.order {
			s.tick(s.nodes[id])
		}
		for len(s.queue) > 0 {
			s.deliver(0, false)
		}
	}
}

// leader returns the leader of the highest term, or nil.
func (s *sim) leader() *simNode {
	var best *simNode
	for _, id := range s.order {
		n := s.nodes[id]
		if n.core != nil && n.core.role == Leader && (best == nil || n.core.term > best.core.term) {
			best = n
		}
	}
	return best
}

// elect runs until there is a leader that has committed the first entry of its
// term.
func (s *sim) elect() *simNode {
	s.t.Helper()
	for range 200 {
		s.run(1)
		if l := s.leader(); l != nil && l.core.commit >= l.core.termStart {
			return l
		}
	}
	var all strings.Builder
	for _, id := range s.order {
		fmt.Fprintf(&all, "\n%+v vote %d", s.nodes[id].core.Status(), s.nodes[id].core.vote)
	}
	s.t.Fatalf("no leader was elected: %s", all.String())
	return nil
}

// propose proposes a command on n, and reports whether n accepted it.
func (s *sim) propose(n *simNode) bool {
	s.proposals++
	_, _, err := n.core.Propose(fmt.Appendf(nil, "command %d", s.proposals))
	n.core.Flush()
	s.process(n, false, false)
	return err == nil
}

// addAllLearners starts replication from the leader to every running replica,
// as freshness requests do.
func (s *sim) addAllLearners(l *simNode) {
	for _, id := range s.order {
		if s.nodes[id].core != nil {
			l.core.AddLearner(id)
		}
	}
	s.process(l, false, false)
}
