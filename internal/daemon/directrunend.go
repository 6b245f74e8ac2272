package daemon

import (
	"context"
	"time"

	"coveferry/internal/bundle"
	"coveferry/internal/runend"
)

// askRunning asks the process at an endpoint whether it runs a request. Model engines list what they run;
// of other endpoints any answer shows that the process has noticed the end of the request's connection.
func (d *directRouter) askRunning(ctx context.Context, e *bundle.Endpoint, requestID string) (bool, error) {
	if !d.updater.mayCheck(time.Now(), e) {
		return false, runend.ErrNotAsked
	}
	if d.cfg.Running != nil && d.updater.serviceOf(e.Services).Engine != nil {
		return d.cfg.Running(ctx, d.oneShotClient, e.Address, requestID)
	}
	health, err := d.cfg.Health(ctx, d.oneShotClient, e.Address, d.updater.healthPath(e.Services), e.Name)
	if health.Answered {
		return false, nil
	}
	return false, err
}
