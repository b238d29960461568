package config_test

import (
	"errors"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"apricotrouter/config"
)

const valid = `instance:
  id: e1
  availability_zone: z1
  data_folder: /var/lib/apricotrouter
listen:
  entry: 10.0.1.1:7000
  operator: 127.0.0.1:7400
  peer: 10.0.1.1:7100
  admin: 127.0.0.1:7200
peers:
  - {id: e1, availability_zone: z1, address: "10.0.1.1:7100", initial_voter: true}
  - {id: e2, availability_zone: z2, address: "10.0.2.1:7100", initial_voter: true}
  - {id: e3, availability_zone: z3, address: "10.0.3.1:7100", initial_voter: true}
`

func TestDefaultsOfOmittedSections(t *testing.T) {
	g := NewWithT(t)
	c, err := config.Parse("a.yaml", []byte(valid+"dispatch:\n  default_timeout: 3s\n"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.Dispatch).To(Equal(config.Dispatch{DefaultTimeout: 3 * time.Second, MaxBodyBytes: 8 << 20, ShutdownGrace: 5 * time.Second}))
	g.Expect(c.Timing).To(Equal(config.Default().Timing))
	g.Expect(c.Log).To(Equal(config.Log{Format: "json", Level: "info"}))
	g.Expect(c.Voters()).To(Equal([]string{"e1", "e2", "e3"}))
	g.Expect(c.Self().Address).To(Equal("10.0.1.1:7100"))
	g.Expect(c.TLS.Enabled()).To(BeFalse())
}

// Guards against an error that omits the line, key or accepted range of an
// invalid setting, and against invalid settings that are accepted and fail only
// at run time.
func TestRefusedSettingsNameLineKeyAndRange(t *testing.T) {
	replace := func(old, with string) string {
		if !strings.Contains(valid, old) {
			t.Fatalf("the valid settings do not contain %q", old)
		}
		return strings.Replace(valid, old, with, 1)
	}
	for name, c := range map[string]struct{ data, want string }{
		"malformed":             {valid + "log: {format: json\n", "a.yaml:14: malformed YAML"},
		"duplicate key":         {valid + "log: {level: info, level: warn}\n", "a.yaml:14: malformed YAML"},
		"empty":                 {"# nothing\n", "a.yaml:1: the file is empty; accepted: a mapping with instance, listen, peers"},
		"two documents":         {valid + "---\nlog: {level: warn}\n", "a second document starts here; accepted: one document"},
		"unknown key":           {valid + "dispatch:\n  default_timout: 5s\n", "a.yaml:15: dispatch.default_timout: unknown key; accepted: default_timeout, max_body_bytes, shutdown_grace"},
		"unknown key in list":   {replace("initial_voter: true}", "voter: true}"), "a.yaml:11: peers[0].voter: unknown key; accepted: id, availability_zone, address, initial_voter"},
		"number for duration":   {valid + "dispatch:\n  default_timeout: 5\n", `a.yaml:15: dispatch.default_timeout: "5" is no duration; accepted: a number with a unit`},
		"unknown unit":          {valid + "timing:\n  repair_after: 30sec\n", `a.yaml:15: timing.repair_after: "30sec" is no duration; accepted: a number with a unit`},
		"unit on integer":       {valid + "dispatch:\n  max_body_bytes: 8MiB\n", `a.yaml:15: dispatch.max_body_bytes: "8MiB" has the wrong type; accepted: an integer without a unit`},
		"number for bool":       {valid + "tls:\n  allow_plain_operator_port: 1\n", `tls.allow_plain_operator_port: "1" has the wrong type; accepted: true or false`},
		"empty section":         {valid + "log:\n", "a.yaml:14: log: an empty value is no mapping; accepted: a mapping with format, level"},
		"duration out of range": {valid + "dispatch:\n  default_timeout: 1h\n", "dispatch.default_timeout: 1h0m0s is out of range; accepted: 10ms to 5m0s"},
		"body of zero":          {valid + "dispatch:\n  max_body_bytes: 0\n", "a.yaml:15: dispatch.max_body_bytes: 0 is out of range; accepted: 1 to 1073741824 bytes"},
		"short election":        {valid + "timing:\n  election_timeout: 200ms\n", "timing.election_timeout: 200ms is too short; accepted: at least 300ms, 3 times timing.heartbeat"},
		"repair before an election": {
			valid + "timing: {election_timeout: 20s}\n",
			"timing.repair_after: 30s is too short; accepted: at least 40s",
		},
		"log level":          {valid + "log: {level: verbose}\n", `log.level: "verbose" is not known; accepted: debug or info or warn or error`},
		"missing address":    {replace("  admin: 127.0.0.1:7200\n", ""), "a.yaml:5: listen.admin: is missing; accepted: IP:port"},
		"host name":          {replace("10.0.1.1:7000", "entry1:7000"), `a.yaml:6: listen.entry: "entry1:7000" is no IP address with a port`},
		"overlap":            {replace("127.0.0.1:7200", "0.0.0.0:7100"), "a.yaml:9: listen.admin: 0.0.0.0:7100 overlaps listen.peer (10.0.1.1:7100)"},
		"address of a peer":  {replace("entry: 10.0.1.1:7000", "entry: 10.0.2.1:7100"), "a.yaml:6: listen.entry: 10.0.2.1:7100 is the address of peers[1] (e2)"},
		"same address twice": {replace("10.0.3.1:7100", "10.0.2.1:7100"), "a.yaml:13: peers[2].address: 10.0.2.1:7100 is also the address of peers[1]"},
		"peer that can't be dialled": {
			replace(`"10.0.3.1:7100"`, `"0.0.0.0:7100"`),
			"peers[2].address: 0.0.0.0:7100 can't be dialled",
		},
		"not among peers":      {replace("  id: e1", "  id: e9"), `a.yaml:2: instance.id: "e9" is not among peers; accepted: the id of one of peers`},
		"other zone":           {replace("availability_zone: z1\n", "availability_zone: z2\n"), `a.yaml:3: instance.availability_zone: "z2" differs from this instance's entry in peers; accepted: "z1" as in peers[0]`},
		"duplicate id":         {replace("id: e3", "id: e2"), `a.yaml:13: peers[2].id: "e2" is also the id of peers[1]`},
		"bad id":               {replace("id: e3", "id: e/3"), `a.yaml:13: peers[2].id: "e/3" is no valid name; accepted: 1 to 63 letters`},
		"two voters":           {replace(`"10.0.3.1:7100", initial_voter: true`, `"10.0.3.1:7100"`), "a.yaml:10: peers: has 2 initial voters; accepted: 1, 3 or 5 peers"},
		"voter without folder": {replace("  data_folder: /var/lib/apricotrouter\n", ""), "a.yaml:1: instance.data_folder: is missing, but peers[0] makes this instance an initial voter"},
		"open operator port":   {replace("127.0.0.1:7400", "10.0.1.1:7400"), "a.yaml:7: listen.operator: 10.0.1.1:7400 is not a loopback address and has no TLS; accepted: a loopback address, or tls"},
		"half of TLS":          {valid + "tls: {certificate: a.pem}\n", "a.yaml:14: tls.key: is missing; accepted: certificate, key and client_ca together"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			got, err := config.Parse("a.yaml", []byte(c.data))
			g.Expect(err).To(MatchError(ContainSubstring(c.want)))
			g.Expect(got).To(BeNil())
			var one *config.Error
			g.Expect(errors.As(err, &one)).To(BeTrue())
			g.Expect(one.File).To(Equal("a.yaml"))
		})
	}
}

// Guards against a report of the first invalid setting only: operators would
// have to restart the program once for each.
func TestAllRefusedSettingsAreReported(t *testing.T) {
	g := NewWithT(t)
	_, err := config.Parse("a.yaml", []byte(valid+"dispatch: {max_body_bytes: -1}\nlog: {format: xml}\n"))
	var all config.Errors
	g.Expect(errors.As(err, &all)).To(BeTrue())
	g.Expect(all).To(HaveLen(2))
	g.Expect([]int{all[0].Line, all[1].Line}).To(Equal([]int{14, 15}))
}

func TestPlainOperatorPortOnlyWhenAllowed(t *testing.T) {
	g := NewWithT(t)
	open := strings.Replace(valid, "127.0.0.1:7400", "10.0.1.1:7400", 1)
	_, err := config.Parse("a.yaml", []byte(open+"tls: {allow_plain_operator_port: true}\n"))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = config.Parse("a.yaml", []byte(open+"tls: {certificate: c.pem, key: k.pem, client_ca: ca.pem}\n"))
	g.Expect(err).NotTo(HaveOccurred())
}

func TestMissingFileIsNamed(t *testing.T) {
	path := filepath.Join(t.TempDir(), "absent.yaml")
	_, err := config.Load(path)
	NewWithT(t).Expect(err).To(MatchError(ContainSubstring("read settings (" + path + ")")))
}
