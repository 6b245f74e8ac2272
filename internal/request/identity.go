package request

import (
	"cmp"

	"coveferry/internal/poison"
)

// Identity is that of the request, whoever takes it and however often it comes. It is
// worked out once, and may be asked for once the request's team is known.
func (r *Request) Identity() poison.Identity {
	if r.identity == 0 {
		r.identity = poison.Identify(poison.Content{
			Team: r.team(), Method: r.Method, Host: r.Host, Target: r.target(), Body: r.Body,
		})
	}
	return r.identity
}

func (r *Request) team() string {
	if r.Team != nil {
		return r.Team.Name
	}
	return r.TeamName
}

// target is the path of a routed request; of others the kind, which has one path, or the
// service and the path in it.
func (r *Request) target() string {
	return cmp.Or(r.Target, string(r.Kind)+"/"+r.Service+r.Path)
}
