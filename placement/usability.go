package placement

import (
	"cmp"
	"slices"
)

// Load pattern: best-effort tasks wait under overload, and serving tasks are
// placed meanwhile. A serving task makes its worker useless for the images that
// interfere with it, for as long as it runs. On a worker that is useless for
// them already it costs nothing.

const (
	// usabilityWeight is the weight, in the score of a worker, of the usability
	// for waiting images that a serving task takes away there, relative to the
	// load of a fully used worker. It outweighs otherImageWeight for a worker
	// that is idle otherwise.
	usabilityWeight = 2.0
	// maxWaitingImages bounds the images that are considered. The others wait
	// with less CPU than each of these.
	maxWaitingImages = 4
)

// WaitingImage is an image of best-effort tasks that wait.
type WaitingImage struct {
	Image    string
	MilliCPU int64 // CPU of one task, in thousandths of a processor
	Weight   float64
}

// NewWaitingImages returns the images that wait with the most CPU. demand is the
// number of waiting tasks and the sum of their CPU by image. The weights are the
// parts of the CPU of all of them.
func NewWaitingImages(demand map[string]WaitingCPU) []WaitingImage {
	total := int64(0)
	images := make([]WaitingImage, 0, len(demand))
	for image, d := range demand {
		if d.Tasks > 0 && d.MilliCPU > 0 {
			images = append(images, WaitingImage{image, d.MilliCPU / d.Tasks, float64(d.MilliCPU)})
			total += d.MilliCPU
		}
	}
	slices.SortFunc(images, func(a, b WaitingImage) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.Image, b.Image))
	})
	for i := range images {
		images[i].Weight /= float64(total)
	}
	return images[:min(len(images), maxWaitingImages)]
}

// WaitingCPU is the waiting tasks of an image.
type WaitingCPU struct{ Tasks, MilliCPU int64 }

// lostUsability returns the part of a worker that a serving task makes useless
// for waiting images: the weighted loss of the execution rate at which one task
// of each could run there alone, times the part of the worker's processors that
// best-effort tasks use or could use.
func (t *PoolTask) lostUsability(r *WorkerCapacity) float64 {
	m := t.InterferenceModel
	headroom := m.Limit(t.Step.Image, t.Step.TailMillis) - m.Load(t.Step.Image)
	lost := 0.0
	for _, w := range t.WaitingImages {
		use, before := fractionOf(w.MilliCPU, r.Capacity.MilliCPU), 1.0
		coefficients := m.CoefficientsOf(w.Image)
		for i := range r.ServingGroups {
			s := &r.ServingGroups[i]
			before = min(before, max(0, rateFraction(coefficients.Coefficient(s.Image)*use, s.Headroom+s.CoLocated)))
		}
		after := rateFraction(coefficients.Coefficient(t.Step.Image)*use, headroom)
		lost += w.Weight * max(0, before-max(0, after))
	}
	return lost * fractionOf(max(0, r.IdleCPU+r.BestEffortCPU), r.Capacity.MilliCPU)
}
