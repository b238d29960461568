// Package dev runs a whole cluster in one process: entry instances with
// control replicas on loopback ports and stand-ins for workers and endpoints
// in several availability zones. It is for trying the product out; state ends
// with the process.
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

// WorkerCapacity is the capacity of each stand-in worker.
var WorkerCapacity = state.Resources{MilliCPU: 8000, MemoryMiB: 32 << 10, Accelerators: 1}

// Options of an embedded cluster.
type Options struct {
	Dir         string // data folders go below it
	Logger      *slog.Logger
	ServiceTime time.Duration // of each request at an endpoint
}

// Cluster is a running embedded cluster.
type Cluster struct {
	opts    Options
	daemons []*daemon.Daemon
	workers []*workerstandin.Worker
	// workerAddresses are the addresses of workers, in the same order.
	workerAddresses []string
	runners         *runners
	stop            context.CancelFunc
	parts           sync.WaitGroup
}

// zoneName returns the name of the i-th availability zone.
func zoneName(i int) string { return fmt.Sprintf("zone-%c", 'a'+i) }

// Start starts the daemons and the stand-ins. The control group is not formed
// and the workers are not registered yet: that is up to the operator.
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
	c.runners = newRunners(c.Entries(), opts.ServiceTime, c.workers)
	c.parts.Go(func() { c.runners.run(ctx) })
	return c, nil
}

// startDaemons opens all peer ports first, since the settings of each daemon
// name those of all.
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
		c.parts.Go(func() {
			if err := d.Run(ctx); err != nil {
				c.opts.Logger.Error("instance ended", "error", err)
			}
		})
	}
	return nil
}

// settings returns what a settings file of the i-th instance would hold.
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

// runTime lets replicas of services run until they are stopped, and batch
// tasks as long as declared.
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

func (c *Cluster) addresses(pick func(daemon.Addresses) string) []string {
	all := make([]string, len(c.daemons))
	for i, d := range c.daemons {
		all[i] = pick(d.Addresses())
	}
	return all
}

// Stop ends the cluster.
func (c *Cluster) Stop() error {
	c.stop()
	c.parts.Wait()
	for _, w := range c.workers {
		w.Close()
	}
	return nil
}
