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

// Defaults of log compaction.
const (
	DefaultSnapshotEntries = 8192
	// DefaultTrailingEntries is the number of applied entries that stay in the
	// log, so that slightly lagging replicas need no snapshot.
	DefaultTrailingEntries = 1024
)

// leaseRateMargin compensates for clocks whose rates differ by at most 1%.
const leaseRateMargin = 1.01

// MaxCommandBytes is the maximum size of an encoded command body that Propose
// accepts. A configuration of 10,000 tenants has 2 MB. A packet also carries up
// to packetBytes of other entries and must fit into a frame of the transport.
const MaxCommandBytes = 4 << 20

// Options configures a replica. Self, Peers, SeedInstances and Mux are
// required.
type Options struct {
	Self           string
	Zone           string
	PeerAddress    string
	EntryAddress   string
	OperatorServer string
	DataDir        string   // empty for a replica without a disk
	InitialVoters  []string // instances that form the group
	SeedInstances  []string // all entry instances, or those from which the leader is requested
	// TargetVoters is the number of voters that the leader maintains by adding
	// instances with a disk. 0 means the number of initial voters.
	TargetVoters int
	// ReplaceWipedVoters replaces a voter without waiting for RepairAfter if
	// its instance has restarted with a wiped data directory.
	ReplaceWipedVoters bool
	// Bootstrap forms the group without an operator command. It must be set
	// only for the first start of the whole cluster, with empty data
	// directories.
	Bootstrap bool
	// PeerZone returns the configured availability zone of an instance. It is
	// called if the instance does not report its own zone.
	PeerZone func(instance string) string

	Peers      transport.Peers
	Mux        *transport.Mux
	Clock      clockwork.Clock
	Logger     *slog.Logger
	Registerer prometheus.Registerer
	FS         disk.FS // nil for disk.OS

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

// confirmationWindow is how long a leader stays confirmed after the start of a
// heartbeat round that a majority acknowledged. No other leader can be elected
// within the minimum election timeout after their responses. The window is 4/5
// of that timeout; the margin compensates for late ticks and clocks of
// different rates.
func (o *Options) confirmationWindow() time.Duration {
	const num, den = 4, 5
	return o.Tick * time.Duration(o.ElectionTicks) * num / den
}

// leaderLeaseTimeout is how long after its last extension the leader assumes an
// instance's freshness lease to be valid.
func (o *Options) leaderLeaseTimeout() time.Duration {
	return time.Duration(float64(o.FreshnessLease) * leaseRateMargin)
}
