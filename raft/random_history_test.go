package raft

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Guards against faults that need several rare events at once: lost, duplicated
// and reordered messages, crashes before and after a write, wiped disks,
// transfers, membership changes and compaction. sim checks the invariants. At
// the end the group must be able to commit.
func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := &history{sim: newSim(rt, rapid.IntRange(1, 5).Draw(rt, "voters")), rt: rt, nextID: 100}
		if rapid.Bool().Draw(rt, "elect first") {
			h.elect()
		}
		for range rapid.IntRange(20, 250).Draw(rt, "steps") {
			h.step()
		}
		h.healAndVerify()
	})
}

type history struct {
	*sim
	rt     *rapid.T
	nextID ID // of the next replica to be added
	wiped  int
}

// draw returns a random number in [0, n).
func (h *history) draw(n int, what string) int { return rapid.IntRange(0, n-1).Draw(h.rt, what) }

func (h *history) randomNode() *simNode { return h.nodes[h.order[h.draw(len(h.order), "replica")]] }

func (h *history) step() {
	switch h.draw(12, "action") {
	case 0, 1:
		h.run(1 + h.draw(15, "rounds"))
	case 2:
		h.deliverRandomMessages(h.draw(20, "messages"))
	case 3, 4:
		for range 1 + h.draw(40, "ticks") {
			h.tick(h.randomNode())
		}
		h.deliverRandomMessages(h.draw(10, "messages"))
	case 5, 6:
		h.withLeader(func(l *simNode) {
			for range 1 + h.draw(12, "proposals") {
				h.propose(l)
			}
		})
	case 7:
		h.crash(h.randomNode())
	case 8:
		if n := h.randomNode(); n.core == nil {
			h.restart(n)
		}
	case 9:
		h.members()
	case 10:
		h.withLeader(func(l *simNode) { _ = l.core.TransferLeadership(h.randomNode().id); h.process(l, false, false) })
	case 11:
		h.compactOrWipe(h.randomNode())
	}
}

// deliverRandomMessages delivers some messages in random order and drops or
// duplicates others.
func (h *history) deliverRandomMessages(n int) {
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
				h.handle(m, false)
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
		h.proposals++
		_, _, _ = n.core.Propose(fmt.Appendf(nil, "lost %d", h.proposals))
	}
	n.core.Tick()
	h.process(n, true, h.draw(2, "written") == 0)
	n.core = nil
}

// members proposes to add a learner or to remove a voter.
func (h *history) members() {
	h.withLeader(func(l *simNode) {
		h.addAllLearners(l)
		id := h.randomNode().id
		m := l.core.members.WithoutVoter(id)
		if l.core.members.Voter(id) == nil {
			m = l.core.members.WithVoter(Member{ID: id, Instance: fmt.Sprint(id)})
		}
		_ = l.core.ProposeMembership(m)
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
	h.add(h.nextID, Position{}, HardState{})
	h.nextID++
}

// healAndVerify restarts all replicas and expects a commit if every membership
// known to a replica still has a majority.
func (h *history) healAndVerify() {
	for _, id := range h.order {
		if n := h.nodes[id]; n.core == nil {
			h.restart(n)
		}
	}
	for len(h.queue) > 0 {
		h.deliver(0, true) // lost: may contain a membership that is not checked below
	}
	known := false
	for _, id := range h.order {
		remaining := 0
		m := h.nodes[id].core.members
		known = known || len(m.Voters) > 0
		for _, v := range m.Voters {
			if h.nodes[v.ID] != nil {
				remaining++
			}
		}
		if len(m.Voters) > 0 && remaining < m.Majority() {
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
		h.addAllLearners(l)
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
