package identity

import (
	"crypto/tls"
	"crypto/x509"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// protocols are the ALPN protocols: HTTP/2, then HTTP/1.1.
var protocols = []string{"h2", "http/1.1"}

// ServerConfig returns the TLS config of a listener that accepts only peers with
// one of the allowed roles. Without roles it accepts no peer.
//
// The handshake requests a certificate rather than requiring one, because only
// VerifyConnection can return a typed error for a rejected peer. It runs on every
// handshake, with or without a certificate.
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

// ClientConfig returns the TLS config for connections to one peer. With AnyName it
// accepts every peer with the role.
//
// The verification of crypto/tls is disabled because it compares host names.
// VerifyConnection verifies the chain, the validity period, the role and the name.
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

// baseConfig returns the common TLS config. It disables session resumption, because
// connections are long-lived and a resumed session would survive a change of the
// trusted authorities.
func (id *Identity) baseConfig() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		NextProtos:             slices.Clone(protocols),
		SessionTicketsDisabled: true,
		Time:                   id.now,
	}
}

// PeerOf returns the identity of the peer of a connection whose handshake has
// succeeded, for handlers that depend on the role.
func PeerOf(cs *tls.ConnectionState) (Peer, error) {
	if cs == nil || len(cs.PeerCertificates) == 0 {
		return Peer{}, peerErrorf(ErrNoCertificate, "")
	}
	return peerOf(cs.PeerCertificates[0])
}

// verify checks the peer's certificate chain against the currently trusted
// authorities.
func (id *Identity) verify(cs tls.ConnectionState, usage x509.ExtKeyUsage) (Peer, error) {
	if len(cs.PeerCertificates) == 0 {
		return Peer{}, peerErrorf(ErrNoCertificate, "the peer sent none")
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

// chainError converts an error of package x509 to one of this package.
func (id *Identity) chainError(leaf *x509.Certificate, err error) error {
	var invalid x509.CertificateInvalidError
	var unknown x509.UnknownAuthorityError
	switch {
	case errors.As(err, &unknown):
		return peerErrorf(ErrUnknownAuthority, "%q", leaf.Subject.CommonName)
	case !errors.As(err, &invalid):
		return peerErrorf(ErrBadCertificate, "%v", err)
	case invalid.Reason == x509.IncompatibleUsage:
		return peerErrorf(ErrWrongRole, "%q is not valid for this side of a connection", leaf.Subject.CommonName)
	case invalid.Reason != x509.Expired:
		return peerErrorf(ErrBadCertificate, "%v", err)
	case id.now().Before(leaf.NotBefore):
		return peerErrorf(ErrNotYetValid, "%q is valid from %s", leaf.Subject.CommonName, leaf.NotBefore.UTC())
	default:
		return peerErrorf(ErrExpired, "%q expired %s", leaf.Subject.CommonName, invalid.Cert.NotAfter.UTC())
	}
}

// peerOf parses the URI of a certificate, which must have exactly one.
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
