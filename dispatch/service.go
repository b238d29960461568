package dispatch

import "sync/atomic"

// service is the routing state of one service.
type service struct {
	name        string
	estimate    *estimate
	retries     budget
	hedges      budget
	queue       *queue
	searchStart atomic.Uint32 // rotates the endpoint at which the search starts
}

// Budgets of a service, in thousandths of its requests.
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
