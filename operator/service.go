// Package operator serves the calls of operators on an entry instance: it
// turns changes into commands of the replicated log, and answers reads from
// the state that the instance has applied.
package operator

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	gen "apricotrouter/gen/operator"
	"apricotrouter/replica"
	"apricotrouter/state"
)

// ProposeTimeout bounds the wait for the result of a change. It covers one
// election of the control group.
const ProposeTimeout = 5 * time.Second

// Roles of an entry instance in the control group.
const (
	RoleLeader  = "leader"
	RoleVoter   = "voter"
	RoleLearner = "learner" // receives the log and does not vote
)

// LastContactUnknown is the last contact of an instance from which the leader
// has not heard, or on an instance that does not know it.
const LastContactUnknown time.Duration = -1

// Group is the control group as the operator service needs it.
type Group interface {
	// Init forms the group and returns its id and the ids of the instances
	// that vote. Where a group exists, it returns that group. On an error the
	// outcome is unknown and a repetition is safe.
	Init(ctx context.Context) (groupID string, voters []string, err error)
	// Status returns what this instance knows of the group. It does not block.
	Status() Status
}

// Status is what an instance knows of the control group.
type Status struct {
	Instance     string // instance that answers
	GroupID      string // empty before the group is formed
	Leader       string // empty if none is known
	Term         uint64
	AppliedIndex uint64
	Fresh        bool // whether the instance holds its freshness lease
	Instances    []InstanceStatus
}

// InstanceStatus is the part of one entry instance in the control group.
type InstanceStatus struct {
	ID          string
	Zone        string
	PeerAddress string
	Role        string        // one of the Role constants
	LastContact time.Duration // since the leader heard from it; LastContactUnknown if not known
}

// Options configures a Service. All fields but Logger and Registerer are
// required.
type Options struct {
	Log        replica.Log
	Group      Group
	Clock      clockwork.Clock
	Logger     *slog.Logger
	Registerer prometheus.Registerer // nil registers no metrics
}

// Service implements the generated interface of the operator service.
type Service struct {
	log     replica.Log
	group   Group
	clock   clockwork.Clock
	logger  *slog.Logger
	metrics *metrics
}

var _ gen.Service = (*Service)(nil)

// New returns a service.
func New(o Options) *Service {
	return &Service{
		log:     o.Log,
		group:   o.Group,
		clock:   o.Clock,
		logger:  o.Logger,
		metrics: newMetrics(o.Clock, o.Registerer),
	}
}

// read returns the state for a read, or an error if the state may lack
// committed changes.
func (s *Service) read() (*state.State, error) {
	if s.log.Fresh() {
		return s.log.State(), nil
	}
	return nil, s.notFresh("read")
}

// notFresh says that this instance can't answer and what to do.
func (s *Service) notFresh(what string) error {
	st := s.group.Status()
	if st.GroupID == "" {
		return unavailable(fmt.Errorf("instance %s is in no control group: run `apricotrouter init` once, or wait until the instance has joined", st.Instance))
	}
	return unavailable(fmt.Errorf("instance %s has no confirmed state, so this attempt to %s did nothing: send it to another instance, or see `apricotrouter status`", st.Instance, what))
}
