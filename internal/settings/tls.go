package settings

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/rotisserie/eris"
)

// ServerTLS returns the TLS configuration of listeners, or nil if TLS is off.
func (s Security) ServerTLS() (*tls.Config, error) {
	if s.TLSCertFile == "" {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(s.TLSCertFile, s.TLSKeyFile)
	if err != nil {
		return nil, eris.Wrap(err, "load TLS certificate and key")
	}
	return &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12}, nil
}

// ClientTLS returns the TLS configuration for connections between the system's
// processes and to the operators' addresses, or nil if TLS is off.
func (s Security) ClientTLS() (*tls.Config, error) {
	if s.TLSCertFile == "" {
		return nil, nil
	}
	pem, err := os.ReadFile(s.TLSCAFile)
	if err != nil {
		return nil, eris.Wrap(err, "read TLS certificate authorities")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, eris.Errorf("no certificate in %s", s.TLSCAFile)
	}
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}, nil
}
