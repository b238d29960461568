package dispatch

import (
	"crypto/tls"
	"crypto/x509"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
)

// Guards against TLS connections that are never reused, which would cost a
// handshake for each forwarded request.
func TestConnectionWithTLSIsUsedAgain(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
	defer server.Close()
	roots := x509.NewCertPool()
	roots.AddCert(server.Certificate())
	pool := &connPool{
		address: strings.TrimPrefix(server.URL, "https://"), limit: func() int64 { return 1 },
		clock: clockwork.NewRealClock(), dialer: newDialer(), tls: &tls.Config{RootCAs: roots},
	}
	var first *conn
	for i := range 3 {
		c, err := pool.get(t.Context())
		g.Expect(err).NotTo(HaveOccurred())
		if i == 0 {
			first = c
		}
		g.Expect(c).To(BeIdenticalTo(first))
		c.limitRead()
		_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: test\r\n\r\n")
		g.Expect(err).NotTo(HaveOccurred())
		resp, err := http.ReadResponse(c.br, nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(io.ReadAll(resp.Body)).To(Equal([]byte("ok")))
		pool.put(c)
	}
	pool.closeIdle(true)
}

func TestConnectionToUntrustedPeerIsRefused(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewTLSServer(http.NotFoundHandler())
	defer server.Close()
	pool := &connPool{
		address: strings.TrimPrefix(server.URL, "https://"), limit: func() int64 { return 1 },
		clock: clockwork.NewRealClock(), dialer: newDialer(), tls: &tls.Config{RootCAs: x509.NewCertPool()},
	}
	_, err := pool.get(t.Context())
	g.Expect(err).To(MatchError(ContainSubstring("certificate")))
	g.Expect(pool.openCount()).To(BeZero())
}
