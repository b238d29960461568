package event

import (
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
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped since the last summary line.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close writes what is buffered. Nothing may be written afterwards.
func (w *Writer) Close() {
	close(w.lines)
	w.done.Wait()
}

func (w *Writer) run() {
	for line := range w.lines {
		// A reader that has gone takes no lines; there is nowhere to tell.
		_, _ = w.out.Write(line)
		if n := w.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(w.out, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", n)
		}
	}
}
