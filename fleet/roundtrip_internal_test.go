package fleet

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against starts that are given up while a slow instance or network
// only needs longer, and against ones that are waited for much too long.
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
			var r roundTrip
			for _, d := range c.answers {
				r.observe(d)
			}
			NewWithT(t).Expect(r.timeout()).To(BeNumerically("~", c.want, 80*time.Millisecond))
		})
	}
}

// Guards against answers that are thrown away because the process stood still
// for longer than they may take: the timer is late by as much as the answer.
func TestCallContextOutlastsAStall(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := callContext(t.Context(), 10*time.Millisecond)
	defer cancel()
	time.Sleep(10*time.Millisecond + stallGrace/3)
	g.Expect(ctx.Err()).NotTo(HaveOccurred(), "the grace is not over")
	g.Eventually(ctx.Done(), time.Second).Should(BeClosed())
	g.Expect(context.Cause(ctx)).To(MatchError(context.DeadlineExceeded))
}
