// Package runend finds out whether an endpoint has stopped working on a request whose connection has
// ended, so that the request can go on at another endpoint without running at both.
//
// The end of a connection at the router doesn't tell: the process behind it may be paused, or run on because
// its own side of the connection is still open. A process that answers has noticed the end, and may say
// which requests it runs.
package runend

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"coveferry/internal/bundle"
	"coveferry/internal/clock"
	"coveferry/internal/server"
)

// Evidence says how it is known that a request no longer runs at an endpoint, or that the endpoint can't be
// reached.
type Evidence string

// The kinds of evidence.
const (
	// EvidenceAnswered: the process answers, and lists the request no longer where it lists requests.
	EvidenceAnswered Evidence = "answered"
	// EvidenceGone: no process serves at the address any more, or it ends new connections at once.
	EvidenceGone Evidence = "gone"
	// EvidenceUnreachable: no connection to the endpoint's VM can be established.
	EvidenceUnreachable Evidence = "unreachable"
	// EvidenceNotAsked: the endpoint must not be contacted, so that nothing is known.
	EvidenceNotAsked Evidence = "not_asked"
)

const (
	// ConnectTimeout bounds the time to establish a connection, which takes milliseconds within a region.
	ConnectTimeout = 150 * time.Millisecond
	// answerTimeout bounds one question. A process that doesn't answer within it is asked again, over
	// another connection.
	answerTimeout = 250 * time.Millisecond
	// askInterval is the time between two questions.
	askInterval = 50 * time.Millisecond
)

// ErrNotAsked is returned by an Ask for an endpoint that must not be contacted now.
var ErrNotAsked = errors.New("runend: the endpoint must not be contacted now")

// Run is a request at an endpoint, whose connection has ended.
type Run struct {
	Endpoint  *bundle.Endpoint
	RequestID string
	// ConnectionEnded is when it was known to have ended.
	ConnectionEnded time.Time
}

// Ask asks the process at an endpoint, over a new connection, whether a run goes on. An error means that
// it didn't answer; it wraps that of the connection, or is ErrNotAsked.
type Ask func(ctx context.Context, r Run) (running bool, err error)

// Checker waits for the ends of runs. It is safe for concurrent use.
type Checker struct {
	ask     Ask
	metrics *metrics
}

// New returns a Checker whose metrics are registered with reg; nil for none.
func New(ask Ask, reg prometheus.Registerer) *Checker {
	return &Checker{ask: ask, metrics: newMetrics(reg)}
}

// Wait returns once the request no longer runs at the endpoint, or the endpoint can't be reached. While
// the endpoint runs the request, or accepts connections and doesn't answer, it goes on asking; its error
// is then that of ctx.
func (c *Checker) Wait(ctx context.Context, e *bundle.Endpoint, requestID string) (Evidence, error) {
	began := time.Now()
	evidence, err := c.wait(ctx, Run{Endpoint: e, RequestID: requestID, ConnectionEnded: began})
	c.metrics.record(evidence, time.Since(began))
	return evidence, err
}

func (c *Checker) wait(ctx context.Context, r Run) (Evidence, error) {
	stoodStill := false
	for {
		running, err := c.askOnce(ctx, r)
		if ctx.Err() != nil {
			return "", ctx.Err()
		}
		evidence := evidenceOf(running, err)
		switch {
		case evidence == EvidenceAnswered && stoodStill:
			stoodStill = false // it may read what came meanwhile only now, the request among it
		case evidence != "":
			return evidence, nil
		case !running:
			stoodStill = true
		}
		if !clock.Sleep(ctx, askInterval) {
			return "", ctx.Err()
		}
	}
}

func (c *Checker) askOnce(ctx context.Context, r Run) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	return c.ask(ctx, r)
}

// evidenceOf returns what a question and its error show; empty if the request may still run.
func evidenceOf(running bool, err error) Evidence {
	switch {
	case running:
		return ""
	case err == nil:
		return EvidenceAnswered
	case isMalformed(err):
		return EvidenceAnswered
	case errors.Is(err, ErrNotAsked):
		return EvidenceNotAsked
	case isDial(err):
		return evidenceOfDial(err)
	case isTimeout(err):
		return "" // the VM accepts connections, and the process stands still
	}
	return EvidenceGone
}

// Reach tries to establish a connection to an address. It returns EvidenceGone or EvidenceUnreachable if
// that fails, and none if the VM accepts connections or ctx ends.
func Reach(ctx context.Context, address string) Evidence {
	dialer := net.Dialer{Timeout: ConnectTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close()
		return ""
	}
	if ctx.Err() != nil {
		return ""
	}
	return evidenceOfDial(err)
}

// evidenceOfDial returns what a failed attempt to connect shows.
func evidenceOfDial(err error) Evidence {
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) {
		return EvidenceGone
	}
	return EvidenceUnreachable
}

func isDial(err error) bool {
	var failed *net.OpError
	return errors.As(err, &failed) && failed.Op == "dial"
}

// isMalformed reports whether a process answered, though with a head that isn't valid.
func isMalformed(err error) bool {
	var malformed *server.MalformedHeadError
	return errors.As(err, &malformed)
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.Is(err, context.DeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout()
}
