package replica

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"apricotrouter/raft"
)

// plannedGroup simulates a group that executes planned steps.
type plannedGroup struct {
	voters []voter
	spare  []raft.Member
}

func (p *plannedGroup) apply(s membershipStep) bool {
	switch {
	case s.add != nil:
		p.spare = slices.DeleteFunc(p.spare, func(m raft.Member) bool { return m.ID == s.add.ID })
		p.voters = append(p.voters, voter{Member: *s.add, caughtUp: true})
	case s.remove != nil:
		p.voters = slices.DeleteFunc(p.voters, func(v voter) bool { return v.ID == s.remove.ID })
	case s.transfer != nil:
		for i := range p.voters {
			p.voters[i].self = p.voters[i].ID == s.transfer.ID
		}
	default:
		return false
	}
	return true
}

func (p *plannedGroup) responsive() int {
	n := 0
	for _, v := range p.voters {
		if !v.unresponsive {
			n++
		}
	}
	return n
}

// Guards against steps that lose the majority or remove the leader, against an
// endless sequence of steps, and against a final group that could be improved
// with the available candidates: with unresponsive voters, voters in a drained
// zone, or a spread that loses the majority with one zone.
func TestPlannedStepsConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		target := rapid.SampledFrom([]int{3, 5}).Draw(rt, "target")
		zones := rapid.IntRange(3, 4).Draw(rt, "zones")
		out := fmt.Sprint("zone", rapid.IntRange(0, zones).Draw(rt, "zone out"))
		p := &plannedGroup{}
		for i := range target {
			zone := fmt.Sprint("zone", rapid.IntRange(0, zones-1).Draw(rt, "zone"))
			p.voters = append(p.voters, voter{
				Member: raft.Member{ID: raft.ID(i + 1), Instance: fmt.Sprint("e", i), Zone: zone},
				self:   i == 0, zoneDrained: zone == out, caughtUp: true,
				unresponsive: i > 0 && i <= target/2 && rapid.Bool().Draw(rt, "silent"),
			})
		}
		for z := range zones { // enough candidates in every zone that is not drained
			for i := range 3 {
				m := raft.Member{ID: raft.ID(100 + 10*z + i), Instance: fmt.Sprintf("c%d-%d", z, i), Zone: fmt.Sprint("zone", z)}
				if m.Zone != out {
					p.spare = append(p.spare, m)
				}
			}
		}
		for steps := 0; ; steps++ {
			g.Expect(steps).To(BeNumerically("<", 40), "the sequence of steps does not end")
			responsive := p.responsive() >= len(p.voters)/2+1
			if !p.apply(planMembershipStep(target, p.voters, p.spare)) {
				break
			}
			g.Expect(len(p.voters)).To(BeNumerically(">=", target))
			g.Expect(!responsive || p.responsive() >= len(p.voters)/2+1).To(BeTrue(), "the majority was lost")
			g.Expect(slices.ContainsFunc(p.voters, func(v voter) bool { return v.self })).To(BeTrue(), "the leader was removed")
		}
		perZone := make(map[string]int)
		for _, v := range p.voters {
			g.Expect(v.unresponsive || v.zoneDrained).To(BeFalse(), "%v must be replaced", v)
			perZone[v.Zone]++
		}
		g.Expect(p.voters).To(HaveLen(target))
		for zone, n := range perZone {
			if zones == 4 || out == fmt.Sprint("zone", zones) {
				g.Expect(target-n).To(BeNumerically(">=", target/2+1), "loss of %s in %v", zone, perZone)
			}
		}
	})
}

// Guards against the removal of a voter before its replacement is added, and
// against a change without any candidate.
func TestPlanAddsBeforeRemoval(t *testing.T) {
	g := NewWithT(t)
	voters := []voter{
		{Member: raft.Member{ID: 1, Instance: "e1", Zone: "a"}, self: true, caughtUp: true},
		{Member: raft.Member{ID: 2, Instance: "e2", Zone: "b"}, unresponsive: true},
		{Member: raft.Member{ID: 3, Instance: "e3", Zone: "c"}, caughtUp: true},
	}
	g.Expect(planMembershipStep(3, voters, nil)).To(Equal(membershipStep{}))
	candidates := []raft.Member{{ID: 4, Instance: "e4", Zone: "a"}, {ID: 5, Instance: "e5", Zone: "b"}}
	g.Expect(planMembershipStep(3, voters, candidates)).To(Equal(membershipStep{add: &candidates[1]}), "zone b has no other voter")
	voters = append(voters, voter{Member: candidates[1], caughtUp: true})
	g.Expect(planMembershipStep(3, voters, candidates[:1])).To(Equal(membershipStep{remove: &voters[1].Member}))
}
