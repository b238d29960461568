package fleet

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a timeout of starts that is too short for a slow instance or
// network, and against one that is much too long.
func TestStartTimeoutFollowsRoundTrips(t *testing.T) {
	for name, c := range map[string]struct {
		answers []time.Duration
		want    time.Duration
	}{
		"nothing known": {nil, startTimeout},
		"fast":          {[]time.Duration{20 * time.Millisecond, 30 * time.Millisecond, 25 * time.Millisecond}, minStartTimeout},
		"slow":          {[]time.Duration{800 * time.Millisecond, 900 * time.Millisecond}, startTimeout},
		"slow by now": {
			[]time.Duration{20 * time.Millisecond, 20 * time.Millisecond, 300 * time.Millisecond, 300 * time.Millisecond, 300 * time.Millisecond},
			680 * time.Millisecond,
		},
	} {
		t.Run(name, func(t *testing.T) {
			var r roundTripEstimator
			for _, d := range c.answers {
				r.observe(d)
			}
			NewWithT(t).Expect(r.timeout()).To(BeNumerically("~", c.want, 80*time.Millisecond))
		})
	}
}

// Guards against responses that are discarded after the process stalled for
// longer than the timeout: the timer then fires as late as the response is
// read.
func TestCallContextOutlastsAStall(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := callContext(t.Context(), 10*time.Millisecond)
	defer cancel()
	time.Sleep(10*time.Millisecond + stallGrace/3)
	g.Expect(ctx.Err()).NotTo(HaveOccurred(), "stallGrace has not passed")
	g.Eventually(ctx.Done(), time.Second).Should(BeClosed())
	g.Expect(context.Cause(ctx)).To(MatchError(context.DeadlineExceeded))
}
