package cli_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"apricotrouter/cli"
	"apricotrouter/operator"
	"apricotrouter/replica"
	"apricotrouter/state"
)

type fakeGroup struct{}

func (fakeGroup) Init(context.Context) (string, []string, error) {
	return "g1", []string{"e1", "e2", "e3"}, nil
}

func (fakeGroup) Status() operator.Status {
	return operator.Status{
		Instance: "e1", GroupID: "g1", Leader: "e1", Term: 2, Fresh: true,
		Instances: []operator.InstanceStatus{{ID: "e1", Zone: "z1", PeerAddress: "127.0.0.1:1", Role: operator.RoleLeader}},
	}
}

// recordingLog records the proposed commands. While lossy is set, it
// commits each command but returns an error instead of its result.
type recordingLog struct {
	replica.Log
	mu       sync.Mutex
	lossy    bool
	commands []state.Command
}

func (l *recordingLog) Propose(ctx context.Context, c state.Command) (state.Result, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.commands = append(l.commands, c)
	r, err := l.Log.Propose(ctx, c)
	if l.lossy {
		return state.Result{}, errors.New("response lost")
	}
	return r, err
}

// startServer starts an operator service that uses log and returns its address.
func startServer(t *testing.T, log replica.Log) string {
	g := NewWithT(t)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	s := operator.New(operator.Options{Log: log, Group: fakeGroup{}, Clock: clockwork.NewRealClock()})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- operator.Serve(ctx, lis, s, nil) }()
	t.Cleanup(func() {
		cancel()
		g.Expect(<-done).To(Succeed())
	})
	return lis.Addr().String()
}

// unusedAddress returns an address without a listener.
func unusedAddress(t *testing.T) string {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	defer lis.Close()
	return lis.Addr().String()
}

type commandResult struct {
	code           int
	stdout, stderr string
}

func runCommand(args ...string) commandResult {
	var stdout, stderr bytes.Buffer
	code := cli.Run(cli.NewRoot(), args, &stdout, &stderr)
	return commandResult{code, stdout.String(), stderr.String()}
}

func writeFile(t *testing.T, content string) string {
	path := filepath.Join(t.TempDir(), "spec.yaml")
	NewWithT(t).Expect(os.WriteFile(path, []byte(content), 0o600)).To(Succeed())
	return path
}

func newFakeLog() *replica.FakeLog { return replica.NewFakeLog(clockwork.NewRealClock()) }

// Guards against a new request id for the next server after a lost response,
// which would apply the change twice or report a false conflict.
func TestNextServerGetsSameRequestAfterLostAnswer(t *testing.T) {
	g := NewWithT(t)
	log := newFakeLog()
	lossy := &recordingLog{Log: log, lossy: true}
	otherLog := &recordingLog{Log: log}
	r := runCommand("zone", "out", "z1", "--output", "json", "--expected-version", "0",
		"--server", unusedAddress(t), "--server", startServer(t, lossy), "--server", startServer(t, otherLog))
	g.Expect(r.code).To(Equal(cli.ExitOK), r.stderr)
	g.Expect(lossy.commands).To(HaveLen(1))
	g.Expect(otherLog.commands).To(HaveLen(1))
	g.Expect(otherLog.commands[0].RequestID).To(Equal(lossy.commands[0].RequestID))
	g.Expect(otherLog.commands[0].Body).To(Equal(lossy.commands[0].Body))
	var stdout map[string]any
	g.Expect(json.Unmarshal([]byte(r.stdout), &stdout)).To(Succeed())
	g.Expect(stdout).To(HaveKeyWithValue("request_id", lossy.commands[0].RequestID))
	g.Expect(stdout).To(HaveKeyWithValue("version", 1.0))
}

// Guards against an unknown outcome reported without the request id and the
// expected version, which an operator needs for a safe resend.
func TestUnknownOutcomePrintsHowToResend(t *testing.T) {
	g := NewWithT(t)
	log := newFakeLog()
	lossy := &recordingLog{Log: log, lossy: true}
	r := runCommand("zone", "out", "z1", "--timeout", "100ms", "--server", startServer(t, lossy))
	g.Expect(r.code).To(Equal(cli.ExitUnavailable))
	id := lossy.commands[0].RequestID
	flags := "--request-id " + id + " --expected-version 0"
	g.Expect(r.stderr).To(ContainSubstring("its outcome is unknown; resend the same command with " + flags))

	args := append([]string{"zone", "out", "z1", "--server", startServer(t, log)}, strings.Fields(flags)...)
	g.Expect(runCommand(args...).code).To(Equal(cli.ExitOK))
	z, _ := log.State().Zones.Get("z1")
	g.Expect(z.Version).To(Equal(uint64(1)))
}

func TestExitCodes(t *testing.T) {
	g := NewWithT(t)
	log := newFakeLog()
	address := startServer(t, log)
	service := writeFile(t, "name: receipts\npath_prefix: /receipts\nreplicas: 1\nslots: 8\nconnection_limit: 64\nresources: {milli_cpu: 100, memory_mib: 100}\n")
	badUnit := writeFile(t, "name: receipts\npath_prefix: /r\nresources: {memory_mib: 1GiB}\n")
	noRoute := writeFile(t, "name: receipts\n")
	badName := writeFile(t, "name: Receipts\npath_prefix: /r\nresources: {milli_cpu: 1}\n")
	unknownKey := writeFile(t, "id: j1\nclass: c\nmemory: 5\n")
	for _, c := range []struct {
		args string
		code int
		want string
	}{
		{"service apply -f " + service, cli.ExitOK, ""},
		{"service apply -f " + service, cli.ExitOK, ""},
		{"service apply --expected-version 1 -f " + service, cli.ExitConflict, "conflict on service/receipts, version now 2: expected version 1, current version is 2"},
		{"service delete receipts --request-id r1 --expected-version 2", cli.ExitOK, ""},
		{"service delete receipts --request-id r1 --expected-version 2", cli.ExitOK, ""},
		{"zone out z1 --request-id r1 --expected-version 0", cli.ExitRefused, `request id "r1" was used with other content`},
		{"zone out z1 --request-id r2", cli.ExitUsage, "--request-id needs --expected-version"},
		{"zone out z77", cli.ExitRefused, "known are z1"},
		{"zone", cli.ExitUsage, "needs a command: in, list, out"},
		{"zone explode", cli.ExitUsage, `no command "explode"`},
		{"zone out", cli.ExitUsage, "exactly one availability zone"},
		{"zone list --shape round", cli.ExitUsage, "unknown flag: --shape"},
		{"zone list -o xml", cli.ExitUsage, "use table, json or yaml"},
		{"nonsense", cli.ExitUsage, `unknown argument "nonsense"`},
		{"service apply", cli.ExitUsage, "-f FILE"},
		{"service apply -f " + badUnit, cli.ExitUsage, `spec.yaml:3: resources.memory_mib: "1GiB" has the wrong type; accepted: an integer without a unit`},
		{"service apply -f " + noRoute, cli.ExitUsage, "no request would select the service"},
		{"job submit -f " + unknownKey, cli.ExitUsage, "spec.yaml:3: memory: unknown key; accepted: id, team, class"},
		{"service apply -f " + badName, cli.ExitRefused, "spec.name must match the regexp"},
		{"job cancel j1 --request-id " + strings.Repeat("x", 200), cli.ExitRefused, "request_id"},
		{"job show none", cli.ExitRefused, "job/none does not exist"},
		{"worker register w1 --zone z1", cli.ExitUsage, "needs --zone, --rack and --address"},
		{"audit --since yesterday", cli.ExitUsage, "neither a duration"},
		{"config check " + badUnit, cli.ExitUsage, "unknown key"},
		{"explain --from-logs " + noRoute + " none", cli.ExitRefused, "concerns none"},
		{"explain --from-logs missing.log none", cli.ExitRefused, "missing.log"},
		{"explain job/none", cli.ExitRefused, "does not exist"},
		{"--tls-ca a.pem zone list", cli.ExitUsage, "needed together"},
	} {
		r := runCommand(append(strings.Fields(c.args), "--server", address)...)
		g.Expect(r.code).To(Equal(c.code), "%s: %s", c.args, r.stderr)
		g.Expect(r.stderr).To(ContainSubstring(c.want), c.args)
	}
	r := runCommand("zone", "list", "--server", "entry1:7400")
	g.Expect(r.code).To(Equal(cli.ExitUsage))
	r = runCommand("zone", "list", "--timeout", "50ms", "--server", unusedAddress(t))
	g.Expect(r.code).To(Equal(cli.ExitUnavailable))
}

func TestOutputFormats(t *testing.T) {
	g := NewWithT(t)
	log := newFakeLog()
	address := startServer(t, log)
	g.Expect(runCommand("worker", "register", "w1", "--zone", "z2", "--rack", "k1", "--address", "127.0.0.1:7500", "--milli-cpu", "4000", "--memory-mib", "4096", "--server", address).code).To(Equal(cli.ExitOK))
	job := writeFile(t, "id: j1\nclass: receipt-run\ntasks: 2\nresources: {milli_cpu: 1000, memory_mib: 256}\n")
	g.Expect(runCommand("job", "submit", "-f", job, "--server", address).code).To(Equal(cli.ExitOK))

	g.Expect(runCommand("worker", "list", "--server", address).stdout).To(MatchRegexp(`WORKER +ZONE .*\nw1 +z2 +k1 +127.0.0.1:7500 +ready +0m/0Mi/0 +4000m/4096Mi/0 +0 +- +1\n`))
	var jobs struct {
		Jobs []struct {
			Spec struct {
				ID       string
				Priority string
			}
			Pending int
		}
	}
	g.Expect(json.Unmarshal([]byte(runCommand("job", "list", "-o", "json", "--server", address).stdout), &jobs)).To(Succeed())
	g.Expect(jobs.Jobs[0].Spec.ID).To(Equal("j1"))
	g.Expect(jobs.Jobs[0].Spec.Priority).To(Equal("normal"))
	g.Expect(jobs.Jobs[0].Pending).To(Equal(2))
	var audit struct {
		Records []struct {
			TimeMs int64 `yaml:"time_ms"`
			Object string
		}
	}
	g.Expect(yaml.Unmarshal([]byte(runCommand("audit", "-o", "yaml", "--object", "job/j1", "--since", "1h", "--server", address).stdout), &audit)).To(Succeed())
	g.Expect(audit.Records).To(HaveLen(1))
	g.Expect(audit.Records[0].TimeMs).To(BeNumerically("~", time.Now().UnixMilli(), time.Minute.Milliseconds()))
	g.Expect(runCommand("status", "--server", address).stdout).To(MatchRegexp(`answered by e1: group g1, leader e1, term 2, applied index 0, fresh true\nINSTANCE .*\ne1 +z1 +127.0.0.1:1 +leader +0ms\n`))
	g.Expect(runCommand("init", "--server", address).stdout).To(ContainSubstring("g1     e1 e2 e3"))
	g.Expect(runCommand("explain", "task/j1.1", "--server", address).stdout).To(ContainSubstring("task/j1.1 is pending"))
	g.Expect(runCommand("__complete", "job", "show", "--server", address, "").stdout).To(HavePrefix("j1\n"))
	g.Expect(runCommand("version").stdout).To(HavePrefix("apricotrouter "))
}

func TestServersOfEnvironment(t *testing.T) {
	g := NewWithT(t)
	address := startServer(t, newFakeLog())
	t.Setenv("APRICOTROUTER_SERVERS", unusedAddress(t)+" "+address)
	g.Expect(runCommand("zone", "list").code).To(Equal(cli.ExitOK))
	t.Setenv("APRICOTROUTER_SERVERS", "entry1")
	g.Expect(runCommand("zone", "list").code).To(Equal(cli.ExitUsage))
	g.Expect(runCommand("zone", "list", "--server", address).code).To(Equal(cli.ExitOK))
	t.Setenv("APRICOTROUTER_TLS_CA", "absent.pem")
	g.Expect(runCommand("zone", "list", "--server", address).stderr).To(ContainSubstring("needed together"))
}

// Guards against two concurrent changes that are based on the same version and
// both succeed.
func TestOneOfRacingCommandsWins(t *testing.T) {
	g := NewWithT(t)
	log := newFakeLog()
	servers := []string{startServer(t, log), startServer(t, log)}
	codes := make([]int, len(servers))
	var wg sync.WaitGroup
	for i, address := range servers {
		wg.Go(func() {
			codes[i] = runCommand("zone", "out", "z1", "--expected-version", "0", "--server", address).code
		})
	}
	wg.Wait()
	g.Expect(codes).To(ConsistOf(cli.ExitOK, cli.ExitConflict))
}
