package fleet

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against looks and paces that take the calls in flight from starts: a
// burst of starts arrives while every worker has a look in flight and paces wait.
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
	add(callLook, 500)
	add(callPace, 500)
	g.Expect(sent[callLook]).To(Equal(75))
	g.Expect(sent[callPace]).To(Equal(15))
	add(callStart, 30)
	g.Expect(sent[callStart]).To(Equal(10), "what is left of the limit")
	// Calls end in any order: starts that wait go first.
	for range 20 {
		q.done(callLook)
	}
	g.Expect(sent).To(Equal([callClasses]int{30, 75, 15}))
	for range 30 {
		q.done(callStart)
	}
	g.Expect(sent[callLook]).To(BeNumerically(">=", 75+20))
	g.Expect(q.total).To(BeNumerically("<=", limit))
}

// Guards against a call that is no longer wanted and keeps its place.
func TestCallsThatAreNotWantedTakeNoPlace(t *testing.T) {
	g := NewWithT(t)
	q := callQueue{limit: 1}
	for range 5 {
		q.add(callStart, func() bool { return false })
	}
	sent := false
	q.add(callPace, func() bool { sent = true; return true })
	g.Expect(sent).To(BeTrue())
	q.add(callStart, func() bool { panic("beyond the limit") })
	q.clear()
	q.done(callPace)
	g.Expect(q.total).To(BeZero())
}
