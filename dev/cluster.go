// Package dev runs a cluster in one process, for demonstrations and
// experiments: entry instances with control replicas on loopback ports, and
// simulated workers and endpoints in several availability zones. The state is
// deleted when the process ends.
package dev

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"path/filepath"
	"sync"
	"time"

	"apricotrouter/config"
	"apricotrouter/daemon"
	workerstandin "apricotrouter/standin/worker"
	"apricotrouter/state"
	"apricotrouter/worker"
)

// Sizes of the embedded cluster.
const (
	zoneCount      = 3
	workersPerZone = 2
)

// WorkerCapacity is the capacity of each simulated worker.
var WorkerCapacity = state.Resources{MilliCPU: 8000, MemoryMiB: 32 << 10, Accelerators: 1}

// Options configures an embedded cluster.
type Options struct {
	Dir         string // parent of the data directories
	Logger      *slog.Logger
	ServiceTime time.Duration // of each request at an endpoint
}

// Cluster is a running embedded cluster.
type Cluster struct {
	opts    Options
	daemons []*daemon.Daemon
	workers []*workerstandin.Worker
	// workerAddresses has the address of each worker, in the order of workers.
	workerAddresses []string
	endpoints       *endpointSync
	stop            context.CancelFunc
	background      sync.WaitGroup
}

// zoneName returns the name of the i-th availability zone.
func zoneName(i int) string { return fmt.Sprintf("zone-%c", 'a'+i) }

// Start starts the daemons and the simulated workers. It neither forms the
// control group nor registers the workers; the operator does both.
func Start(opts Options) (*Cluster, error) {
	c := &Cluster{opts: opts}
	ctx, stop := context.WithCancel(context.Background())
	c.stop = stop
	if err := c.startDaemons(ctx); err != nil {
		return nil, errors.Join(err, c.Stop())
	}
	if err := c.startWorkers(); err != nil {
		return nil, errors.Join(err, c.Stop())
	}
	c.endpoints = newEndpointSync(c.Entries(), opts.ServiceTime, c.workers)
	c.background.Go(func() { c.endpoints.run(ctx) })
	return c, nil
}

// startDaemons opens all peer ports first, because the settings of each daemon
// contain the addresses of all.
func (c *Cluster) startDaemons(ctx context.Context) error {
	var listeners []net.Listener
	var peers []config.Peer
	for i := range zoneCount {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		listeners = append(listeners, l)
		peers = append(peers, config.Peer{
			ID: fmt.Sprintf("entry-%d", i+1), AvailabilityZone: zoneName(i),
			Address: l.Addr().String(), InitialVoter: true,
		})
	}
	for i, l := range listeners {
		d, err := daemon.New(daemon.Options{
			Config: c.settings(peers, i), Logger: c.opts.Logger.With("instance", peers[i].ID),
			Version: "dev", PeerListener: l,
		})
		if err != nil {
			return err
		}
		c.daemons = append(c.daemons, d)
		c.background.Go(func() {
			if err := d.Run(ctx); err != nil {
				c.opts.Logger.Error("instance ended", "error", err)
			}
		})
	}
	return nil
}

// settings returns the settings of the i-th instance.
func (c *Cluster) settings(peers []config.Peer, i int) *config.Config {
	cfg := config.Default()
	cfg.Instance = config.Instance{
		ID: peers[i].ID, AvailabilityZone: peers[i].AvailabilityZone,
		DataFolder: filepath.Join(c.opts.Dir, peers[i].ID),
	}
	const anyPort = "127.0.0.1:0"
	cfg.Listen = config.Listen{Entry: anyPort, Operator: anyPort, Peer: peers[i].Address, Admin: anyPort}
	cfg.Peers = peers
	cfg.Dispatch.ShutdownGrace = 200 * time.Millisecond
	return cfg
}

func (c *Cluster) startWorkers() error {
	for i := range zoneCount * workersPerZone {
		w := workerstandin.New(workerstandin.Options{
			ID:       fmt.Sprintf("worker-%d", i+1),
			Capacity: WorkerCapacity,
			RunTime:  runTime,
			Seed:     uint64(i + 1),
		})
		addr, err := w.Listen()
		if err != nil {
			return err
		}
		c.workers = append(c.workers, w)
		c.workerAddresses = append(c.workerAddresses, addr)
	}
	return nil
}

// runTime returns the run time of a task. Replicas of services run until they are
// stopped, batch tasks for their declared run time.
func runTime(r worker.StartRequest) time.Duration {
	if r.Kind == state.KindLatencyCritical {
		return 0
	}
	return time.Duration(r.ExpectedSeconds) * time.Second
}

// Entries returns the entry addresses of the instances.
func (c *Cluster) Entries() []string {
	return c.addresses(func(a daemon.Addresses) string { return a.Entry })
}

// Operators returns the operator addresses of the instances.
func (c *Cluster) Operators() []string {
	return c.addresses(func(a daemon.Addresses) string { return a.Operator })
}

func (c *Cluster) addresses(addressOf func(daemon.Addresses) string) []string {
	all := make([]string, len(c.daemons))
	for i, d := range c.daemons {
		all[i] = addressOf(d.Addresses())
	}
	return all
}

// Stop stops the daemons and closes the workers.
func (c *Cluster) Stop() error {
	c.stop()
	c.background.Wait()
	for _, w := range c.workers {
		w.Close()
	}
	return nil
}
