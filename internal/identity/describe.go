package identity

import (
	"crypto/x509"
	"fmt"
	"time"
)

const day = 24 * time.Hour

// Description is a summary of a certificate.
type Description struct {
	Authority bool
	Peer      Peer // unset for an authority
	NotBefore time.Time
	NotAfter  time.Time
	name      string
}

// Describe returns descriptions of all certificates in a PEM text.
func Describe(certPEM []byte) ([]Description, error) {
	certs, err := parseCerts(certPEM)
	if err != nil {
		return nil, err
	}
	found := make([]Description, len(certs))
	for i, c := range certs {
		if found[i], err = describeOne(c); err != nil {
			return nil, err
		}
	}
	return found, nil
}

func describeOne(c *x509.Certificate) (Description, error) {
	d := Description{Authority: c.IsCA, NotBefore: c.NotBefore, NotAfter: c.NotAfter}
	if c.IsCA {
		d.name = fmt.Sprintf("%s %s", c.Subject.CommonName, c.Subject.SerialNumber)
		return d, nil
	}
	peer, err := peerOf(c)
	d.Peer, d.name = peer, peer.String()
	return d, err
}

// Subject returns the name of the authority or the URI of the peer.
func (d Description) Subject() string { return d.name }

// CheckAt returns ErrExpired or ErrNotYetValid if the certificate isn't valid at
// the given time.
func (d Description) CheckAt(now time.Time) error {
	switch {
	case now.Before(d.NotBefore):
		return peerErrorf(ErrNotYetValid, "%s is valid from %s", d.name, d.NotBefore.UTC().Format(time.RFC3339))
	case now.After(d.NotAfter):
		return peerErrorf(ErrExpired, "%s expired %s", d.name, d.NotAfter.UTC().Format(time.RFC3339))
	}
	return nil
}

// ValidityAt returns a text that says when the certificate expires or expired,
// relative to now.
func (d Description) ValidityAt(now time.Time) string {
	end := d.NotAfter.UTC().Format(time.RFC3339)
	if now.After(d.NotAfter) {
		return "ended " + end
	}
	return fmt.Sprintf("ends %s, in %d days", end, d.NotAfter.Sub(now)/day)
}
