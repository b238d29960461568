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

// recordingLog keeps the commands that it is asked to commit, and loses the
// result of each while losing is set.
type recordingLog struct {
	replica.Log
	mu       sync.Mutex
	losing   bool
	commands []state.Command
}

func (l *recordingLog) Propose(ctx context.Context, c state.Command) (state.Result, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.commands = append(l.commands, c)
	r, err := l.Log.Propose(ctx, c)
	if l.losing {
		return state.Result{}, errors.New("lost the answer")
	}
	return r, err
}

// server serves the operator service over a log and returns its address.
func server(t *testing.T, log replica.Log) string {
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

// closedPort returns an address on which nothing listens.
func closedPort(t *testing.T) string {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	defer lis.Close()
	return lis.Addr().String()
}

type result struct {
	code        int
	out, errors string
}

func run(args ...string) result {
	var stdout, stderr bytes.Buffer
	code := cli.Run(cli.NewRoot(), args, &stdout, &stderr)
	return result{code, stdout.String(), stderr.String()}
}

func writeFile(t *testing.T, content string) string {
	path := filepath.Join(t.TempDir(), "spec.yaml")
	NewWithT(t).Expect(os.WriteFile(path, []byte(content), 0o600)).To(Succeed())
	return path
}

func memory() *replica.FakeLog { return replica.NewFakeLog(clockwork.NewRealClock()) }

// An answer that is lost must lead to the same request at the next server; a
// new request id would make the change twice or report a false conflict.
func TestNextServerGetsSameRequestAfterLostAnswer(t *testing.T) {
	g := NewWithT(t)
	log := memory()
	losing := &recordingLog{Log: log, losing: true}
	other := &recordingLog{Log: log}
	r := run("zone", "out", "z1", "--output", "json", "--expected-version", "0",
		"--server", closedPort(t), "--server", server(t, losing), "--server", server(t, other))
	g.Expect(r.code).To(Equal(cli.ExitOK), r.errors)
	g.Expect(losing.commands).To(HaveLen(1))
	g.Expect(other.commands).To(HaveLen(1))
	g.Expect(other.commands[0].RequestID).To(Equal(losing.commands[0].RequestID))
	g.Expect(other.commands[0].Body).To(Equal(losing.commands[0].Body))
	var out map[string]any
	g.Expect(json.Unmarshal([]byte(r.out), &out)).To(Succeed())
	g.Expect(out).To(HaveKeyWithValue("request_id", losing.commands[0].RequestID))
	g.Expect(out).To(HaveKeyWithValue("version", 1.0))
}

// Without the id and the version an operator can't resend safely.
func TestUnknownOutcomePrintsHowToResend(t *testing.T) {
	g := NewWithT(t)
	log := memory()
	losing := &recordingLog{Log: log, losing: true}
	r := run("zone", "out", "z1", "--timeout", "100ms", "--server", server(t, losing))
	g.Expect(r.code).To(Equal(cli.ExitUnavailable))
	id := losing.commands[0].RequestID
	flags := "--request-id " + id + " --expected-version 0"
	g.Expect(r.errors).To(ContainSubstring("its outcome is unknown; resend the same command with " + flags))

	args := append([]string{"zone", "out", "z1", "--server", server(t, log)}, strings.Fields(flags)...)
	g.Expect(run(args...).code).To(Equal(cli.ExitOK))
	z, _ := log.State().Zones.Get("z1")
	g.Expect(z.Version).To(Equal(uint64(1)))
}

func TestExitCodes(t *testing.T) {
	g := NewWithT(t)
	log := memory()
	address := server(t, log)
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
		r := run(append(strings.Fields(c.args), "--server", address)...)
		g.Expect(r.code).To(Equal(c.code), "%s: %s", c.args, r.errors)
		g.Expect(r.errors).To(ContainSubstring(c.want), c.args)
	}
	r := run("zone", "list", "--server", "entry1:7400")
	g.Expect(r.code).To(Equal(cli.ExitUsage))
	r = run("zone", "list", "--timeout", "50ms", "--server", closedPort(t))
	g.Expect(r.code).To(Equal(cli.ExitUnavailable))
}

func TestOutputFormats(t *testing.T) {
	g := NewWithT(t)
	log := memory()
	address := server(t, log)
	g.Expect(run("worker", "register", "w1", "--zone", "z2", "--rack", "k1", "--address", "127.0.0.1:7500", "--milli-cpu", "4000", "--memory-mib", "4096", "--server", address).code).To(Equal(cli.ExitOK))
	job := writeFile(t, "id: j1\nclass: receipt-run\ntasks: 2\nresources: {milli_cpu: 1000, memory_mib: 256}\n")
	g.Expect(run("job", "submit", "-f", job, "--server", address).code).To(Equal(cli.ExitOK))

	g.Expect(run("worker", "list", "--server", address).out).To(MatchRegexp(`WORKER +ZONE .*\nw1 +z2 +k1 +127.0.0.1:7500 +ready +0m/0Mi/0 +4000m/4096Mi/0 +0 +- +1\n`))
	var jobs struct {
		Jobs []struct {
			Spec struct {
				ID       string
				Priority string
			}
			Pending int
		}
	}
	g.Expect(json.Unmarshal([]byte(run("job", "list", "-o", "json", "--server", address).out), &jobs)).To(Succeed())
	g.Expect(jobs.Jobs[0].Spec.ID).To(Equal("j1"))
	g.Expect(jobs.Jobs[0].Spec.Priority).To(Equal("normal"))
	g.Expect(jobs.Jobs[0].Pending).To(Equal(2))
	var audit struct {
		Records []struct {
			TimeMs int64 `yaml:"time_ms"`
			Object string
		}
	}
	g.Expect(yaml.Unmarshal([]byte(run("audit", "-o", "yaml", "--object", "job/j1", "--since", "1h", "--server", address).out), &audit)).To(Succeed())
	g.Expect(audit.Records).To(HaveLen(1))
	g.Expect(audit.Records[0].TimeMs).To(BeNumerically("~", time.Now().UnixMilli(), time.Minute.Milliseconds()))
	g.Expect(run("status", "--server", address).out).To(MatchRegexp(`answered by e1: group g1, leader e1, term 2, applied index 0, fresh true\nINSTANCE .*\ne1 +z1 +127.0.0.1:1 +leader +0ms\n`))
	g.Expect(run("init", "--server", address).out).To(ContainSubstring("g1     e1 e2 e3"))
	g.Expect(run("explain", "task/j1.1", "--server", address).out).To(ContainSubstring("task/j1.1 is pending"))
	g.Expect(run("__complete", "job", "show", "--server", address, "").out).To(HavePrefix("j1\n"))
	g.Expect(run("version").out).To(HavePrefix("apricotrouter "))
}

func TestServersOfEnvironment(t *testing.T) {
	g := NewWithT(t)
	address := server(t, memory())
	t.Setenv("APRICOTROUTER_SERVERS", closedPort(t)+" "+address)
	g.Expect(run("zone", "list").code).To(Equal(cli.ExitOK))
	t.Setenv("APRICOTROUTER_SERVERS", "entry1")
	g.Expect(run("zone", "list").code).To(Equal(cli.ExitUsage))
	g.Expect(run("zone", "list", "--server", address).code).To(Equal(cli.ExitOK))
	t.Setenv("APRICOTROUTER_TLS_CA", "absent.pem")
	g.Expect(run("zone", "list", "--server", address).errors).To(ContainSubstring("needed together"))
}

// Two operators who read the same version must not both succeed.
func TestOneOfRacingCommandsWins(t *testing.T) {
	g := NewWithT(t)
	log := memory()
	servers := []string{server(t, log), server(t, log)}
	codes := make([]int, len(servers))
	var wg sync.WaitGroup
	for i, address := range servers {
		wg.Go(func() {
			codes[i] = run("zone", "out", "z1", "--expected-version", "0", "--server", address).code
		})
	}
	wg.Wait()
	g.Expect(codes).To(ConsistOf(cli.ExitOK, cli.ExitConflict))
}
