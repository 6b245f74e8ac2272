package daemon

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"github.com/rs/zerolog"

	"coveferry/internal/logging"
	"coveferry/internal/poison"
)

// newPoison returns a table of the requests under which endpoints end. It writes a line
// and counts when one is held back or no longer.
func newPoison(vm string, reg prometheus.Registerer, log zerolog.Logger) *poison.Table {
	t := poison.NewTable(poison.Config{Router: vm, OnEvent: func(e poison.Event) {
		line, text := log.Warn(), "request is held back: endpoints end under it"
		if !e.Held {
			line, text = log.Info(), "request is no longer held back: it was answered"
		}
		line.Stringer(logging.FieldIdentity, e.Identity).Strs("endpoints", e.Endpoints).Msg(text)
	}})
	promauto.With(reg).NewGaugeFunc(prometheus.GaugeOpts{
		Name: "coveferry_router_requests_quarantined",
		Help: "Requests, by their content, that are held back since endpoints ended while they ran them.",
	}, func() float64 { return float64(t.Held()) })
	return t
}
