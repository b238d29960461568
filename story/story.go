// Package story merges the log lines of several instances that concern one
// request, workflow or job, and finds the causes of its delays and failures.
package story

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"apricotrouter/event"
	"apricotrouter/steperr"
)

// maxLineBytes limits the length of a log line. Structured lines of this project
// are shorter. Read fails on a longer line.
const maxLineBytes = 1 << 20

// Line is one structured log line.
type Line struct {
	Time   time.Time
	Source string // text before the structured part, such as the name of an instance
	Event  int
	Name   string
	Text   string
	Attrs  map[string]any
}

// Log holds the lines of all logs that were read.
type Log struct {
	Lines []Line
	// Skipped is the number of lines that are not structured log lines of this
	// project.
	Skipped int
}

// Read appends the lines of a log. Text before the structured part of a line
// becomes the line's Source.
func (l *Log) Read(r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		if line, ok := parseLine(s.Bytes()); ok {
			l.Lines = append(l.Lines, line)
		} else {
			l.Skipped++
		}
	}
	return steperr.Wrap(s.Err(), "read log", "")
}

func parseLine(data []byte) (Line, bool) {
	begin := bytes.IndexByte(data, '{')
	if begin < 0 {
		return Line{}, false
	}
	var attrs map[string]any
	if err := json.Unmarshal(data[begin:], &attrs); err != nil {
		return Line{}, false
	}
	text, _ := attrs["time"].(string)
	timestamp, err := time.Parse(time.RFC3339Nano, text)
	number, ok := attrs["event"].(float64)
	if err != nil || !ok {
		return Line{}, false
	}
	line := Line{Time: timestamp, Source: strings.TrimSpace(string(data[:begin])), Event: int(number), Attrs: attrs}
	line.Name, _ = attrs["name"].(string)
	line.Text, _ = attrs["msg"].(string)
	for _, key := range []string{"time", "level", "event", "name", "msg"} {
		delete(attrs, key)
	}
	return line, true
}

// stringAttr returns an attribute as a string, or "" if it is absent.
func (l *Line) stringAttr(key string) string {
	if v, ok := l.Attrs[key]; ok {
		return fmt.Sprint(v)
	}
	return ""
}

// numberAttr returns an attribute as a number, or 0 if it is absent or not a
// number.
func (l *Line) numberAttr(key string) float64 {
	v, _ := l.Attrs[key].(float64)
	return v
}

// mentionsID reports whether the line itself names the id of a workflow, request
// or job.
func (l *Line) mentionsID(id string) bool {
	return l.stringAttr("workflow") == id || l.stringAttr("request") == id || l.stringAttr("job") == id ||
		strings.HasSuffix(l.stringAttr("path"), "/"+id)
}

// LinesAbout returns the lines that mention id in chronological order. It
// includes the lines of the same period about leader changes and about the
// workers involved, and the capacity of the pool just before a missed objective.
func (l *Log) LinesAbout(id string) []Line {
	var selected []Line
	var lateLine *Line // first report that the workflow missed its objective
	workers := make(map[string]bool)
	for _, line := range l.Lines {
		if line.mentionsID(id) {
			selected = append(selected, line)
			if line.Event == event.WorkflowMissedObjective.Number && lateLine == nil {
				lateLine = &line
			}
			if w := line.stringAttr("worker"); w != "" {
				workers[w] = true
			}
		}
	}
	if len(selected) == 0 {
		return nil
	}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	first, last := slices.MinFunc(selected, byTime).Time, slices.MaxFunc(selected, byTime).Time
	for _, line := range l.Lines {
		inRange := !line.Time.Before(first) && !line.Time.After(last)
		related := isLeaderChange(&line) || workers[line.stringAttr("worker")] && isWorkerChange(&line) || isPoolCapacityBefore(&line, lateLine)
		if inRange && !line.mentionsID(id) && related {
			selected = append(selected, line)
		}
	}
	slices.SortStableFunc(selected, byTime)
	return selected
}

// poolCapacityInterval is the minimum interval between log lines about the
// capacity of a pool.
const poolCapacityInterval = time.Second

// isPoolCapacityBefore reports whether the line has the capacity of the
// workflow's pool just before lateLine, the report of its missed objective.
func isPoolCapacityBefore(l, lateLine *Line) bool {
	if lateLine == nil || l.Event != event.PoolCapacity.Number || l.stringAttr("pool") != lateLine.stringAttr("pool") {
		return false
	}
	age := lateLine.Time.Sub(l.Time)
	return age >= 0 && age <= poolCapacityInterval
}

func isLeaderChange(l *Line) bool {
	return l.Event == event.FleetLeaderStarted.Number || l.Event == event.FleetLeaderStopped.Number
}

func isWorkerChange(l *Line) bool {
	return slices.Contains([]int{
		event.WorkerUnresponsive.Number, event.WorkerResponsive.Number, event.WorkerRemoved.Number, event.WorkerQuarantined.Number,
	}, l.Event)
}
