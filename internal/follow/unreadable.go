package follow

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"coveferry/internal/directory"
)

// maxUnreadable bounds the entries that are remembered as unreadable. Who writes entries
// under ever new names has the later ones counted and logged anew.
const maxUnreadable = 1024

// unreadable counts the entries of the list that can't be used and logs each once, though
// it be written again every second.
type unreadable struct {
	log   zerolog.Logger
	count prometheus.Counter
	// causes has why each entry that is known can't be used.
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

// take notes what a reading says.
func (u *unreadable) take(r directory.Reading) {
	if r.Whole {
		u.forgetBut(r.Unreadable)
	}
	for _, e := range r.Entries {
		delete(u.causes, e.Endpoint.Name)
	}
	for _, name := range r.Gone {
		delete(u.causes, name)
	}
	for _, e := range r.Unreadable {
		u.note(e)
	}
}

func (u *unreadable) note(e directory.Unreadable) {
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

// forgetBut forgets all entries but these.
func (u *unreadable) forgetBut(still []directory.Unreadable) {
	kept := make(map[string]string, len(still))
	for _, e := range still {
		if cause, known := u.causes[e.Name]; known {
			kept[e.Name] = cause
		}
	}
	u.causes = kept
}
