package conns

import (
	"cmp"
	"slices"
	"time"
)

// pendingConn is what a decision knows of a connection whose request is
// unfinished: it has sent none, or only a part of its header or body.
type pendingConn struct {
	held     int64         // memory charged for it, in bytes
	received int64         // bytes of the present request
	age      time.Duration // since the first of these bytes, or since the connection became idle
	begun    bool          // it has sent a part of a request
}

const (
	// reliefGrace is the time within which every unfinished request counts as on
	// time. A header needs at most a round trip and a retransmission.
	reliefGrace = time.Second
	// reliefRate is the rate, in bytes per second, above which a request remains
	// on time after reliefGrace. A link of 2 Mbit/s carries four such requests.
	reliefRate = 64 << 10
)

// late reports whether the connection is slower than a client within its limits
// on a link that is not overloaded. One that has sent nothing is late after
// reliefGrace, too.
func (p pendingConn) late() bool {
	return p.age > reliefGrace+time.Duration(float64(p.received)/reliefRate*float64(time.Second))
}

// chooseForMemory returns the indices of the connections to give up so that at
// least excess bytes become free, in the order in which to give them up.
//
// It addresses crowds of clients that send large parts of requests and do not
// finish them. Late connections go first, and among equally late ones those that
// have occupied the most memory for the longest time. Connections that have not
// begun a request are not chosen while others remain: they hold little.
func chooseForMemory(all []pendingConn, excess int64) []int {
	order := make([]int, len(all))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		x, y := all[a], all[b]
		return cmp.Or(
			compareBool(y.begun, x.begun),
			compareBool(y.late(), x.late()),
			cmp.Compare(y.occupied(), x.occupied()),
		)
	})
	for n, i := range order {
		if excess <= 0 {
			return order[:n]
		}
		excess -= all[i].held
	}
	return order
}

// occupied returns the memory that the connection holds times the time for which
// it has held it. Times below reliefGrace count as reliefGrace, so that a large
// request that has just begun goes before a small one that is about to end.
func (p pendingConn) occupied() float64 {
	return float64(p.held) * max(p.age, reliefGrace).Seconds()
}

// chooseForConnections returns the indices of at most n connections to give up
// because all connections of their use are taken.
//
// It addresses crowds of clients that open connections and send nothing, or so
// slowly that ordinary clients get no connection. Only late connections are
// chosen, the oldest first.
func chooseForConnections(all []pendingConn, n int) []int {
	var late []int
	for i, p := range all {
		if p.late() {
			late = append(late, i)
		}
	}
	slices.SortStableFunc(late, func(a, b int) int { return cmp.Compare(all[b].age, all[a].age) })
	return late[:min(n, len(late))]
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
