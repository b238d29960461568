package cli

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"apricotrouter/config"
	"apricotrouter/platform"
	"apricotrouter/queuecheck"
	"apricotrouter/state"
)

// queuesCommand returns the commands for configurations of queues on the
// platform's machines.
func (o *options) queuesCommand() *cobra.Command {
	return commandGroup("queues", "Check a configuration of queues before it is sent", o.queuesCheckCommand())
}

func (o *options) queuesCheckCommand() *cobra.Command {
	var against, settings string
	cmd := &cobra.Command{
		Use:   "check FILE",
		Short: "Find errors, entries that never match and limits that contradict each other",
		Long: `Find errors, entries that never match and limits that contradict each other in a
configuration of queues, and show what it would change. Nothing is sent.

The exit code is 1 if instances would refuse the configuration.`,
		Example: "  apricotrouter queues check queues.json --against 10.0.0.4:8080",
		Args:    exactlyOne("file"),
		RunE: func(cmd *cobra.Command, args []string) error {
			ctx, cancel := context.WithTimeout(cmd.Context(), o.timeout)
			defer cancel()
			return checkQueues(ctx, cmd.OutOrStdout(), args[0], against, settings)
		},
	}
	cmd.Flags().StringVar(&against, "against", "", "control instance (ADDRESS:PORT) or file with the configuration in force")
	cmd.Flags().StringVar(&settings, "settings", "", "settings file of an entry instance, for the limits of clients; without it the defaults apply")
	return cmd
}

func checkQueues(ctx context.Context, out io.Writer, file, against, settings string) error {
	c, promises, err := loadQueues(file)
	if err != nil {
		return err
	}
	limits := config.DefaultNodeLimits()
	if settings != "" {
		n, err := config.LoadNode(settings)
		if err != nil {
			return &exitError{ExitUsage, err}
		}
		limits = n.Limits
	}
	refused := 0
	for _, f := range queuecheck.Check(c, promises, limits) {
		fmt.Fprintf(out, "%s: %s: %s\n", f.Severity, f.Entry, f.Text)
		if f.Severity == queuecheck.Error {
			refused++
		}
	}
	if against != "" {
		inForce, former, err := queuesInForce(ctx, against)
		if err != nil {
			return err
		}
		for _, line := range append(queuecheck.Diff(inForce, c), queuecheck.DiffPromises(former, promises)...) {
			fmt.Fprintf(out, "change: %s\n", line)
		}
	}
	if refused > 0 {
		return &exitError{ExitRefused, fmt.Errorf("%s has %d errors and would be refused", file, refused)}
	}
	fmt.Fprintf(out, "%s: version %d, %d queues, %d pools, %d tenants\n", file, c.Version, len(c.Queues), len(c.Pools), len(c.Tenants))
	return nil
}

func loadQueues(file string) (*state.QueueConfig, queuecheck.Promises, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, queuecheck.Promises{}, &exitError{ExitUsage, err}
	}
	c, promises, err := platform.DecodeConfig(data)
	if err != nil {
		return nil, queuecheck.Promises{}, &exitError{ExitUsage, fmt.Errorf("%s: %w", file, err)}
	}
	return c, promises, nil
}

// queuesInForce reads the configuration in force from a file, or else from a
// control instance.
func queuesInForce(ctx context.Context, source string) (*state.QueueConfig, queuecheck.Promises, error) {
	if _, err := os.Stat(source); err == nil {
		return loadQueues(source)
	}
	data, err := platform.FetchConfig(ctx, source)
	if err != nil {
		return nil, queuecheck.Promises{}, &exitError{ExitUnavailable, err}
	}
	return platform.DecodeConfig(data)
}
