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

	Listen   NodeListen   `yaml:"listen"`
	Services NodeServices `yaml:"services"`
	Limits   NodeLimits   `yaml:"limits"`
	Workers  NodeWorkers  `yaml:"workers"`
	Log      Log          `yaml:"log"`
}

// NodeListen holds the addresses on which a node listens, each IP:port; one
// that is empty is not used.
type NodeListen struct {
	Callers   string `yaml:"callers"`
	Readiness string `yaml:"readiness"`
	Control   string `yaml:"control"` // operators and workers
	Metrics   string `yaml:"metrics"`
}

// NodeServices holds the addresses of the platform's services.
type NodeServices struct {
	Machines string `yaml:"machines"`
	Policy   string `yaml:"policy"`
	// MachineReadsPerSecond and MachineChangesPerSecond are what the platform
	// accepts of all instances together.
	MachineReadsPerSecond   float64 `yaml:"machine_reads_per_second"`
	MachineChangesPerSecond float64 `yaml:"machine_changes_per_second"`
}

// NodeLimits holds what the process may use.
type NodeLimits struct {
	MemoryMiB int64 `yaml:"memory_mib"`
	GraceMS   int64 `yaml:"grace_ms"` // from SIGTERM to SIGKILL
}

// Grace returns the time from SIGTERM to SIGKILL.
func (l NodeLimits) Grace() time.Duration { return millis(l.GraceMS) }

// NodeWorkers holds the bounds of the workers' platform, in milliseconds.
type NodeWorkers struct {
	HeartbeatMS     int64   `yaml:"heartbeat_ms"`
	LeaseMS         int64   `yaml:"lease_ms"` // the longest that a worker accepts
	StopGraceMS     int64   `yaml:"stop_grace_ms"`
	DrainMS         int64   `yaml:"drain_ms"`
	RestoreMS       int64   `yaml:"restore_ms"`
	InterferenceMS  int64   `yaml:"interference_ms"` // how long a serving task may suffer from a neighbour
	PaceDelayMS     int64   `yaml:"pace_delay_ms"`
	NoticeMS        int64   `yaml:"notice_ms"`
	RemoteFactor    float64 `yaml:"remote_factor"`
	MaintenanceMS   int64   `yaml:"maintenance_ms"`
	GangTimeoutMS   int64   `yaml:"gang_timeout_ms"`
	CheckpointEvery int64   `yaml:"checkpoint_ms"`
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

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

// defaultMillis holds what applies where the settings name no bound.
const (
	defaultHeartbeatMS = 1000
	defaultLeaseMS     = 6000
	defaultStopGraceMS = 500
	defaultDrainMS     = 2000
	defaultImpactMS    = 4000
	defaultGraceMS     = 6000
)

func (n *Node) validate() error {
	switch {
	case n.Instance == "" || n.AvailabilityZone == "" || n.IP == "":
		return fmt.Errorf("instance, availability_zone and ip are required")
	case n.PeerPort <= 0 || n.PeerPort > 65535:
		return fmt.Errorf("peer_port %d is not a port (1 to 65535)", n.PeerPort)
	case len(n.Seeds) == 0:
		return fmt.Errorf("seeds names no control instance")
	}
	setDefault(&n.Workers.HeartbeatMS, defaultHeartbeatMS)
	setDefault(&n.Workers.LeaseMS, defaultLeaseMS)
	setDefault(&n.Workers.StopGraceMS, defaultStopGraceMS)
	setDefault(&n.Workers.DrainMS, defaultDrainMS)
	setDefault(&n.Workers.InterferenceMS, defaultImpactMS)
	setDefault(&n.Limits.GraceMS, defaultGraceMS)
	if n.Workers.RemoteFactor < 1 {
		n.Workers.RemoteFactor = 1
	}
	return nil
}

func setDefault(v *int64, d int64) {
	if *v <= 0 {
		*v = d
	}
}
