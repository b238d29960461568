package state

import "fmt"

// Resources are amounts of what an instance holds, in integer units so that
// sums are exact.
type Resources struct {
	MilliCPU     int64 `cbor:"1,keyasint,omitempty"` // thousandths of a core
	MemoryMiB    int64 `cbor:"2,keyasint,omitempty"`
	Accelerators int64 `cbor:"3,keyasint,omitempty"`
}

// Add returns r + o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMiB + o.MemoryMiB, r.Accelerators + o.Accelerators}
}

// Sub returns r - o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMiB - o.MemoryMiB, r.Accelerators - o.Accelerators}
}

// Fits reports whether r is at most o in every dimension.
func (r Resources) Fits(o Resources) bool {
	return r.MilliCPU <= o.MilliCPU && r.MemoryMiB <= o.MemoryMiB && r.Accelerators <= o.Accelerators
}

// Valid reports whether no amount is negative.
func (r Resources) Valid() bool {
	return r.MilliCPU >= 0 && r.MemoryMiB >= 0 && r.Accelerators >= 0
}

// IsZero reports whether all amounts are zero.
func (r Resources) IsZero() bool {
	return r == Resources{}
}

// Positive returns r with 0 in place of negative amounts.
func (r Resources) Positive() Resources {
	return Resources{max(0, r.MilliCPU), max(0, r.MemoryMiB), max(0, r.Accelerators)}
}

// Max returns the larger amount of r and o in each dimension.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.MilliCPU, o.MilliCPU), max(r.MemoryMiB, o.MemoryMiB), max(r.Accelerators, o.Accelerators)}
}

// Within reports whether r is at most quota in each dimension in which the
// quota sets a limit. 0 is no limit.
func (r Resources) Within(quota Resources) bool {
	return (quota.MilliCPU == 0 || r.MilliCPU <= quota.MilliCPU) &&
		(quota.MemoryMiB == 0 || r.MemoryMiB <= quota.MemoryMiB) &&
		(quota.Accelerators == 0 || r.Accelerators <= quota.Accelerators)
}

// String returns the amounts with their units.
func (r Resources) String() string {
	return fmt.Sprintf("%d mCPU, %d MiB, %d accelerators", r.MilliCPU, r.MemoryMiB, r.Accelerators)
}
