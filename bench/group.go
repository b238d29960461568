package bench

import (
	"context"
	"errors"
	"fmt"
	"net"
	"path/filepath"
	"sync"
	"time"

	"apricotrouter/config"
	"apricotrouter/daemon"
	"apricotrouter/standin/caller"
	"apricotrouter/standin/endpoint"
	"apricotrouter/state"
)

// awaitTimeout is the timeout of each step of the setup.
const awaitTimeout = 30 * time.Second

var errTimeout = errors.New("condition not met in time")

// group is a group of entry instances in this process, with endpoints.
type group struct {
	daemons    []*daemon.Daemon
	cancels    []context.CancelFunc
	background sync.WaitGroup
	endpoints  []*endpoint.Endpoint
}

// startGroup forms a group of n entry instances, spread over the availability
// zones. The first three are voters.
func (b *bench) startGroup(name string, n int) (*group, error) {
	g := &group{}
	peers, listeners, err := listenPeers(n)
	if err != nil {
		return nil, err
	}
	for i, l := range listeners {
		d, err := daemon.New(daemon.Options{
			Config: b.settings(name, peers, i), Logger: b.logger, Version: "bench", PeerListener: l,
		})
		if err != nil {
			return nil, errors.Join(err, g.stop())
		}
		g.runDaemon(d)
	}
	if err := g.form(); err != nil {
		return nil, errors.Join(err, g.stop())
	}
	return g, nil
}

// listenPeers opens the peer ports of all instances, because the settings of each
// instance contain the addresses of all.
func listenPeers(n int) ([]config.Peer, []net.Listener, error) {
	var peers []config.Peer
	var listeners []net.Listener
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, nil, err
		}
		listeners = append(listeners, l)
		peers = append(peers, config.Peer{
			ID: fmt.Sprintf("e%d", i+1), AvailabilityZone: zoneName(i), Address: l.Addr().String(), InitialVoter: i < 3,
		})
	}
	return peers, listeners, nil
}

func zoneName(i int) string { return fmt.Sprintf("z%d", i%zoneCount+1) }

const zoneCount = 3

func (b *bench) settings(name string, peers []config.Peer, i int) *config.Config {
	const anyPort = "127.0.0.1:0"
	cfg := config.Default()
	cfg.Instance = config.Instance{
		ID: peers[i].ID, AvailabilityZone: peers[i].AvailabilityZone,
		DataFolder: filepath.Join(b.dir, name, peers[i].ID),
	}
	cfg.Listen = config.Listen{Entry: anyPort, Operator: anyPort, Peer: peers[i].Address, Admin: anyPort}
	cfg.Peers = peers
	cfg.Dispatch.ShutdownGrace = 10 * time.Millisecond
	return cfg
}

func (g *group) runDaemon(d *daemon.Daemon) {
	ctx, cancel := context.WithCancel(context.Background())
	g.daemons = append(g.daemons, d)
	g.cancels = append(g.cancels, cancel)
	g.background.Go(func() { _ = d.Run(ctx) }) // Run returns an error for a killed instance.
}

func (g *group) form() error {
	err := awaitCondition(func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, _, err := g.daemons[0].Replica().Init(ctx)
		return err == nil
	})
	if err != nil {
		return fmt.Errorf("form group: %w", err)
	}
	for _, d := range g.daemons {
		if err := awaitCondition(d.Ready); err != nil {
			return fmt.Errorf("instance is not ready: %w", err)
		}
	}
	return nil
}

func awaitCondition(reached func() bool) error {
	for deadline := time.Now().Add(awaitTimeout); time.Now().Before(deadline); {
		if reached() {
			return nil
		}
		time.Sleep(5 * time.Millisecond)
	}
	return errTimeout
}

// stop kills the endpoints and stops the instances.
func (g *group) stop() error {
	for _, e := range g.endpoints {
		e.Kill()
	}
	for _, cancel := range g.cancels {
		cancel()
	}
	g.background.Wait()
	return nil
}

// propose commits a change through the first instance.
func (g *group) propose(body state.Body) error {
	ctx, cancel := context.WithTimeout(context.Background(), awaitTimeout)
	defer cancel()
	r, err := g.daemons[0].Replica().Propose(ctx, state.NewCommand(body))
	if err == nil && r.Code != state.CodeOK {
		err = fmt.Errorf("%s: %s", r.Code, r.Message)
	}
	return err
}

// entries returns the entry addresses.
func (g *group) entries() []string {
	var all []string
	for _, d := range g.daemons {
		all = append(all, d.Addresses().Entry)
	}
	return all
}

// addEndpoints creates the service, starts n endpoints, and waits until all
// endpoints are assigned and all instances serve requests.
func (g *group) addEndpoints(n int) error {
	if err := g.propose(state.ApplyService{Spec: state.ServiceSpec{
		Name: "app", PathPrefix: appPath, Slots: slots, ConnectionLimit: 64,
	}}); err != nil {
		return err
	}
	for i := range n {
		if err := g.addEndpoint(i, g.entries()); err != nil {
			return err
		}
	}
	client := caller.NewClient()
	defer client.CloseIdleConnections()
	return awaitCondition(func() bool {
		for _, entry := range g.entries() {
			if caller.Send(client, entry, appPath, "probe", true, time.Second).Outcome != caller.Completed {
				return false
			}
		}
		return g.daemons[0].State().Assignments.Len() >= n
	})
}

func (g *group) addEndpoint(i int, entries []string) error {
	e, err := startEndpoint(i, entries)
	if err == nil {
		g.endpoints = append(g.endpoints, e)
	}
	return err
}

func startEndpoint(i int, entries []string) (*endpoint.Endpoint, error) {
	e, err := endpoint.Start(endpoint.Options{
		ID: fmt.Sprintf("ep%d", i+1), Service: "app", Zone: zoneName(i), Slots: slots, Entries: entries,
	})
	if err == nil {
		e.SetBehavior(newSlotQueue().behavior)
	}
	return e, err
}
