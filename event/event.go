// Package event defines the numbered log events and writes them with log/slog.
// docs/EVENTS.md lists the same events.
package event

import (
	"context"
	"log/slog"
)

// Event is one kind of log event.
type Event struct {
	Number int    // stable; never reused
	Name   string // lower-case words joined by dashes; stable
	Level  slog.Level
	Text   string // message of the log line
	Help   string // what it means and what to do, for docs/EVENTS.md
}

// catalogue maps the number of each event to the event.
var catalogue = map[int]Event{}

// define adds an event to the catalogue. It panics if the number is already
// used, which is a programming error in this package.
func define(number int, name string, level slog.Level, text, help string) Event {
	if _, ok := catalogue[number]; ok {
		panic("event number defined twice: " + name)
	}
	e := Event{Number: number, Name: name, Level: level, Text: text, Help: help}
	catalogue[number] = e
	return e
}

// Catalogue returns all events in no particular order.
func Catalogue() []Event {
	all := make([]Event, 0, len(catalogue))
	for _, e := range catalogue {
		all = append(all, e)
	}
	return all
}

// Log writes the event with its number, name and attributes. If l is nil, it
// writes nothing.
func Log(l *slog.Logger, e Event, attrs ...slog.Attr) {
	if l == nil {
		return
	}
	ctx := context.Background()
	if !l.Enabled(ctx, e.Level) {
		return
	}
	all := []slog.Attr{slog.Int("event", e.Number), slog.String("name", e.Name)}
	for _, a := range attrs {
		all = append(all, errorAsText(a))
	}
	l.LogAttrs(ctx, e.Level, e.Text, all...)
}

// errorAsText replaces an error value by its text. Errors of gravitational/trace
// would otherwise be written as nested JSON objects.
func errorAsText(a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		return slog.String(a.Key, err.Error())
	}
	return a
}
