package cli

import (
	"context"

	"github.com/spf13/cobra"

	gen "apricotrouter/gen/operator"
)

func (o *options) workerCommand() *cobra.Command {
	return group("worker", "Register and show workers",
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
			Args:  named("worker"),
			RunE: func(cmd *cobra.Command, args []string) error {
				return query(o, cmd, func(ctx context.Context, c *gen.Client) (*gen.WorkerInfo, error) {
					return c.ShowWorker(ctx, &gen.ShowWorkerPayload{ID: args[0]})
				}, func(w *gen.WorkerInfo) *table { return taskTable(w.Tasks) })
			},
			ValidArgsFunction: o.complete(func(ctx context.Context, conn *connection) ([]string, error) {
				res, err := read(ctx, conn, listWorkers)
				if err != nil {
					return nil, err
				}
				return names(res.Workers, func(w *gen.WorkerInfo) string { return w.ID }), nil
			}),
		})
}

func listWorkers(ctx context.Context, c *gen.Client) (*gen.ListWorkersResult, error) {
	return c.ListWorkers(ctx)
}

func workerTable(res *gen.ListWorkersResult) *table {
	t := &table{columns: []string{"worker", "zone", "rack", "address", "condition", "reserved", "capacity", "tasks", "owner", "version"}}
	for _, w := range res.Workers {
		t.add(w.ID, w.Zone, w.Rack, w.Address, w.Condition, amounts(w.Reserved), amounts(w.Capacity), len(w.Tasks), w.Owner, w.Version)
	}
	return t
}

func (o *options) workerRegisterCommand() *cobra.Command {
	p := &gen.RegisterWorkerPayload{Capacity: &gen.Resources{}}
	cmd := &cobra.Command{
		Use:     "register WORKER",
		Short:   "Make a worker known, or change its address or capacity",
		Example: "  apricotrouter worker register w1 --zone z1 --rack r1 --address 10.1.1.1:7500 --milli-cpu 64000 --memory-mib 250000",
		Args:    named("worker"),
		RunE: func(cmd *cobra.Command, args []string) error {
			if p.Zone == "" || p.Rack == "" || p.Address == "" {
				return usageError("%s needs --zone, --rack and --address", cmd.CommandPath())
			}
			p.ID = args[0]
			current := func(conn *connection) (uint64, error) {
				return workerVersion(cmd.Context(), conn, p.ID)
			}
			return o.send(cmd, "worker/"+p.ID, current, func(ctx context.Context, c *gen.Client, r request) (*gen.ChangeResult, error) {
				p.RequestID, p.Actor, p.ExpectedVersion = r.id, r.actor, r.version
				return c.RegisterWorker(ctx, p)
			})
		},
	}
	cmd.Flags().StringVar(&p.Zone, "zone", "", "availability zone of the worker")
	cmd.Flags().StringVar(&p.Rack, "rack", "", "rack of the worker")
	cmd.Flags().StringVar(&p.Address, "address", "", "`IP:port` of the worker's service")
	resourceFlags(cmd, p.Capacity)
	versionFlag(cmd)
	return cmd
}

// workerVersion returns the current version of a worker; 0 if it has none.
func workerVersion(ctx context.Context, conn *connection, id string) (uint64, error) {
	res, err := read(ctx, conn, listWorkers)
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
