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

// startSecure starts three instances whose peer and operator ports use TLS.
func startSecure(t *testing.T) []*running {
	g := NewWithT(t)
	a, err := authority.New(t.TempDir())
	g.Expect(err).NotTo(HaveOccurred())
	var peers []config.Peer
	var listeners []net.Listener
	for i := range 3 {
		l, err := net.Listen("tcp", anyPort)
		g.Expect(err).NotTo(HaveOccurred())
		listeners = append(listeners, l)
		peers = append(peers, config.Peer{ID: fmt.Sprint("e", i+1), AvailabilityZone: fmt.Sprint("z", i+1), Address: l.Addr().String(), InitialVoter: true})
	}
	all := make([]*running, len(peers))
	for i, p := range peers {
		cfg := single(t)
		cfg.Instance.ID, cfg.Instance.AvailabilityZone = p.ID, p.AvailabilityZone
		cfg.Peers, cfg.Listen.Peer = peers, p.Address
		cert, key, err := a.Issue(p.ID)
		g.Expect(err).NotTo(HaveOccurred())
		cfg.TLS = config.TLS{Certificate: cert, Key: key, ClientCA: a.File()}
		d, err := New(Options{Config: cfg, Logger: slog.New(slog.DiscardHandler), PeerListener: listeners[i]})
		g.Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- d.Run(ctx) }()
		t.Cleanup(func() {
			cancel()
			g.Expect(<-ended).To(Succeed())
		})
		all[i] = &running{Daemon: d}
	}
	g.Eventually(func() error {
		_, _, err := all[0].Replica().Init(t.Context())
		return err
	}, "10s", "50ms").Should(Succeed())
	for _, r := range all {
		g.Eventually(r.Ready, "10s", "20ms").Should(BeTrue())
	}
	return all
}

// A hop to the instance that owns the endpoint must use TLS like all
// connections to the peer port; without it each such request fails.
func TestRequestsReachEndpointsOfPeersOverTLS(t *testing.T) {
	g := NewWithT(t)
	all := startSecure(t)
	all[0].withService(t, time.Millisecond)
	for _, r := range all {
		g.Eventually(func() (int, error) { return r.status("GET", "/svc/x", "", nil) }, "5s", "50ms").Should(Equal(http.StatusOK), r.cfg.Instance.ID)
		for range 5 {
			code, err := r.status("POST", "/svc/x", "order", nil)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(code).To(Equal(http.StatusOK), r.cfg.Instance.ID)
		}
	}
}

// The peer port takes messages of the control group, so a program that has no
// certificate of the instances' authority must not get through.
func TestPeerPortRefusesStrangers(t *testing.T) {
	g := NewWithT(t)
	r := startSecure(t)[0]
	ours, theirs := r.cfg.TLS, r.cfg.TLS
	other, err := authority.New(t.TempDir())
	g.Expect(err).NotTo(HaveOccurred())
	theirs.Certificate, theirs.Key, err = other.Issue("stranger")
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
	g.Expect(get(theirs)).To(MatchError(ContainSubstring("certificate")))
	g.Expect(get(ours)).To(Succeed())
}
