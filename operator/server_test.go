package operator_test

import (
	"context"
	"net"
	"testing"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"apricotrouter/config"
	operatorpb "apricotrouter/gen/grpc/operator/pb"
	"apricotrouter/operator"
	"apricotrouter/replica"
	"apricotrouter/standin/authority"
	"apricotrouter/state"
)

// newAuthority returns a certificate authority whose files are removed after
// the test.
func newAuthority(t *testing.T) *authority.Authority {
	a, err := authority.New(t.TempDir())
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return a
}

func issueCertificate(t *testing.T, a *authority.Authority, name string) (certificate, key string) {
	certificate, key, err := a.Issue(name)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return certificate, key
}

func startServer(t *testing.T, s *operator.Service, tls config.TLS) (address string) {
	g := NewWithT(t)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	serverTLS, err := tls.OperatorServer()
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- operator.Serve(ctx, lis, s, serverTLS) }()
	t.Cleanup(func() {
		cancel()
		g.Expect(<-done).To(Succeed())
	})
	return lis.Addr().String()
}

func callSetZone(t *testing.T, address string, creds credentials.TransportCredentials, actor string) error {
	conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(creds))
	if err != nil {
		return err
	}
	defer conn.Close()
	_, err = operatorpb.NewOperatorClient(conn).SetZone(t.Context(), &operatorpb.SetZoneRequest{RequestId: "r1", Actor: &actor, Name: "z1", Out: true})
	return err
}

// Guards against an operator port that accepts calls without a valid client
// certificate, with which anyone could drain a zone, and against an audit record
// that has only the unverified actor name of the request.
func TestOperatorPortRequiresCertificateAndRecordsItsName(t *testing.T) {
	g := NewWithT(t)
	log := replica.NewFakeLog(clockwork.NewFakeClockAt(startTime))
	trustedCA, untrustedCA := newAuthority(t), newAuthority(t)
	serverCert, serverKey := issueCertificate(t, trustedCA, "e1")
	address := startServer(t, newService(log), config.TLS{Certificate: serverCert, Key: serverKey, ClientCA: trustedCA.File()})

	g.Expect(callSetZone(t, address, insecure.NewCredentials(), "ana")).NotTo(Succeed())
	cert, key := issueCertificate(t, untrustedCA, "mallory")
	untrustedTLS, err := config.ClientTLS(cert, key, trustedCA.File())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(callSetZone(t, address, credentials.NewTLS(untrustedTLS), "ana")).NotTo(Succeed())
	g.Expect(log.State().Index).To(BeZero())

	cert, key = issueCertificate(t, trustedCA, "ana")
	trustedTLS, err := config.ClientTLS(cert, key, trustedCA.File())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(callSetZone(t, address, credentials.NewTLS(trustedTLS), "ben")).To(Succeed())
	var actors []string
	for _, r := range log.State().Audit.All() {
		actors = append(actors, r.Actor)
	}
	g.Expect(actors).To(Equal([]string{"ana as ben"}))
}

// blockingLog blocks proposals until release is closed.
type blockingLog struct {
	replica.Log
	entered, release chan struct{}
}

func (l *blockingLog) Propose(ctx context.Context, c state.Command) (state.Result, error) {
	close(l.entered)
	<-l.release
	return l.Log.Propose(ctx, c)
}

// Guards against a shutdown that aborts running calls: the operator would get an
// unknown outcome.
func TestShutdownLetsRunningCallsFinish(t *testing.T) {
	g := NewWithT(t)
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	log := &blockingLog{replica.NewFakeLog(clockwork.NewFakeClockAt(startTime)), make(chan struct{}), make(chan struct{})}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(t.Context())
	serveErr, callErr := make(chan error, 1), make(chan error, 1)
	go func() { serveErr <- operator.Serve(ctx, lis, newService(log), nil) }()
	go func() { callErr <- callSetZone(t, lis.Addr().String(), insecure.NewCredentials(), "ana") }()
	<-log.entered
	cancel()
	g.Eventually(func() error {
		conn, err := net.Dial("tcp", lis.Addr().String())
		if err == nil {
			conn.Close()
		}
		return err
	}).Should(HaveOccurred(), "the port is still open")
	close(log.release)
	g.Expect(<-callErr).To(Succeed())
	g.Expect(<-serveErr).To(Succeed())
}
