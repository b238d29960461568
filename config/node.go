package config

import (
	"fmt"
	"os"
	"time"

	"github.com/goccy/go-yaml"

	"apricotrouter/steperr"
)

// Node is the settings of a process that runs workflows: an entry instance,
// which takes clients' calls, or a control instance, which holds the log.
type Node struct {
	Path             string   `yaml:"-"` // file from which the settings were read
	Instance         string   `yaml:"instance"`
	AvailabilityZone string   `yaml:"availability_zone"`
	IP               string   `yaml:"ip"`
	PeerPort         int      `yaml:"peer_port"`
	DataFolder       string   `yaml:"data_folder"`
	Seeds            []string `yaml:"seeds"`     // IP:port of control instances; the port is not used
	Bootstrap        bool     `yaml:"bootstrap"` // first start of the whole cluster
	// LostInstances is how many control instances may be lost at once.
	LostInstances int `yaml:"lost_instances"`

	Listen  NodeListen  `yaml:"listen"`
	Limits  NodeLimits  `yaml:"limits"`
	Workers NodeWorkers `yaml:"workers"`
	Log     Log         `yaml:"log"`
}

// NodeListen holds the addresses on which a node listens, each IP:port; one
// that is empty is not used.
type NodeListen struct {
	Callers   string `yaml:"callers"`
	Readiness string `yaml:"readiness"`
	Control   string `yaml:"control"` // operators and workers
	Metrics   string `yaml:"metrics"`
}

// NodeLimits holds what the process may use.
type NodeLimits struct {
	MemoryMiB int64 `yaml:"memory_mib"`
	// Descriptors is how many file descriptors the process may have; 0 for the
	// limit of the system.
	Descriptors int     `yaml:"descriptors"`
	GraceS      float64 `yaml:"grace_s"` // from SIGTERM to SIGKILL
}

// Grace returns the time from SIGTERM to SIGKILL.
func (l NodeLimits) Grace() time.Duration { return time.Duration(l.GraceS * float64(time.Second)) }

// NodeWorkers holds the bounds of the workers' platform, in milliseconds.
type NodeWorkers struct {
	HeartbeatMS float64 `yaml:"heartbeat_ms"` // interval of heartbeats
	LeaseMS     float64 `yaml:"lease_ms"`     // the longest that a worker accepts
	StopGraceMS float64 `yaml:"stop_grace_ms"`
	RestoreMS   float64 `yaml:"restore_ms"`    // until a run has resumed from a checkpoint
	PaceDelayMS float64 `yaml:"pace_delay_ms"` // until a pace is in force
	// MaxOverTargetMS is how long neighbours may keep a serving task over its
	// target on end; 0 for no bound.
	MaxOverTargetMS float64 `yaml:"max_over_target_ms"`
}

// Millis converts a setting in milliseconds.
func Millis(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }

// LoadNode reads the settings of a node.
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

// Defaults where the settings name no bound, in the units of the settings:
// those of the platform's own example.
const (
	defaultHeartbeatMS = 1000
	defaultLeaseMS     = 6000
	defaultStopGraceMS = 500
	// defaultLostInstances makes five voters.
	defaultLostInstances = 2
	defaultGraceS        = 6
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
	return nil
}

func setDefault(v *float64, d float64) {
	if *v <= 0 {
		*v = d
	}
}
