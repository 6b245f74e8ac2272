package router

import (
	"net/http"
	"strings"
	"time"

	"coveferry/internal/bundle"
	"coveferry/internal/route"
	"coveferry/internal/upstream"
)

// BundleRouting serves the routes of the bundle in force from its direct
// endpoints, which the client reaches. A bundle is signed and never taken back,
// so its keys are trusted while it is in force.
func BundleRouting(inForce func() *bundle.Snapshot, client *http.Client) *Routing {
	return &Routing{
		Table: func() *route.Table { return inForce().Routes() },
		Endpoints: func(service string) []*bundle.Endpoint {
			return inForce().DirectEndpoints(service)
		},
		Protocol:  upstream.Plain{},
		Client:    client,
		KeyAge:    func() time.Duration { return 0 },
		MaxKeyAge: func() time.Duration { return 0 },
	}
}

// routesFirst has requests served by the route table that a route answers for,
// and others by next.
func (rt *Router) routesFirst(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		path, _, _ := strings.Cut(req.RequestURI, "?")
		if t := rt.cfg.Routing.Table(); t != nil && t.Match(req.Host, path) != nil {
			rt.ServeRouted(w, req)
			return
		}
		next.ServeHTTP(w, req)
	})
}
