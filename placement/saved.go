package placement

import (
	"maps"
	"math"
	"slices"

	"apricotrouter/state"
)

const (
	// savedSpread is the standard deviation of a pressure that an earlier
	// leader estimated.
	savedSpread = 0.2
	// savedChange is by how much a pressure must differ from the saved one to
	// be worth saving again.
	savedChange = 0.15
)

// Save returns the estimates for the next leader, in a fixed order.
func (p *Pressure) Save() state.SetPressures {
	var s state.SetPressures
	for _, image := range slices.Sorted(maps.Keys(p.floors)) {
		i := state.ServingImage{Image: image, FloorMillis: p.floors[image], Load: p.Load(image)}
		for _, leftover := range slices.Sorted(maps.Keys(p.pairs)) {
			if value, ok := p.pairs[leftover][image]; ok {
				i.Pressures = append(i.Pressures, state.ImagePressure{Leftover: leftover, Value: value})
			}
		}
		s.Images = append(s.Images, i)
	}
	return s
}

// RestorePressure returns an estimate that goes on from saved ones; nil for
// none.
func RestorePressure(s *state.SetPressures) *Pressure {
	p := NewPressure()
	if s == nil {
		return p
	}
	for _, i := range s.Images {
		p.floors[i.Image], p.loads[i.Image] = i.FloorMillis, i.Load
		errors := newCovariance()
		for _, one := range i.Pressures {
			p.set(i.Image, one.Leftover, one.Value)
			row := errors.row(one.Leftover)
			errors.values[row][row] = savedSpread * savedSpread
		}
		p.errors[i.Image] = errors
	}
	return p
}

// Differs reports whether estimates have changed enough since s was saved to
// save them again.
func (p *Pressure) Differs(s *state.SetPressures) bool {
	if s == nil {
		return len(p.floors) > 0
	}
	saved, known := 0, 0
	for _, i := range s.Images {
		if _, ok := p.floors[i.Image]; !ok {
			return true
		}
		for _, one := range i.Pressures {
			if math.Abs(p.Of(i.Image, one.Leftover)-one.Value) > savedChange {
				return true
			}
		}
		saved += len(i.Pressures)
	}
	for _, by := range p.pairs {
		known += len(by)
	}
	return len(p.floors) != len(s.Images) || known != saved
}
