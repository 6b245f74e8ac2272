package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"coveferry/internal/bundle"
	"coveferry/internal/identity"
	"coveferry/internal/once"
	"coveferry/internal/wire"
)

// Bounds on the exchange between agents about keys.
const (
	keyInterval = time.Second
	// maxConcurrentQueries bounds the queries in flight at once.
	maxConcurrentQueries = 16
	// maxAgreeBytes bounds the size of a query and of its answer, which may
	// name several hundred endpoints.
	maxAgreeBytes = 64 << 10
)

// Keys configures how an agent ensures that an idempotency key runs at most once.
// Each key has one home among the endpoints of its model or service. The agent of
// the home remembers the key and decides whether it may run.
type Keys struct {
	// Once bounds the store of keys; Self must name the agent's endpoint and
	// its VM. With the zero value attempts with keys are refused.
	Once once.Config
	// Peers sends requests to other agents. Scheme is "https" or, without
	// certificates, "http". If Peers is nil, an agent never gets the others'
	// agreement on a list of more than one endpoint among which the keys of a
	// model or service are divided.
	Peers  *http.Client
	Scheme string
	// SkipCheck makes the agent run attempts without checking their keys. Keys
	// are forwarded to the engine in either case.
	SkipCheck bool
}

// keys guards the agent's KeyRegistry with a lock. Key times use the wall clock,
// because it advances during every pause.
type keys struct {
	cfg      Keys
	mu       sync.Mutex
	registry *once.KeyRegistry
}

func newKeys(cfg Keys, reg prometheus.Registerer) *keys {
	k := &keys{cfg: cfg, registry: once.New(cfg.Once, time.Now())}
	if reg != nil {
		k.register(reg)
	}
	return k
}

func (k *keys) register(reg prometheus.Registerer) {
	reg.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "coveferry_agent_keys",
			Help: "Idempotency keys that are remembered.",
		}, func() float64 { return float64(k.len()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "coveferry_agent_key_peers_waiting",
			Help: "Endpoints whose agreement is missing before some keys can be taken.",
		}, func() float64 { return float64(len(k.pendingPeers())) }),
	)
}

func (k *keys) len() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.registry.Len()
}

func (k *keys) pendingPeers() []once.Member {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.registry.PendingMembers()
}

// UpdateKeyHomes makes the agent the home of the keys that the endpoints of a
// snapshot assign to it.
func (ag *Agent) UpdateKeyHomes(s *bundle.Snapshot) {
	view := once.ViewOf(s.Bundle())
	ag.keys.mu.Lock()
	defer ag.keys.mu.Unlock()
	ag.keys.registry.SetView(time.Now(), view)
}

// PendingPeers lists the endpoints whose agreement is missing before this agent
// can accept some keys.
func (ag *Agent) PendingPeers() []once.Member { return ag.keys.pendingPeers() }

// RemovePeer records that an endpoint's VM is no longer in the platform's list.
func (ag *Agent) RemovePeer(m once.Member) {
	ag.keys.mu.Lock()
	defer ag.keys.mu.Unlock()
	ag.keys.registry.RecordGone(m)
}

// RunKeys removes old keys and queries other agents for their agreement, until
// the context ends.
func (ag *Agent) RunKeys(ctx context.Context) error {
	ticker := time.NewTicker(keyInterval)
	defer ticker.Stop()
	var round errgroup.Group
	round.SetLimit(1) // while a round of queries is running, the next is skipped
	for {
		if questions := ag.keys.tick(); len(questions) > 0 {
			round.TryGo(func() error { return ag.keys.queryPeers(ctx, questions) })
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return round.Wait()
		}
	}
}

// queryPeers sends the queries of one round. Rounds are rare, so the connections
// are not kept open.
func (k *keys) queryPeers(ctx context.Context, questions []once.OutgoingQuery) error {
	defer k.cfg.Peers.CloseIdleConnections()
	var queries errgroup.Group
	queries.SetLimit(maxConcurrentQueries)
	for _, q := range questions {
		queries.Go(func() error { k.queryPeer(ctx, q); return nil })
	}
	return queries.Wait()
}

func (k *keys) tick() []once.OutgoingQuery {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	k.registry.Tick(now)
	if k.cfg.Peers == nil {
		return nil
	}
	return k.registry.PendingQueries(now)
}

// queryPeer sends one query. A peer that doesn't answer is queried again in a
// later round.
func (k *keys) queryPeer(ctx context.Context, q once.OutgoingQuery) {
	ctx, cancel := context.WithTimeout(ctx, k.cfg.Once.ReplyTimeout)
	defer cancel()
	q.SentAt = time.Now()
	answer, err := k.exchange(ctx, q)
	if err != nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	k.registry.HandleReply(now, q, answer)
	k.registry.Tick(now)
}

func (k *keys) exchange(ctx context.Context, q once.OutgoingQuery) (once.ListReply, error) {
	var answer once.ListReply
	body, err := json.Marshal(q.ListQuery)
	if err != nil {
		return answer, errors.Wrap(err, "encode query")
	}
	url := k.cfg.Scheme + "://" + q.To.Address + wire.PathAgree
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return answer, errors.Wrap(err, "create query request")
	}
	resp, err := k.cfg.Peers.Do(req)
	if err != nil {
		return answer, errors.Wrap(err, "send query")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return answer, errors.Newf("peer returned status %d", resp.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxAgreeBytes)).Decode(&answer)
	return answer, errors.Wrap(err, "decode query answer")
}

// serveAgree answers another agent's query. Over TLS an agent can only query on
// its own behalf.
func (ag *Agent) serveAgree(w http.ResponseWriter, r *http.Request) {
	var query once.ListQuery
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAgreeBytes)).Decode(&query); err != nil {
		http.Error(w, "malformed question", http.StatusBadRequest)
		return
	}
	if r.TLS != nil {
		peer, err := identity.PeerOf(r.TLS)
		if err != nil || peer.Role != identity.RoleAgent || peer.Name != query.From.Name {
			http.Error(w, "an agent asks on its own behalf", http.StatusForbidden)
			return
		}
	}
	ag.keys.mu.Lock()
	answer := ag.keys.registry.HandleQuery(time.Now(), query)
	ag.keys.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer) // on failure the peer sends the query again
}

// needsKeyCheck reports whether the agent has to ensure that the attempt's key
// runs at most once.
func (ag *Agent) needsKeyCheck(a *attempt) bool {
	return a.env.KeyIssuedMillis != 0 && !ag.cfg.Keys.SkipCheck
}

func (a *attempt) keyAttempt() once.Attempt {
	return once.Attempt{
		Target:  a.env.Target,
		Team:    a.env.Team,
		Key:     once.Key{Text: a.env.IdempotencyKey, Issued: time.UnixMilli(a.env.KeyIssuedMillis)},
		Request: a.env.Request,
		Epoch:   a.env.Epoch,
	}
}

// processKeyed is process for an attempt whose idempotency key must not have run
// before.
func (ag *Agent) processKeyed(ctx context.Context, a *attempt) (wire.Ending, *wire.Refusal) {
	keyed := a.keyAttempt()
	ag.keys.mu.Lock()
	decision := ag.keys.registry.Admit(time.Now(), keyed)
	ag.keys.mu.Unlock()
	if decision.Refused != "" {
		return "", keyRefusal(decision)
	}
	ending, refusal := ag.process(ctx, a)
	ag.keys.mu.Lock()
	ag.keys.registry.End(keyed, keyState(ending, refusal))
	ag.keys.mu.Unlock()
	return ending, refusal
}

// beginKey checks, immediately before the attempt is first sent to the engine,
// whether its key still allows it to run.
func (ag *Agent) beginKey(a *attempt) error {
	if !ag.needsKeyCheck(a) || a.runCount > 0 {
		return nil
	}
	ag.keys.mu.Lock()
	defer ag.keys.mu.Unlock()
	if ag.keys.registry.Begin(time.Now(), a.keyAttempt()) {
		return nil
	}
	return &engineError{Reason: wire.ReasonNotKeyHome, Cause: errKeyMoved}
}

// keyRefusal converts a KeyRegistry's refusal. For a duplicate, Run describes the
// request that holds the key, otherwise this one.
func keyRefusal(v once.Decision) *wire.Refusal {
	out := &wire.Refusal{
		Reason: string(v.Refused), Run: wire.RunNot,
		RetryAfterMillis: v.RetryAfter.Milliseconds(),
	}
	if v.Earlier != (once.EarlierRequest{}) {
		out.Earlier = &wire.EarlierRequest{Request: v.Earlier.Request, State: string(v.Earlier.State)}
	}
	if v.Refused == once.ReasonDuplicate {
		out.Run = runOfState(v.Earlier.State)
	}
	return out
}

// runOfState returns whether the request of a key in the given state ran. A
// request that waits may still run.
func runOfState(s once.State) wire.Run {
	switch s {
	case once.StateNotRun:
		return wire.RunNot
	case once.StateRunning, once.StateComplete, once.StateBroken:
		return wire.RunYes
	default:
		return wire.RunUnknown
	}
}

// keyState returns the state of a key after its attempt ended.
func keyState(ending wire.Ending, refusal *wire.Refusal) once.State {
	switch {
	case refusal == nil && ending == wire.EndingComplete:
		return once.StateComplete
	case refusal == nil, refusal.Run == wire.RunYes:
		return once.StateBroken
	case refusal.Run == wire.RunNot:
		return once.StateNotRun
	default:
		return once.StateUnknown
	}
}

// fromAgent reports whether a request comes from another agent, which may only
// query for agreement. The TLS handshake has verified the certificate.
func fromAgent(r *http.Request) bool {
	if r.TLS == nil || len(r.TLS.PeerCertificates) == 0 {
		return false
	}
	uris := r.TLS.PeerCertificates[0].URIs
	return len(uris) > 0 && uris[0].Host == string(identity.RoleAgent)
}
