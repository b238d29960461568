package admission_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"apricotrouter/admission"
)

// Guards against large workflows that leave no room for ordinary ones, and
// against the refusal of what fits.
func TestStorageKeepsRoomForSmallWorkflows(t *testing.T) {
	for _, c := range []struct {
		name           string
		capacity, used int64
		bytes          int64
		want           admission.StorageFit
	}{
		{"unlimited", 0, 1 << 40, 1 << 40, admission.Fits},
		{"small, empty", 6400, 0, 100, admission.Fits},
		{"large, empty", 6400, 0, 3200, admission.Fits},
		{"larger than the part for large ones", 6400, 0, 3201, admission.NeverFits},
		{"large, exactly in the part for large ones", 6400, 3099, 101, admission.Fits},
		{"large, beyond that part", 6400, 3100, 101, admission.FitsLater},
		{"small, beyond the part for large ones", 6400, 3200, 100, admission.Fits},
		{"small, exactly full", 6400, 6300, 100, admission.Fits},
		{"small, over full", 6400, 6301, 100, admission.FitsLater},
		{"more is used than there is", 6400, 9000, 1, admission.FitsLater},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := admission.Storage{Capacity: c.capacity, Used: c.used}
			NewWithT(t).Expect(s.Fit(c.bytes)).To(Equal(c.want))
		})
	}
}

// Load pattern: a thousand submissions with tens of thousands of tasks each that
// never end, beside ordinary ones that do. Guards against an instance that stores
// more than its capacity, and against ordinary callers that are refused because
// of the others.
func TestHugeWorkflowsDoNotKeepOrdinaryOnesOut(t *testing.T) {
	g := NewWithT(t)
	const capacity, huge, ordinary, inProgress = 100 << 20, 40 << 20, 30 << 10, 1000
	s := admission.Storage{Capacity: capacity}
	stored := 0
	for i := range 10_000 {
		if i%10 == 0 && s.Fit(huge) == admission.Fits {
			s.Used += huge
		}
		g.Expect(s.Fit(ordinary)).To(Equal(admission.Fits), "submission %d", i)
		s.Used += ordinary
		if stored++; stored > inProgress {
			stored--
			s.Used -= ordinary
		}
		g.Expect(s.Used).To(BeNumerically("<=", int64(capacity)))
	}
}

// Guards against clients that all return at the same time, and against a retry
// that a copy of the refused submission precedes.
func TestRetriesAfterALackOfMemoryAreSpread(t *testing.T) {
	g := NewWithT(t)
	const copies = 15_000
	seconds := make(map[int64]int)
	for i := range 1000 {
		after := admission.StorageRetryAfter(1, fmt.Sprintf("%016x", i), copies)
		g.Expect(after).To(BeNumerically(">=", copies))
		seconds[after/1000]++
	}
	for _, n := range seconds {
		g.Expect(n).To(BeNumerically("<", 200))
	}
}
