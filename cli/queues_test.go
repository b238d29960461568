package cli_test

import (
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"apricotrouter/cli"
	"apricotrouter/platform/platformtest"
)

// Guards against a check that sends the configuration, that hides a difference
// from the one in force, or whose exit code doesn't tell a refusal.
func TestQueuesCheck(t *testing.T) {
	g := NewWithT(t)
	inForce := platformtest.Config(3, 0)
	requests := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests++
		g.Expect(r.Method).To(Equal(http.MethodGet))
		_, _ = w.Write([]byte(inForce))
	}))
	defer server.Close()
	check := func(config string, args ...string) (int, string) {
		file := filepath.Join(t.TempDir(), "queues.json")
		g.Expect(os.WriteFile(file, []byte(config), 0o600)).To(Succeed())
		var out strings.Builder
		code := cli.Run(cli.NewRoot(), append([]string{"queues", "check", file}, args...), &out, &out)
		return code, out.String()
	}
	address := strings.TrimPrefix(server.URL, "http://")

	code, out := check(platformtest.Config(4, 0), "--against", address)
	g.Expect(code).To(Equal(cli.ExitOK), out)
	g.Expect(out).NotTo(ContainSubstring("change:"))

	code, out = check(strings.Replace(platformtest.Config(3, 0), `"priority":0`, `"priority":2`, 1), "--against", address)
	g.Expect(code).To(Equal(cli.ExitOK), out)
	g.Expect(out).To(ContainSubstring("change: version 3 is not higher than 3"))
	g.Expect(out).To(ContainSubstring("change: queue r: priority 0 -> 2"))
	g.Expect(requests).To(Equal(2))

	code, out = check(strings.Replace(platformtest.Config(4, 0), `"service":"s"`, `"service":"x"`, 1))
	g.Expect(code).To(Equal(cli.ExitRefused))
	g.Expect(out).To(ContainSubstring(`error: configuration: queue r names an unknown pool "x"`))

	code, _ = check("{")
	g.Expect(code).To(Equal(cli.ExitUsage))
	code, _ = check(platformtest.Config(4, 0), "--against", "127.0.0.1:1")
	g.Expect(code).To(Equal(cli.ExitUnavailable))
}
