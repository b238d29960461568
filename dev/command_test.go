package dev

import (
	"context"
	"io"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a cluster that waits for a second signal, because the first one
// came during its start.
func TestTerminationDuringTheStartEndsTheCluster(t *testing.T) {
	g := NewWithT(t)
	cmd := Command()
	cmd.SetArgs(nil)
	cmd.SetOut(io.Discard)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	ended := make(chan error, 1)
	go func() { ended <- cmd.ExecuteContext(ctx) }()
	g.Eventually(ended, 20*time.Second).Should(Receive(BeNil()))
}
