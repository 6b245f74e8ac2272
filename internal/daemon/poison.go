package daemon

import (
	"context"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"github.com/rs/zerolog"

	"coveferry/internal/clock"
	"coveferry/internal/logging"
	"coveferry/internal/poison"
)

// newPoison returns a table of the requests under which endpoints end. It writes a line
// and counts when one is held back or no longer. check is told which endpoints ended under one
// that is held back by what this router has seen itself.
func newPoison(vm string, reg prometheus.Registerer, log zerolog.Logger, check func(endpoints []string)) *poison.Table {
	t := poison.NewTable(poison.Config{Router: vm, OnEvent: func(e poison.Event) {
		line, text := log.Warn(), "request is held back: endpoints end under it"
		if !e.Quarantined {
			line, text = log.Info(), "request is no longer held back: it was answered, or its endpoints live on"
		}
		if e.Quarantined && e.Local {
			check(e.Endpoints)
		}
		line.Stringer(logging.FieldIdentity, e.Identity).Strs("endpoints", e.Endpoints).Msg(text)
	}})
	promauto.With(reg).NewGaugeFunc(prometheus.GaugeOpts{
		Name: "coveferry_router_requests_quarantined",
		Help: "Requests, by their content, that are held back since endpoints ended while they ran them.",
	}, func() float64 { return float64(t.QuarantinedCount()) })
	return t
}

// lostCheckTimeout is long beside an answer in milliseconds, and leaves what it shows well
// within the time in which no endpoint starts again.
const lostCheckTimeout = 500 * time.Millisecond

// checkLost asks endpoints for their health that seem to have ended under a request: one that
// only resets connections answers, and the request is no longer held back for it.
func (d *directRouter) checkLost(processes []string) {
	for _, process := range processes {
		name, incarnation, _ := strings.Cut(process, "/")
		entry, listed := d.follower.Directory().Entry(name)
		if !listed || entry.Endpoint.Process() != incarnation {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), lostCheckTimeout)
			defer cancel()
			sent := clock.Boot()
			if _, err := d.list.health(ctx, name); err == nil {
				d.poison.RecordResponse(process, sent)
			}
		}()
	}
}
