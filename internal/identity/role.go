package identity

import (
	"net/url"
	"regexp"
)

// Scheme is the URI scheme of identities.
const Scheme = "coveferry"

// AnyName makes ClientConfig accept every peer with the role.
const AnyName = ""

// Role is the kind of a process. It determines what the process may call.
type Role string

// The roles of certificates.
const (
	RoleRouter   Role = "router"
	RoleAgent    Role = "agent"
	RoleOperator Role = "operator"
)

// Roles lists all roles in a fixed order.
func Roles() []Role { return []Role{RoleRouter, RoleAgent, RoleOperator} }

// Valid reports whether r is one of the known roles.
func (r Role) Valid() bool {
	return r == RoleRouter || r == RoleAgent || r == RoleOperator
}

// acceptsConnections reports whether processes with the role act as servers.
// Operators are only clients.
func (r Role) acceptsConnections() bool { return r != RoleOperator }

// namePattern matches valid names, which are used in URIs and file names.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// Peer is the identity in a certificate.
type Peer struct {
	Role Role
	Name string
}

// String returns the peer's URI.
func (p Peer) String() string { return p.uri().String() }

func (p Peer) uri() *url.URL {
	return &url.URL{Scheme: Scheme, Host: string(p.Role), Path: "/" + p.Name}
}

// check returns an error if the role or the name is invalid.
func (p Peer) check() error {
	if !p.Role.Valid() {
		return peerErrorf(ErrBadPeer, "%q is not a role; the roles are router, agent and operator", string(p.Role))
	}
	if !namePattern.MatchString(p.Name) {
		return peerErrorf(ErrBadPeer, "%q is not a name; write 1 to 63 letters, digits, dots, dashes or underscores, a letter or digit first", p.Name)
	}
	return nil
}

// parsePeer parses an identity's URI. Only the canonical form is accepted, so that
// two URIs can't identify the same peer.
func parsePeer(u *url.URL) (Peer, error) {
	if u.Scheme != Scheme || len(u.Path) < 2 {
		return Peer{}, peerErrorf(ErrBadPeer, "%q is not of the form %s://ROLE/NAME", u, Scheme)
	}
	p := Peer{Role: Role(u.Host), Name: u.Path[1:]}
	if err := p.check(); err != nil {
		return Peer{}, err
	}
	if p.String() != u.String() {
		return Peer{}, peerErrorf(ErrBadPeer, "%q is not of the form %s://ROLE/NAME", u, Scheme)
	}
	return p, nil
}
