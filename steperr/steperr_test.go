package steperr_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/gravitational/trace"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"apricotrouter/steperr"
)

func TestStepErrors(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "errors with step and peer")
}

var errCause = errors.New("connection refused")

// Guards against errors that lose their step or peer when callers wrap them.
var _ = DescribeTable("step and peer of an error",
	func(err error, step, peer, text string) {
		Expect(err).To(MatchError(errCause))
		Expect(steperr.Step(err)).To(Equal(step))
		Expect(steperr.Peer(err)).To(Equal(peer))
		Expect(err.Error()).To(ContainSubstring(text))
	},
	Entry("with a peer", steperr.Wrap(errCause, "dial peer", "e2"),
		"dial peer", "e2", "dial peer (e2): connection refused"),
	Entry("without a peer", steperr.Wrap(errCause, "open ports", ""),
		"open ports", "", "open ports: connection refused"),
	Entry("outermost step, and peer of the outermost step that has one",
		steperr.Wrap(steperr.Wrap(errCause, "dial peer", "e2"), "forward request", ""),
		"forward request", "e2", "forward request: dial peer (e2): connection refused"),
	Entry("wrapped by other packages", fmt.Errorf("request r1: %w", trace.Wrap(steperr.Wrap(errCause, "read answer", "ep1"))),
		"read answer", "ep1", "request r1: read answer (ep1): connection refused"),
)

var _ = Describe("an error that is nil", func() {
	It("stays nil, so callers can wrap it without a check", func() {
		Expect(steperr.Wrap(nil, "dial peer", "e2")).To(Succeed())
		Expect(steperr.Step(nil)).To(BeEmpty())
	})
})

var _ = Describe("an error without a step", func() {
	It("has neither step nor peer", func() {
		Expect(steperr.Step(errCause)).To(BeEmpty())
		Expect(steperr.Peer(errCause)).To(BeEmpty())
	})
})
