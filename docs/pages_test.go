package docs

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

var (
	testName = regexp.MustCompile(`\b(?:Test|Benchmark)[A-Z]\w+`)
	testFunc = regexp.MustCompile(`(?m)^func ((?:Test|Benchmark)[A-Z]\w+)\(`)
)

// definedTests returns the names of all test and benchmark functions.
func definedTests(root string) (map[string]bool, error) {
	names := make(map[string]bool)
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, m := range testFunc.FindAllSubmatch(data, -1) {
			names[string(m[1])] = true
		}
		return nil
	})
	return names, err
}

// Guards against a page that claims a proof by a test that does not exist.
func TestPagesNameExistingTests(t *testing.T) {
	g := NewWithT(t)
	defined, err := definedTests("..")
	g.Expect(err).NotTo(HaveOccurred())
	for _, page := range []string{"GUARANTEES.md", "FAULTS.md", "MEASUREMENTS.md", "CAPACITY.md"} {
		data, err := os.ReadFile(page)
		g.Expect(err).NotTo(HaveOccurred())
		for _, name := range testName.FindAllString(string(data), -1) {
			g.Expect(defined).To(HaveKey(name), "%s names %s", page, name)
		}
	}
}

// Guards against a row or a column of the fault matrix with an empty cell,
// which would hide that a fault was never considered at a step.
func TestFaultMatrixHasNoEmptyCell(t *testing.T) {
	g := NewWithT(t)
	data, err := os.ReadFile("FAULTS.md")
	g.Expect(err).NotTo(HaveOccurred())
	columns, rows := 0, 0
	for line := range strings.Lines(string(data)) {
		line = strings.TrimSpace(line)
		if !strings.HasPrefix(line, "|") {
			columns = 0
			continue
		}
		cells := strings.Split(strings.Trim(line, "|"), "|")
		if columns == 0 {
			columns = len(cells)
		}
		g.Expect(cells).To(HaveLen(columns), line)
		for _, c := range cells {
			g.Expect(strings.TrimSpace(c)).NotTo(BeEmpty(), line)
		}
		rows++
	}
	g.Expect(rows).To(BeNumerically(">=", 19))
}
