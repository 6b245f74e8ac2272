package follow

import (
	"sync"

	"github.com/rs/zerolog"
)

// link logs when a dependency is lost and when it is regained, once each.
type link struct {
	name string
	log  zerolog.Logger
	mu   sync.Mutex
	lost bool
}

func (l *link) failed(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lost {
		return
	}
	l.lost = true
	l.log.Warn().Err(err).Str("dependency", l.name).Msg("dependency lost")
}

func (l *link) worked() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.lost {
		return
	}
	l.lost = false
	l.log.Info().Str("dependency", l.name).Msg("dependency regained")
}
