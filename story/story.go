// Package story joins the log lines of several instances that concern one
// request, workflow or job, and names what delayed or failed it.
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

// maxLineBytes bounds one line of a log. Longer ones are no lines of ours.
const maxLineBytes = 1 << 20

// Line is one structured line of a log.
type Line struct {
	Time   time.Time
	Source string // what stands before the line, as the name of an instance
	Event  int
	Name   string
	Text   string
	Attrs  map[string]any
}

// Log is the lines of all logs that were read.
type Log struct {
	Lines []Line
	// Skipped is the number of lines that are not structured lines of ours.
	Skipped int
}

// Read appends the lines of a log. Text before the structured part of a line
// is kept as its source.
func (l *Log) Read(r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		if line, ok := parse(s.Bytes()); ok {
			l.Lines = append(l.Lines, line)
		} else {
			l.Skipped++
		}
	}
	return steperr.Wrap(s.Err(), "read log", "")
}

func parse(data []byte) (Line, bool) {
	begin := bytes.IndexByte(data, '{')
	if begin < 0 {
		return Line{}, false
	}
	var attrs map[string]any
	if err := json.Unmarshal(data[begin:], &attrs); err != nil {
		return Line{}, false
	}
	stamp, _ := attrs["time"].(string)
	at, err := time.Parse(time.RFC3339Nano, stamp)
	number, ok := attrs["event"].(float64)
	if err != nil || !ok {
		return Line{}, false
	}
	line := Line{Time: at, Source: strings.TrimSpace(string(data[:begin])), Event: int(number), Attrs: attrs}
	line.Name, _ = attrs["name"].(string)
	line.Text, _ = attrs["msg"].(string)
	for _, key := range []string{"time", "level", "event", "name", "msg"} {
		delete(attrs, key)
	}
	return line, true
}

// text returns an attribute as text, "" if there is none.
func (l *Line) text(key string) string {
	if v, ok := l.Attrs[key]; ok {
		return fmt.Sprint(v)
	}
	return ""
}

// number returns an attribute as a number, 0 if there is none.
func (l *Line) number(key string) float64 {
	v, _ := l.Attrs[key].(float64)
	return v
}

// concerns reports whether the line names the id itself.
func (l *Line) concerns(id string) bool {
	return l.text("workflow") == id || l.text("request") == id || l.text("job") == id ||
		strings.HasSuffix(l.text("path"), "/"+id)
}

// Of returns the lines about an id by time, with what happened to the leader
// and to the workers concerned meanwhile.
func (l *Log) Of(id string) []Line {
	var own []Line
	var late *Line // when the workflow missed its objective
	workers := make(map[string]bool)
	for _, line := range l.Lines {
		if line.concerns(id) {
			own = append(own, line)
			if line.Event == event.WorkflowMissedObjective.Number && late == nil {
				late = &line
			}
			if w := line.text("worker"); w != "" {
				workers[w] = true
			}
		}
	}
	if len(own) == 0 {
		return nil
	}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	first, last := slices.MinFunc(own, byTime).Time, slices.MaxFunc(own, byTime).Time
	for _, line := range l.Lines {
		around := !line.Time.Before(first) && !line.Time.After(last)
		about := aboutLeader(&line) || workers[line.text("worker")] && aboutWorker(&line) || roomOfLate(&line, late)
		if around && !line.concerns(id) && about {
			own = append(own, line)
		}
	}
	slices.SortStableFunc(own, byTime)
	return own
}

// roomInterval is how often the room of a pool is logged.
const roomInterval = time.Second

// roomOfLate reports whether the line gives the room of the pool of a workflow
// just before it was late.
func roomOfLate(l, late *Line) bool {
	if late == nil || l.Event != event.PoolCapacity.Number || l.text("pool") != late.text("pool") {
		return false
	}
	age := late.Time.Sub(l.Time)
	return age >= 0 && age <= roomInterval
}

func aboutLeader(l *Line) bool {
	return l.Event == event.FleetLeaderStarted.Number || l.Event == event.FleetLeaderStopped.Number
}

func aboutWorker(l *Line) bool {
	return slices.Contains([]int{
		event.WorkerUnresponsive.Number, event.WorkerResponsive.Number, event.WorkerRemoved.Number, event.WorkerQuarantined.Number,
	}, l.Event)
}
