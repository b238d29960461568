// Command apricotrouterd runs one entry instance.
package main

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"apricotrouter/config"
	"apricotrouter/daemon"
	"apricotrouter/event"
	"apricotrouter/version"
)

func main() {
	path := flag.String("config", "/etc/apricotrouter/apricotrouterd.yaml", "settings file")
	flag.Parse()
	if err := run(*path); err != nil {
		fmt.Fprintln(os.Stderr, "apricotrouterd:", err)
		os.Exit(1)
	}
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
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		cancel()
		for s := range signals {
			event.Log(logger, event.SignalIgnored, slog.String("signal", s.String()))
		}
	}()
	return d.Run(ctx)
}
