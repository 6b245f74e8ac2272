package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Teams and keys. All keys are there from the start, so that none is ever unknown
// before it is taken away.
const (
	steadyTeam  = "steady"
	steadyKey   = "steady-key"
	fadingTeam  = "fading"
	fadingKeys  = 24
	fadingShare = 0.4 // of the requests carry a key that is or may be taken away
)

// keyring holds the keys of the run. It is safe for concurrent use.
type keyring struct {
	mu      sync.Mutex
	valid   []string
	revoked map[string]time.Time
}

func newKeyring() *keyring {
	k := &keyring{revoked: make(map[string]time.Time)}
	for i := range fadingKeys {
		k.valid = append(k.valid, fmt.Sprintf("fading-key-%02d", i))
	}
	return k
}

// teams are the keys of each team as they are to be published.
func (k *keyring) teams() map[string][]string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return map[string][]string{steadyTeam: {steadyKey}, fadingTeam: slices.Clone(k.valid)}
}

// drop takes a key away; noteRevoked tells when that was published. One key stays.
func (k *keyring) drop() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.valid) == 1 {
		return ""
	}
	key := k.valid[0]
	k.valid = k.valid[1:]
	return key
}

func (k *keyring) noteRevoked(key string, at time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.revoked[key] = at
}

// pick returns a key for a request and its team: often one that was just taken away.
func (k *keyring) pick(rnd *rand.Rand) (key, team string) {
	if rnd.Float64() >= fadingShare {
		return steadyKey, steadyTeam
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	n := fadingKeys - len(k.valid) // were taken away
	last := max(0, n-2)
	return fmt.Sprintf("fading-key-%02d", last+rnd.IntN(min(4, fadingKeys-last))), fadingTeam
}
