package router

import (
	"net/http"
	"strings"
	"time"

	"coveferry/internal/age"
	"coveferry/internal/bundle"
	"coveferry/internal/route"
	"coveferry/internal/upstream"
)

// BundleRouting returns a Routing that serves the bundle's routes from its direct endpoints
// through client. Bundles are signed and never revoked, so their keys stay trusted while the
// bundle is in force.
func BundleRouting(inForce func() *bundle.Snapshot, client *http.Client) *Routing {
	return &Routing{
		Routes: func() route.Snapshot { return route.Snapshot{Table: inForce().Routes(), Age: age.Of(0)} },
		Endpoints: func(service string) []*bundle.Endpoint {
			return inForce().DirectEndpoints(service)
		},
		Protocol:  upstream.Plain{},
		Client:    client,
		MaxKeyAge: func() time.Duration { return 0 },
	}
}

// routesFirst serves requests that match a route by the route table and passes all others to
// next.
func (rt *Router) routesFirst(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		path, _, _ := strings.Cut(req.RequestURI, "?")
		if t := rt.cfg.Routing.Routes().Table; t != nil && t.Match(req.Host, path) != nil {
			rt.ServeRouted(w, req)
			return
		}
		next.ServeHTTP(w, req)
	})
}
