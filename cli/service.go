package cli

import (
	"context"

	"github.com/spf13/cobra"

	gen "apricotrouter/gen/operator"
)

func (o *options) serviceCommand() *cobra.Command {
	return commandGroup("service", "Create, change and delete services",
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
			s.Spec.ConnectionLimit, formatResources(s.Spec.Resources), s.Spec.Team, s.Version)
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
			currentVersion := func(client *failoverClient) (uint64, error) {
				return serviceVersion(cmd.Context(), client, spec.Name)
			}
			return o.sendChange(cmd, "service/"+spec.Name, currentVersion, func(ctx context.Context, c *gen.Client, r changeRequest) (*gen.ChangeResult, error) {
				return c.ApplyService(ctx, &gen.ApplyServicePayload{RequestID: r.id, Actor: r.actor, ExpectedVersion: r.version, Spec: spec})
			})
		},
	}
	addFileFlag(cmd, &file)
	addVersionFlag(cmd)
	return cmd
}

func (o *options) serviceDeleteCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "delete SERVICE",
		Short: "Delete a service and stop its tasks",
		Args:  exactlyOne("service"),
		RunE: func(cmd *cobra.Command, args []string) error {
			currentVersion := func(client *failoverClient) (uint64, error) {
				return serviceVersion(cmd.Context(), client, args[0])
			}
			return o.sendChange(cmd, "service/"+args[0], currentVersion, func(ctx context.Context, c *gen.Client, r changeRequest) (*gen.ChangeResult, error) {
				return c.DeleteService(ctx, &gen.DeleteServicePayload{RequestID: r.id, Actor: r.actor, ExpectedVersion: r.version, Name: args[0]})
			})
		},
		ValidArgsFunction: o.completeNames(func(ctx context.Context, client *failoverClient) ([]string, error) {
			res, err := fetch(ctx, client, listServices)
			if err != nil {
				return nil, err
			}
			return mapNames(res.Services, func(s *gen.ServiceInfo) string { return s.Spec.Name }), nil
		}),
	}
	addVersionFlag(cmd)
	return cmd
}

// serviceVersion returns the current version of a service, or 0 if it does not exist.
func serviceVersion(ctx context.Context, client *failoverClient, name string) (uint64, error) {
	res, err := fetch(ctx, client, listServices)
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
