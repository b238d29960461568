package config

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"

	"apricotrouter/steperr"
)

// TLS names the PEM files for the operator port and the peer port.
type TLS struct {
	Certificate string `yaml:"certificate"` // certificate chain of this instance
	Key         string `yaml:"key"`         // private key of the certificate
	ClientCA    string `yaml:"client_ca"`   // authorities of operators' certificates
	// PeerCA holds the authorities of the other instances' certificates;
	// empty for those of ClientCA.
	PeerCA string `yaml:"peer_ca"`
	// AllowPlainOperatorPort accepts an operator port without TLS that is
	// reachable from other hosts.
	AllowPlainOperatorPort bool `yaml:"allow_plain_operator_port"`
}

// Enabled reports whether the operator port and the peer port use TLS.
func (t TLS) Enabled() bool { return t.Certificate != "" }

// OperatorServer returns the settings of the operator port, which requires a
// client certificate of ClientCA. It is nil without TLS.
func (t TLS) OperatorServer() (*tls.Config, error) {
	return t.server(t.ClientCA)
}

// PeerServer returns the settings of the peer port, which requires a client
// certificate of PeerCA. It is nil without TLS.
func (t TLS) PeerServer() (*tls.Config, error) {
	return t.server(t.peerCA())
}

// PeerClient returns the settings for dialling another instance, whose
// certificate must be of PeerCA and name the dialled IP address. It is nil
// without TLS.
func (t TLS) PeerClient() (*tls.Config, error) {
	if !t.Enabled() {
		return nil, nil
	}
	return ClientTLS(t.Certificate, t.Key, t.peerCA())
}

// ClientTLS returns client settings that present a certificate and accept
// servers whose certificates are of the authorities in caFile.
func ClientTLS(certFile, keyFile, caFile string) (*tls.Config, error) {
	cert, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, steperr.Wrap(err, "load certificate", certFile)
	}
	pool, err := loadPool(caFile)
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

func (t TLS) server(caFile string) (*tls.Config, error) {
	if !t.Enabled() {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(t.Certificate, t.Key)
	if err != nil {
		return nil, steperr.Wrap(err, "load certificate", t.Certificate)
	}
	pool, err := loadPool(caFile)
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

func loadPool(file string) (*x509.CertPool, error) {
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
