package slopes

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"coveferry/internal/capacity"
	"coveferry/internal/standin/configsvc"
)

const (
	// watchSubstitute describes what replaces the platform's service.
	watchSubstitute = "the stand-in of the configuration service, internal/standin/configsvc"
	// watchChanges is the number of changes in one reading.
	watchChanges = 20
	watchValue   = 64 // bytes
	watchKey     = "bundle"
	// watchRate is a rate limit too high to have an effect.
	watchRate = 1 << 20
)

func watchProbes() []probe {
	return []probe{{
		name:  "watch",
		sizes: []int{10, 20, 40, 80},
		series: []capacity.Slope{
			{ID: capacity.WatchBytes, Title: "one change told to a waiting watch, then renewed", Unit: capacity.UnitBytes, Per: "watcher", Substitute: watchSubstitute},
			{ID: capacity.WatchCPU, Title: "one change told to a waiting watch, service and watcher", Unit: capacity.UnitSeconds, Per: "watcher", Substitute: watchSubstitute},
		},
		measure: measureWatch,
	}}
}

// watchBarrier blocks watches at the service until await counts them.
type watchBarrier struct {
	service http.Handler
	begun   chan struct{}
}

// ServeHTTP serves a watch after await has counted it.
func (b *watchBarrier) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case b.begun <- struct{}{}:
		b.service.ServeHTTP(w, r)
	case <-r.Context().Done():
	}
}

// await waits until a number of watches have arrived, and unblocks them.
func (b *watchBarrier) await(ctx context.Context, watchers int) error {
	for range watchers {
		select {
		case <-b.begun:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// measureWatch returns the bytes and the CPU time per change, including the
// renewal of the watches, with n watchers.
func measureWatch(ctx context.Context, n int) ([]float64, error) {
	service := configsvc.New(configsvc.Config{ReadsPerSecond: watchRate, Burst: watchRate})
	barrier := &watchBarrier{service: service.Handler(), begun: make(chan struct{})}
	url, stop, err := serve(barrier)
	if err != nil {
		return nil, err
	}
	defer stop()
	count := &counter{}
	client := &http.Client{Transport: countedTransport(count, n)}
	defer client.CloseIdleConnections()
	cpu, err := cpuOf(func() error {
		return watchAll(ctx, client, url+configsvc.PathValues+watchKey, n, func() error {
			if err := barrier.await(ctx, n); err != nil {
				return err
			}
			_, err := service.Publish(watchKey, []byte(randomText(watchValue)))
			return err
		})
	})
	bytes := float64(count.bytes.Load())
	return []float64{bytes / watchChanges, cpu / watchChanges}, err
}

// watchAll makes watchChanges changes that n watchers receive. A watch that
// arrives after its change is answered immediately.
func watchAll(ctx context.Context, client *http.Client, url string, n int, change func() error) error {
	g, ctx := errgroup.WithContext(ctx)
	for range n {
		g.Go(func() error {
			for version := range watchChanges {
				if err := fetch(ctx, client, fmt.Sprintf("%s?wait=%d", url, version)); err != nil {
					return err
				}
			}
			return nil
		})
	}
	g.Go(func() error { return repeat(watchChanges, change) })
	return g.Wait()
}

func countedTransport(count *counter, conns int) *http.Transport {
	var dialer net.Dialer
	return &http.Transport{
		MaxIdleConns:        conns,
		MaxIdleConnsPerHost: conns,
		DisableCompression:  true,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: c, counter: count}, nil
		},
	}
}

func fetch(ctx context.Context, client *http.Client, url string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrap(err, "make a request")
	}
	resp, err := client.Do(req)
	if err != nil {
		return errors.Wrap(err, "fetch")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("fetch: status %d", resp.StatusCode)
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return errors.Wrap(err, "read the value")
}
