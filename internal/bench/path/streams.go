package path

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"coveferry/internal/sse"
)

// openStreams is a set of open streams whose tokens are read and counted.
type openStreams struct {
	tokens  atomic.Int64
	cancel  context.CancelFunc
	client  *http.Client
	readers sync.WaitGroup
}

// open opens n streams and returns when each has received its first event.
func (s *openStreams) open(ctx context.Context, url string, n int) error {
	ctx, s.cancel = context.WithCancel(ctx)
	s.client = newClient()
	var g errgroup.Group
	g.SetLimit(parallelOpens)
	for range n {
		g.Go(func() error { return s.add(ctx, url) })
	}
	return g.Wait()
}

func (s *openStreams) add(ctx context.Context, url string) error {
	resp, err := sendRequest(ctx, s.client, url, longBody)
	if err != nil {
		return err
	}
	firstEvent := make(chan struct{})
	s.readers.Go(func() {
		defer resp.Body.Close()
		s.read(resp.Body, firstEvent)
	})
	select {
	case <-firstEvent:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// read counts events until the stream ends or is closed. It closes firstEvent
// at the first event.
func (s *openStreams) read(body io.Reader, firstEvent chan struct{}) {
	first := true
	for _, err := range sse.Read(body) {
		if err != nil {
			return
		}
		if first {
			close(firstEvent)
			first = false
		}
		s.tokens.Add(1)
	}
}

func (s *openStreams) close() {
	if s.cancel == nil {
		return
	}
	s.cancel()
	s.readers.Wait()
	s.client.CloseIdleConnections()
}

// warmUp makes one call, so that one-time allocations of the parts aren't
// attributed to the streams.
func warmUp(ctx context.Context, url string) error {
	client := newClient()
	defer client.CloseIdleConnections()
	_, err := readCall(ctx, client, url)
	return errors.Wrap(err, "path: warm-up call")
}
