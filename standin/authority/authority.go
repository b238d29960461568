// Package authority is a certificate authority for tests. Its certificates are
// for 127.0.0.1 and expire after one hour.
package authority

import (
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
	"time"
)

// Authority issues certificates and writes them to files in one directory.
type Authority struct {
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// New creates an authority that writes its files to dir.
func New(dir string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	cert := template("test authority")
	cert.IsCA, cert.BasicConstraintsValid, cert.KeyUsage = true, true, x509.KeyUsageCertSign
	a := &Authority{dir: dir, cert: cert, key: key}
	return a, a.write("ca", cert, key)
}

// File returns the path of the authority's certificate.
func (a *Authority) File() string { return filepath.Join(a.dir, "ca.pem") }

// Issue issues a certificate for clients and servers. It returns the paths of the
// certificate and of its private key.
func (a *Authority) Issue(name string) (certificate, key string, err error) {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return "", "", err
	}
	cert := template(name)
	cert.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1)}
	cert.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	path := filepath.Join(a.dir, name)
	return path + ".pem", path + ".key", a.write(name, cert, k)
}

func template(name string) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-time.Hour),
		NotAfter:     now.Add(time.Hour),
	}
}

func (a *Authority) write(name string, cert *x509.Certificate, key *ecdsa.PrivateKey) error {
	der, err := x509.CreateCertificate(rand.Reader, cert, a.cert, key.Public(), a.key)
	if err != nil {
		return err
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return err
	}
	path := filepath.Join(a.dir, name)
	if err := writePEM(path+".pem", "CERTIFICATE", der); err != nil {
		return err
	}
	return writePEM(path+".key", "EC PRIVATE KEY", keyDER)
}

func writePEM(path, kind string, der []byte) error {
	return os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)
}
