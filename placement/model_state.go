package placement

import (
	"maps"
	"math"
	"slices"

	"apricotrouter/state"
)

const (
	// savedDeviation is the standard deviation of a restored interference
	// coefficient.
	savedDeviation = 0.2
	// minSavedChange is the smallest difference between a coefficient and its
	// saved value that causes the model to be saved again.
	minSavedChange = 0.15
)

// Save returns the model in a fixed order, for the next leader.
func (p *InterferenceModel) Save() state.SetInterference {
	var s state.SetInterference
	for _, image := range slices.Sorted(maps.Keys(p.floors)) {
		i := state.ServingImage{Image: image, MinTailMillis: p.floors[image], Load: p.Load(image)}
		for _, bestEffort := range slices.Sorted(maps.Keys(p.matrix)) {
			if value, ok := p.matrix[bestEffort][image]; ok {
				i.Interference = append(i.Interference, state.ImageInterference{BestEffort: bestEffort, Value: value})
			}
		}
		s.Images = append(s.Images, i)
	}
	return s
}

// RestoreInterferenceModel returns a model initialised from a saved one. s may
// be nil.
func RestoreInterferenceModel(s *state.SetInterference) *InterferenceModel {
	p := NewInterferenceModel()
	if s == nil {
		return p
	}
	for _, i := range s.Images {
		p.floors[i.Image], p.loads[i.Image] = i.MinTailMillis, i.Load
		covariance := newErrorCovariance()
		for _, coefficient := range i.Interference {
			p.setCoefficient(i.Image, coefficient.BestEffort, coefficient.Value)
			row := covariance.row(coefficient.BestEffort)
			covariance.values[row][row] = savedDeviation * savedDeviation
		}
		p.covariance[i.Image] = covariance
	}
	return p
}

// Differs reports whether the model has changed enough since s was saved to
// save it again.
func (p *InterferenceModel) Differs(s *state.SetInterference) bool {
	if s == nil {
		return len(p.floors) > 0
	}
	saved, current := 0, 0
	for _, i := range s.Images {
		if _, ok := p.floors[i.Image]; !ok {
			return true
		}
		for _, coefficient := range i.Interference {
			if math.Abs(p.Coefficient(i.Image, coefficient.BestEffort)-coefficient.Value) > minSavedChange {
				return true
			}
		}
		saved += len(i.Interference)
	}
	for _, byServing := range p.matrix {
		current += len(byServing)
	}
	return len(p.floors) != len(s.Images) || current != saved
}
