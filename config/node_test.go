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
	g.Expect(n.Limits.HeaderKiB).To(Equal(int64(32)))
	g.Expect(n.Limits.BodyKiB).To(Equal(int64(1024)))
	g.Expect(n.Limits.HeaderTimeoutMS).To(Equal(5000.0))
	for _, bad := range []string{
		"", "instance: [", validNode + "peer_port: 99999\n", "instance: x\navailability_zone: a\nip: 1\npeer_port: 5\n",
		validNode + "limits: {memory_mib: much}\n",
		// Below what operators promise to clients.
		validNode + "limits: {header_kib: 8}\n", validNode + "limits: {body_kib: 255}\n",
		validNode + "limits: {header_timeout_ms: 2999}\n", validNode + "limits: {idle_timeout_ms: 10000}\n",
		validNode + "limits: {body_rate_kib_s: 1000}\n", validNode + "limits: {body_grace_ms: 1}\n", validNode + "limits: {write_timeout_ms: .nan}\n",
		// More than the memory of the process.
		validNode + "limits: {memory_mib: 100, input_mib: 101}\n", validNode + "limits: {input_mib: -1}\n",
	} {
		_, err := load(bad)
		g.Expect(err).To(HaveOccurred(), bad)
	}
	_, err = config.LoadNode("/does/not/exist")
	g.Expect(err).To(MatchError(ContainSubstring("/does/not/exist")))
}
