package operator_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

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
	"apricotrouter/state"
)

// authority issues certificates into files of one folder.
type authority struct {
	t      *testing.T
	folder string
	cert   *x509.Certificate
	key    *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	tmpl := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"}, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	a := &authority{t: t, folder: t.TempDir(), cert: tmpl, key: key}
	a.write("ca", tmpl, key)
	return a
}

// issue returns the files of a certificate and its key.
func (a *authority) issue(name string) (certificate, key string) {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	tmpl := &x509.Certificate{SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name}, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	a.write(name, tmpl, k)
	return a.file(name + ".pem"), a.file(name + ".key")
}

func (a *authority) file(name string) string { return filepath.Join(a.folder, name) }

func (a *authority) write(name string, tmpl *x509.Certificate, key *ecdsa.PrivateKey) {
	der, err := x509.CreateCertificate(rand.Reader, tmpl, a.cert, key.Public(), a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	for file, block := range map[string]*pem.Block{
		name + ".pem": {Type: "CERTIFICATE", Bytes: der},
		name + ".key": {Type: "EC PRIVATE KEY", Bytes: keyDER},
	} {
		if err := os.WriteFile(a.file(file), pem.EncodeToMemory(block), 0o600); err != nil {
			a.t.Fatal(err)
		}
	}
}

func serve(t *testing.T, s *operator.Service, tls config.TLS) (address string) {
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

func call(t *testing.T, address string, creds credentials.TransportCredentials, actor string) error {
	conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(creds))
	if err != nil {
		return err
	}
	defer conn.Close()
	_, err = operatorpb.NewOperatorClient(conn).SetZone(t.Context(), &operatorpb.SetZoneRequest{RequestId: "r1", Actor: &actor, Name: "z1", Out: true})
	return err
}

// An operator port that takes anyone's calls lets anyone take a zone out, and
// an actor that is only stated can be anyone.
func TestOperatorPortRequiresCertificateAndRecordsItsName(t *testing.T) {
	g := NewWithT(t)
	log := replica.NewMemory(clockwork.NewFakeClockAt(start))
	ours, theirs := newAuthority(t), newAuthority(t)
	serverCert, serverKey := ours.issue("e1")
	address := serve(t, newService(log), config.TLS{Certificate: serverCert, Key: serverKey, ClientCA: ours.file("ca.pem")})

	g.Expect(call(t, address, insecure.NewCredentials(), "ana")).NotTo(Succeed())
	cert, key := theirs.issue("mallory")
	stranger, err := config.ClientTLS(cert, key, ours.file("ca.pem"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(call(t, address, credentials.NewTLS(stranger), "ana")).NotTo(Succeed())
	g.Expect(log.State().Index).To(BeZero())

	cert, key = ours.issue("ana")
	known, err := config.ClientTLS(cert, key, ours.file("ca.pem"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(call(t, address, credentials.NewTLS(known), "ben")).To(Succeed())
	r, _ := log.State().Audit.Get(state.AuditKey(0))
	g.Expect(r.Actor).To(Equal("ana as ben"))
}

// blockingLog holds proposals until it is released.
type blockingLog struct {
	replica.Log
	entered, release chan struct{}
}

func (l *blockingLog) Propose(ctx context.Context, c state.Command) (state.Result, error) {
	close(l.entered)
	<-l.release
	return l.Log.Propose(ctx, c)
}

// A call that is cut off at shutdown leaves the operator with an unknown
// outcome.
func TestShutdownLetsRunningCallsFinish(t *testing.T) {
	g := NewWithT(t)
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	log := &blockingLog{replica.NewMemory(clockwork.NewFakeClockAt(start)), make(chan struct{}), make(chan struct{})}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(t.Context())
	served, called := make(chan error, 1), make(chan error, 1)
	go func() { served <- operator.Serve(ctx, lis, newService(log), nil) }()
	go func() { called <- call(t, lis.Addr().String(), insecure.NewCredentials(), "ana") }()
	<-log.entered
	cancel()
	g.Eventually(func() error {
		conn, err := net.Dial("tcp", lis.Addr().String())
		if err == nil {
			conn.Close()
		}
		return err
	}).Should(HaveOccurred(), "the port stays open")
	close(log.release)
	g.Expect(<-called).To(Succeed())
	g.Expect(<-served).To(Succeed())
}
