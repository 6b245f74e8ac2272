package rollout

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"coveferry/internal/bundle"
	"coveferry/internal/clock"
)

const (
	// minReadInterval is the shortest time between a read without a new value
	// and the next read, whatever the service answers.
	minReadInterval = time.Second
	// minReadDelay and maxReadDelay bound the delay after a failed read; it
	// doubles with each failure.
	minReadDelay = 250 * time.Millisecond
	maxReadDelay = 10 * time.Second
)

// reader reads the configuration service for its failure domain.
type reader struct {
	node     *Node
	server   int // index of the server that is read now
	revision Revision
	delay    *backoff.ExponentialBackOff
}

// newReader starts at a server that depends on the process ID, so that the
// readers of a failure domain don't all depend on the same server.
func newReader(n *Node) *reader {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval, delay.MaxInterval, delay.Multiplier = minReadDelay, maxReadDelay, 2
	delay.Reset()
	first := int(xxhash.Sum64String(string(n.id)) % uint64(len(n.cfg.Services)))
	return &reader{node: n, server: first, delay: delay}
}

func (r *reader) run(ctx context.Context) {
	defer r.node.setServiceUsable(true) // a process that doesn't read reports nothing about the service
	for ctx.Err() == nil {
		if wait := r.read(ctx); wait > 0 && !clock.Sleep(ctx, wait) {
			return
		}
	}
}

// read reads once and returns the wait before the next read.
func (r *reader) read(ctx context.Context) time.Duration {
	server := r.node.cfg.Services[r.server]
	value, revision, ok, err := server.Manifest(ctx, r.revision)
	if ctx.Err() != nil {
		return 0
	}
	r.node.metrics.recordRead(err)
	switch {
	case err != nil:
		return r.handleFailure(err)
	case !ok:
		return r.handleUnchanged(revision)
	}
	isNew := revision != r.revision
	r.revision = revision
	if err := r.node.applyValue(ctx, server, value); err != nil {
		return r.handleRefused(err)
	}
	r.delay.Reset()
	r.node.setServiceUsable(true)
	if !isNew || revision == 0 {
		return minReadInterval
	}
	return 0
}

// handleFailure switches to the next server.
func (r *reader) handleFailure(err error) time.Duration {
	r.node.setServiceUsable(false)
	r.node.cfg.Log.Warn().Err(err).Msg("configuration service read failed")
	r.nextServer()
	var serviceErr *ServiceError
	minDelay := time.Duration(0)
	if errors.As(err, &serviceErr) {
		minDelay = serviceErr.RetryAfter
	}
	return max(minDelay, r.delay.NextBackOff())
}

// handleUnchanged handles a watch that ended without a new value. A server
// whose revision went down has restarted or lost data; it is read from the
// start.
func (r *reader) handleUnchanged(revision Revision) time.Duration {
	if revision < r.revision {
		r.revision = 0
		return minReadInterval
	}
	return 0
}

// handleRefused handles a value that this process can't accept. If the value is
// merely outdated and there is no other server, the next read follows after
// minReadInterval; else the reader switches to the next server and backs off.
func (r *reader) handleRefused(err error) time.Duration {
	r.node.setServiceUsable(false)
	r.node.refuse(sourceService, err)
	if reasonOf(err) == ReasonRolledBack && len(r.node.cfg.Services) == 1 {
		return minReadInterval // the next watch waits for a new value
	}
	r.nextServer()
	return max(minReadInterval, r.delay.NextBackOff())
}

func (r *reader) nextServer() {
	r.server = (r.server + 1) % len(r.node.cfg.Services)
	r.revision = 0
}

// setServiceUsable records whether the service gave a usable answer.
func (n *Node) setServiceUsable(ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.core.SetServiceUsable(ok)
}

// applyValue verifies and activates the manifest that the service returned.
func (n *Node) applyValue(ctx context.Context, server *ServiceClient, value []byte) error {
	signed, err := bundle.DecodeSignedManifest(value)
	if err != nil {
		return err
	}
	return n.applyManifest(signed, nil, func(digests []digest) ([]string, error) {
		text, err := server.Section(ctx, digests[0])
		n.metrics.recordRead(err)
		if err != nil {
			return nil, err
		}
		return []string{string(text)}, nil
	})
}
