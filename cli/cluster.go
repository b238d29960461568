package cli

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"apricotrouter/config"
	gen "apricotrouter/gen/operator"
	"apricotrouter/version"
)

func (o *options) initCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "init",
		Short: "Form the control group once",
		Long:  "Form the control group once. All initial voters must run. Repeating it is safe: it returns the group that exists.",
		Args:  noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			client, err := o.newFailoverClient()
			if err != nil {
				return err
			}
			request, err := o.newChangeRequest(cmd, nil)
			if err != nil {
				return err
			}
			res, err := fetch(cmd.Context(), client, func(ctx context.Context, c *gen.Client) (*gen.InitResult, error) {
				return c.Init(ctx, &gen.InitPayload{RequestID: request.id, Actor: request.actor})
			})
			if err != nil {
				return request.withResendHint(err)
			}
			return o.printResult(cmd.OutOrStdout(), res, func() *table {
				t := &table{columns: []string{"group", "voters"}}
				t.add(res.GroupID, strings.Join(res.Voters, " "))
				return t
			})
		},
	}
}

func (o *options) statusCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show the control group as one instance sees it",
		Args:  noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return query(o, cmd, func(ctx context.Context, c *gen.Client) (*gen.StatusResult, error) {
				return c.Status(ctx)
			}, statusTable)
		},
	}
}

func statusTable(s *gen.StatusResult) *table {
	t := &table{columns: []string{"instance", "zone", "peer address", "role", "last contact"}}
	t.heading = fmt.Sprintf("answered by %s: group %s, leader %s, term %d, applied index %d, fresh %t\n",
		s.Instance, formatCell(s.GroupID), formatCell(s.Leader), s.Term, s.AppliedIndex, s.Fresh)
	for _, i := range s.Instances {
		lastContact := "unknown"
		if i.LastContactMs >= 0 {
			lastContact = fmt.Sprintf("%dms", i.LastContactMs)
		}
		t.add(i.ID, i.Zone, i.PeerAddress, i.Role, lastContact)
	}
	return t
}

func (o *options) auditCommand() *cobra.Command {
	var since, object string
	var limit int64
	cmd := &cobra.Command{
		Use:     "audit",
		Short:   "List changes by operators, oldest first",
		Example: "  apricotrouter audit --since 2h --object zone/z1",
		Args:    noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			p := &gen.AuditPayload{Limit: &limit, Object: &object}
			if since != "" {
				sinceMs, err := parseSince(since, time.Now())
				if err != nil {
					return err
				}
				p.SinceMs = &sinceMs
			}
			return query(o, cmd, func(ctx context.Context, c *gen.Client) (*gen.AuditResult, error) {
				return c.Audit(ctx, p)
			}, auditTable)
		},
	}
	cmd.Flags().StringVar(&since, "since", "", "a `duration` such as 2h or a time such as 2026-01-31T08:00:00Z (default all)")
	cmd.Flags().StringVar(&object, "object", "", "only changes of this object, `KIND/ID`")
	cmd.Flags().Int64Var(&limit, "limit", 0, "newest records to list (default 1000)")
	return cmd
}

// parseSince parses a duration before now or an RFC 3339 time, and returns the
// time as Unix milliseconds.
func parseSince(s string, now time.Time) (int64, error) {
	if d, err := time.ParseDuration(s); err == nil && d >= 0 {
		return now.Add(-d).UnixMilli(), nil
	}
	t, err := time.Parse(time.RFC3339, s)
	if err != nil {
		return 0, usageError("--since %q is neither a duration such as 2h nor a time such as 2026-01-31T08:00:00Z", s)
	}
	return t.UnixMilli(), nil
}

func auditTable(res *gen.AuditResult) *table {
	t := &table{columns: []string{"sequence", "time", "actor", "action", "object", "old", "new", "outcome", "request id"}}
	for _, r := range res.Records {
		timestamp := time.UnixMilli(r.TimeMs).UTC().Format("2006-01-02T15:04:05.000Z")
		t.add(r.Sequence, timestamp, r.Actor, r.Action, r.Object, r.OldVersion, r.NewVersion, r.Outcome, r.RequestID)
	}
	return t
}

func (o *options) explainCommand() *cobra.Command {
	var logs []string
	cmd := &cobra.Command{
		Use:   "explain KIND/ID | --from-logs FILE ID",
		Short: "Say why an object is as it is",
		Long: "Say why a task, job, service, worker, endpoint, zone, team or request is as it is. With --from-logs, " +
			"join the lines of instances' logs that concern a workflow or request, and name what delayed or failed it.",
		Example: "  apricotrouter explain task/receipts-2026.0\n  apricotrouter explain request/5f0c9a52-3c43-4a4f-9a53-0a4c6f1d8f1e\n" +
			"  apricotrouter explain --from-logs core-1.log --from-logs core-2.log 5c0e7a21d94b36f8",
		Args: exactlyOne("object, KIND/ID"),
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(logs) > 0 {
				return explainFromLogs(cmd.OutOrStdout(), logs, args[0])
			}
			client, err := o.newFailoverClient()
			if err != nil {
				return err
			}
			res, err := fetch(cmd.Context(), client, func(ctx context.Context, c *gen.Client) (*gen.ExplainResult, error) {
				return c.Explain(ctx, &gen.ExplainPayload{Object: args[0]})
			})
			if err != nil {
				return err
			}
			if o.output != outputTable {
				return o.printResult(cmd.OutOrStdout(), res, nil)
			}
			_, err = fmt.Fprintln(cmd.OutOrStdout(), strings.Join(res.Lines, "\n"))
			return err
		},
	}
	cmd.Flags().StringArrayVar(&logs, "from-logs", nil, "read this log of an instance (may be repeated)")
	return cmd
}

func (o *options) endpointCommand() *cobra.Command {
	return commandGroup("endpoint", "Show endpoints", &cobra.Command{
		Use:   "list",
		Short: "List the endpoints that announce themselves",
		Args:  noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return query(o, cmd, func(ctx context.Context, c *gen.Client) (*gen.ListEndpointsResult, error) {
				return c.ListEndpoints(ctx)
			}, func(res *gen.ListEndpointsResult) *table {
				t := &table{columns: []string{"endpoint", "service", "address", "zone", "slots", "draining", "owner"}}
				for _, e := range res.Endpoints {
					t.add(e.ID, e.Service, e.Address, e.Zone, e.Slots, e.Draining, e.Owner)
				}
				return t
			})
		},
	})
}

func configCommand() *cobra.Command {
	return commandGroup("config", "Check settings of a daemon", &cobra.Command{
		Use:   "check FILE...",
		Short: "Check settings files without starting anything",
		Args: func(cmd *cobra.Command, args []string) error {
			if len(args) == 0 {
				return usageError("%s needs at least one file", cmd.CommandPath())
			}
			return nil
		},
		RunE: func(cmd *cobra.Command, args []string) error {
			for _, file := range args {
				c, err := config.Load(file)
				if err != nil {
					return &exitError{ExitUsage, err}
				}
				fmt.Fprintf(cmd.OutOrStdout(), "%s: instance %s in zone %s, %d peers, initial voters %s\n",
					file, c.Instance.ID, c.Instance.AvailabilityZone, len(c.Peers), strings.Join(c.Voters(), " "))
			}
			return nil
		},
	})
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version of this program",
		Args:  noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := fmt.Fprintf(cmd.OutOrStdout(), "apricotrouter %s, %s\n", version.Version, runtime.Version())
			return err
		},
	}
}
