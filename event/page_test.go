package event_test

import (
	"cmp"
	"flag"
	"fmt"
	"os"
	"regexp"
	"slices"
	"strconv"
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

func tableRow(e event.Event) string {
	return fmt.Sprintf("| %d | `%s` | %s | %s | %s |", e.Number, e.Name, strings.ToLower(e.Level.String()), e.Text, e.Help)
}

// tableRows returns the expected rows of the page, ordered by event number.
func tableRows() []string {
	all := event.Catalogue()
	slices.SortFunc(all, func(a, b event.Event) int { return cmp.Compare(a.Number, b.Number) })
	lines := make([]string, len(all))
	for i, e := range all {
		lines[i] = tableRow(e)
	}
	return lines
}

// Guards against events that are missing from the page, where operators look up
// what to do, and against rows of events that no longer exist. After a change of
// the catalogue, update the page with: go generate ./event
func TestEventsPageMatchesCatalogue(t *testing.T) {
	g := NewWithT(t)
	data, err := os.ReadFile(pagePath)
	g.Expect(err).NotTo(HaveOccurred())
	page := string(data)
	if *update {
		head, _, ok := strings.Cut(page, tableHeader)
		g.Expect(ok).To(BeTrue(), "the page has no table")
		page = head + tableHeader + strings.Join(tableRows(), "\n") + "\n"
		g.Expect(os.WriteFile(pagePath, []byte(page), 0o644)).To(Succeed())
	}
	g.Expect(rowPattern.FindAllString(page, -1)).To(Equal(tableRows()), "run: go generate ./event")
}

// eventMentions match an event number with its name, in prose and in sample log
// lines.
var eventMentions = []*regexp.Regexp{
	regexp.MustCompile("`([0-9]{3}) ([a-z-]+)`"),
	regexp.MustCompile("([0-9]{3}) \\(`([a-z-]+)`\\)"),
	regexp.MustCompile(`(?m)^(?:[a-z0-9-]+ +)?([0-9]{3}) ([a-z-]+) +[a-z_]+=`),
}

// Guards against references to events that do not exist in the operations manual.
func TestOperationsNamesEventsOfTheCatalogue(t *testing.T) {
	g := NewWithT(t)
	data, err := os.ReadFile("../docs/OPERATIONS.md")
	g.Expect(err).NotTo(HaveOccurred())
	names := make(map[string]string)
	for _, e := range event.Catalogue() {
		names[strconv.Itoa(e.Number)] = e.Name
	}
	var mentions [][]string
	for _, pattern := range eventMentions {
		mentions = append(mentions, pattern.FindAllStringSubmatch(string(data), -1)...)
	}
	g.Expect(len(mentions)).To(BeNumerically(">=", 8))
	for _, m := range mentions {
		g.Expect(names).To(HaveKeyWithValue(m[1], m[2]), m[0])
	}
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
