package examples

import (
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"apricotrouter/config"
)

// Guards against sample settings that don't parse or that place a majority of the
// voters in one zone: a cluster with a copy of them could not start or would not
// survive the loss of that zone.
func TestSamplesSurviveLossOfAnyZone(t *testing.T) {
	for folder, zones := range map[string]int{"limmatbund": 4, "procesija-varno": 3} {
		t.Run(folder, func(t *testing.T) {
			g := NewWithT(t)
			files, err := filepath.Glob(filepath.Join(folder, "e*.yaml"))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(files).To(HaveLen(8))
			var peers []config.Peer
			ids := map[string]bool{}
			for _, file := range files {
				c, err := config.Load(file)
				g.Expect(err).NotTo(HaveOccurred())
				if peers == nil {
					peers = c.Peers
				}
				g.Expect(c.Peers).To(Equal(peers), "%s has a different list of peers", file)
				g.Expect(filepath.Base(file)).To(Equal(c.Instance.ID + ".yaml"))
				g.Expect(c.Listen.Peer).To(Equal(c.Self().Address))
				g.Expect(c.TLS.Enabled()).To(BeTrue())
				ids[c.Instance.ID] = true
			}
			g.Expect(ids).To(HaveLen(8))
			checkSpread(g, peers, zones)
		})
	}
}

// checkSpread checks that a majority of the voters remains after the loss of any
// single zone.
func checkSpread(g *WithT, peers []config.Peer, zones int) {
	voters, all := 0, map[string]int{}
	for _, p := range peers {
		all[p.AvailabilityZone] += 0
		if p.InitialVoter {
			voters++
			all[p.AvailabilityZone]++
		}
	}
	g.Expect(all).To(HaveLen(zones))
	g.Expect(voters).To(Equal(5))
	for zone, n := range all {
		g.Expect(voters-n).To(BeNumerically(">", voters/2), "voters that remain without %s", zone)
	}
}
