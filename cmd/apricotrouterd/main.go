// Command apricotrouterd runs one instance. Without a subcommand, it runs an entry
// instance with the settings file given by --config; the subcommands entry and
// control run a node of the platform.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"slices"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"apricotrouter/config"
	"apricotrouter/daemon"
	"apricotrouter/event"
	"apricotrouter/platform"
	"apricotrouter/version"
)

func main() {
	root := command()
	root.SetArgs(acceptSingleDash(os.Args[1:]))
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "apricotrouterd:", err)
		os.Exit(1)
	}
}

// acceptSingleDash adds a second dash to -config, which earlier versions accepted
// with one dash.
func acceptSingleDash(args []string) []string {
	normalized := slices.Clone(args)
	for i, a := range normalized {
		if strings.HasPrefix(a, "-config") {
			normalized[i] = "-" + a
		}
	}
	return normalized
}

func command() *cobra.Command {
	root := &cobra.Command{
		Use: "apricotrouterd", Short: "Run one instance of apricotrouter.", Args: cobra.NoArgs,
		SilenceUsage: true, SilenceErrors: true, Version: version.Version,
	}
	path := root.Flags().String("config", "/etc/apricotrouter/apricotrouterd.yaml", "settings file")
	root.RunE = func(*cobra.Command, []string) error { return run(*path) }
	root.AddCommand(
		nodeCommand("entry", "Take clients' calls and carry them to the leader.", platform.RunEntry),
		nodeCommand("control", "Hold a replica of the log; as the leader, run workflows.", platform.RunControl),
	)
	return root
}

// nodeCommand returns the subcommand that runs a node of the platform with run.
func nodeCommand(use, short string, run func(context.Context, *config.Node, *slog.Logger) error) *cobra.Command {
	return &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		settings, err := platform.LoadSettings()
		if err != nil {
			return err
		}
		if settings.Limits.MemoryMiB > 0 {
			// The garbage collector uses more CPU near this limit. The remaining
			// 30 % is for stacks, kernel buffers and temporary files.
			const percentOfLimit = 70
			debug.SetMemoryLimit(settings.Limits.MemoryMiB << 20 * percentOfLimit / 100)
			// Below the limit, use more memory to save CPU time.
			const percentOfLive = 200
			debug.SetGCPercent(percentOfLive)
		}
		logWriter := event.NewWriter(os.Stdout, event.DefaultBufferedLines)
		defer logWriter.Close()
		logger := daemon.NewLogger(settings.Log, logWriter)
		return run(terminationContext(logger), settings, logger)
	}}
}

// terminationContext returns a context that ends at the first SIGTERM or SIGINT.
// Later signals are logged and ignored.
func terminationContext(logger *slog.Logger) context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		cancel()
		for s := range signals {
			event.Log(logger, event.SignalIgnored, slog.String("signal", s.String()))
		}
	}()
	return ctx
}

func run(path string) error {
	cfg, err := config.Load(path)
	if err != nil {
		return err
	}
	logger := daemon.NewLogger(cfg.Log, os.Stderr)
	d, err := daemon.New(daemon.Options{Config: cfg, Logger: logger, Version: version.Version})
	if err != nil {
		return err
	}
	return d.Run(terminationContext(logger))
}
