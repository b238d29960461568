package fleet

import (
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
