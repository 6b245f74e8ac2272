package request

import (
	"cmp"

	"coveferry/internal/poison"
)

// Identity returns a hash of the request's content, which is the same at all routers and for
// each retry by the caller. It is computed on the first call, which must not precede the
// authentication.
func (r *Request) Identity() poison.Identity {
	if r.identity == 0 {
		r.identity = poison.Identify(poison.Content{
			Team: r.team(), Method: r.Method, Host: r.Host, Target: r.target(), Body: r.Body,
		})
	}
	return r.identity
}

// Poison returns what may identify the request as one that crashes endpoints.
func (r *Request) Poison() poison.Request {
	p := r.PoisonParts()
	p.Content = r.Identity()
	return p
}

// PoisonParts is like Poison, without the request's content.
func (r *Request) PoisonParts() poison.Request {
	p := poison.Request{Service: r.Service}
	for _, part := range r.Prompt.SharedParts() {
		p.Parts = append(p.Parts, part.ID)
	}
	return p
}

func (r *Request) team() string {
	if r.Team != nil {
		return r.Team.Name
	}
	return r.TeamName
}

// target returns the path of a routed request. For other requests it returns the kind and, for
// a plain service, the service and path.
func (r *Request) target() string {
	return cmp.Or(r.RequestURI, string(r.Kind)+"/"+r.Service+r.Path)
}
