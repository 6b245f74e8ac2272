package membership

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"coveferry/internal/bundle"
	"coveferry/internal/control"
	"coveferry/internal/identity"
	"coveferry/internal/wire"
)

// Timeouts and bounds of an agent's leaving notices.
const (
	// routerTTL is how long after its last request a router is still notified. A
	// router that sent none for longer learns of the leaving from the response to its
	// next request.
	routerTTL = 10 * time.Minute
	// maxKnownRouters bounds the routers that are remembered.
	maxKnownRouters = 4096
	// maxConcurrentNotices bounds the notices in flight: with 880 routers, all
	// unreachable, a round takes 2.8 s.
	maxConcurrentNotices = 256
	// noticeTimeout bounds one notice, and noticeRounds is how often each router is
	// tried.
	noticeTimeout = 700 * time.Millisecond
	noticeRounds  = 2
)

// Notice is the message that an agent sends to routers when it is leaving.
type Notice struct {
	Status wire.Status `json:"status"`
}

// Check implements control.Checker.
func (n Notice) Check() error {
	if n.Status.Endpoint == "" || n.Status.Clock.Incarnation == "" {
		return errors.New("notice: endpoint or incarnation is missing")
	}
	return nil
}

// NoticeReply acknowledges a Notice.
type NoticeReply struct{}

var methodNotice = control.NewMethod[Notice, NoticeReply]("membership.notice", identity.RoleAgent).
	WithTimeout(noticeTimeout)

// Register adds the methods that agents call to a router's control channel.
func (t *Tracker) Register(srv *control.Server) {
	control.Register(srv, methodNotice, t.serveNotice)
}

// serveNotice accepts an agent's status of its own endpoint and of no other.
func (t *Tracker) serveNotice(_ context.Context, peer identity.Peer, n Notice) (NoticeReply, error) {
	if peer.Name != n.Status.Endpoint {
		return NoticeReply{}, &control.Error{Code: control.CodeForbidden, Message: "an agent speaks for its own endpoint only"}
	}
	t.metrics.notices.Inc()
	t.HandleEvent(AgentStatus{
		Endpoint: n.Status.Endpoint, Incarnation: n.Status.Clock.Incarnation, Seq: n.Status.Load.Seq,
		Leaving: n.Status.Load.Leaving, Via: ReasonNotice,
	})
	return NoticeReply{}, nil
}

// AnnouncerConfig configures an Announcer.
type AnnouncerConfig struct {
	// Status returns the agent's current status.
	Status func() wire.Status
	// Routers returns the routers of the bundle in force.
	Routers func() []bundle.Router
	Client  control.ClientConfig
	Log     zerolog.Logger
}

// Announcer notifies routers that the agent is leaving. It is safe for concurrent
// use.
type Announcer struct {
	cfg      AnnouncerConfig
	lastSeen *lru.Cache[string, time.Time] // when each router sent its last request
}

// NewAnnouncer returns an announcer that has seen no router yet.
func NewAnnouncer(cfg AnnouncerConfig) *Announcer {
	lastSeen, err := lru.New[string, time.Time](maxKnownRouters)
	if err != nil { // only a size below 1 fails
		panic(err)
	}
	return &Announcer{cfg: cfg, lastSeen: lastSeen}
}

// Wrap returns a handler that records the routers that call the agent's handler.
func (a *Announcer) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.TLS != nil {
			a.recordRouter(r)
		}
		next.ServeHTTP(w, r)
	})
}

func (a *Announcer) recordRouter(r *http.Request) {
	peer, err := identity.PeerOf(r.TLS)
	if err == nil && peer.Role == identity.RoleRouter {
		a.lastSeen.Add(peer.Name, time.Now())
	}
}

// AnnounceResult holds how many routers acknowledged the notice and how many of the
// recently seen ones did not. The latter learn of the leaving from load reports and
// refused connections.
type AnnounceResult struct{ Notified, Missed int }

// Announce sends the agent's status, which must already be leaving, to the recently
// seen routers. Routers that don't acknowledge it are retried after all others have
// been tried, so that an unreachable router doesn't delay the others.
func (a *Announcer) Announce(ctx context.Context) AnnounceResult {
	notice := Notice{Status: a.cfg.Status()}
	targets := a.targets()
	missed := targets
	for range noticeRounds {
		missed = a.sendRound(ctx, missed, notice)
	}
	out := AnnounceResult{Notified: len(targets) - len(missed), Missed: len(missed)}
	a.cfg.Log.Info().Int("told", out.Notified).Int("missed", out.Missed).Msg("leaving notices sent to routers")
	return out
}

// targets returns the routers of the bundle that were seen within routerTTL.
func (a *Announcer) targets() []control.Target {
	var out []control.Target
	for _, r := range a.cfg.Routers() {
		if at, ok := a.lastSeen.Peek(r.Name); ok && time.Since(at) <= routerTTL {
			peer := identity.Peer{Role: identity.RoleRouter, Name: r.Name}
			out = append(out, control.Target{Address: r.ControlAddress, Peer: peer})
		}
	}
	return out
}

// sendRound sends the notice once to each target and returns the targets that did
// not acknowledge it.
func (a *Announcer) sendRound(ctx context.Context, targets []control.Target, n Notice) []control.Target {
	var mu sync.Mutex
	var missed []control.Target
	var group errgroup.Group
	group.SetLimit(maxConcurrentNotices)
	for _, target := range targets {
		group.Go(func() error {
			if !a.send(ctx, target, n) {
				mu.Lock()
				defer mu.Unlock()
				missed = append(missed, target)
			}
			return nil
		})
	}
	_ = group.Wait() // no function returns an error
	return missed
}

// send sends a notice through a new client, which has no backoff from an earlier
// failure.
func (a *Announcer) send(ctx context.Context, target control.Target, n Notice) bool {
	client := control.NewClient(a.cfg.Client, target)
	defer client.Close() // only the call's error matters
	_, err := control.Call(ctx, client, methodNotice, n)
	if err != nil {
		a.cfg.Log.Debug().Err(err).Str("router", target.Peer.Name).Msg("leaving notice not acknowledged")
	}
	return err == nil
}

// Delivery sends an agent's leaving notices in the background while the agent shuts down.
type Delivery struct {
	announcer *Announcer
	once      sync.Once
	done      chan struct{}
}

// NewDelivery returns a delivery by the announcer that begins with Start.
func NewDelivery(a *Announcer) *Delivery { return &Delivery{announcer: a, done: make(chan struct{})} }

// Start starts the delivery and returns at once; later calls do nothing.
func (g *Delivery) Start() {
	g.once.Do(func() {
		go func() {
			defer close(g.done)
			g.announcer.Announce(context.Background())
		}()
	})
}

// Wait returns when the delivery has ended. It must be called after Start.
func (g *Delivery) Wait() { <-g.done }
