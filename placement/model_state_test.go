package placement_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"apricotrouter/placement"
)

// Guards against a new leader that has to learn the interference coefficients
// again, during which serving tasks miss their targets.
func TestInterferenceModelIsRestored(t *testing.T) {
	g := NewWithT(t)
	p := placement.NewInterferenceModel()
	var l placement.Load
	observe := func(tail int64) {
		for i := range 50 {
			p.Observe(&l, placement.TailSample{
				Image: "s", AtMillis: int64(i) * 100, TailMillis: tail, TargetMillis: 50, Uses: map[string]float64{"l": 0.2},
			})
		}
	}
	g.Expect(p.Differs(nil)).To(BeFalse(), "no observations")
	observe(45)
	saved := p.Save()
	g.Expect(p.Differs(nil)).To(BeTrue())
	g.Expect(p.Differs(&saved)).To(BeFalse())

	restored := placement.RestoreInterferenceModel(&saved)
	g.Expect(restored.Coefficient("s", "l")).To(Equal(p.Coefficient("s", "l")))
	g.Expect(restored.Load("s")).To(Equal(p.Load("s")))
	g.Expect(restored.Limit("s", 50)).To(Equal(p.Limit("s", 50)))
	g.Expect(restored.Save()).To(Equal(saved))

	observe(500)
	g.Expect(p.Differs(&saved)).To(BeTrue())
}

// Guards against a model that grows with every image that ever ran, and against
// coefficients that remain after their image was removed.
func TestCoefficientsOfRemovedImagesAreDeleted(t *testing.T) {
	g := NewWithT(t)
	p := placement.NewInterferenceModel()
	var l placement.Load
	const images = 200
	at := int64(0)
	observe := func(serving string, uses map[string]float64) {
		at += 100
		p.Observe(&l, placement.TailSample{Image: serving, AtMillis: at, TailMillis: 40, TargetMillis: 50, Uses: uses})
	}
	for i := range images {
		observe("s", map[string]float64{fmt.Sprintf("l%03d", i): 0.2})
	}
	many := make(map[string]float64)
	for i := range images {
		observe(fmt.Sprintf("s%03d", i), map[string]float64{"l": 0.2})
		many[fmt.Sprintf("m%03d", i)] = 0.001
	}
	observe("s199", many)
	saved := p.Save()
	g.Expect(len(saved.Images)).To(BeNumerically("<=", 64))
	g.Expect(saved.Images[len(saved.Images)-1].Image).To(Equal("s199"))
	for _, i := range saved.Images {
		g.Expect(len(i.Interference)).To(BeNumerically("<=", 48), i.Image)
	}
	g.Expect(p.Coefficient("s000", "l")).To(Equal(placement.NewInterferenceModel().Coefficient("s000", "l")), "removed from the model")
	g.Expect(p.Differs(&saved)).To(BeFalse())
}
