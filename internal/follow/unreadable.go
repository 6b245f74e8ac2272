package follow

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"coveferry/internal/directory"
)

// maxUnreadable bounds the remembered unreadable entries. Beyond it they are forgotten, and later
// readings of them are logged again.
const maxUnreadable = 1024

// unreadable counts the unreadable entries of the list and logs each once, even if it is written
// again every second.
type unreadable struct {
	log   zerolog.Logger
	count prometheus.Counter
	// causes maps the name of an unreadable entry to the error.
	causes map[string]string
}

func newUnreadable(log zerolog.Logger, reg prometheus.Registerer) *unreadable {
	u := &unreadable{log: log, causes: make(map[string]string), count: prometheus.NewCounter(prometheus.CounterOpts{
		Name: "coveferry_list_unreadable_entries_total",
		Help: "Entries of the list of endpoints that were read and can't be used, each time they were read.",
	})}
	if reg != nil {
		reg.MustRegister(u.count)
	}
	return u
}

// record updates the unreadable entries from a reading.
func (u *unreadable) record(r directory.Reading) {
	if r.Full {
		u.retain(r.Unreadable)
	}
	for _, e := range r.Entries {
		delete(u.causes, e.Endpoint.Name)
	}
	for _, name := range r.Removed {
		delete(u.causes, name)
	}
	for _, e := range r.Unreadable {
		u.recordEntry(e)
	}
}

func (u *unreadable) recordEntry(e directory.Unreadable) {
	u.count.Inc()
	cause := e.Cause.Error()
	if u.causes[e.Name] == cause {
		return
	}
	if len(u.causes) >= maxUnreadable {
		clear(u.causes)
	}
	u.causes[e.Name] = cause
	u.log.Warn().Str("endpoint", e.Name).Err(e.Cause).Msg("an entry of the list can't be used; the others hold")
}

// retain drops all entries except the given ones.
func (u *unreadable) retain(keep []directory.Unreadable) {
	kept := make(map[string]string, len(keep))
	for _, e := range keep {
		if cause, known := u.causes[e.Name]; known {
			kept[e.Name] = cause
		}
	}
	u.causes = kept
}
