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

// wireReplica makes the connections to the peers and the replica.
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
	d.messages = mux
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

// wireDispatch makes the path of callers' requests.
func (d *Daemon) wireDispatch() {
	d.registry = registry.New(registry.Options{
		Self: d.cfg.Instance.ID, Zone: d.cfg.Instance.AvailabilityZone, Start: d.replica.Start(),
		Log: d.replica, Peers: d.mesh, Mux: d.messages,
		Clock: d.clock, Logger: d.logger, Registerer: d.metrics,
	})
	d.ledger = ledger.New(ledger.Options{
		Self: d.cfg.Instance.ID, Log: d.replica, Peers: d.mesh, Mux: d.messages,
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

// openLedger lets the ledger serve once this start of the process is
// registered: buckets that were given to the instance earlier were kept by an
// earlier process.
func (d *Daemon) openLedger(ctx context.Context) error {
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

// group offers the replica to the operator service.
type group struct {
	self    string
	replica *replica.Replica
}

// Init implements operator.Group.
func (g group) Init(ctx context.Context) (string, []string, error) { return g.replica.Init(ctx) }

// ticks converts an interval to ticks of the replica, at least one.
func ticks(d time.Duration) uint64 {
	return uint64(max(d/replica.DefaultTick, 1))
}

// Status implements operator.Group.
func (g group) Status() operator.Status {
	s := g.replica.Status()
	out := operator.Status{
		Instance: g.self, GroupID: s.GroupID, Leader: s.Leader, Term: s.Term,
		AppliedIndex: s.Applied, Fresh: s.Fresh,
	}
	applied := g.replica.State()
	for _, i := range s.Instances {
		one := operator.InstanceStatus{ID: i.Instance, Zone: i.Zone, Role: string(i.Role), LastContact: i.LastContact}
		if known, ok := applied.Instances.Get(i.Instance); ok {
			one.Zone, one.PeerAddress = known.Zone, known.PeerAddress
		}
		out.Instances = append(out.Instances, one)
	}
	return out
}
