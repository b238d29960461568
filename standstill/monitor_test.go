package standstill

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
)

// Guards against a message that passes for new although it waited while the
// process did not run, and against messages that pass for old long after that.
func TestMessagesReadAfterAnInterruptionMayBeOld(t *testing.T) {
	const ms = time.Millisecond
	for name, tc := range map[string]struct {
		signs []time.Duration // between signs of life
		since time.Duration   // the last sign of life
		want  time.Duration
	}{
		"process runs":               {signs: []time.Duration{100 * ms, 100 * ms}, since: 90 * ms},
		"late by less than counts":   {signs: []time.Duration{100 * ms, 240 * ms}},
		"just after":                 {signs: []time.Duration{100 * ms, 1100 * ms}, want: 1100 * ms},
		"before the timer has fired": {signs: []time.Duration{100 * ms}, since: 1100 * ms, want: 1100 * ms},
		"while sockets are read":     {signs: []time.Duration{1100 * ms, 100 * ms}, want: 1200 * ms},
		"once they have been read":   {signs: []time.Duration{1100 * ms, 100 * ms, 100 * ms, 100 * ms}},
		"twice in quick succession":  {signs: []time.Duration{600 * ms, 100 * ms, 600 * ms}, want: 1300 * ms},
		"twice with time to read":    {signs: []time.Duration{600 * ms, 100 * ms, 100 * ms, 600 * ms}, want: 600 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			m := NewMonitor(clock, nil, nil)
			clock.Advance(time.Second)
			m.lastSeen.Store(int64(m.now()))
			for _, d := range tc.signs {
				clock.Advance(d)
				m.observe(m.now())
			}
			clock.Advance(tc.since)
			NewWithT(t).Expect(m.MaxWait()).To(Equal(tc.want))
		})
	}
	var none *Monitor
	NewWithT(t).Expect(none.MaxWait()).To(BeZero())
}
