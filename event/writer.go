package event

import (
	"bufio"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// DefaultBufferedLines limits the number of log lines buffered for a slow reader.
// With lines of a few hundred bytes, this is about a megabyte.
const DefaultBufferedLines = 4096

// Writer writes log lines in the background and never blocks the caller. It drops
// and counts lines while the buffer is full, and logs the count after the next
// write.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	pending atomic.Int64 // accepted lines that are not written yet
	dropped atomic.Uint64
	wg      sync.WaitGroup
}

// NewWriter returns a Writer to out that buffers at most the given number of
// lines.
func NewWriter(out io.Writer, buffered int) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, buffered)}
	w.wg.Go(w.writeLoop)
	return w
}

// Write implements io.Writer. Each call must pass one complete line. It always
// succeeds, also if the line is dropped.
func (w *Writer) Write(line []byte) (int, error) {
	if w.pending.Add(1) > int64(cap(w.lines)) {
		w.pending.Add(-1)
		w.dropped.Add(1)
		return len(line), nil
	}
	w.lines <- append([]byte(nil), line...) // does not block: pending never exceeds the capacity of lines
	return len(line), nil
}

// Dropped returns how many lines were dropped since the last summary line.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close writes the buffered lines and waits until they are written. Write must
// not be called afterwards.
func (w *Writer) Close() {
	close(w.lines)
	w.wg.Wait()
}

const (
	// maxWriteBytes limits the size of one write of several lines. On Linux,
	// larger writes to a pipe are not atomic (PIPE_BUF) and may be interleaved
	// with those of other processes.
	maxWriteBytes = 4096
	// maxLinesPerWrite limits the number of lines in one write.
	maxLinesPerWrite = 100
)

// writeLoop writes the buffered lines, as many complete lines in one call as the
// limits allow.
func (w *Writer) writeLoop() {
	// Write errors are ignored: if the reader of the log is gone, there is nowhere
	// to report them.
	out := bufio.NewWriterSize(errorIgnoringWriter{w.out}, maxWriteBytes)
	batched := int64(0) // lines in out
	flush := func() {
		_ = out.Flush()
		w.pending.Add(-batched)
		batched = 0
	}
	for line := range w.lines {
		if len(line) > out.Available() {
			flush()
		}
		_, _ = out.Write(line)
		batched++
		if len(w.lines) > 0 && batched < maxLinesPerWrite {
			continue
		}
		flush()
		if n := w.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(w.out, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", n)
		}
	}
}

// errorIgnoringWriter ignores write errors, because a bufio.Writer stops writing
// after the first one.
type errorIgnoringWriter struct{ io.Writer }

// Write implements io.Writer.
func (w errorIgnoringWriter) Write(p []byte) (int, error) {
	_, _ = w.Writer.Write(p)
	return len(p), nil
}
