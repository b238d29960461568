// Package config reads the settings of one instance from YAML. Invalid
// settings of an entry instance are reported with file, line, key and the
// accepted range.
package config

import (
	"os"
	"slices"
	"time"

	"apricotrouter/steperr"
)

// Config is the content of a settings file. Peers must be the same on all
// instances of a cluster, as must some fields of Timing; the other sections
// apply to this instance only.
type Config struct {
	Instance Instance `yaml:"instance"`
	Listen   Listen   `yaml:"listen"`
	Peers    []Peer   `yaml:"peers"`
	Dispatch Dispatch `yaml:"dispatch"`
	Timing   Timing   `yaml:"timing"`
	TLS      TLS      `yaml:"tls"`
	Log      Log      `yaml:"log"`
}

// Instance identifies this instance.
type Instance struct {
	ID               string `yaml:"id"`
	AvailabilityZone string `yaml:"availability_zone"`
	// DataFolder is the directory of the durable state of a control replica.
	// Without it, the instance stores no replica on disk.
	DataFolder string `yaml:"data_folder"`
}

// Listen contains the addresses on which this instance listens, each IP:port.
// With port 0, the operating system chooses a free port.
type Listen struct {
	Entry    string `yaml:"entry"`    // callers and endpoint announcements, HTTP
	Operator string `yaml:"operator"` // operators, gRPC
	Peer     string `yaml:"peer"`     // other entry instances
	Admin    string `yaml:"admin"`    // health and metrics, HTTP
}

// Peer is one entry instance of the cluster.
type Peer struct {
	ID               string `yaml:"id"`
	AvailabilityZone string `yaml:"availability_zone"`
	// Address is the IP:port at which this instance dials the peer port.
	Address string `yaml:"address"`
	// InitialVoter makes the instance a voter when the control group is formed.
	// It has no effect afterwards.
	InitialVoter bool `yaml:"initial_voter"`
}

// Dispatch contains the limits for callers' requests.
type Dispatch struct {
	// DefaultTimeout applies to requests that specify no timeout.
	DefaultTimeout time.Duration `yaml:"default_timeout"`
	// MaxBodyBytes is the largest accepted request body.
	MaxBodyBytes int64 `yaml:"max_body_bytes"`
	// ShutdownGrace is how long an instance that is shutting down still accepts
	// requests after it has started to report not ready.
	ShutdownGrace time.Duration `yaml:"shutdown_grace"`
}

// Timing contains the intervals and timeouts of the control group.
type Timing struct {
	// Heartbeat is the interval of the leader's heartbeats. It and
	// ElectionTimeout must be the same on all instances, because a leader
	// relies on the election timeout of the other instances.
	Heartbeat time.Duration `yaml:"heartbeat"`
	// ElectionTimeout is the minimum election timeout. Each timeout is chosen at
	// random between this value and twice this value.
	ElectionTimeout time.Duration `yaml:"election_timeout"`
	// RepairAfter is how long a voter may be unresponsive before it is replaced.
	RepairAfter time.Duration `yaml:"repair_after"`
}

// Log configures the log output.
type Log struct {
	Format string `yaml:"format"` // json or text
	Level  string `yaml:"level"`  // debug, info, warn or error
}

// Defaults of optional settings.
const (
	DefaultTimeout         = 10 * time.Second
	DefaultMaxBodyBytes    = 8 << 20
	DefaultShutdownGrace   = 5 * time.Second
	DefaultHeartbeat       = 100 * time.Millisecond
	DefaultElectionTimeout = time.Second
	DefaultRepairAfter     = 30 * time.Second
	DefaultLogFormat       = "json"
	DefaultLogLevel        = "info"
)

// Default returns settings with all defaults and without addresses.
func Default() *Config {
	return &Config{
		Dispatch: Dispatch{
			DefaultTimeout: DefaultTimeout,
			MaxBodyBytes:   DefaultMaxBodyBytes,
			ShutdownGrace:  DefaultShutdownGrace,
		},
		Timing: Timing{
			Heartbeat:       DefaultHeartbeat,
			ElectionTimeout: DefaultElectionTimeout,
			RepairAfter:     DefaultRepairAfter,
		},
		Log: Log{Format: DefaultLogFormat, Level: DefaultLogLevel},
	}
}

// Load reads and validates the settings file at path. Invalid settings are
// reported as Errors.
func Load(path string) (*Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, steperr.Wrap(err, "read settings", path)
	}
	return Parse(path, data)
}

// Voters returns the sorted ids of the initial voters.
func (c *Config) Voters() []string {
	var ids []string
	for _, p := range c.Peers {
		if p.InitialVoter {
			ids = append(ids, p.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

// Self returns this instance's entry in Peers, or an empty Peer if there is
// none.
func (c *Config) Self() Peer {
	for _, p := range c.Peers {
		if p.ID == c.Instance.ID {
			return p
		}
	}
	return Peer{}
}
