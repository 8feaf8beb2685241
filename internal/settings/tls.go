package settings

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/rotisserie/eris"
)

// ServerTLS returns what listeners use, or nil if TLS is off.
func (s Security) ServerTLS() (*tls.Config, error) {
	if s.TLSCertFile == "" {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(s.TLSCertFile, s.TLSKeyFile)
	if err != nil {
		return nil, eris.Wrap(err, "TLS certificate or key can't be read")
	}
	return &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12}, nil
}

// ClientTLS returns what the system's processes use to reach each other and the
// operators' addresses, or nil if TLS is off.
func (s Security) ClientTLS() (*tls.Config, error) {
	if s.TLSCertFile == "" {
		return nil, nil
	}
	pem, err := os.ReadFile(s.TLSCAFile)
	if err != nil {
		return nil, eris.Wrap(err, "TLS authorities can't be read")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, eris.Errorf("no certificate in %s", s.TLSCAFile)
	}
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}, nil
}
