package cli

import (
	"context"

	"github.com/spf13/cobra"

	gen "apricotrouter/gen/operator"
)

func (o *options) zoneCommand() *cobra.Command {
	return commandGroup("zone", "Take availability zones out and in",
		o.setZoneCommand("out", true, "Take an availability zone out: nothing starts there any more and what runs moves"),
		o.setZoneCommand("in", false, "Bring an availability zone back"),
		&cobra.Command{
			Use:   "list",
			Short: "List the availability zones",
			Args:  noArgs,
			RunE: func(cmd *cobra.Command, _ []string) error {
				return query(o, cmd, listZones, zoneTable)
			},
		})
}

func listZones(ctx context.Context, c *gen.Client) (*gen.ListZonesResult, error) {
	return c.ListZones(ctx)
}

func zoneTable(res *gen.ListZonesResult) *table {
	t := &table{columns: []string{"zone", "out", "version", "workers", "running tasks", "endpoints"}}
	for _, z := range res.Zones {
		t.add(z.Name, z.Out, z.Version, z.Workers, z.RunningTasks, z.Endpoints)
	}
	return t
}

func (o *options) setZoneCommand(use string, out bool, short string) *cobra.Command {
	cmd := &cobra.Command{
		Use:   use + " ZONE",
		Short: short,
		Args:  exactlyOne("availability zone"),
		RunE: func(cmd *cobra.Command, args []string) error {
			currentVersion := func(client *failoverClient) (uint64, error) {
				return zoneVersion(cmd.Context(), client, args[0])
			}
			return o.sendChange(cmd, "zone/"+args[0], currentVersion, func(ctx context.Context, c *gen.Client, r changeRequest) (*gen.ChangeResult, error) {
				return c.SetZone(ctx, &gen.SetZonePayload{RequestID: r.id, Actor: r.actor, ExpectedVersion: r.version, Name: args[0], Out: out})
			})
		},
		ValidArgsFunction: o.completeNames(func(ctx context.Context, client *failoverClient) ([]string, error) {
			res, err := fetch(ctx, client, listZones)
			if err != nil {
				return nil, err
			}
			return mapNames(res.Zones, func(z *gen.ZoneInfo) string { return z.Name }), nil
		}),
	}
	addVersionFlag(cmd)
	return cmd
}

// zoneVersion returns the current version of an availability zone, or 0 if it does not exist.
func zoneVersion(ctx context.Context, client *failoverClient, name string) (uint64, error) {
	res, err := fetch(ctx, client, listZones)
	if err != nil {
		return 0, err
	}
	for _, z := range res.Zones {
		if z.Name == name {
			return z.Version, nil
		}
	}
	return 0, nil
}
