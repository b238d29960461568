package replica

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"apricotrouter/raft"
)

// plannedGroup is a group that carries out planned steps.
type plannedGroup struct {
	voters []voter
	spare  []raft.Member
}

func (p *plannedGroup) take(s step) bool {
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

func (p *plannedGroup) heard() int {
	n := 0
	for _, v := range p.voters {
		if !v.silent {
			n++
		}
	}
	return n
}

// Guards against steps that lose the majority or remove the leader, against
// steps without end, and against voters that stay silent, on a zone that is
// out, or so placed that the loss of one zone loses the majority, while
// candidates would allow better.
func TestPlannedStepsReachAGoodGroup(t *testing.T) {
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
				self:   i == 0, zoneOut: zone == out, caughtUp: true,
				silent: i > 0 && i <= target/2 && rapid.Bool().Draw(rt, "silent"),
			})
		}
		for z := range zones { // enough candidates in every zone that is in
			for i := range 3 {
				m := raft.Member{ID: raft.ID(100 + 10*z + i), Instance: fmt.Sprintf("c%d-%d", z, i), Zone: fmt.Sprint("zone", z)}
				if m.Zone != out {
					p.spare = append(p.spare, m)
				}
			}
		}
		for steps := 0; ; steps++ {
			g.Expect(steps).To(BeNumerically("<", 40), "steps without end")
			heard := p.heard() >= len(p.voters)/2+1
			if !p.take(planStep(target, p.voters, p.spare)) {
				break
			}
			g.Expect(len(p.voters)).To(BeNumerically(">=", target))
			g.Expect(!heard || p.heard() >= len(p.voters)/2+1).To(BeTrue(), "the majority was lost")
			g.Expect(slices.ContainsFunc(p.voters, func(v voter) bool { return v.self })).To(BeTrue(), "the leader was removed")
		}
		perZone := make(map[string]int)
		for _, v := range p.voters {
			g.Expect(v.silent || v.zoneOut).To(BeFalse(), "%v must be replaced", v)
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

// Guards against a removal before the replacement is there, and against a
// change without any candidate.
func TestPlanAddsBeforeItRemoves(t *testing.T) {
	g := NewWithT(t)
	voters := []voter{
		{Member: raft.Member{ID: 1, Instance: "e1", Zone: "a"}, self: true, caughtUp: true},
		{Member: raft.Member{ID: 2, Instance: "e2", Zone: "b"}, silent: true},
		{Member: raft.Member{ID: 3, Instance: "e3", Zone: "c"}, caughtUp: true},
	}
	g.Expect(planStep(3, voters, nil)).To(Equal(step{}))
	candidates := []raft.Member{{ID: 4, Instance: "e4", Zone: "a"}, {ID: 5, Instance: "e5", Zone: "b"}}
	g.Expect(planStep(3, voters, candidates)).To(Equal(step{add: &candidates[1]}), "zone b has no other voter")
	voters = append(voters, voter{Member: candidates[1], caughtUp: true})
	g.Expect(planStep(3, voters, candidates[:1])).To(Equal(step{remove: &voters[1].Member}))
}
