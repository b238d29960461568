package dispatch

import "sync/atomic"

// service is what the request path keeps with one service.
type service struct {
	name     string
	estimate *estimate
	retries  budget
	hedges   budget
	queue    *queue
	turn     atomic.Uint32 // where the search for an endpoint starts
}

// Shares of requests that may be sent again, in thousandths.
const (
	retryShare = 100
	hedgeShare = 50
)

func newService(name string) *service {
	return &service{
		name:     name,
		estimate: newEstimate(),
		retries:  newBudget(retryShare),
		hedges:   newBudget(hedgeShare),
		queue:    newQueue(),
	}
}
