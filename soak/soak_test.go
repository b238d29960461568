package soak_test

import (
	"bufio"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"apricotrouter/soak"
)

// shortRun is the duration of the faults for the seed that CI always runs.
const shortRun = 10 * time.Second

// seeds returns the seed of CI and the seeds of regressions.txt, with the duration
// of each.
func seeds(g *WithT) map[uint64]time.Duration {
	all := map[uint64]time.Duration{20261204: shortRun}
	f, err := os.Open("regressions.txt")
	g.Expect(err).NotTo(HaveOccurred())
	defer f.Close()
	for s := bufio.NewScanner(f); s.Scan(); {
		fields := strings.Fields(s.Text())
		if len(fields) < 2 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		seed, err := strconv.ParseUint(fields[0], 10, 64)
		g.Expect(err).NotTo(HaveOccurred())
		d, err := time.ParseDuration(fields[1])
		g.Expect(err).NotTo(HaveOccurred())
		all[seed] = d
	}
	return all
}

// Guards against violated guarantees of the real programs under repeated and
// overlapping faults: kills, terminations, pauses, wiped data directories,
// restarted and unresponsive workers, delayed and reset connections, lost
// responses.
func TestSeeds(t *testing.T) {
	g := NewWithT(t)
	daemon := filepath.Join(t.TempDir(), "apricotrouterd")
	out, err := exec.Command("go", "build", "-o", daemon, "../cmd/apricotrouterd").CombinedOutput()
	g.Expect(err).NotTo(HaveOccurred(), string(out))
	for seed, d := range seeds(g) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			r, err := soak.Run(soak.Options{
				Daemon: daemon, Dir: t.TempDir(), Seed: seed, Duration: d, Controls: 3, Entries: 2, Workers: 6,
			})
			g := NewWithT(t)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(r.Err()).NotTo(HaveOccurred())
			g.Expect(r.Accepted).To(BeNumerically(">", 0))
			t.Logf("%d jobs, %d runs, most running %v, faults %v", r.Jobs, r.Runs, r.MostRunning, r.Faults)
		})
	}
}

// Guards against concurrent runs that share a loopback network, whose instances
// would join each other's group.
func TestRunsSideBySideHaveNetworksOfTheirOwn(t *testing.T) {
	g := NewWithT(t)
	a, err := soak.NewNetwork(5)
	g.Expect(err).NotTo(HaveOccurred())
	defer a.Close()
	b, err := soak.NewNetwork(255) // 255 and 5 select the same network first
	g.Expect(err).NotTo(HaveOccurred())
	defer b.Close()
	g.Expect(a.Prefix()).NotTo(Equal(b.Prefix()))
}
