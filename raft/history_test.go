package raft

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Guards against every fault that needs several rare events at once: lost,
// repeated and reordered messages, crashes before and after a write, emptied
// disks, transfers, changes of membership and compaction. The checks are in
// sim. At the end the group must commit again.
func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := &history{sim: newSim(rt, rapid.IntRange(1, 5).Draw(rt, "voters")), rt: rt, next: 100}
		if rapid.Bool().Draw(rt, "elect first") {
			h.elect()
		}
		for range rapid.IntRange(20, 250).Draw(rt, "steps") {
			h.step()
		}
		h.finish()
	})
}

type history struct {
	*sim
	rt     *rapid.T
	next   ID // of the next new replica
	wiped  int
	digits uint64
}

// draw returns a number below n.
func (h *history) draw(n int, what string) int { return rapid.IntRange(0, n-1).Draw(h.rt, what) }

func (h *history) node() *simNode { return h.nodes[h.order[h.draw(len(h.order), "replica")]] }

func (h *history) step() {
	switch h.draw(12, "action") {
	case 0, 1:
		h.run(1 + h.draw(15, "rounds"))
	case 2:
		h.messages(h.draw(20, "messages"))
	case 3, 4:
		for range 1 + h.draw(40, "ticks") {
			h.tick(h.node())
		}
		h.messages(h.draw(10, "messages"))
	case 5, 6:
		h.withLeader(func(l *simNode) {
			for range 1 + h.draw(12, "proposals") {
				h.propose(l)
			}
		})
	case 7:
		h.crash(h.node())
	case 8:
		if n := h.node(); n.core == nil {
			h.restart(n)
		}
	case 9:
		h.members()
	case 10:
		h.withLeader(func(l *simNode) { _ = l.core.Transfer(h.node().id); h.process(l, false, false) })
	case 11:
		h.compactOrWipe(h.node())
	}
}

// messages delivers some messages in random order, and loses or repeats some.
func (h *history) messages(n int) {
	for range n {
		if len(h.queue) == 0 {
			return
		}
		i := h.draw(len(h.queue), "message")
		m := h.queue[i]
		switch h.draw(6, "fate") {
		case 0:
			h.deliver(i, true)
		case 1:
			if m.Type != MsgSnapshot {
				h.hand(m, false)
			}
		default:
			h.deliver(i, false)
		}
	}
}

func (h *history) withLeader(f func(*simNode)) {
	if l := h.leader(); l != nil {
		f(l)
	}
}

func (h *history) crash(n *simNode) {
	if n.core == nil {
		return
	}
	if n.core.role == Leader && h.draw(2, "propose") == 0 {
		_, _, _ = n.core.Propose(fmt.Appendf(nil, "lost %d", h.digits))
		h.digits++
	}
	n.core.Tick()
	h.process(n, true, h.draw(2, "written") == 0)
	n.core = nil
}

// members adds a learner that has caught up, or removes a voter.
func (h *history) members() {
	h.withLeader(func(l *simNode) {
		h.observeAll(l)
		id := h.node().id
		m := l.core.members.Without(id)
		if l.core.members.Voter(id) == nil {
			m = l.core.members.With(Member{ID: id, Instance: fmt.Sprint(id)})
		}
		_ = l.core.ProposeMembers(m)
		h.process(l, false, false)
	})
}

func (h *history) compactOrWipe(n *simNode) {
	if n.core != nil && h.draw(4, "wipe") > 0 {
		n.core.Compact(n.applied)
		n.base, n.entries = n.core.Base(), append([]Entry(nil), n.core.Tail()...)
		return
	}
	if h.wiped == 2 {
		return
	}
	h.wiped++
	delete(h.nodes, n.id)
	h.order = slices.DeleteFunc(h.order, func(id ID) bool { return id == n.id })
	h.add(h.next, Position{}, HardState{})
	h.next++
}

// finish heals everything and expects a commit, if every membership that some
// replica knows still has a majority.
func (h *history) finish() {
	for _, id := range h.order {
		if n := h.nodes[id]; n.core == nil {
			h.restart(n)
		}
	}
	for len(h.queue) > 0 {
		h.deliver(0, true) // may hold a membership that is not checked below
	}
	known := false
	for _, id := range h.order {
		left := 0
		m := h.nodes[id].core.members
		known = known || len(m.Voters) > 0
		for _, v := range m.Voters {
			if h.nodes[v.ID] != nil {
				left++
			}
		}
		if len(m.Voters) > 0 && left < m.Majority() {
			return
		}
	}
	if !known {
		return
	}
	h.elect()
	var l *simNode
	for range 5 {
		h.run(40)
		if l = h.leader(); l == nil {
			continue
		}
		h.observeAll(l)
		if h.propose(l) {
			break
		}
	}
	h.run(60)
	l = h.leader()
	for _, id := range h.order {
		if n := h.nodes[id]; n.applied != l.core.log.lastIndex() {
			h.t.Fatalf("replica %d has applied %d of %d entries after healing", id, n.applied, l.core.log.lastIndex())
		}
	}
}
