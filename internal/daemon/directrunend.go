package daemon

import (
	"context"
	"time"

	"coveferry/internal/runend"
)

// askRunning asks the process at an endpoint whether a run goes on. Model engines list what they run; of
// other endpoints any answer shows that the process has noticed the end of the run's connection.
func (d *directRouter) askRunning(ctx context.Context, run runend.Run) (bool, error) {
	e := run.Endpoint
	if !d.updater.mayCheck(time.Now(), e) {
		return false, runend.ErrNotAsked
	}
	if d.cfg.Running != nil && d.updater.serviceOf(e.Services).Engine != nil {
		return d.cfg.Running(ctx, d.oneShotClient, e.Address, run.RequestID)
	}
	health, err := d.cfg.Health(ctx, d.oneShotClient, e.Address, d.updater.healthPath(e.Services), e.Name)
	// A health check waits for a slot. Parts of other answers show that the process runs meanwhile.
	if health.Answered || d.pool.RespondedSince(run.ConnectionEnded, e.Name) {
		return false, nil
	}
	return false, err
}
