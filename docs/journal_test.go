package docs

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// playedDay is what a journal entry says of a day of the bench.
type playedDay struct {
	Name  string          `json:"name"`
	Seed  int64           `json:"seed"`
	Gate  *bool           `json:"gate"`
	Short []string        `json:"short"`
	Rules map[string]int  `json:"rules"`
	Fault json.RawMessage `json:"fault"`
}

// failed reports whether the day broke a rule or missed a figure of its gate.
func (d *playedDay) failed() bool {
	fault := len(d.Fault) > 0 && string(d.Fault) != "null"
	return d.Gate != nil && !*d.Gate || len(d.Short) > 0 || len(d.Rules) > 0 || fault
}

// namedIn reports whether a text names the day by its run or by its seed.
func (d *playedDay) namedIn(text, run string) bool {
	seed := d.Seed != 0 && strings.Contains(text, strconv.FormatInt(d.Seed, 10))
	return seed || strings.Contains(text, run) || strings.HasPrefix(d.Name, "hunt-") && strings.Contains(text, d.Name)
}

// Guards against a day that fell short of its gate and was reported as a day
// on which no rule was broken: hunts print broken rules alone.
func TestFailedDaysOfTheJournalAreNamed(t *testing.T) {
	g := NewWithT(t)
	pages, err := filepath.Glob("incidents/*.md")
	g.Expect(err).NotTo(HaveOccurred())
	var text strings.Builder
	for _, page := range append(pages, "MEASUREMENTS.md", "../KNOWN-RED.txt") {
		data, err := os.ReadFile(page)
		if os.IsNotExist(err) && page == "../KNOWN-RED.txt" {
			continue // it is there only while tests are known to fail
		}
		g.Expect(err).NotTo(HaveOccurred())
		text.Write(data)
	}
	entries, err := filepath.Glob("../journal/*.json")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(entries).NotTo(BeEmpty())
	for _, path := range entries {
		data, err := os.ReadFile(path)
		g.Expect(err).NotTo(HaveOccurred())
		var entry struct {
			ID   string      `json:"id"`
			Days []playedDay `json:"days"`
		}
		g.Expect(json.Unmarshal(data, &entry)).To(Succeed(), path)
		for _, d := range entry.Days {
			if d.failed() && !d.namedIn(text.String(), entry.ID) {
				t.Errorf("run %s, day %q, seed %d, is named on no page: rules %v, short %q", entry.ID, d.Name, d.Seed, d.Rules, d.Short)
			}
		}
	}
}
