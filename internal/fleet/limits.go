package fleet

import (
	"context"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"coveferry/internal/control"
	"coveferry/internal/identity"
	"coveferry/internal/limits"
)

// teamLimits enforces the limits of teams at one router.
type teamLimits struct {
	limiter *limits.Limiter
	pool    *control.Pool
	cancel  context.CancelFunc
	work    sync.WaitGroup
}

func (f *Fleet) newTeamLimits(mode limits.Mode, id *identity.Identity, reg prometheus.Registerer, log zerolog.Logger) *teamLimits {
	name := id.Peer().Name
	client := control.ClientConfig{Identity: id, Dial: f.network.Dialer(name), Log: f.spec.Log}
	pool := control.NewPool(client, max(f.spec.Routers, 1))
	return &teamLimits{pool: pool, limiter: limits.New(limits.Config{
		Name: name, Mode: mode, Sender: limits.NewSender(pool), Log: log, Metrics: reg,
	})}
}

// start runs the exchange with the other routers. If they have no control servers,
// the profile must set limits.PerRouter.
func (t *teamLimits) start() {
	ctx, cancel := context.WithCancel(context.Background())
	t.cancel = cancel
	t.work.Go(func() { t.limiter.Run(ctx) })
}

func (t *teamLimits) stop() {
	t.cancel()
	t.work.Wait()
	t.pool.Close()
}
