package fleet

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against polls and rate changes that use up the limit of calls in
// flight during a burst of starts, when every worker has a poll in flight and
// rate changes wait.
func TestLooksAndPacesLeaveRoomForStarts(t *testing.T) {
	g := NewWithT(t)
	const limit = 100
	q := callQueue{limit: limit}
	var sent [callClasses]int
	add := func(class callClass, n int) {
		for range n {
			q.add(class, func() bool { sent[class]++; return true })
		}
	}
	add(callPoll, 500)
	add(callSetRate, 500)
	g.Expect(sent[callPoll]).To(Equal(75))
	g.Expect(sent[callSetRate]).To(Equal(15))
	add(callStart, 30)
	g.Expect(sent[callStart]).To(Equal(10), "remaining calls below the limit")
	// Calls end in any order; waiting starts are sent first.
	for range 20 {
		q.done(callPoll)
	}
	g.Expect(sent).To(Equal([callClasses]int{30, 75, 15}))
	for range 30 {
		q.done(callStart)
	}
	g.Expect(sent[callPoll]).To(BeNumerically(">=", 75+20))
	g.Expect(q.total).To(BeNumerically("<=", limit))
}

// Guards against a discarded call that still counts as in flight.
func TestDiscardedCallsAreNotInFlight(t *testing.T) {
	g := NewWithT(t)
	q := callQueue{limit: 1}
	for range 5 {
		q.add(callStart, func() bool { return false })
	}
	sent := false
	q.add(callSetRate, func() bool { sent = true; return true })
	g.Expect(sent).To(BeTrue())
	q.add(callStart, func() bool { panic("beyond the limit") })
	q.clear()
	q.done(callSetRate)
	g.Expect(q.total).To(BeZero())
}
