package cli

import (
	"context"

	"github.com/spf13/cobra"

	gen "apricotrouter/gen/operator"
)

func (o *options) workerCommand() *cobra.Command {
	return commandGroup("worker", "Register and show workers",
		o.workerRegisterCommand(),
		&cobra.Command{
			Use:   "list",
			Short: "List the workers",
			Args:  noArgs,
			RunE: func(cmd *cobra.Command, _ []string) error {
				return query(o, cmd, listWorkers, workerTable)
			},
		},
		&cobra.Command{
			Use:   "show WORKER",
			Short: "Show the tasks on a worker",
			Args:  exactlyOne("worker"),
			RunE: func(cmd *cobra.Command, args []string) error {
				return query(o, cmd, func(ctx context.Context, c *gen.Client) (*gen.WorkerInfo, error) {
					return c.ShowWorker(ctx, &gen.ShowWorkerPayload{ID: args[0]})
				}, func(w *gen.WorkerInfo) *table { return taskTable(w.Tasks) })
			},
			ValidArgsFunction: o.completeNames(func(ctx context.Context, client *failoverClient) ([]string, error) {
				res, err := fetch(ctx, client, listWorkers)
				if err != nil {
					return nil, err
				}
				return mapNames(res.Workers, func(w *gen.WorkerInfo) string { return w.ID }), nil
			}),
		})
}

func listWorkers(ctx context.Context, c *gen.Client) (*gen.ListWorkersResult, error) {
	return c.ListWorkers(ctx)
}

func workerTable(res *gen.ListWorkersResult) *table {
	t := &table{columns: []string{"worker", "zone", "rack", "address", "condition", "reserved", "capacity", "tasks", "owner", "version"}}
	for _, w := range res.Workers {
		t.add(w.ID, w.Zone, w.Rack, w.Address, w.Condition, formatResources(w.Reserved), formatResources(w.Capacity), len(w.Tasks), w.Owner, w.Version)
	}
	return t
}

func (o *options) workerRegisterCommand() *cobra.Command {
	p := &gen.RegisterWorkerPayload{Capacity: &gen.Resources{}}
	cmd := &cobra.Command{
		Use:     "register WORKER",
		Short:   "Make a worker known, or change its address or capacity",
		Example: "  apricotrouter worker register w1 --zone z1 --rack r1 --address 10.1.1.1:7500 --milli-cpu 64000 --memory-mib 250000",
		Args:    exactlyOne("worker"),
		RunE: func(cmd *cobra.Command, args []string) error {
			if p.Zone == "" || p.Rack == "" || p.Address == "" {
				return usageError("%s needs --zone, --rack and --address", cmd.CommandPath())
			}
			p.ID = args[0]
			currentVersion := func(client *failoverClient) (uint64, error) {
				return workerVersion(cmd.Context(), client, p.ID)
			}
			return o.sendChange(cmd, "worker/"+p.ID, currentVersion, func(ctx context.Context, c *gen.Client, r changeRequest) (*gen.ChangeResult, error) {
				p.RequestID, p.Actor, p.ExpectedVersion = r.id, r.actor, r.version
				return c.RegisterWorker(ctx, p)
			})
		},
	}
	cmd.Flags().StringVar(&p.Zone, "zone", "", "availability zone of the worker")
	cmd.Flags().StringVar(&p.Rack, "rack", "", "rack of the worker")
	cmd.Flags().StringVar(&p.Address, "address", "", "`IP:port` of the worker's service")
	addResourceFlags(cmd, p.Capacity)
	addVersionFlag(cmd)
	return cmd
}

// workerVersion returns the current version of a worker, or 0 if it does not exist.
func workerVersion(ctx context.Context, client *failoverClient, id string) (uint64, error) {
	res, err := fetch(ctx, client, listWorkers)
	if err != nil {
		return 0, err
	}
	for _, w := range res.Workers {
		if w.ID == id {
			return w.Version, nil
		}
	}
	return 0, nil
}
