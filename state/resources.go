package state

import "fmt"

// Resources are amounts of CPU, memory and accelerators. The units are
// integers, so sums are exact.
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

// FitsIn reports whether r is at most o in every dimension.
func (r Resources) FitsIn(o Resources) bool {
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

// ClampToZero returns r with negative amounts replaced by 0.
func (r Resources) ClampToZero() Resources {
	return Resources{max(0, r.MilliCPU), max(0, r.MemoryMiB), max(0, r.Accelerators)}
}

// Min returns the smaller amount of r and o in each dimension.
func (r Resources) Min(o Resources) Resources {
	return Resources{min(r.MilliCPU, o.MilliCPU), min(r.MemoryMiB, o.MemoryMiB), min(r.Accelerators, o.Accelerators)}
}

// Max returns the larger amount of r and o in each dimension.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.MilliCPU, o.MilliCPU), max(r.MemoryMiB, o.MemoryMiB), max(r.Accelerators, o.Accelerators)}
}

// WithinQuota reports whether r does not exceed quota. An amount of 0 in quota
// means that the dimension is unlimited.
func (r Resources) WithinQuota(quota Resources) bool {
	return (quota.MilliCPU == 0 || r.MilliCPU <= quota.MilliCPU) &&
		(quota.MemoryMiB == 0 || r.MemoryMiB <= quota.MemoryMiB) &&
		(quota.Accelerators == 0 || r.Accelerators <= quota.Accelerators)
}

// String returns the amounts with their units.
func (r Resources) String() string {
	return fmt.Sprintf("%d mCPU, %d MiB, %d accelerators", r.MilliCPU, r.MemoryMiB, r.Accelerators)
}
