package event

import (
	"bufio"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// DefaultBufferedLines bounds the log lines that wait for a slow reader; with
// lines of some hundred bytes this is about a megabyte.
const DefaultBufferedLines = 4096

// Writer writes log lines in the background and never blocks: lines that find
// the buffer full are dropped and counted, and the count is written once there
// is room again.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	pending atomic.Int64 // lines that were taken and are not written yet
	dropped atomic.Uint64
	done    sync.WaitGroup
}

// NewWriter returns a writer to out that holds back at most buffered lines.
func NewWriter(out io.Writer, buffered int) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, buffered)}
	w.done.Go(w.run)
	return w
}

// Write implements io.Writer. It takes one whole line and always succeeds.
func (w *Writer) Write(line []byte) (int, error) {
	if w.pending.Add(1) > int64(cap(w.lines)) {
		w.pending.Add(-1)
		w.dropped.Add(1)
		return len(line), nil
	}
	w.lines <- append([]byte(nil), line...) // has room, as pending is bounded
	return len(line), nil
}

// Dropped returns how many lines were dropped since the last summary line.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close writes what is buffered. Nothing may be written afterwards.
func (w *Writer) Close() {
	close(w.lines)
	w.done.Wait()
}

const (
	// writeBytes bounds the lines that are written in one call: more may be
	// split where several processes write to one pipe (PIPE_BUF of Linux).
	writeBytes = 4096
	// writtenLines bounds how many lines that is.
	writtenLines = 100
)

// run writes whole lines that wait together in one call.
func (w *Writer) run() {
	// A reader that has gone takes no lines; there is nowhere to tell.
	out := bufio.NewWriterSize(ignoreErrors{w.out}, writeBytes)
	taken := int64(0) // lines that out holds
	flush := func() {
		_ = out.Flush()
		w.pending.Add(-taken)
		taken = 0
	}
	for line := range w.lines {
		if len(line) > out.Available() {
			flush()
		}
		_, _ = out.Write(line)
		taken++
		if len(w.lines) > 0 && taken < writtenLines {
			continue
		}
		flush()
		if n := w.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(w.out, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", n)
		}
	}
}

// ignoreErrors lets a buffer go on after a write that failed.
type ignoreErrors struct{ io.Writer }

// Write implements io.Writer.
func (w ignoreErrors) Write(p []byte) (int, error) {
	_, _ = w.Writer.Write(p)
	return len(p), nil
}
