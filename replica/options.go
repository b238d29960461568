package replica

import (
	"cmp"
	"errors"
	"log/slog"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"apricotrouter/disk"
	"apricotrouter/raft"
	"apricotrouter/transport"
)

// Defaults of the timing fields of Options.
const (
	DefaultTick              = 50 * time.Millisecond
	DefaultFreshnessLease    = 1500 * time.Millisecond
	DefaultFreshnessInterval = 300 * time.Millisecond
	DefaultRepairAfter       = 30 * time.Second
)

// Defaults of compaction.
const (
	DefaultSnapshotEntries = 8192
	// DefaultTrailingEntries is how many applied entries stay in the log for
	// replicas that are a little behind.
	DefaultTrailingEntries = 1024
)

// leaseRateMargin covers clocks that differ in rate by at most 1%.
const leaseRateMargin = 1.01

// MaxCommandBytes is the largest encoded command that Propose accepts.
const MaxCommandBytes = 1 << 20

// Options of a replica. Self, Peers, PeerIDs, Mux and Clock are required.
type Options struct {
	Self           string
	Zone           string
	PeerAddress    string
	EntryAddress   string
	OperatorServer string
	DataDir        string   // empty without a disk
	InitialVoters  []string // instances that form the group
	PeerIDs        []string // all entry instances, or those through which the leader is found
	// TargetVoters is the number of voters that the leader keeps; 0 for the
	// number of initial voters. More are added as instances with a disk join.
	TargetVoters int
	// ReplaceEmptied replaces a voter at once whose instance has come back with
	// an emptied data folder, without waiting for RepairAfter.
	ReplaceEmptied bool
	// Bootstrap forms the group without an operator. It must be set only at
	// the first start of the whole cluster, with empty data folders.
	Bootstrap bool
	// PeerZone returns an instance's availability zone by the settings. It is
	// asked if the instance does not name its zone itself.
	PeerZone func(instance string) string

	Peers      transport.Peers
	Mux        *transport.Mux
	Clock      clockwork.Clock
	Logger     *slog.Logger
	Registerer prometheus.Registerer
	FS         disk.FS // nil for the operating system's

	Tick              time.Duration
	HeartbeatTicks    uint64
	ElectionTicks     uint64 // minimum election timeout; the maximum is twice this
	FreshnessLease    time.Duration
	FreshnessInterval time.Duration
	RepairAfter       time.Duration
	SnapshotEntries   uint64
	TrailingEntries   uint64
}

func (o *Options) setDefaults() error {
	if o.Self == "" || o.Peers == nil || o.Mux == nil {
		return errors.New("replica needs Self, Peers and Mux")
	}
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.FS == nil {
		o.FS = disk.OS{}
	}
	if o.PeerZone == nil {
		o.PeerZone = func(string) string { return "" }
	}
	o.TargetVoters = cmp.Or(o.TargetVoters, len(o.InitialVoters))
	o.Tick = cmp.Or(o.Tick, DefaultTick)
	o.HeartbeatTicks = cmp.Or(o.HeartbeatTicks, raft.DefaultHeartbeatTicks)
	o.ElectionTicks = cmp.Or(o.ElectionTicks, raft.DefaultElectionTicks)
	o.FreshnessLease = cmp.Or(o.FreshnessLease, DefaultFreshnessLease)
	o.FreshnessInterval = cmp.Or(o.FreshnessInterval, DefaultFreshnessInterval)
	o.RepairAfter = cmp.Or(o.RepairAfter, DefaultRepairAfter)
	o.SnapshotEntries = cmp.Or(o.SnapshotEntries, DefaultSnapshotEntries)
	o.TrailingEntries = cmp.Or(o.TrailingEntries, DefaultTrailingEntries)
	return nil
}

// confirmWindow is how long a leader counts as confirmed after the start of a
// heartbeat round that a majority answered. Within the minimum election
// timeout after their answers no other leader can be elected; the margin
// covers ticks that arrive late and clocks of different rate.
func (o *Options) confirmWindow() time.Duration {
	const num, den = 4, 5
	return o.Tick * time.Duration(o.ElectionTicks) * num / den
}

// leaseMargin is how long after its last answer the leader counts an
// instance's freshness lease.
func (o *Options) leaseMargin() time.Duration {
	return time.Duration(float64(o.FreshnessLease) * leaseRateMargin)
}
