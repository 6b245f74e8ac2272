package identity

import (
	"crypto/tls"
	"crypto/x509"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// protocols are what ALPN offers: HTTP/2, then HTTP/1.1.
var protocols = []string{"h2", "http/1.1"}

// ServerConfig returns the settings of a listener that talks only to holders
// of the allowed roles; with none given, to nobody.
//
// The handshake asks for a certificate rather than requiring one, because only
// VerifyConnection can say with a typed error why a peer was turned away. It
// runs on every handshake, with or without a certificate.
func (id *Identity) ServerConfig(allowed ...Role) *tls.Config {
	allowed = slices.Clone(allowed)
	cfg := id.baseConfig()
	cfg.ClientAuth = tls.RequestClientCert
	cfg.GetCertificate = func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
		return &id.current.Load().cert, nil
	}
	cfg.VerifyConnection = func(cs tls.ConnectionState) error {
		peer, err := id.verify(cs, x509.ExtKeyUsageClientAuth)
		if err != nil {
			return err
		}
		return checkRole(peer, allowed)
	}
	return cfg
}

// ClientConfig returns the settings of connections to one peer. With AnyName
// every holder of the role will do.
//
// The library's own check is off because it compares host names;
// VerifyConnection checks the chain, the time, the role and the name.
func (id *Identity) ClientConfig(expect Role, name string) *tls.Config {
	cfg := id.baseConfig()
	cfg.InsecureSkipVerify = true
	cfg.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
		return &id.current.Load().cert, nil
	}
	cfg.VerifyConnection = func(cs tls.ConnectionState) error {
		peer, err := id.verify(cs, x509.ExtKeyUsageServerAuth)
		if err != nil {
			return err
		}
		if err := checkRole(peer, []Role{expect}); err != nil {
			return err
		}
		if name != AnyName && peer.Name != name {
			return peerErrorf(ErrWrongName, "%s answered, want %s", peer, Peer{Role: expect, Name: name})
		}
		return nil
	}
	return cfg
}

// baseConfig turns session resumption off: connections live long, and a
// resumed one would outlast a change of the authorities.
func (id *Identity) baseConfig() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		NextProtos:             slices.Clone(protocols),
		SessionTicketsDisabled: true,
		Time:                   id.now,
	}
}

// PeerOf returns who is at the other end of a connection whose handshake has
// succeeded, for handlers that treat roles differently.
func PeerOf(cs *tls.ConnectionState) (Peer, error) {
	if cs == nil || len(cs.PeerCertificates) == 0 {
		return Peer{}, peerErrorf(ErrNoCertificate, "")
	}
	return peerOf(cs.PeerCertificates[0])
}

// verify checks the peer's chain against the authorities trusted now.
func (id *Identity) verify(cs tls.ConnectionState, usage x509.ExtKeyUsage) (Peer, error) {
	if len(cs.PeerCertificates) == 0 {
		return Peer{}, peerErrorf(ErrNoCertificate, "the peer showed none")
	}
	leaf := cs.PeerCertificates[0]
	intermediates := x509.NewCertPool()
	for _, c := range cs.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots:         id.current.Load().roots,
		Intermediates: intermediates,
		CurrentTime:   id.now(),
		KeyUsages:     []x509.ExtKeyUsage{usage},
	})
	if err != nil {
		return Peer{}, id.chainError(leaf, err)
	}
	return peerOf(leaf)
}

// chainError turns an error of x509 into one of this package.
func (id *Identity) chainError(leaf *x509.Certificate, err error) error {
	var invalid x509.CertificateInvalidError
	var unknown x509.UnknownAuthorityError
	switch {
	case errors.As(err, &unknown):
		return peerErrorf(ErrUnknownAuthority, "%q", leaf.Subject.CommonName)
	case !errors.As(err, &invalid):
		return peerErrorf(ErrBadCertificate, "%v", err)
	case invalid.Reason == x509.IncompatibleUsage:
		return peerErrorf(ErrWrongRole, "%q may not be on this side of a connection", leaf.Subject.CommonName)
	case invalid.Reason != x509.Expired:
		return peerErrorf(ErrBadCertificate, "%v", err)
	case id.now().Before(leaf.NotBefore):
		return peerErrorf(ErrNotYetValid, "%q begins %s", leaf.Subject.CommonName, leaf.NotBefore.UTC())
	default:
		return peerErrorf(ErrExpired, "%q ended %s", leaf.Subject.CommonName, invalid.Cert.NotAfter.UTC())
	}
}

// peerOf reads the one URI of a certificate.
func peerOf(cert *x509.Certificate) (Peer, error) {
	if len(cert.URIs) != 1 {
		return Peer{}, peerErrorf(ErrNoIdentity, "%d URIs, want 1", len(cert.URIs))
	}
	peer, err := parsePeer(cert.URIs[0])
	if err != nil {
		return Peer{}, peerErrorf(ErrNoIdentity, "%v", err)
	}
	return peer, nil
}

func checkRole(peer Peer, allowed []Role) error {
	if slices.Contains(allowed, peer.Role) {
		return nil
	}
	names := make([]string, len(allowed))
	for i, r := range allowed {
		names[i] = string(r)
	}
	return peerErrorf(ErrWrongRole, "%s, want %s", peer, strings.Join(names, " or "))
}
