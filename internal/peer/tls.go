package peer

import (
	"crypto/tls"
	"crypto/x509"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Credentials hold the certificate with which a host authenticates to others,
// and the authority that signs theirs. They can be replaced while in use.
// Connections that are open keep the old ones.
type Credentials struct {
	current atomic.Pointer[keyPair]
}

type keyPair struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

// NewCredentials reads PEM content. A certificate must name the IP address at
// which other hosts reach its host, and allow both server and client use.
func NewCredentials(certificate, key, authority []byte) (*Credentials, error) {
	c := &Credentials{}
	return c, c.Replace(certificate, key, authority)
}

// Replace uses other PEM content for new connections. After an error the old
// content stays in use.
func (c *Credentials) Replace(certificate, key, authority []byte) error {
	pair, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		return errors.Wrap(err, "peer certificate")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return errors.New("peer authority holds no PEM certificate")
	}
	c.current.Store(&keyPair{certificate: pair, authority: pool})
	return nil
}

// ServerConfig returns the configuration for listeners. Clients must present
// a certificate of the authority.
func (c *Credentials) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := c.current.Load()
			return &tls.Config{
				MinVersion: tls.VersionTLS13, ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: m.authority,
				// A resumed session would outlive the replacement of the authority.
				SessionTicketsDisabled: true,
				GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
					return &c.current.Load().certificate, nil
				},
			}, nil
		},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &c.current.Load().certificate, nil
		},
	}
}

// clientConfig returns the configuration for a new connection to a host.
func (c *Credentials) clientConfig(host string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13, RootCAs: c.current.Load().authority, ServerName: host,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &c.current.Load().certificate, nil
		},
	}
}
