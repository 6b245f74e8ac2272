package slopes

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"

	"coveferry/internal/sse"
)

const (
	// relayRounds is the number of tokens per stream in one reading.
	relayRounds = 40
	// chunkText is a token in the format of the engines.
	chunkText = `{"id":"chatcmpl-0123456789abcdef","object":"chat.completion.chunk","created":1767225600,` +
		`"model":"model-00","choices":[{"index":0,"delta":{"content":" token"},"finish_reason":null}]}`
	// callBody is a request for a stream.
	callBody = `{"model":"model-00","stream":true,"messages":[{"role":"user","content":"Summarise the ticket."}]}`
)

// streamReading is the cost of n streams: the memory and the CPU time of opening
// all of them, and the CPU time and bytes of one token in each.
type streamReading struct{ memory, open, token, bytes float64 }

// minus subtracts the cost of the callers and the origin.
func (r streamReading) minus(base streamReading) streamReading {
	return streamReading{r.memory - base.memory, r.open - base.open, r.token - base.token, r.bytes}
}

// route is a path from the callers to the source of the tokens.
type route struct {
	url    string
	header http.Header
	stop   func()
}

// measureStreams measures n streams along the route set up by setUp.
func measureStreams(ctx context.Context, n int, setUp func(src *tokenSource) (route, error)) (streamReading, error) {
	before := liveMemory()
	src := &tokenSource{rounds: make(chan *tokenRound)}
	path, err := setUp(src)
	if err != nil {
		return streamReading{}, err
	}
	defer path.stop()
	count := &counter{}
	callers := &http.Client{Transport: countedTransport(count, n)}
	defer callers.CloseIdleConnections()
	open := &openStreams{}
	defer open.close()
	var r streamReading
	r.open, err = cpuOf(func() error { return open.add(ctx, callers, path, n) })
	if err != nil {
		return streamReading{}, err
	}
	if err := open.relayTokens(ctx, src, 1); err != nil {
		return streamReading{}, err
	}
	r.memory = liveMemory() - before
	sent := count.bytes.Load()
	cpu, err := cpuOf(func() error { return open.relayTokens(ctx, src, relayRounds) })
	r.token = cpu / relayRounds
	r.bytes = float64(count.bytes.Load()-sent) / relayRounds
	return r, err
}

// tokenRound is the sending of one token in each stream.
type tokenRound struct{ sent sync.WaitGroup }

// tokenSource is an engine stub that sends one token per stream in each round.
type tokenSource struct{ rounds chan *tokenRound }

// ServeHTTP sends a first token, since relays don't forward the response header
// before it, and then one for each round it receives, until the caller
// disconnects.
func (s *tokenSource) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", sse.ContentType)
	flush := http.NewResponseController(w).Flush
	sse.WriteData(w, chunkText)
	flush()
	for {
		select {
		case round := <-s.rounds:
			sse.WriteData(w, chunkText)
			flush()
			round.sent.Done()
			// Wait for the other streams, so that this one doesn't take their part of
			// the round.
			round.sent.Wait()
		case <-r.Context().Done():
			return
		}
	}
}

func serve(h http.Handler) (url string, stop func(), err error) {
	l, err := listen()
	if err != nil {
		return "", func() {}, err
	}
	srv := &http.Server{Handler: h}
	go srv.Serve(l) // returns after Close
	return "http://" + l.Addr().String(), func() { srv.Close() }, nil
}

// openStreams holds the callers' ends of open streams.
type openStreams struct {
	bodies  []io.ReadCloser
	readers []*bufio.Reader
}

// add opens n more streams and reads the first token of each.
func (s *openStreams) add(ctx context.Context, c *http.Client, path route, n int) error {
	return repeat(n, func() error {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, path.url, strings.NewReader(callBody))
		if err != nil {
			return errors.Wrap(err, "make a request")
		}
		req.Header = path.header.Clone()
		resp, err := c.Do(req)
		if err != nil {
			return errors.Wrap(err, "open a stream")
		}
		s.bodies = append(s.bodies, resp.Body)
		s.readers = append(s.readers, bufio.NewReader(resp.Body))
		if resp.StatusCode != http.StatusOK {
			return errors.Newf("open a stream: status %d", resp.StatusCode)
		}
		return readEvent(s.readers[len(s.readers)-1])
	})
}

func (s *openStreams) close() {
	for _, b := range s.bodies {
		b.Close()
	}
}

// relayTokens sends a number of tokens through each stream, one round after
// another, so that no two tokens of a stream arrive in one read.
func (s *openStreams) relayTokens(ctx context.Context, src *tokenSource, rounds int) error {
	return repeat(rounds, func() error {
		round := &tokenRound{}
		round.sent.Add(len(s.readers))
		for range s.readers {
			select {
			case src.rounds <- round:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		for _, r := range s.readers {
			if err := readEvent(r); err != nil {
				return err
			}
		}
		return nil
	})
}

// readEvent reads up to the empty line that ends an event.
func readEvent(r *bufio.Reader) error {
	for {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return errors.Wrap(err, "read a token")
		}
		if len(line) == 1 {
			return nil
		}
	}
}
