package config

import (
	"fmt"
	"os"
	"time"

	"github.com/goccy/go-yaml"

	"apricotrouter/steperr"
)

// Node contains the settings of a process of the workflow platform: an entry
// instance, which accepts clients' calls, or a control instance, which stores a
// replica of the log.
type Node struct {
	Path             string   `yaml:"-"` // path of the settings file
	Instance         string   `yaml:"instance"`
	AvailabilityZone string   `yaml:"availability_zone"`
	IP               string   `yaml:"ip"`
	PeerPort         int      `yaml:"peer_port"`
	DataFolder       string   `yaml:"data_folder"`
	Seeds            []string `yaml:"seeds"`     // IP:port of control instances; the port is ignored
	Bootstrap        bool     `yaml:"bootstrap"` // first start of the cluster
	// LostInstances is the number of simultaneous losses of control instances
	// that the cluster must tolerate.
	LostInstances int `yaml:"lost_instances"`

	Listen  NodeListen  `yaml:"listen"`
	Limits  NodeLimits  `yaml:"limits"`
	Workers NodeWorkers `yaml:"workers"`
	Log     Log         `yaml:"log"`
}

// NodeListen contains the addresses on which a node listens, each IP:port. A
// listener with an empty address is not opened.
type NodeListen struct {
	Callers   string `yaml:"callers"`
	Readiness string `yaml:"readiness"`
	Control   string `yaml:"control"` // operators and workers
	Metrics   string `yaml:"metrics"`
}

// NodeLimits contains the resource limits of the process.
type NodeLimits struct {
	MemoryMiB int64 `yaml:"memory_mib"`
	// Descriptors is the maximum number of open file descriptors; 0 applies the
	// limit of the operating system.
	Descriptors int     `yaml:"descriptors"`
	GraceS      float64 `yaml:"grace_s"` // from SIGTERM to SIGKILL
	// InputMiB is the memory for what callers, or operators and workers, have
	// sent and not finished; 0 applies a quarter of MemoryMiB.
	InputMiB int64 `yaml:"input_mib"`
	// WorkflowsMiB is the memory for stored workflows of a control instance; 0
	// applies a third of MemoryMiB.
	WorkflowsMiB int64 `yaml:"workflows_mib"`
	// The following bound what one client may do. 0 applies the default.
	HeaderKiB       int64   `yaml:"header_kib"`        // request line and headers
	BodyKiB         int64   `yaml:"body_kib"`          // body of a submission
	HeaderTimeoutMS float64 `yaml:"header_timeout_ms"` // for request line and headers
	IdleTimeoutMS   float64 `yaml:"idle_timeout_ms"`   // between two requests
	BodyGraceMS     float64 `yaml:"body_grace_ms"`     // for a body, in addition to its size divided by BodyRateKiBs
	BodyRateKiBs    int64   `yaml:"body_rate_kib_s"`   // minimum rate of a body, in KiB/s
	WriteTimeoutMS  float64 `yaml:"write_timeout_ms"`  // for each 64 KiB of a response
}

// Limits that operators promise to clients. Settings below them would refuse
// clients that keep to the promise.
const (
	promisedHeaderKiB       = 16
	promisedBodyKiB         = 256
	promisedHeaderTimeoutMS = 3000
	promisedIdleTimeoutMS   = 15000
	// minBodyGraceMS covers two retransmissions of a lost packet.
	minBodyGraceMS = 1000
	// maxBodyRateKiBs is the rate of one body on a link of 2 Mbit/s, halved.
	maxBodyRateKiBs   = 128
	minWriteTimeoutMS = 1000
	maxClientTimeMS   = 600_000
	// maxRequestKiB is the largest accepted limit of a header or a body.
	maxRequestKiB = 8 << 10
)

// DefaultNodeLimits returns the limits of settings that name none.
func DefaultNodeLimits() NodeLimits {
	var l NodeLimits
	if err := l.validateClients(); err != nil {
		panic(err) // the defaults are valid
	}
	return l
}

// validateClients checks the limits of clients and fills in defaults.
func (l *NodeLimits) validateClients() error {
	if l.MemoryMiB < 0 || l.InputMiB < 0 || l.MemoryMiB > 0 && l.InputMiB > l.MemoryMiB {
		return fmt.Errorf("limits.input_mib %d is not between 0 and limits.memory_mib %d", l.InputMiB, l.MemoryMiB)
	}
	if l.WorkflowsMiB < 0 || l.MemoryMiB > 0 && l.WorkflowsMiB > l.MemoryMiB {
		return fmt.Errorf("limits.workflows_mib %d is not between 0 and limits.memory_mib %d", l.WorkflowsMiB, l.MemoryMiB)
	}
	for _, s := range []struct {
		name                      string
		value                     *int64
		standard, lowest, highest int64
	}{
		{"header_kib", &l.HeaderKiB, defaultHeaderKiB, promisedHeaderKiB, maxRequestKiB},
		{"body_kib", &l.BodyKiB, defaultBodyKiB, promisedBodyKiB, maxRequestKiB},
		{"body_rate_kib_s", &l.BodyRateKiBs, defaultBodyRateKiBs, 1, maxBodyRateKiBs},
	} {
		if *s.value == 0 {
			*s.value = s.standard
		}
		if *s.value < s.lowest || *s.value > s.highest {
			return fmt.Errorf("limits.%s %d is not between %d and %d", s.name, *s.value, s.lowest, s.highest)
		}
	}
	for _, s := range []struct {
		name             string
		value            *float64
		standard, lowest float64
	}{
		{"header_timeout_ms", &l.HeaderTimeoutMS, defaultHeaderTimeoutMS, promisedHeaderTimeoutMS},
		{"idle_timeout_ms", &l.IdleTimeoutMS, defaultIdleTimeoutMS, promisedIdleTimeoutMS},
		{"body_grace_ms", &l.BodyGraceMS, defaultBodyGraceMS, minBodyGraceMS},
		{"write_timeout_ms", &l.WriteTimeoutMS, defaultWriteTimeoutMS, minWriteTimeoutMS},
	} {
		if *s.value == 0 {
			*s.value = s.standard
		}
		if !(*s.value >= s.lowest && *s.value <= maxClientTimeMS) {
			return fmt.Errorf("limits.%s %g is not between %g and %d", s.name, *s.value, s.lowest, maxClientTimeMS)
		}
	}
	return nil
}

// workflowsShare is the reciprocal of the default part of the memory for stored
// workflows. Half of it holds a workflow with the highest number of tasks on the
// smallest control instances (280 MiB); ordinary load takes a few percent of it.
const workflowsShare = 3

// WorkflowBytes returns the memory for stored workflows, in bytes; 0 means no
// limit.
func (l NodeLimits) WorkflowBytes() int64 {
	if l.WorkflowsMiB > 0 {
		return l.WorkflowsMiB << 20
	}
	return l.MemoryMiB << 20 / workflowsShare
}

// Grace returns the time from SIGTERM to SIGKILL.
func (l NodeLimits) Grace() time.Duration { return time.Duration(l.GraceS * float64(time.Second)) }

// NodeWorkers contains the time limits of the platform's workers, in
// milliseconds.
type NodeWorkers struct {
	HeartbeatMS float64 `yaml:"heartbeat_ms"`  // interval of the workers' heartbeats
	LeaseMS     float64 `yaml:"lease_ms"`      // longest lease that a worker accepts
	StopGraceMS float64 `yaml:"stop_grace_ms"` // longest time to stop a run
	RestoreMS   float64 `yaml:"restore_ms"`    // time for a run to resume from a checkpoint
	RateDelayMS float64 `yaml:"pace_delay_ms"` // time until a new execution rate takes effect
	// MaxOverTargetMS is the longest continuous time for which co-located tasks
	// may push a serving task over its latency target; 0 means no limit.
	MaxOverTargetMS float64 `yaml:"max_over_target_ms"`
}

// Milliseconds converts a number of milliseconds to a duration.
func Milliseconds(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }

// LoadNode reads and validates the settings file at path and fills in defaults.
func LoadNode(path string) (*Node, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, steperr.Wrap(err, "read settings", path)
	}
	n := &Node{Path: path}
	if err := yaml.Unmarshal(data, n); err != nil {
		return nil, steperr.Wrap(err, "parse settings", path)
	}
	if err := n.validate(); err != nil {
		return nil, steperr.Wrap(err, "check settings", path)
	}
	return n, nil
}

// Defaults of omitted settings, in the units of the settings. The values are
// those of the platform's own example.
const (
	defaultHeartbeatMS = 1000
	defaultLeaseMS     = 6000
	defaultStopGraceMS = 500
	// defaultLostInstances results in five voters.
	defaultLostInstances = 2
	defaultGraceS        = 6

	defaultHeaderKiB       = 32
	defaultBodyKiB         = 1024
	defaultHeaderTimeoutMS = 5000
	defaultIdleTimeoutMS   = 60_000
	// Two lost packets in a row delay a body by up to 3 s. A link of 2 Mbit/s
	// carries 60 bodies at the minimum rate.
	defaultBodyGraceMS    = 5000
	defaultBodyRateKiBs   = 4
	defaultWriteTimeoutMS = 10_000
)

func (n *Node) validate() error {
	switch {
	case n.Instance == "" || n.AvailabilityZone == "" || n.IP == "":
		return fmt.Errorf("instance, availability_zone and ip are required")
	case n.PeerPort <= 0 || n.PeerPort > 65535:
		return fmt.Errorf("peer_port %d is not a port (1 to 65535)", n.PeerPort)
	case len(n.Seeds) == 0:
		return fmt.Errorf("seeds names no control instance")
	case n.Limits.Descriptors < 0:
		return fmt.Errorf("limits.descriptors %d is negative", n.Limits.Descriptors)
	}
	if n.LostInstances <= 0 {
		n.LostInstances = defaultLostInstances
	}
	setDefault(&n.Workers.HeartbeatMS, defaultHeartbeatMS)
	setDefault(&n.Workers.LeaseMS, defaultLeaseMS)
	setDefault(&n.Workers.StopGraceMS, defaultStopGraceMS)
	setDefault(&n.Limits.GraceS, defaultGraceS)
	return n.Limits.validateClients()
}

func setDefault(setting *float64, value float64) {
	if *setting <= 0 {
		*setting = value
	}
}
