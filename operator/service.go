// Package operator implements the operator service of an entry instance. It
// proposes changes as commands of the replicated log, and serves reads from the
// state that the instance has applied.
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

// ProposeTimeout limits the wait for the result of a change. It is long enough
// for one leader election in the control group.
const ProposeTimeout = 5 * time.Second

// Roles of an entry instance in the control group.
const (
	RoleLeader  = "leader"
	RoleVoter   = "voter"
	RoleLearner = "learner" // receives the log but does not vote
)

// LastContactUnknown is the value of InstanceStatus.LastContact if the leader
// has received no message from the instance, or if the reporting instance has
// no such information.
const LastContactUnknown time.Duration = -1

// Group gives the operator service access to the control group.
type Group interface {
	// Init forms the group and returns its id and the ids of its voters. If a
	// group already exists, Init returns that group. After an error the outcome
	// is unknown, and Init can safely be called again.
	Init(ctx context.Context) (groupID string, voters []string, err error)
	// Status returns this instance's view of the group. It does not block.
	Status() Status
}

// Status is one instance's view of the control group.
type Status struct {
	Instance     string // reporting instance
	GroupID      string // empty before the group is formed
	Leader       string // empty if unknown
	Term         uint64
	AppliedIndex uint64
	Fresh        bool // whether the instance holds a valid freshness lease
	Instances    []InstanceStatus
}

// InstanceStatus is the status of one entry instance in the control group.
type InstanceStatus struct {
	ID          string
	Zone        string
	PeerAddress string
	Role        string        // one of the Role constants
	LastContact time.Duration // time since the leader last received a message from it, or LastContactUnknown
}

// Options configures a Service. All fields except Logger and Registerer are
// required.
type Options struct {
	Log        replica.Log
	Group      Group
	Clock      clockwork.Clock
	Logger     *slog.Logger
	Registerer prometheus.Registerer // if nil, no metrics are registered
}

// Service implements gen.Service, the generated interface of the operator
// service.
type Service struct {
	log     replica.Log
	group   Group
	clock   clockwork.Clock
	logger  *slog.Logger
	metrics *metrics
}

var _ gen.Service = (*Service)(nil)

// New returns a Service with the given options.
func New(o Options) *Service {
	return &Service{
		log:     o.Log,
		group:   o.Group,
		clock:   o.Clock,
		logger:  o.Logger,
		metrics: newMetrics(o.Clock, o.Registerer),
	}
}

// freshState returns the applied state, or an error if committed changes may be
// missing from it.
func (s *Service) freshState() (*state.State, error) {
	if s.log.Fresh() {
		return s.log.State(), nil
	}
	return nil, s.notFreshError("read")
}

// notFreshError returns the error of a call that this instance can't serve
// because it is in no control group or its state may be stale. The text names
// the refused action and what the operator can do.
func (s *Service) notFreshError(action string) error {
	st := s.group.Status()
	if st.GroupID == "" {
		return unavailable(fmt.Errorf("instance %s is in no control group: run `apricotrouter init` once, or wait until the instance has joined", st.Instance))
	}
	return unavailable(fmt.Errorf("instance %s has no confirmed state, so this attempt to %s did nothing: send it to another instance, or see `apricotrouter status`", st.Instance, action))
}
