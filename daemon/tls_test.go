package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"apricotrouter/config"
	"apricotrouter/standin/authority"
)

// startWithTLS starts three instances whose peer and operator ports use TLS.
func startWithTLS(t *testing.T) []*testInstance {
	g := NewWithT(t)
	ca, err := authority.New(t.TempDir())
	g.Expect(err).NotTo(HaveOccurred())
	var peers []config.Peer
	var listeners []net.Listener
	for i := range 3 {
		l, err := net.Listen("tcp", anyPort)
		g.Expect(err).NotTo(HaveOccurred())
		listeners = append(listeners, l)
		peers = append(peers, config.Peer{ID: fmt.Sprint("e", i+1), AvailabilityZone: fmt.Sprint("z", i+1), Address: l.Addr().String(), InitialVoter: true})
	}
	instances := make([]*testInstance, len(peers))
	for i, p := range peers {
		cfg := singleInstanceConfig(t)
		cfg.Instance.ID, cfg.Instance.AvailabilityZone = p.ID, p.AvailabilityZone
		cfg.Peers, cfg.Listen.Peer = peers, p.Address
		cert, key, err := ca.Issue(p.ID)
		g.Expect(err).NotTo(HaveOccurred())
		cfg.TLS = config.TLS{Certificate: cert, Key: key, ClientCA: ca.File()}
		d, err := New(Options{Config: cfg, Logger: slog.New(slog.DiscardHandler), PeerListener: listeners[i]})
		g.Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- d.Run(ctx) }()
		t.Cleanup(func() {
			cancel()
			g.Expect(<-ended).To(Succeed())
		})
		instances[i] = &testInstance{Daemon: d}
	}
	g.Eventually(func() error {
		_, _, err := instances[0].Replica().Init(t.Context())
		return err
	}, "10s", "50ms").Should(Succeed())
	for _, r := range instances {
		g.Eventually(r.Ready, "10s", "20ms").Should(BeTrue())
	}
	return instances
}

// Guards against requests that are forwarded to the owner of the endpoint without
// TLS: the peer port requires it, so each such request would fail.
func TestRequestsReachEndpointsOfPeersOverTLS(t *testing.T) {
	g := NewWithT(t)
	instances := startWithTLS(t)
	instances[0].addService(t, time.Millisecond)
	for _, r := range instances {
		g.Eventually(func() (int, error) { return r.status("GET", "/svc/x", "", nil) }, "5s", "50ms").Should(Equal(http.StatusOK), r.cfg.Instance.ID)
		for range 5 {
			code, err := r.status("POST", "/svc/x", "order", nil)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(code).To(Equal(http.StatusOK), r.cfg.Instance.ID)
		}
	}
}

// Guards against a peer port that accepts clients without a certificate issued by
// the instances' CA: the port accepts messages of the control group.
func TestPeerPortRefusesStrangers(t *testing.T) {
	g := NewWithT(t)
	r := startWithTLS(t)[0]
	trusted, untrusted := r.cfg.TLS, r.cfg.TLS
	otherCA, err := authority.New(t.TempDir())
	g.Expect(err).NotTo(HaveOccurred())
	untrusted.Certificate, untrusted.Key, err = otherCA.Issue("untrusted")
	g.Expect(err).NotTo(HaveOccurred())
	get := func(c config.TLS) error {
		client, err := c.PeerClient()
		g.Expect(err).NotTo(HaveOccurred())
		transport := &http.Transport{TLSClientConfig: client}
		defer transport.CloseIdleConnections()
		resp, err := (&http.Client{Transport: transport}).Get("https://" + r.cfg.Listen.Peer + "/")
		if err == nil {
			_ = resp.Body.Close()
		}
		return err
	}
	g.Expect(get(untrusted)).To(MatchError(ContainSubstring("certificate")))
	g.Expect(get(trusted)).To(Succeed())
}
