package main

import (
	"log/slog"
	"os"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against an instance that starts, and is stopped at once, although it
// received SIGTERM while it read its settings.
func TestSignalBeforeTheContextEndsIt(t *testing.T) {
	for range 1000 {
		s := &signals{terminate: make(chan os.Signal, 1)}
		s.terminate <- syscall.SIGTERM
		NewWithT(t).Expect(s.terminationContext(slog.New(slog.DiscardHandler)).Err()).To(HaveOccurred())
	}
}
