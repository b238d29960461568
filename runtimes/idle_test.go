package runtimes_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"apricotrouter/runtimes"
)

// Guards against weights that exceed the range of numbers after a long time
// without runs, which made the next run panic.
func TestRunsAfterALongPauseAreLearned(t *testing.T) {
	for _, pause := range []time.Duration{time.Hour, 10 * time.Hour, 18 * time.Hour, 30 * 24 * time.Hour} {
		g := NewWithT(t)
		m, now := runtimes.NewModel(), int64(0)
		k := runtimes.Key{Queue: "q", Image: "i", Size: 1}
		for series := range 3 {
			for i := range uint64(40) {
				now += 100
				m.Observe(k, uint64(series)*100+i, 1000, 2000, now)
			}
			g.Expect(m.Estimate(k, 1000).Mean()).To(BeNumerically("~", 2000, 200), "after a pause of %s", pause)
			now += pause.Milliseconds()
		}
	}
}
