// Command apricotrouter-soak runs the fault injection test with one or more seeds.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"apricotrouter/soak"
)

func main() {
	if err := command().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "apricotrouter-soak:", err)
		os.Exit(1)
	}
}

func command() *cobra.Command {
	o := soak.Options{}
	var seeds int
	cmd := &cobra.Command{
		Use: "apricotrouter-soak", Short: "Run the real programs under injected faults and check their promises.",
		Args: cobra.NoArgs, SilenceUsage: true, SilenceErrors: true,
	}
	f := cmd.Flags()
	f.StringVar(&o.Daemon, "daemon", "target/apricotrouterd", "program to run")
	f.StringVar(&o.Dir, "dir", filepath.Join(os.TempDir(), "apricotrouter-soak"), "folder for data and logs; one folder a seed, kept if it finds something")
	f.Uint64Var(&o.Seed, "seed", 0, "first seed; 0 draws one")
	f.IntVar(&seeds, "seeds", 1, "how many seeds to play, one after the other")
	f.DurationVar(&o.Duration, "duration", 30*time.Second, "how long faults are injected")
	f.IntVar(&o.Controls, "controls", 3, "control instances")
	f.IntVar(&o.Entries, "entries", 2, "entry instances")
	f.IntVar(&o.Workers, "workers", 6, "stand-ins for workers")
	cmd.RunE = func(*cobra.Command, []string) error { return runSeeds(o, seeds) }
	return cmd
}

func runSeeds(o soak.Options, seeds int) error {
	if o.Seed == 0 {
		o.Seed = rand.Uint64N(1 << 32)
	}
	failed := 0
	baseDir, firstSeed := o.Dir, o.Seed
	for i := range seeds {
		o.Seed = firstSeed + uint64(i)
		o.Dir = filepath.Join(baseDir, fmt.Sprint(o.Seed))
		result, err := soak.Run(o)
		if err != nil {
			return err
		}
		fmt.Printf("seed %d: %d jobs, %d accepted, %d runs, faults %v: %d findings\n",
			o.Seed, result.Jobs, result.Accepted, result.Runs, result.Faults, len(result.Findings))
		if len(result.Findings) == 0 {
			_ = os.RemoveAll(o.Dir) // Without findings, the logs are not needed.
			continue
		}
		failed++
		for _, f := range result.Findings {
			fmt.Println("  ", f)
		}
		fmt.Println("   logs in", o.Dir)
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d seeds found something", failed, seeds)
	}
	return nil
}
