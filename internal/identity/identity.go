package identity

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Identity is the certificate of a process and the authorities it trusts. It is
// safe for concurrent use. A reload takes effect on the next handshake.
type Identity struct {
	files   filePaths
	now     func() time.Time
	current atomic.Pointer[credentials]
}

// filePaths are the paths of the PEM files; empty for an identity kept in memory.
type filePaths struct{ ca, cert, key string }

// credentials are the parsed contents of the files.
type credentials struct {
	peer  Peer
	cert  tls.Certificate
	roots *x509.CertPool
}

// Option configures identities and authorities.
type Option func(*options)

type options struct{ now func() time.Time }

// WithClock sets the clock for issuing and verifying certificates, also as
// tls.Config.Time. The default is the system clock.
func WithClock(now func() time.Time) Option {
	return func(o *options) { o.now = now }
}

func applyOptions(opts []Option) options {
	o := options{now: time.Now}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}

// Load reads the trusted authorities, the process's certificate and its key from
// PEM files. The CA file may hold several authorities, for example during a CA
// rotation. Errors are *FileError.
func Load(caFile, certFile, keyFile string, opts ...Option) (*Identity, error) {
	id := &Identity{
		files: filePaths{ca: caFile, cert: certFile, key: keyFile},
		now:   applyOptions(opts).now,
	}
	m, err := id.files.read()
	if err != nil {
		return nil, err
	}
	id.current.Store(m)
	return id, nil
}

// New creates an identity from PEM data.
func New(caPEM, certPEM, keyPEM []byte, opts ...Option) (*Identity, error) {
	m, err := newCredentials(caPEM, certPEM, keyPEM)
	if err != nil {
		return nil, err
	}
	id := &Identity{now: applyOptions(opts).now}
	id.current.Store(m)
	return id, nil
}

// Peer returns the role and name in the process's certificate.
func (id *Identity) Peer() Peer { return id.current.Load().peer }

// NotAfter returns when the process's certificate expires.
func (id *Identity) NotAfter() time.Time { return id.current.Load().cert.Leaf.NotAfter }

// Reload reads the files again. On an error the current credentials stay in use.
// For an identity kept in memory Reload does nothing. The role and name must not
// change while a process runs, because peers identify it by them.
func (id *Identity) Reload() error {
	if id.files == (filePaths{}) {
		return nil
	}
	m, err := id.files.read()
	if err != nil {
		return err
	}
	if old := id.Peer(); m.peer != old {
		return &FileError{File: id.files.cert, Err: peerErrorf(ErrChanged, "from %s to %s", old, m.peer)}
	}
	id.current.Store(m)
	return nil
}

func (f filePaths) read() (*credentials, error) {
	var pems [3][]byte
	for i, name := range []string{f.ca, f.cert, f.key} {
		data, err := os.ReadFile(name)
		if err != nil {
			return nil, &FileError{File: name, Err: unwrapPath(err)}
		}
		pems[i] = data
	}
	if _, err := parseRoots(pems[0]); err != nil {
		return nil, &FileError{File: f.ca, Err: err}
	}
	m, err := newCredentials(pems[0], pems[1], pems[2])
	if err != nil {
		return nil, &FileError{File: f.cert, Err: err}
	}
	return m, nil
}

// unwrapPath removes the file name from an error of package os, because FileError
// includes it.
func unwrapPath(err error) error {
	var path *os.PathError
	if errors.As(err, &path) {
		return path.Err
	}
	return err
}

func newCredentials(caPEM, certPEM, keyPEM []byte) (*credentials, error) {
	roots, err := parseRoots(caPEM)
	if err != nil {
		return nil, err
	}
	cert, err := tls.X509KeyPair(certPEM, keyPEM)
	if err != nil {
		return nil, peerErrorf(ErrBadKeyPair, "%v", err)
	}
	peer, err := peerOf(cert.Leaf)
	if err != nil {
		return nil, err
	}
	return &credentials{peer: peer, cert: cert, roots: roots}, nil
}

func parseRoots(caPEM []byte) (*x509.CertPool, error) {
	certs, err := parseCerts(caPEM)
	if err != nil {
		return nil, err
	}
	roots := x509.NewCertPool()
	for _, c := range certs {
		if !c.IsCA {
			return nil, peerErrorf(ErrBadKeyPair, "%q is not an authority's certificate", c.Subject.CommonName)
		}
		roots.AddCert(c)
	}
	return roots, nil
}
