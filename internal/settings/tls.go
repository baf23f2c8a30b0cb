package settings

import (
	"crypto/tls"
	"crypto/x509"
	"net/netip"
	"strconv"

	"github.com/cockroachdb/errors"
)

// TLS holds the certificate of a listener, its private key and the authority
// that signs the other side's certificates. Each is PEM text, or the name of an
// environment variable that holds PEM text. All three or none are given.
type TLS struct {
	Certificate             string `json:"certificate"`
	CertificateEnvironment  string `json:"certificate_env"`
	PrivateKey              Secret `json:"private_key"`
	PrivateKeyEnvironment   string `json:"private_key_env"`
	CertificateAuthority    string `json:"certificate_authority"`
	CertificateAuthorityEnv string `json:"certificate_authority_env"`

	config *tls.Config
}

// Config returns the configuration for both the listening and the calling side,
// with mutual authentication, or nil without TLS.
func (t *TLS) Config() *tls.Config {
	if t.config == nil {
		return nil
	}
	return t.config.Clone()
}

func (t *TLS) validate(p *Problems, path, listen string, lookup func(string) (string, bool)) {
	resolve := func(name, text, variable string) string {
		switch {
		case text != "" && variable != "":
			p.add(path+"."+name, "give %s or %s_env, not both", name, name)
		case variable != "":
			value, found := lookup(variable)
			if !found || value == "" {
				p.add(path+"."+name+"_env", "environment variable %s is not set", strconv.Quote(variable))
			}
			return value
		}
		return text
	}
	before := len(*p)
	certificate := resolve("certificate", t.Certificate, t.CertificateEnvironment)
	key := resolve("private_key", t.PrivateKey.Reveal(), t.PrivateKeyEnvironment)
	authority := resolve("certificate_authority", t.CertificateAuthority, t.CertificateAuthorityEnv)
	if len(*p) > before {
		return
	}
	if certificate == "" && key == "" && authority == "" {
		address, err := netip.ParseAddrPort(listen)
		if err == nil && !address.Addr().IsLoopback() {
			p.add(path, "is required because %s is not a loopback address", listen)
		}
		return
	}
	config, err := newTLSConfig(certificate, key, authority)
	if err != nil {
		p.add(path, "%v", err)
		return
	}
	t.config = config
}

// newTLSConfig returns errors that name the faulty part and never its content.
func newTLSConfig(certificate, key, authority string) (*tls.Config, error) {
	if certificate == "" || key == "" || authority == "" {
		return nil, errors.New("certificate, private_key and certificate_authority must be given together")
	}
	pair, err := tls.X509KeyPair([]byte(certificate), []byte(key))
	if err != nil {
		return nil, errors.New("certificate and private_key are not a matching PEM pair")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM([]byte(authority)) {
		return nil, errors.New("certificate_authority holds no PEM certificate")
	}
	return &tls.Config{
		Certificates: []tls.Certificate{pair},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}, nil
}

func index(path string, i int) string { return path + "[" + strconv.Itoa(i) + "]" }
