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
	root := command(catchSignals())
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

func command(s *signals) *cobra.Command {
	root := &cobra.Command{
		Use: "apricotrouterd", Short: "Run one instance of apricotrouter.", Args: cobra.NoArgs,
		SilenceUsage: true, SilenceErrors: true, Version: version.Version,
	}
	path := root.Flags().String("config", "/etc/apricotrouter/apricotrouterd.yaml", "settings file")
	root.RunE = func(*cobra.Command, []string) error { return run(*path, s) }
	root.AddCommand(
		nodeCommand("entry", "Take clients' calls and carry them to the leader.", s, platform.RunEntry),
		nodeCommand("control", "Hold a replica of the log; as the leader, run workflows.", s, platform.RunControl),
	)
	return root
}

// nodeCommand returns the subcommand that runs a node of the platform with run.
func nodeCommand(
	use, short string, s *signals, run func(context.Context, *config.Node, <-chan os.Signal, *slog.Logger) error,
) *cobra.Command {
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
		return run(s.terminationContext(logger), settings, s.hangup, logger)
	}}
}

// signals are the signals of the process. Those that arrive before something
// handles them are kept.
type signals struct {
	terminate, hangup chan os.Signal
}

// catchSignals replaces the default action of the signals, which is to end the
// process at once. It comes before anything is read, because a start may take
// long.
func catchSignals() *signals {
	s := &signals{terminate: make(chan os.Signal, 1), hangup: make(chan os.Signal, 1)}
	signal.Notify(s.terminate, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.hangup, syscall.SIGHUP)
	return s
}

// terminationContext returns a context that ends at the first SIGTERM or SIGINT.
// Later signals are logged and ignored. If a signal has been received before, the
// context has already ended when terminationContext returns, so that nothing is
// started that would be stopped at once.
func (s *signals) terminationContext(logger *slog.Logger) context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	terminated := false
	select {
	case <-s.terminate:
		terminated = true
		cancel()
	default:
	}
	go func() {
		if !terminated {
			<-s.terminate
			cancel()
		}
		for later := range s.terminate {
			event.Log(logger, event.SignalIgnored, slog.String("signal", later.String()))
		}
	}()
	return ctx
}

// ignoreHangups logs each SIGHUP.
func (s *signals) ignoreHangups(logger *slog.Logger) {
	for range s.hangup {
		event.Log(logger, event.HangupIgnored)
	}
}

func run(path string, s *signals) error {
	cfg, err := config.Load(path)
	if err != nil {
		return err
	}
	logger := daemon.NewLogger(cfg.Log, os.Stderr)
	ctx := s.terminationContext(logger)
	go s.ignoreHangups(logger)
	d, err := daemon.New(daemon.Options{Config: cfg, Logger: logger, Version: version.Version})
	if err != nil {
		return err
	}
	return d.Run(ctx)
}
