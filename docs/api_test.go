package docs

import (
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/spf13/cobra"

	"apricotrouter/cli"
	"apricotrouter/config"
	"apricotrouter/gen/operator"
	"apricotrouter/gen/worker"
)

func page(g *WithT, name string) string {
	data, err := os.ReadFile(name)
	g.Expect(err).NotTo(HaveOccurred())
	return string(data)
}

// firstCells returns the first cell of each row that starts with code.
func firstCells(text string) []string {
	var cells []string
	for _, m := range regexp.MustCompile("(?m)^\\| `([^`]+)` \\|").FindAllStringSubmatch(text, -1) {
		cells = append(cells, m[1])
	}
	return cells
}

// section returns the text from a heading to the next one.
func section(g *WithT, text, heading string) string {
	_, rest, ok := strings.Cut(text, heading+"\n")
	g.Expect(ok).To(BeTrue(), "no heading %s", heading)
	body, _, _ := strings.Cut(rest, "\n#")
	return body
}

// A caller that meets an undocumented refusal can't know whether to resend.
func TestAPIPageListsEveryRefusal(t *testing.T) {
	g := NewWithT(t)
	kind := regexp.MustCompile(`(?:notRun|unknown)\((?:http\.Status\w+), "([a-z-]+)"`)
	files, err := filepath.Glob("../dispatch/*.go")
	g.Expect(err).NotTo(HaveOccurred())
	kinds := map[string]bool{}
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		for _, m := range kind.FindAllStringSubmatch(page(g, file), -1) {
			kinds[m[1]] = true
		}
	}
	g.Expect(kinds).NotTo(BeEmpty())
	listed := map[string]bool{}
	for _, cell := range firstCells(section(g, page(g, "API.md"), "### Refusals")) {
		listed[cell] = true
	}
	for _, field := range []string{"type", "status", "outcome", "request_id"} {
		delete(listed, field)
	}
	g.Expect(listed).To(Equal(kinds))
}

// An undocumented method or command is one that operators do not find.
func TestPagesListEveryMethodCommandAndSetting(t *testing.T) {
	g := NewWithT(t)
	api, operations := page(g, "API.md"), page(g, "OPERATIONS.md")
	for _, m := range append(operator.MethodNames[:], worker.MethodNames[:]...) {
		g.Expect(api).To(ContainSubstring("| `" + m + "` |"))
	}
	for _, command := range commands(cli.NewRoot(), "") {
		g.Expect(operations).To(ContainSubstring("apricotrouter "+command), "OPERATIONS.md lacks the command")
	}
	for _, key := range settings(reflect.TypeFor[config.Config](), "") {
		g.Expect(operations).To(ContainSubstring("| `"+key+"` |"), "OPERATIONS.md lacks the setting")
	}
}

// commands returns the paths of all commands that do something.
func commands(c *cobra.Command, prefix string) []string {
	var all []string
	for _, sub := range c.Commands() {
		path := strings.TrimSpace(prefix + " " + sub.Name())
		if sub.HasSubCommands() {
			all = append(all, commands(sub, path)...)
			continue
		}
		all = append(all, path)
	}
	return all
}

// settings returns the paths of all keys of settings.
func settings(t reflect.Type, prefix string) []string {
	var keys []string
	for i := range t.NumField() {
		f := t.Field(i)
		key, ft := prefix+f.Tag.Get("yaml"), f.Type
		if ft.Kind() == reflect.Slice {
			key, ft = key+"[]", ft.Elem()
		}
		if ft.Kind() == reflect.Struct && ft != reflect.TypeFor[time.Time]() {
			keys = append(keys, settings(ft, key+".")...)
			continue
		}
		keys = append(keys, key)
	}
	return keys
}
