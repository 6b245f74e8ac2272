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
	// readPace is the shortest time between a read that brought nothing new
	// and the next, whatever the service answers.
	readPace = time.Second
	// minReadDelay and maxReadDelay bound the delay after a failed read; it
	// doubles each time.
	minReadDelay = 250 * time.Millisecond
	maxReadDelay = 10 * time.Second
)

// reader reads the configuration service on behalf of its failure domain.
type reader struct {
	node   *Node
	server int // index of the one that is read now
	mark   Mark
	delay  *backoff.ExponentialBackOff
}

// newReader begins at a server that depends on the process, so that the
// readers of a failure domain don't all depend on one.
func newReader(n *Node) *reader {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval, delay.MaxInterval, delay.Multiplier = minReadDelay, maxReadDelay, 2
	delay.Reset()
	first := int(xxhash.Sum64String(string(n.id)) % uint64(len(n.cfg.Services)))
	return &reader{node: n, server: first, delay: delay}
}

func (r *reader) run(ctx context.Context) {
	defer r.node.service(true) // a process that doesn't read says nothing of the service
	for ctx.Err() == nil {
		if wait := r.read(ctx); wait > 0 && !clock.Sleep(ctx, wait) {
			return
		}
	}
}

// read reads once and returns how long to wait until the next time.
func (r *reader) read(ctx context.Context) time.Duration {
	server := r.node.cfg.Services[r.server]
	value, mark, ok, err := server.Manifest(ctx, r.mark)
	if ctx.Err() != nil {
		return 0
	}
	r.node.metrics.read(err)
	switch {
	case err != nil:
		return r.failed(err)
	case !ok:
		return r.unchanged(mark)
	}
	fresh := mark != r.mark
	r.mark = mark
	if err := r.node.takeValue(ctx, server, value); err != nil {
		return r.refused(err)
	}
	r.delay.Reset()
	r.node.service(true)
	if !fresh || mark == 0 {
		return readPace
	}
	return 0
}

// failed turns to the next server.
func (r *reader) failed(err error) time.Duration {
	r.node.service(false)
	r.node.cfg.Log.Warn().Err(err).Msg("configuration service gave no answer")
	r.nextServer()
	var failure *ServiceError
	asked := time.Duration(0)
	if errors.As(err, &failure) {
		asked = failure.RetryAfter
	}
	return max(asked, r.delay.NextBackOff())
}

// unchanged follows a watch that ended without news. A server that counts
// lower than before began anew, or went back; it is read afresh.
func (r *reader) unchanged(mark Mark) time.Duration {
	if mark < r.mark {
		r.mark = 0
		return readPace
	}
	return 0
}

// refused follows a value that this process can't take. A server that is
// merely behind is asked again at the reader's pace, after the others.
func (r *reader) refused(err error) time.Duration {
	r.node.service(false)
	r.node.refuse(sourceService, err)
	if reasonOf(err) == ReasonRolledBack && len(r.node.cfg.Services) == 1 {
		return readPace // the next watch waits for news
	}
	r.nextServer()
	return max(readPace, r.delay.NextBackOff())
}

func (r *reader) nextServer() {
	r.server = (r.server + 1) % len(r.node.cfg.Services)
	r.mark = 0
}

// service says whether the service was of use.
func (n *Node) service(ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.core.Service(ok)
}

// takeValue takes what the service holds as the manifest.
func (n *Node) takeValue(ctx context.Context, server *Service, value []byte) error {
	signed, err := bundle.DecodeSignedManifest(value)
	if err != nil {
		return err
	}
	return n.takeManifest(signed, nil, func(digests []digest) ([]string, error) {
		text, err := server.Section(ctx, digests[0])
		n.metrics.read(err)
		if err != nil {
			return nil, err
		}
		return []string{string(text)}, nil
	})
}
