package settings

import "coveferry/internal/jsonc"

// Role is the role of a process in the system.
type Role string

// The roles of coveferryd.
const (
	RoleRouter     Role = "router"
	RoleAgent      Role = "agent"
	RoleStandalone Role = "standalone"
)

// Roles lists all roles in a fixed order.
func Roles() []Role { return []Role{RoleRouter, RoleAgent, RoleStandalone} }

// UnmarshalText reads the name of a role.
func (r *Role) UnmarshalText(text []byte) error { return parseEnum(r, text, Roles()) }

// Allowed implements jsonc.Describer.
func (Role) Allowed() string { return quotedAlternatives(Roles()) }

const keyRole = "role"

// readRole decodes only the role; other keys are checked once it is known.
func readRole(doc *jsonc.Document) (Role, jsonc.Problems) {
	var head struct {
		Role Role `json:"role" jsonc:"required"`
	}
	for _, p := range doc.Decode(&head) {
		if p.Path == keyRole || p.Path == "" {
			return "", jsonc.Problems{p}
		}
	}
	return head.Role, nil
}

// hasKey reports whether the document has the key.
func hasKey(doc *jsonc.Document, key string) bool {
	var keys map[string]any
	doc.Decode(&keys) // problems are reported when the role is known
	_, ok := keys[key]
	return ok
}
