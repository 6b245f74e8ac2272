package daemon

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"github.com/rs/zerolog"

	"coveferry/internal/logging"
	"coveferry/internal/poison"
	"coveferry/internal/prompt"
)

// newPoisonTable returns a table of quarantined requests: those that seem to crash endpoints.
// It logs and counts them. fleetSize returns how many routers share their tables; nil means
// none do. checkCrashed is called with the processes that seem to have
// crashed when this router's own observations led to a quarantine.
func newPoisonTable(vm string, fleetSize func() int, reg prometheus.Registerer, log zerolog.Logger, checkCrashed func(processes []string)) *poison.Table {
	t := poison.NewTable(poison.Config{Router: vm, FleetSize: fleetSize, OnEvent: func(e poison.Event) {
		logQuarantine(log, e)
		if e.Quarantined && e.Local {
			checkCrashed(e.Endpoints)
		}
	}})
	gauge := func(name, help string, count func(poison.Counts) int) {
		promauto.With(reg).NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 {
			return float64(count(t.QuarantinedCounts()))
		})
	}
	gauge("coveferry_router_requests_quarantined",
		"Requests, by their content, that are held back since endpoints ended while they ran them.",
		func(c poison.Counts) int { return c.Requests })
	gauge("coveferry_router_prompt_parts_quarantined",
		"Parts of prompts whose requests are held back since endpoints ended while they ran such requests.",
		func(c poison.Counts) int { return c.Parts })
	return t
}

// logQuarantine logs the start or end of a quarantine.
func logQuarantine(log zerolog.Logger, e poison.Event) {
	line, subject, state := log.Warn(), "request", "is quarantined: endpoints crash while running it"
	if !e.Quarantined {
		line, state = log.Info(), "is no longer quarantined: it was answered, or its endpoints are still running"
	}
	if e.Part != 0 {
		line.Str(logging.FieldPart, prompt.FormatID(e.Part))
		subject = "part of prompts"
	}
	line.Stringer(logging.FieldIdentity, e.Identity).Strs("endpoints", e.Endpoints).Bool("local", e.Local).
		Msg(subject + " " + state)
}

// crashCheckTimeout is long compared with a response time of milliseconds, and short enough
// that no endpoint can have restarted in the meantime.
const crashCheckTimeout = 500 * time.Millisecond

// checkCrashed checks the health of processes (ENDPOINT/INCARNATION) that seem to have crashed
// under a request. If one responds, it had only reset connections, and the request is no
// longer quarantined because of it.
func (d *directRouter) checkCrashed(processes []string) {
	for _, process := range processes {
		name, incarnation := poison.SplitProcessName(process)
		entry, listed := d.follower.Directory().Entry(name)
		if !listed || entry.Endpoint.ProcessID() != incarnation {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
			defer cancel()
			_, _ = d.updater.checkHealth(ctx, name) // an answer is recorded where it is read
		}()
	}
}
