// Package bench measures the product in one process against simulated endpoints,
// workers and callers, and prints a table.
package bench

import (
	"fmt"
	"io"
	"log/slog"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"
)

// section is one section of the benchmark.
type section struct {
	name        string
	description string
	run         func(*bench) error
}

// sections returns all sections in execution order.
func sections() []section {
	return []section{
		{"requests", "requests through one entry instance against the same client straight to the endpoints", (*bench).measureRequests},
		{"faults", "requests through three entry instances while things fail", (*bench).measureFaults},
		{"interference", "batch throughput, evictions and slow replicas under each response to interference", (*bench).measureInterference},
		{"zone", "work completed across an availability zone leaving and returning", (*bench).measureZoneDrain},
		{"control", "commits, elections, changes in force and restarts", (*bench).measureControl},
		{"placement", "placement decisions", (*bench).measurePlacement},
	}
}

// bench is one run of the benchmark.
type bench struct {
	dir      string
	logger   *slog.Logger
	duration time.Duration // duration of one measurement of requests
	table    *table
	section  string
}

// Command returns the bench command.
func Command() *cobra.Command {
	var asJSON bool
	var only []string
	var seconds int
	cmd := &cobra.Command{
		Use:   "bench",
		Short: "Measure requests, batch work and control in this process, against stand-ins",
		Long: "Measure requests, batch work and control in this process, against stand-ins on loopback.\n" +
			"Seeds are fixed; times depend on the machine and on what else runs on it.\n\nSections:\n" + sectionHelp(),
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := validateFlags(only, seconds); err != nil {
				return err
			}
			return run(cmd.OutOrStdout(), only, time.Duration(seconds)*time.Second, asJSON)
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print the results as JSON")
	cmd.Flags().StringSliceVar(&only, "only", nil, "run only these `sections`")
	cmd.Flags().IntVar(&seconds, "seconds", 8, "length of one measurement of requests, in seconds")
	return cmd
}

func sectionHelp() string {
	var b strings.Builder
	for _, s := range sections() {
		fmt.Fprintf(&b, "  %-13s %s\n", s.name, s.description)
	}
	return b.String()
}

func validateFlags(only []string, seconds int) error {
	if seconds < 1 || seconds > 600 {
		return fmt.Errorf("--seconds must be from 1 to 600")
	}
	for _, name := range only {
		if !slices.ContainsFunc(sections(), func(s section) bool { return s.name == name }) {
			return fmt.Errorf("--only: no section %q", name)
		}
	}
	return nil
}

func run(out io.Writer, only []string, duration time.Duration, asJSON bool) error {
	dir, err := os.MkdirTemp("", "apricotrouter-bench-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	b := &bench{dir: dir, logger: slog.New(slog.DiscardHandler), duration: duration, table: newTable(out, asJSON)}
	for _, s := range sections() {
		if len(only) > 0 && !slices.Contains(only, s.name) {
			continue
		}
		b.section = s.name
		if err := s.run(b); err != nil {
			return fmt.Errorf("section %s: %w", s.name, err)
		}
	}
	return b.table.finish()
}

// add adds a row to the table.
func (b *bench) add(name, metric string, value float64, unit string) {
	b.table.add(Row{Section: b.section, Case: name, Metric: metric, Value: value, Unit: unit})
}

// compare adds a row to the table with a baseline and the ratio to it.
func (b *bench) compare(name, metric string, value, baseline float64, unit string) {
	r := Row{Section: b.section, Case: name, Metric: metric, Value: value, Unit: unit, Baseline: baseline}
	if baseline != 0 {
		r.Ratio = value / baseline
	}
	b.table.add(r)
}
