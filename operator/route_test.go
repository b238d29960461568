package operator_test

import (
	"testing"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	gen "apricotrouter/gen/operator"
	"apricotrouter/replica"
)

// Guards against two services with the same route: a caller would receive the
// response of the wrong service.
func TestServiceWithRouteOfAnotherIsRefused(t *testing.T) {
	g := NewWithT(t)
	log := replica.NewFakeLog(clockwork.NewFakeClockAt(startTime))
	s := newService(log)
	apply := func(name, host, prefix string, version uint64) error {
		_, err := s.ApplyService(t.Context(), &gen.ApplyServicePayload{
			RequestID: name + host + prefix, ExpectedVersion: &version,
			Spec: &gen.ServiceSpec{Name: name, Host: &host, PathPrefix: &prefix, Resources: &gen.Resources{MilliCPU: 1}, Slots: 1, ConnectionLimit: 1},
		})
		return err
	}
	g.Expect(apply("receipts", "Gifts.example", "/receipts/", 0)).To(Succeed())
	g.Expect(apply("receipts", "gifts.example", "/receipts", 1)).To(Succeed(), "the service itself may change")
	g.Expect(apply("copy", "gifts.example", "/receipts", 0)).To(MatchError(ContainSubstring("service receipts has the same host and path prefix")))
	g.Expect(apply("copy", "gifts.example", "/receipts/old", 0)).To(Succeed())
	g.Expect(apply("copy2", "", "/receipts", 0)).To(Succeed())
	g.Expect(apply("all", "", "/", 0)).To(Succeed())
	g.Expect(apply("all2", "", "/", 0)).To(MatchError(ContainSubstring("service all has the same")))
	g.Expect(apply("host", "gifts.example", "", 0)).To(Succeed())
	g.Expect(apply("host2", "gifts.example", "/", 0)).To(MatchError(ContainSubstring("service host has the same")))
	g.Expect(apply("none", "", "", 0)).To(Succeed())
	g.Expect(apply("none2", "", "", 0)).To(Succeed())
	g.Expect(errorName(apply("bad", "", "receipts", 0))).To(Equal("invalid"))
}
