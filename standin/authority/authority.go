// Package authority is a stand-in for an organisation's certificate authority.
// Its certificates are for 127.0.0.1 and valid for an hour.
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

// Authority issues certificates into files of one folder.
type Authority struct {
	folder string
	cert   *x509.Certificate
	key    *ecdsa.PrivateKey
}

// New returns an authority that writes into folder.
func New(folder string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	cert := template("test authority")
	cert.IsCA, cert.BasicConstraintsValid, cert.KeyUsage = true, true, x509.KeyUsageCertSign
	a := &Authority{folder: folder, cert: cert, key: key}
	return a, a.write("ca", cert, key)
}

// File returns the file with the certificate of the authority.
func (a *Authority) File() string { return filepath.Join(a.folder, "ca.pem") }

// Issue returns the files of a new certificate and its key. The certificate
// serves clients and servers.
func (a *Authority) Issue(name string) (certificate, key string, err error) {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return "", "", err
	}
	cert := template(name)
	cert.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1)}
	cert.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	path := filepath.Join(a.folder, name)
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
	path := filepath.Join(a.folder, name)
	if err := writePEM(path+".pem", "CERTIFICATE", der); err != nil {
		return err
	}
	return writePEM(path+".key", "EC PRIVATE KEY", keyDER)
}

func writePEM(path, kind string, der []byte) error {
	return os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)
}
