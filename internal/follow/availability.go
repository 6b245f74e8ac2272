package follow

import (
	"sync"

	"github.com/rs/zerolog"
)

// availabilityLog logs once each when a dependency is lost and when it is regained.
type availabilityLog struct {
	name        string
	log         zerolog.Logger
	mu          sync.Mutex
	unavailable bool
}

func (l *availabilityLog) failed(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unavailable {
		return
	}
	l.unavailable = true
	l.log.Warn().Err(err).Str("dependency", l.name).Msg("dependency lost")
}

func (l *availabilityLog) succeeded() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.unavailable {
		return
	}
	l.unavailable = false
	l.log.Info().Str("dependency", l.name).Msg("dependency regained")
}
