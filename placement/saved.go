package placement

import (
	"cmp"
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
	for image, floor := range p.floors {
		s.Images = append(s.Images, state.ServingImage{Image: image, FloorMillis: floor, Load: p.Load(image)})
	}
	for leftover, by := range p.pairs {
		for serving, value := range by {
			s.Pairs = append(s.Pairs, state.ImagePressure{Serving: serving, Leftover: leftover, Value: value})
		}
	}
	slices.SortFunc(s.Images, func(a, b state.ServingImage) int { return cmp.Compare(a.Image, b.Image) })
	slices.SortFunc(s.Pairs, func(a, b state.ImagePressure) int {
		return cmp.Or(cmp.Compare(a.Serving, b.Serving), cmp.Compare(a.Leftover, b.Leftover))
	})
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
	}
	for _, pair := range s.Pairs {
		if p.pairs[pair.Leftover] == nil {
			p.pairs[pair.Leftover] = make(Pressures)
		}
		p.pairs[pair.Leftover][pair.Serving] = pair.Value
		if p.errors[pair.Serving] == nil {
			p.errors[pair.Serving] = newCovariance()
		}
		errors := p.errors[pair.Serving]
		row := errors.row(pair.Leftover)
		errors.values[row][row] = savedSpread * savedSpread
	}
	return p
}

// Differs reports whether estimates have changed enough since s was saved to
// save them again.
func (p *Pressure) Differs(s *state.SetPressures) bool {
	if s == nil {
		return len(p.floors) > 0
	}
	pairs := 0
	for _, by := range p.pairs {
		pairs += len(by)
	}
	if len(p.floors) != len(s.Images) || pairs != len(s.Pairs) {
		return true
	}
	for _, pair := range s.Pairs {
		if math.Abs(p.Of(pair.Serving, pair.Leftover)-pair.Value) > savedChange {
			return true
		}
	}
	return false
}
