package identity

import (
	"crypto"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// clockSkew is how long before its issue a certificate becomes valid,
	// because the clocks of VMs differ.
	clockSkew = 5 * time.Minute
	// ephemeralValidity is longer than the lifetime of any process.
	ephemeralValidity = 10 * 365 * 24 * time.Hour
	serialBits        = 127
	authorityName     = "coveferry authority"
)

// Authority is a certificate authority for the processes of a fleet.
type Authority struct {
	cert *x509.Certificate
	key  crypto.Signer
	now  func() time.Time
}

// NewAuthority creates an authority with a new Ed25519 key.
func NewAuthority(validity time.Duration, opts ...Option) (*Authority, error) {
	if validity <= 0 {
		return nil, errors.Newf("validity %s is not positive", validity)
	}
	a := &Authority{now: applyOptions(opts).now}
	_, key, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate authority key")
	}
	now := a.now()
	tmpl, err := template(now, now.Add(validity))
	if err != nil {
		return nil, err
	}
	tmpl.Subject = pkix.Name{CommonName: authorityName, SerialNumber: tmpl.SerialNumber.Text(16)}
	tmpl.IsCA = true
	tmpl.BasicConstraintsValid = true
	tmpl.MaxPathLenZero = true
	tmpl.KeyUsage = x509.KeyUsageCertSign
	a.key = key
	a.cert, err = sign(tmpl, tmpl, key.Public(), key)
	return a, err
}

// Ephemeral creates an authority whose key is never stored, for `coveferryd
// standalone` and tests.
func Ephemeral(opts ...Option) (*Authority, error) {
	return NewAuthority(ephemeralValidity, opts...)
}

// ParseAuthority parses an authority's certificate and its Ed25519 or ECDSA key.
func ParseAuthority(certPEM, keyPEM []byte, opts ...Option) (*Authority, error) {
	pair, err := tls.X509KeyPair(certPEM, keyPEM)
	if err != nil {
		return nil, peerErrorf(ErrBadKeyPair, "%v", err)
	}
	if !pair.Leaf.IsCA {
		return nil, peerErrorf(ErrBadKeyPair, "%q is not an authority's certificate", pair.Leaf.Subject.CommonName)
	}
	key, ok := pair.PrivateKey.(crypto.Signer)
	if !ok {
		return nil, peerErrorf(ErrBadKeyPair, "the key can't sign")
	}
	return &Authority{cert: pair.Leaf, key: key, now: applyOptions(opts).now}, nil
}

// CertPEM returns the authority's certificate, which every process trusts.
func (a *Authority) CertPEM() []byte { return encodeCert(a.cert.Raw) }

// KeyPEM returns the authority's private key.
func (a *Authority) KeyPEM() ([]byte, error) { return encodeKey(a.key) }

// NotAfter returns when the authority's certificate expires.
func (a *Authority) NotAfter() time.Time { return a.cert.NotAfter }

// Issue creates a key and signs a certificate for a role and name. It returns
// ErrValidityTooLong if the certificate would expire after the authority's.
func (a *Authority) Issue(role Role, name string, validity time.Duration) (Pair, error) {
	if validity <= 0 {
		return Pair{}, errors.Newf("validity %s is not positive", validity)
	}
	end := a.now().Add(validity)
	if end.After(a.cert.NotAfter) {
		return Pair{}, peerErrorf(ErrValidityTooLong, "the authority's certificate expires %s", a.cert.NotAfter.UTC().Format(time.RFC3339))
	}
	return a.issue(Peer{Role: role, Name: name}, end)
}

func (a *Authority) issue(peer Peer, end time.Time) (Pair, error) {
	if err := peer.check(); err != nil {
		return Pair{}, err
	}
	_, key, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return Pair{}, errors.Wrap(err, "generate key")
	}
	tmpl, err := template(a.now(), end)
	if err != nil {
		return Pair{}, err
	}
	setSubject(tmpl, peer)
	cert, err := sign(tmpl, a.cert, key.Public(), a.key)
	if err != nil {
		return Pair{}, err
	}
	keyPEM, err := encodeKey(key)
	return Pair{CertPEM: encodeCert(cert.Raw), KeyPEM: keyPEM}, err
}

// Identity issues a certificate that is valid as long as the authority's. The
// identity is kept in memory and uses the authority's clock.
func (a *Authority) Identity(role Role, name string) (*Identity, error) {
	pair, err := a.issue(Peer{Role: role, Name: name}, a.cert.NotAfter)
	if err != nil {
		return nil, err
	}
	return New(a.CertPEM(), pair.CertPEM, pair.KeyPEM, WithClock(a.now))
}

// setSubject sets the role and name of the certificate, and whether its holder may
// act as client, server or both.
func setSubject(tmpl *x509.Certificate, peer Peer) {
	tmpl.Subject = pkix.Name{CommonName: peer.Name, OrganizationalUnit: []string{string(peer.Role)}}
	tmpl.URIs = []*url.URL{peer.uri()}
	tmpl.KeyUsage = x509.KeyUsageDigitalSignature
	tmpl.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}
	if peer.Role.acceptsConnections() {
		tmpl.ExtKeyUsage = append(tmpl.ExtKeyUsage, x509.ExtKeyUsageServerAuth)
	}
}

func template(now, end time.Time) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Wrap(err, "generate serial number")
	}
	return &x509.Certificate{
		SerialNumber: serial,
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     end,
	}, nil
}

func sign(tmpl, parent *x509.Certificate, pub crypto.PublicKey, key crypto.Signer) (*x509.Certificate, error) {
	der, err := x509.CreateCertificate(rand.Reader, tmpl, parent, pub, key)
	if err != nil {
		return nil, errors.Wrap(err, "sign certificate")
	}
	return x509.ParseCertificate(der)
}
