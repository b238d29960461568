// Package config reads the settings of one entry instance from YAML. Settings
// that can't work are refused with file, line, key and the accepted range.
package config

import (
	"os"
	"slices"
	"time"

	"apricotrouter/steperr"
)

// Config is the content of a settings file. All instances of a cluster name
// the same peers; the other sections belong to this instance.
type Config struct {
	Instance Instance `yaml:"instance"`
	Listen   Listen   `yaml:"listen"`
	Peers    []Peer   `yaml:"peers"`
	Dispatch Dispatch `yaml:"dispatch"`
	Timing   Timing   `yaml:"timing"`
	TLS      TLS      `yaml:"tls"`
	Log      Log      `yaml:"log"`
}

// Instance names this instance.
type Instance struct {
	ID               string `yaml:"id"`
	AvailabilityZone string `yaml:"availability_zone"`
	// DataFolder holds the durable state of a control replica. An instance
	// without one holds no replica on disk.
	DataFolder string `yaml:"data_folder"`
}

// Listen holds the addresses on which this instance listens, each IP:port.
// Port 0 lets the system choose a free port.
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
	// Address is the IP:port of its peer port as dialled from this instance.
	Address string `yaml:"address"`
	// InitialVoter says that the instance votes when the group is formed. It
	// has no effect afterwards.
	InitialVoter bool `yaml:"initial_voter"`
}

// Dispatch bounds the request path.
type Dispatch struct {
	// DefaultTimeout is the deadline of a request that names none.
	DefaultTimeout time.Duration `yaml:"default_timeout"`
	// MaxBodyBytes is the largest accepted request body.
	MaxBodyBytes int64 `yaml:"max_body_bytes"`
	// ShutdownGrace is how long a leaving instance keeps accepting requests
	// after it reports not ready.
	ShutdownGrace time.Duration `yaml:"shutdown_grace"`
}

// Timing holds the intervals of the control group.
type Timing struct {
	// Heartbeat is the interval of the leader's heartbeats. It and
	// ElectionTimeout must be the same on all instances, because a leader
	// counts on the election timeout of the others.
	Heartbeat time.Duration `yaml:"heartbeat"`
	// ElectionTimeout is the shortest election timeout; each one is chosen at
	// random between this and twice this.
	ElectionTimeout time.Duration `yaml:"election_timeout"`
	// RepairAfter is how long a voter is not heard from before it is replaced.
	RepairAfter time.Duration `yaml:"repair_after"`
}

// Log sets the log output.
type Log struct {
	Format string `yaml:"format"` // json or text
	Level  string `yaml:"level"`  // debug, info, warn or error
}

// Defaults of settings that may be left out.
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

// Default returns settings that hold the defaults and no addresses.
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

// Load reads and checks the settings file at path.
func Load(path string) (*Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, steperr.Wrap(err, "read settings", path)
	}
	return Parse(path, data)
}

// Voters returns the ids of the initial voters in order.
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

// Self returns this instance's entry of Peers.
func (c *Config) Self() Peer {
	for _, p := range c.Peers {
		if p.ID == c.Instance.ID {
			return p
		}
	}
	return Peer{}
}
