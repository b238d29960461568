package daemon

import (
	"context"
	"time"

	"apricotrouter/dispatch"
	"apricotrouter/ledger"
	"apricotrouter/operator"
	"apricotrouter/registry"
	"apricotrouter/replica"
	"apricotrouter/transport"
)

// wireReplica constructs the mesh of connections to the peers, and the replica.
func (d *Daemon) wireReplica() error {
	peerTLS, err := d.cfg.TLS.PeerClient()
	if err != nil {
		return err
	}
	addresses := make(map[string]string)
	zones := make(map[string]string)
	ids := make([]string, 0, len(d.cfg.Peers))
	for _, p := range d.cfg.Peers {
		addresses[p.ID] = p.Address
		zones[p.ID] = p.AvailabilityZone
		ids = append(ids, p.ID)
	}
	mux := transport.NewMux()
	d.mesh = transport.NewMesh(transport.MeshOptions{
		Self: d.cfg.Instance.ID, Addresses: addresses, Mux: mux, TLS: peerTLS,
		Logger: d.logger, Registerer: d.metrics,
	})
	d.peerAddresses = addresses
	d.peerMux = mux
	d.peerTLS = peerTLS
	d.replica, err = replica.New(replica.Options{
		Self: d.cfg.Instance.ID, Zone: d.cfg.Instance.AvailabilityZone,
		PeerAddress: addresses[d.cfg.Instance.ID], EntryAddress: d.Addresses().Entry, OperatorServer: d.Addresses().Operator,
		DataDir: d.cfg.Instance.DataFolder, InitialVoters: d.cfg.Voters(), SeedInstances: ids,
		PeerZone: func(id string) string { return zones[id] },
		Peers:    d.mesh, Mux: mux, Clock: d.clock, Logger: d.logger, Registerer: d.metrics,
		HeartbeatTicks: ticks(d.cfg.Timing.Heartbeat), ElectionTicks: ticks(d.cfg.Timing.ElectionTimeout),
		RepairAfter: d.cfg.Timing.RepairAfter,
	})
	return err
}

// wireDispatch constructs the components that process callers' requests.
func (d *Daemon) wireDispatch() {
	d.registry = registry.New(registry.Options{
		Self: d.cfg.Instance.ID, Zone: d.cfg.Instance.AvailabilityZone, Start: d.replica.Start(),
		Log: d.replica, Peers: d.mesh, Mux: d.peerMux,
		Clock: d.clock, Logger: d.logger, Registerer: d.metrics,
	})
	d.ledger = ledger.New(ledger.Options{
		Self: d.cfg.Instance.ID, Log: d.replica, Peers: d.mesh, Mux: d.peerMux,
		Clock: d.clock, Logger: d.logger, Registerer: d.metrics,
	})
	d.dispatch = dispatch.New(dispatch.Options{
		Registry: d.registry, Ledger: d.ledger, Log: d.replica,
		ForwardAddress: func(instance string) string { return d.peerAddresses[instance] },
		PeerTLS:        d.peerTLS,
		Clock:          d.clock, Logger: d.logger, Registerer: d.metrics,
		Timeout: d.cfg.Dispatch.DefaultTimeout, MaxBodyBytes: d.cfg.Dispatch.MaxBodyBytes,
	})
}

// admitLedger lets the ledger serve its buckets once this start of the process is
// registered, and passes it the log index of the registration. Buckets that were
// assigned to the instance before that index belonged to an earlier process.
func (d *Daemon) admitLedger(ctx context.Context) error {
	for {
		changed := d.replica.Changed()
		self, ok := d.replica.State().Instances.Get(d.cfg.Instance.ID)
		if ok && self.InstanceStart == d.replica.Start() {
			d.ledger.SetRegistrationIndex(self.RegisteredIndex)
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// groupAdapter implements operator.Group with the replica.
type groupAdapter struct {
	self    string
	replica *replica.Replica
}

// Init implements operator.Group.
func (g groupAdapter) Init(ctx context.Context) (string, []string, error) { return g.replica.Init(ctx) }

// ticks converts an interval to a number of replica ticks, at least 1.
func ticks(d time.Duration) uint64 {
	return uint64(max(d/replica.DefaultTick, 1))
}

// Status implements operator.Group.
func (g groupAdapter) Status() operator.Status {
	replicaStatus := g.replica.Status()
	status := operator.Status{
		Instance: g.self, GroupID: replicaStatus.GroupID, Leader: replicaStatus.Leader, Term: replicaStatus.Term,
		AppliedIndex: replicaStatus.Applied, Fresh: replicaStatus.Fresh,
	}
	applied := g.replica.State()
	for _, i := range replicaStatus.Instances {
		instance := operator.InstanceStatus{ID: i.Instance, Zone: i.Zone, Role: string(i.Role), LastContact: i.LastContact}
		if record, ok := applied.Instances.Get(i.Instance); ok {
			instance.Zone, instance.PeerAddress = record.Zone, record.PeerAddress
		}
		status.Instances = append(status.Instances, instance)
	}
	return status
}
