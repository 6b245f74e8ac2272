package identity

import (
	"crypto"
	"crypto/x509"
	"encoding/pem"
)

// PEM block types.
const (
	blockCert = "CERTIFICATE"
	blockKey  = "PRIVATE KEY"
)

// Pair is a certificate and its private key, both in PEM.
type Pair struct {
	CertPEM []byte
	KeyPEM  []byte
}

// parseCerts parses all certificates of a PEM text, which must have at least one.
func parseCerts(text []byte) ([]*x509.Certificate, error) {
	var certs []*x509.Certificate
	for {
		var block *pem.Block
		block, text = pem.Decode(text)
		if block == nil {
			break
		}
		if block.Type != blockCert {
			return nil, peerErrorf(ErrBadKeyPair, "found a PEM block %q, want only %s", block.Type, blockCert)
		}
		c, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, peerErrorf(ErrBadKeyPair, "%v", err)
		}
		certs = append(certs, c)
	}
	if len(certs) == 0 {
		return nil, peerErrorf(ErrBadKeyPair, "no PEM block %s found", blockCert)
	}
	return certs, nil
}

func encodeCert(der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: blockCert, Bytes: der})
}

func encodeKey(key crypto.Signer) ([]byte, error) {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, peerErrorf(ErrBadKeyPair, "%v", err)
	}
	return pem.EncodeToMemory(&pem.Block{Type: blockKey, Bytes: der}), nil
}
