package daemon

import (
	"context"

	"github.com/oklog/run"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"coveferry/internal/control"
	"coveferry/internal/identity"
	"coveferry/internal/limits"
)

// maxLimitOwners bounds the connections to the owners of team limits. A router that calls more of
// them in turn keeps reopening connections.
const maxLimitOwners = 1024

// teamLimits enforces team limits together with the other routers.
type teamLimits struct {
	limiter *limits.Limiter
	pool    *control.Pool
}

func newTeamLimits(id *identity.Identity, reg prometheus.Registerer, log zerolog.Logger) teamLimits {
	pool := control.NewPool(control.ClientConfig{Identity: id, Log: log}, maxLimitOwners)
	return teamLimits{pool: pool, limiter: limits.New(limits.Config{
		Name: id.Peer().Name, Sender: limits.NewSender(pool), Log: log, Metrics: reg,
	})}
}

// addLimits adds the actor that exchanges team limit requests with other routers. It must be
// called before the server runs.
func addLimits(g *run.Group, t teamLimits, srv *control.Server) {
	t.limiter.Register(srv)
	addRunner(g, func(ctx context.Context) {
		t.limiter.Run(ctx)
		t.pool.Close()
	})
}
