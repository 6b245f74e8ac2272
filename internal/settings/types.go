package settings

import (
	"net/netip"
	"net/url"
	"path/filepath"
	"regexp"
	"strings"

	"aead.dev/minisign"
	"github.com/cockroachdb/errors"
)

// invalidText returns the error for a text that its type doesn't allow.
func invalidText(text []byte, allowed string) error {
	return errors.Newf("must be %s, not %q", allowed, text)
}

// Address is a literal IP and a port to listen on. Port 0 lets the system
// choose one. The zero value means no address.
type Address struct{ netip.AddrPort }

// UnmarshalText reads "10.0.0.7:8080" or "[2001:db8::7]:8080".
func (a *Address) UnmarshalText(text []byte) error {
	ap, err := netip.ParseAddrPort(string(text))
	if err != nil || ap.Addr().IsMulticast() {
		return invalidText(text, a.Allowed())
	}
	a.AddrPort = netip.AddrPortFrom(ap.Addr().Unmap(), ap.Port())
	return nil
}

// overlaps reports whether the two addresses can't be listened on at the same time. Ports that
// the system chooses never conflict.
func (a Address) overlaps(b Address) bool {
	if !a.IsValid() || !b.IsValid() || a.Port() != b.Port() || a.Port() == 0 {
		return false
	}
	unspecified := a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
	return a.Addr() == b.Addr() || unspecified && a.Addr().Is4() == b.Addr().Is4()
}

// Allowed implements jsonc.Describer.
func (Address) Allowed() string {
	return `a literal IP and port such as "10.0.0.7:8080", not a host name`
}

// URL is the URL, with a literal IP address, of a server that the process calls.
type URL struct{ url.URL }

// UnmarshalText reads "http://10.0.0.7:8000/path".
func (u *URL) UnmarshalText(text []byte) error {
	parsed, err := url.Parse(string(text))
	if err != nil || !isServerURL(parsed) {
		return invalidText(text, u.Allowed())
	}
	u.URL = *parsed
	return nil
}

// MarshalText writes the URL.
func (u URL) MarshalText() ([]byte, error) { return []byte(u.String()), nil }

// Allowed implements jsonc.Describer.
func (URL) Allowed() string {
	return `an http or https URL with a literal IP and port such as "http://10.0.0.7:8000", with no user, query or fragment`
}

func isServerURL(u *url.URL) bool {
	ap, err := netip.ParseAddrPort(u.Host)
	return err == nil && ap.Port() != 0 && !ap.Addr().IsUnspecified() && !ap.Addr().IsMulticast() &&
		(u.Scheme == "http" || u.Scheme == "https") &&
		u.User == nil && u.RawQuery == "" && !u.ForceQuery && u.Fragment == ""
}

// Name is the name of a VM, a failure domain, a region or an endpoint, in the same form as in
// a bundle.
type Name string

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// UnmarshalText reads a name.
func (n *Name) UnmarshalText(text []byte) error {
	if !namePattern.Match(text) {
		return invalidText(text, n.Allowed())
	}
	*n = Name(text)
	return nil
}

// Allowed implements jsonc.Describer.
func (Name) Allowed() string {
	return "1 to 63 lower-case letters, digits, '.', '_' or '-', beginning with a letter or digit"
}

// File is a path. In a settings file a relative path is relative to the folder of that file;
// it is resolved when the file is loaded.
type File string

// UnmarshalText reads a path.
func (f *File) UnmarshalText(text []byte) error {
	if len(text) == 0 || strings.ContainsRune(string(text), 0) {
		return invalidText(text, f.Allowed())
	}
	*f = File(text)
	return nil
}

// Allowed implements jsonc.Describer.
func (File) Allowed() string {
	return "a path, absolute or relative to the folder of the settings file"
}

func (f *File) resolve(dir string) {
	if *f != "" && !filepath.IsAbs(string(*f)) {
		*f = File(filepath.Join(dir, string(*f)))
	}
}

// PublicKey verifies the signatures of bundles.
type PublicKey struct{ minisign.PublicKey }

// UnmarshalText reads a key in minisign's form, without a comment.
func (k *PublicKey) UnmarshalText(text []byte) error {
	if strings.ContainsAny(string(text), "\r\n") || k.PublicKey.UnmarshalText(text) != nil {
		return invalidText(text, k.Allowed())
	}
	return nil
}

// Allowed implements jsonc.Describer.
func (PublicKey) Allowed() string {
	return `a minisign public key, the line of a .pub file that begins with "RW"`
}
