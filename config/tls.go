package config

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"

	"apricotrouter/steperr"
)

// TLS contains the paths of the PEM files for the operator port and the peer
// port.
type TLS struct {
	Certificate string `yaml:"certificate"` // certificate chain of this instance
	Key         string `yaml:"key"`         // private key of the certificate
	ClientCA    string `yaml:"client_ca"`   // CAs of operators' certificates
	// PeerCA contains the CAs of the other instances' certificates; if it is
	// empty, ClientCA applies.
	PeerCA string `yaml:"peer_ca"`
	// AllowPlainOperatorPort permits an operator port without TLS on an address
	// other than loopback, which other hosts can reach.
	AllowPlainOperatorPort bool `yaml:"allow_plain_operator_port"`
}

// Enabled reports whether the operator port and the peer port use TLS.
func (t TLS) Enabled() bool { return t.Certificate != "" }

// OperatorServer returns the TLS configuration of the operator port, which
// requires a client certificate issued by ClientCA. It is nil without TLS.
func (t TLS) OperatorServer() (*tls.Config, error) {
	return t.serverConfig(t.ClientCA)
}

// PeerServer returns the TLS configuration of the peer port, which requires a
// client certificate issued by PeerCA. It is nil without TLS.
func (t TLS) PeerServer() (*tls.Config, error) {
	return t.serverConfig(t.peerCA())
}

// PeerClient returns the TLS configuration for dialing another instance, whose
// certificate must be issued by PeerCA and valid for the dialed IP address. It
// is nil without TLS.
func (t TLS) PeerClient() (*tls.Config, error) {
	if !t.Enabled() {
		return nil, nil
	}
	return ClientTLS(t.Certificate, t.Key, t.peerCA())
}

// ClientTLS returns a client configuration that presents the certificate in
// certFile and accepts servers with a certificate issued by a CA in caFile.
func ClientTLS(certFile, keyFile, caFile string) (*tls.Config, error) {
	cert, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, steperr.Wrap(err, "load certificate", certFile)
	}
	pool, err := loadCAPool(caFile)
	if err != nil {
		return nil, err
	}
	return &tls.Config{Certificates: []tls.Certificate{cert}, RootCAs: pool, MinVersion: tls.VersionTLS13}, nil
}

func (t TLS) peerCA() string {
	if t.PeerCA != "" {
		return t.PeerCA
	}
	return t.ClientCA
}

func (t TLS) serverConfig(caFile string) (*tls.Config, error) {
	if !t.Enabled() {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(t.Certificate, t.Key)
	if err != nil {
		return nil, steperr.Wrap(err, "load certificate", t.Certificate)
	}
	pool, err := loadCAPool(caFile)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		Certificates: []tls.Certificate{cert},
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}, nil
}

func loadCAPool(file string) (*x509.CertPool, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, steperr.Wrap(err, "load certificate authorities", file)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, steperr.Wrap(errors.New("the file has no certificate in PEM form"), "load certificate authorities", file)
	}
	return pool, nil
}
