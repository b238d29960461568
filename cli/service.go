package cli

import (
	"context"

	"github.com/spf13/cobra"

	gen "apricotrouter/gen/operator"
)

func (o *options) serviceCommand() *cobra.Command {
	return group("service", "Create, change and delete services",
		o.serviceApplyCommand(),
		o.serviceDeleteCommand(),
		&cobra.Command{
			Use:   "list",
			Short: "List the services",
			Args:  noArgs,
			RunE: func(cmd *cobra.Command, _ []string) error {
				return query(o, cmd, listServices, serviceTable)
			},
		})
}

func listServices(ctx context.Context, c *gen.Client) (*gen.ListServicesResult, error) {
	return c.ListServices(ctx)
}

func serviceTable(res *gen.ListServicesResult) *table {
	t := &table{columns: []string{"service", "host", "path prefix", "replicas", "running", "endpoints", "slots", "connections", "resources", "team", "version"}}
	for _, s := range res.Services {
		t.add(s.Spec.Name, s.Spec.Host, s.Spec.PathPrefix, s.Spec.Replicas, s.Running, s.Endpoints, s.Spec.Slots,
			s.Spec.ConnectionLimit, amounts(s.Spec.Resources), s.Spec.Team, s.Version)
	}
	return t
}

func (o *options) serviceApplyCommand() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:     "apply -f FILE",
		Short:   "Create a service or change its specification",
		Example: "  apricotrouter service apply -f examples/limmatbund/service.yaml",
		Args:    noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			spec, err := loadService(file)
			if err != nil {
				return err
			}
			current := func(conn *connection) (uint64, error) {
				return serviceVersion(cmd.Context(), conn, spec.Name)
			}
			return o.send(cmd, "service/"+spec.Name, current, func(ctx context.Context, c *gen.Client, r request) (*gen.ChangeResult, error) {
				return c.ApplyService(ctx, &gen.ApplyServicePayload{RequestID: r.id, Actor: r.actor, ExpectedVersion: r.version, Spec: spec})
			})
		},
	}
	fileFlag(cmd, &file)
	versionFlag(cmd)
	return cmd
}

func (o *options) serviceDeleteCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "delete SERVICE",
		Short: "Delete a service and stop its tasks",
		Args:  named("service"),
		RunE: func(cmd *cobra.Command, args []string) error {
			current := func(conn *connection) (uint64, error) {
				return serviceVersion(cmd.Context(), conn, args[0])
			}
			return o.send(cmd, "service/"+args[0], current, func(ctx context.Context, c *gen.Client, r request) (*gen.ChangeResult, error) {
				return c.DeleteService(ctx, &gen.DeleteServicePayload{RequestID: r.id, Actor: r.actor, ExpectedVersion: r.version, Name: args[0]})
			})
		},
		ValidArgsFunction: o.complete(func(ctx context.Context, conn *connection) ([]string, error) {
			res, err := read(ctx, conn, listServices)
			if err != nil {
				return nil, err
			}
			return names(res.Services, func(s *gen.ServiceInfo) string { return s.Spec.Name }), nil
		}),
	}
	versionFlag(cmd)
	return cmd
}

// serviceVersion returns the current version of a service; 0 if it has none.
func serviceVersion(ctx context.Context, conn *connection, name string) (uint64, error) {
	res, err := read(ctx, conn, listServices)
	if err != nil {
		return 0, err
	}
	for _, s := range res.Services {
		if s.Spec.Name == name {
			return s.Version, nil
		}
	}
	return 0, nil
}
