package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against an endpoint that gets no requests for a long time because of
// one slow sample, which only a new request could correct.
func TestSlowSampleLosesWeightWithTime(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_800_000_000, 0)
	slow, fast := &target{}, &target{}
	slow.observe(2*time.Second, now)
	for range 8 {
		now = now.Add(time.Second)
		fast.observe(20*time.Millisecond, now)
	}
	g.Expect(slow.expected(now)).To(BeNumerically("<", fast.expected(now)))
	g.Expect(slow.expected(now.Add(time.Hour))).To(BeNumerically("<", time.Microsecond))

	recovered := now.Add(8 * time.Second)
	slow.observe(20*time.Millisecond, recovered)
	g.Expect(slow.expected(recovered)).To(BeNumerically("<", 40*time.Millisecond), "the old sample has lost its weight")
	slow.observe(2*time.Second, recovered)
	g.Expect(slow.expected(recovered)).To(BeNumerically(">", 200*time.Millisecond), "a new slow sample counts")
}
