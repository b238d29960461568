package event_test

import (
	"bytes"
	"log/slog"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"apricotrouter/event"
)

// blockedWriter blocks each Write until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(p)
}

// Guards against a process that blocks on the reader of its log, and against
// lines dropped without a report.
func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	g := NewWithT(t)
	out := &blockedWriter{release: make(chan struct{})}
	w := event.NewWriter(out, 10)
	logger := slog.New(slog.NewJSONHandler(w, nil))
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 100 {
			event.Log(logger, event.TaskPlaced)
		}
	}()
	g.Eventually(done, 5*time.Second).Should(BeClosed())
	g.Expect(w.Dropped()).To(BeNumerically(">=", 89))
	close(out.release)
	w.Close()
	g.Expect(out.buf.String()).To(ContainSubstring(`"msg":"log lines dropped"`))
	g.Expect(w.Dropped()).To(BeZero())
}

// BenchmarkLine measures the cost of one log line with attributes.
func BenchmarkLine(b *testing.B) {
	w := event.NewWriter(new(bytes.Buffer), event.DefaultBufferedLines)
	defer w.Close()
	logger := slog.New(slog.NewJSONHandler(w, nil))
	for b.Loop() {
		event.Log(logger, event.TaskPlaced, slog.String("workflow", "5c0e7a21d94b36f8"), slog.Int("task", 17),
			slog.Uint64("run", 2), slog.String("worker", "i-7f3a91c2"))
	}
}

// countingWriter counts the calls of Write.
type countingWriter struct {
	blockedWriter
	n int
}

func (c *countingWriter) Write(p []byte) (int, error) {
	n, err := c.blockedWriter.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n++
	return n, err
}

// Guards against one system call for each line of a burst.
func TestBufferedLinesShareOneWrite(t *testing.T) {
	g := NewWithT(t)
	out := &countingWriter{blockedWriter: blockedWriter{release: make(chan struct{})}}
	w := event.NewWriter(out, 200)
	const lines = 100
	for range lines {
		_, _ = w.Write([]byte("line\n"))
	}
	close(out.release)
	w.Close()
	g.Expect(bytes.Count(out.buf.Bytes(), []byte("line\n"))).To(Equal(lines))
	g.Expect(out.n).To(BeNumerically("<=", 3))
}

// recordingWriter records the data of each call of Write.
type recordingWriter struct {
	blockedWriter
	writes [][]byte
}

func (p *recordingWriter) Write(b []byte) (int, error) {
	n, err := p.blockedWriter.Write(b)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writes = append(p.writes, bytes.Clone(b))
	return n, err
}

// Guards against lines that are split or interleaved with those of other
// processes, which can happen to a write of more than 4 KiB to a pipe.
func TestWritesAreWholeLinesWithinPipeBuf(t *testing.T) {
	g := NewWithT(t)
	const pipeBuf = 4096
	out := &recordingWriter{blockedWriter: blockedWriter{release: make(chan struct{})}}
	w := event.NewWriter(out, 200)
	line := append(bytes.Repeat([]byte("x"), 299), '\n')
	long := append(bytes.Repeat([]byte("y"), 2*pipeBuf), '\n')
	for i := range 100 {
		if i == 50 {
			_, _ = w.Write(long)
		}
		_, _ = w.Write(line)
	}
	close(out.release)
	w.Close()
	for i, p := range out.writes {
		g.Expect(p).To(HaveSuffix("\n"), "call %d", i)
		if !bytes.Equal(p, long) {
			g.Expect(len(p)).To(BeNumerically("<=", pipeBuf), "call %d", i)
		}
	}
	g.Expect(bytes.Count(out.buf.Bytes(), line)).To(Equal(100))
	g.Expect(out.buf.Bytes()).To(ContainSubstring(string(long)))
}
