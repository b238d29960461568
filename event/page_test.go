package event_test

import (
	"cmp"
	"flag"
	"fmt"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"apricotrouter/event"
)

var update = flag.Bool("update", false, "write the table of docs/EVENTS.md from the catalogue")

const (
	pagePath    = "../docs/EVENTS.md"
	tableHeader = "| number | name | level | message | meaning and what to do |\n|---|---|---|---|---|\n"
)

var rowPattern = regexp.MustCompile(`(?m)^\| \d+ \|.*$`)

func row(e event.Event) string {
	return fmt.Sprintf("| %d | `%s` | %s | %s | %s |", e.Number, e.Name, strings.ToLower(e.Level.String()), e.Text, e.Help)
}

// rows returns the rows that the page must have, by number.
func rows() []string {
	all := event.Catalogue()
	slices.SortFunc(all, func(a, b event.Event) int { return cmp.Compare(a.Number, b.Number) })
	lines := make([]string, len(all))
	for i, e := range all {
		lines[i] = row(e)
	}
	return lines
}

// A number in a log line that the page does not have, or a row whose event no
// longer exists, leaves operators without what to do. After a change of the
// catalogue, write the page with: go generate ./event
func TestEventsPageMatchesCatalogue(t *testing.T) {
	g := NewWithT(t)
	data, err := os.ReadFile(pagePath)
	g.Expect(err).NotTo(HaveOccurred())
	page := string(data)
	if *update {
		head, _, ok := strings.Cut(page, tableHeader)
		g.Expect(ok).To(BeTrue(), "the page has no table")
		page = head + tableHeader + strings.Join(rows(), "\n") + "\n"
		g.Expect(os.WriteFile(pagePath, []byte(page), 0o644)).To(Succeed())
	}
	g.Expect(rowPattern.FindAllString(page, -1)).To(Equal(rows()), "run: go generate ./event")
}

func TestEventsHaveNameMessageAndHelp(t *testing.T) {
	g := NewWithT(t)
	names := map[string]int{}
	for _, e := range event.Catalogue() {
		g.Expect(e.Name).To(MatchRegexp(`^[a-z0-9]+(-[a-z0-9]+)*$`), "event %d", e.Number)
		g.Expect(names).NotTo(HaveKey(e.Name), "event %d", e.Number)
		names[e.Name] = e.Number
		g.Expect(e.Text).NotTo(BeEmpty(), "event %d", e.Number)
		g.Expect(e.Help).NotTo(BeEmpty(), "event %d", e.Number)
		g.Expect(e.Text+e.Help).NotTo(ContainSubstring("|"), "event %d breaks the table", e.Number)
	}
}
