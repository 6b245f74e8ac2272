package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Teams and keys. All keys are valid from the start, so that no key is unknown before it
// is revoked.
const (
	permanentTeam  = "steady"
	permanentKey   = "steady-key"
	revocableTeam  = "fading"
	revocableKeys  = 24
	revocableShare = 0.4 // share of requests with a key that is or may be revoked
)

// keyring holds the API keys of a run. It is safe for concurrent use.
type keyring struct {
	mu      sync.Mutex
	valid   []string
	moved   map[string]bool // to heirTeam
	revoked map[string]time.Time
}

func newKeyring() *keyring {
	k := &keyring{moved: make(map[string]bool), revoked: make(map[string]time.Time)}
	for i := range revocableKeys {
		k.valid = append(k.valid, fmt.Sprintf("fading-key-%02d", i))
	}
	return k
}

// teams returns the valid keys of each team, for publication.
func (k *keyring) teams() map[string][]string {
	k.mu.Lock()
	defer k.mu.Unlock()
	teams := map[string][]string{permanentTeam: {permanentKey}}
	for _, key := range k.valid {
		team := revocableTeam
		if k.moved[key] {
			team = heirTeam
		}
		teams[team] = append(teams[team], key)
	}
	return teams
}

// revoke removes a valid key and returns it, or "" if only one is left. After publication the
// caller records the time with recordRevoked.
func (k *keyring) revoke() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.valid) == 1 {
		return ""
	}
	key := k.valid[0]
	k.valid = k.valid[1:]
	return key
}

func (k *keyring) recordRevoked(key string, at time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.revoked[key] = at
}

// pick returns a key and its team for a request, often a key that was just revoked.
func (k *keyring) pick(rnd *rand.Rand) (key, team string) {
	if rnd.Float64() >= revocableShare {
		return permanentKey, permanentTeam
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	n := revocableKeys - len(k.valid) // number of revoked keys
	last := max(0, n-2)
	return fmt.Sprintf("fading-key-%02d", last+rnd.IntN(min(4, revocableKeys-last))), revocableTeam
}
