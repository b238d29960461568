package cli

import (
	"context"

	"github.com/spf13/cobra"

	gen "apricotrouter/gen/operator"
)

func (o *options) teamCommand() *cobra.Command {
	return commandGroup("team", "Set the shares and quotas of teams",
		o.teamApplyCommand(),
		&cobra.Command{
			Use:   "list",
			Short: "List the teams",
			Args:  noArgs,
			RunE: func(cmd *cobra.Command, _ []string) error {
				return query(o, cmd, listTeams, teamTable)
			},
		})
}

func listTeams(ctx context.Context, c *gen.Client) (*gen.ListTeamsResult, error) {
	return c.ListTeams(ctx)
}

func teamTable(res *gen.ListTeamsResult) *table {
	t := &table{columns: []string{"team", "weight", "quota", "used", "version"}}
	for _, team := range res.Teams {
		t.add(team.Name, team.Weight, formatResources(team.Quota), formatResources(team.Used), team.Version)
	}
	return t
}

func (o *options) teamApplyCommand() *cobra.Command {
	var weight int64
	quota := &gen.Resources{}
	cmd := &cobra.Command{
		Use:     "apply TEAM",
		Short:   "Create a team or change its weight and quota",
		Long:    "Create a team or change its weight and quota. A quota of 0 is no limit.",
		Example: "  apricotrouter team apply receipts --weight 2 --milli-cpu 640000 --memory-mib 2500000",
		Args:    exactlyOne("team"),
		RunE: func(cmd *cobra.Command, args []string) error {
			currentVersion := func(client *failoverClient) (uint64, error) {
				return teamVersion(cmd.Context(), client, args[0])
			}
			return o.sendChange(cmd, "team/"+args[0], currentVersion, func(ctx context.Context, c *gen.Client, r changeRequest) (*gen.ChangeResult, error) {
				return c.ApplyTeam(ctx, &gen.ApplyTeamPayload{RequestID: r.id, Actor: r.actor, ExpectedVersion: r.version, Name: args[0], Weight: weight, Quota: quota})
			})
		},
	}
	cmd.Flags().Int64Var(&weight, "weight", 1, "share of the team relative to other teams")
	addResourceFlags(cmd, quota)
	addVersionFlag(cmd)
	return cmd
}

// teamVersion returns the current version of a team, or 0 if it does not exist.
func teamVersion(ctx context.Context, client *failoverClient, name string) (uint64, error) {
	res, err := fetch(ctx, client, listTeams)
	if err != nil {
		return 0, err
	}
	for _, t := range res.Teams {
		if t.Name == name {
			return t.Version, nil
		}
	}
	return 0, nil
}
