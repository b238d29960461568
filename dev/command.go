package dev

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"time"

	"github.com/spf13/cobra"
)

// defaultServiceTime is the service time of a request at an endpoint.
const defaultServiceTime = 2 * time.Millisecond

// Command returns the dev command.
func Command() *cobra.Command {
	var once, verbose bool
	cmd := &cobra.Command{
		Use:   "dev",
		Short: "Run a cluster in this process, with stand-ins for workers and endpoints",
		Long: `Run three entry instances with control replicas and stand-ins for workers and
endpoints in three availability zones, all in this process and on loopback.
State is kept in a temporary folder that is removed at the end.

With --once it drives the cluster through requests and operator calls, checks
each step and exits 0, or 1 with the reason.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return run(cmd.Context(), cmd.OutOrStdout(), logger(cmd.ErrOrStderr(), verbose), once)
		},
	}
	cmd.Flags().BoolVar(&once, "once", false, "run the demonstration and exit")
	cmd.Flags().BoolVarP(&verbose, "verbose", "v", false, "write the instances' logs")
	return cmd
}

func logger(w io.Writer, verbose bool) *slog.Logger {
	level := slog.LevelError
	if verbose {
		level = slog.LevelInfo
	}
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level}))
}

func run(ctx context.Context, out io.Writer, l *slog.Logger, once bool) error {
	dir, err := os.MkdirTemp("", "apricotrouter-dev-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	c, err := Start(Options{Dir: dir, Logger: l, ServiceTime: defaultServiceTime})
	if err != nil {
		return err
	}
	if once {
		err = newDemo(c, out).run()
	} else {
		err = serve(ctx, c, out)
	}
	if stopErr := c.Stop(); err == nil {
		err = stopErr
	}
	return err
}

// serve forms the group, registers the workers, prints the addresses and
// waits until ctx ends.
func serve(ctx context.Context, c *Cluster, out io.Writer) error {
	d := newDemo(c, out)
	for _, step := range []func() error{d.formGroup, d.registerWorkers} {
		if err := step(); err != nil {
			return err
		}
	}
	for i, daemon := range c.daemons {
		a := daemon.Addresses()
		fmt.Fprintf(out, "entry-%d: callers http://%s  operators %s  admin http://%s\n", i+1, a.Entry, a.Operator, a.Admin)
	}
	fmt.Fprintf(out, "\nTry: apricotrouter --server %s status\nEnd with Ctrl-C.\n", c.Operators()[0])
	<-ctx.Done()
	return nil
}
