package rollout

import (
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"coveferry/internal/age"
	"coveferry/internal/bundle"
)

// Sources of versions other than peers, which are identified by their ID.
const (
	sourceService = "configuration service"
	sourceFile    = "bundle file"
)

// Refusal is a version that this process refused, and why.
type Refusal struct {
	Source string `json:"source"`
	Reason Reason `json:"reason"`
	// Message is the error text, which says how to resolve it.
	Message string `json:"message"`
	// Count is the number of times, AgeMillis the time since the last one.
	Count     int   `json:"count"`
	AgeMillis int64 `json:"age_ms"`

	last time.Time
}

// maxRefusals limits the refusals that are kept for operators.
const maxRefusals = 16

// refusals keeps the latest refusals and logs each distinct one once.
type refusals struct {
	log  zerolog.Logger
	mu   sync.Mutex
	list []Refusal // oldest first
}

// add records a refusal.
func (r *refusals) add(now time.Time, refusal Refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	refusal.Count, refusal.last = 1, now
	at := slices.IndexFunc(r.list, func(old Refusal) bool { return old.Source == refusal.Source && old.Message == refusal.Message })
	if at >= 0 {
		refusal.Count += r.list[at].Count
		r.list = slices.Delete(r.list, at, at+1)
	} else {
		r.log.Warn().Str("source", refusal.Source).Str("reason", string(refusal.Reason)).Msg("bundle refused: " + refusal.Message)
	}
	r.list = append(r.list, refusal)
	if len(r.list) > maxRefusals {
		r.list = slices.Delete(r.list, 0, 1)
	}
}

// recent returns the refusals with their ages.
func (r *refusals) recent(now time.Time) []Refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := slices.Clone(r.list)
	for i := range out {
		out[i].AgeMillis = age.MillisSince(out[i].last, now)
	}
	return out
}

// refuse counts and logs a refusal. Errors that say nothing about the version,
// such as a broken connection, aren't refusals.
func (n *Node) refuse(source string, err error) {
	reason := reasonOf(err)
	if reason == "" {
		n.cfg.Log.Debug().Err(err).Str("source", source).Msg("bundle could not be fetched")
		return
	}
	n.metrics.recordRefusal(source, reason)
	n.refused.add(time.Now(), Refusal{Source: source, Reason: reason, Message: err.Error()})
}

// conflictError reports that a peer has different content under the active
// version.
func conflictError(offered Summary) error {
	return errors.Wrapf(bundle.ErrConflict, "version %d is in force here with other content; publish the right content under a higher version", offered.Version)
}
