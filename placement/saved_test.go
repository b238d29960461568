package placement_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"apricotrouter/placement"
)

// Guards against a new leader that has to learn at the expense of serving
// tasks what its predecessor knew.
func TestSavedPressuresAreRestored(t *testing.T) {
	g := NewWithT(t)
	p := placement.NewPressure()
	var l placement.Load
	observe := func(tail int64) {
		for i := range 50 {
			p.Observe(&l, placement.Sample{
				Image: "s", AtMillis: int64(i) * 100, TailMillis: tail, TargetMillis: 50, Uses: map[string]float64{"l": 0.2},
			})
		}
	}
	g.Expect(p.Differs(nil)).To(BeFalse(), "nothing was learned")
	observe(45)
	saved := p.Save()
	g.Expect(p.Differs(nil)).To(BeTrue())
	g.Expect(p.Differs(&saved)).To(BeFalse())

	restored := placement.RestorePressure(&saved)
	g.Expect(restored.Of("s", "l")).To(Equal(p.Of("s", "l")))
	g.Expect(restored.Load("s")).To(Equal(p.Load("s")))
	g.Expect(restored.Limit("s", 50)).To(Equal(p.Limit("s", 50)))
	g.Expect(restored.Save()).To(Equal(saved))

	observe(500)
	g.Expect(p.Differs(&saved)).To(BeTrue())
}
