package config_test

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"apricotrouter/config"
)

const validNode = `
instance: core-1
availability_zone: a
ip: 10.0.0.1
peer_port: 7720
seeds: ["10.0.0.1:80"]
`

// Guards against a node that starts with invalid settings, and against an
// omitted limit that is taken as zero instead of its default.
func TestNodeSettingsAreChecked(t *testing.T) {
	g := NewWithT(t)
	load := func(text string) (*config.Node, error) {
		path := filepath.Join(t.TempDir(), "node.yaml")
		g.Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
		return config.LoadNode(path)
	}
	n, err := load(validNode + "workers:\n  lease_ms:\n  heartbeat_ms: 1100.5\n")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(n.Workers.LeaseMS).To(Equal(6000.0))
	g.Expect(n.Workers.HeartbeatMS).To(Equal(1100.5))
	g.Expect(n.LostInstances).To(Equal(2))
	for _, bad := range []string{
		"", "instance: [", validNode + "peer_port: 99999\n", "instance: x\navailability_zone: a\nip: 1\npeer_port: 5\n",
		validNode + "limits: {memory_mib: much}\n",
	} {
		_, err := load(bad)
		g.Expect(err).To(HaveOccurred(), bad)
	}
	_, err = config.LoadNode("/does/not/exist")
	g.Expect(err).To(MatchError(ContainSubstring("/does/not/exist")))
}
