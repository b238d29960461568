package cli

import (
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"apricotrouter/steperr"
	"apricotrouter/story"
)

// explainFromLogs prints the lines of the log files that concern an id, and the
// causes of delays and failures found in them.
func explainFromLogs(w io.Writer, files []string, id string) error {
	log := new(story.Log)
	for _, name := range files {
		if err := readLog(log, name); err != nil {
			return err
		}
	}
	lines := log.LinesAbout(id)
	if len(lines) == 0 {
		return fmt.Errorf("no line in %d that were read concerns %s (%d were not structured lines)", len(log.Lines), id, log.Skipped)
	}
	var out strings.Builder
	for i := range lines {
		out.WriteString(formatLine(&lines[i], lines[0].Time))
	}
	out.WriteString("\ncauses, the most costly first:\n")
	for _, c := range story.Causes(lines) {
		fmt.Fprintf(&out, "  %s\n", c.Text)
	}
	_, err := io.WriteString(w, out.String())
	return err
}

func readLog(log *story.Log, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return steperr.Wrap(err, "open log", name)
	}
	defer func() { _ = f.Close() }()
	return steperr.Wrap(log.Read(f), "read log", name)
}

// formatLine formats a log line with the time elapsed since first.
func formatLine(l *story.Line, first time.Time) string {
	var attrs strings.Builder
	for _, key := range slices.Sorted(maps.Keys(l.Attrs)) {
		fmt.Fprintf(&attrs, " %s=%v", key, l.Attrs[key])
	}
	return fmt.Sprintf("%+9.3f s  %s  %s (%d)%s\n", l.Time.Sub(first).Seconds(), l.Source, l.Text, l.Event, attrs.String())
}
