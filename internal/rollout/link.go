package rollout

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"coveferry/internal/clock"
	"coveferry/internal/control"
)

// minExchangeInterval is the shortest time between two exchanges over a link,
// whatever the partner answers.
const minExchangeInterval = 100 * time.Millisecond

// link exchanges versions with one partner. It learns of the partner's versions
// by long-polling exchanges, and offers it each new version of this process.
type link struct {
	node   *Node
	member Member
	id     ID
	client *control.Client
	// partnerBehind wakes offerVersions when the partner turns out to lack a
	// version.
	partnerBehind chan struct{}

	mu             sync.Mutex
	partnerVersion Summary // active at the partner
}

func newLink(n *Node, m Member) *link {
	return &link{
		node: n, member: m, id: m.ID(),
		client:        n.pool.Client(control.Target{Address: m.Address, Peer: m.Peer}),
		partnerBehind: make(chan struct{}, 1),
	}
}

// run returns when ctx ends, which is when the member is no longer a partner.
func (l *link) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { l.offerVersions(ctx) })
	defer wg.Wait()
	defer cancel()
	wait := time.Duration(0)
	for ctx.Err() == nil {
		began := time.Now()
		err := l.exchange(ctx, wait)
		switch {
		case ctx.Err() != nil:
		case err != nil:
			// The supervisor may choose another partner now.
			l.node.partnerFailed(l.id, err)
			wait = 0
			clock.Sleep(ctx, l.node.tuning.RetryMin)
		default:
			wait = jitter(l.node.tuning.Heartbeat)
			clock.Sleep(ctx, minExchangeInterval-time.Since(began))
		}
	}
}

// exchange sends an Exchange, records the reply, and pulls the partner's
// version if it is higher.
func (l *link) exchange(ctx context.Context, wait time.Duration) error {
	req := l.node.newExchange(l.id)
	req.WaitMillis = wait.Milliseconds()
	reply, err := control.Call(ctx, l.client, methodExchange, req)
	if err != nil {
		return err
	}
	if err := reply.Check(); err != nil {
		return err
	}
	l.node.recordReports(l.id, reply.From, reply.Others)
	l.recordPartnerVersion(reply.Held)
	offered := reply.Held
	if l.node.pull(ctx, l.member, offered) {
		return nil
	}
	if offered.Version > l.node.store.Summary().Version {
		clock.Sleep(ctx, l.node.tuning.Heartbeat) // the pull failed; retrying at once would not help
	}
	return nil
}

// recordPartnerVersion records the partner's active version, and wakes
// offerVersions if it is behind.
func (l *link) recordPartnerVersion(s Summary) {
	l.mu.Lock()
	l.partnerVersion = s
	l.mu.Unlock()
	if s.Version < l.node.store.Summary().Version {
		select {
		case l.partnerBehind <- struct{}{}:
		default: // a wakeup is pending
		}
	}
}

func (l *link) lacks(s Summary) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.partnerVersion.Version < s.Version
}

// offerVersions offers each new version to the partner, unless the partner has
// it.
func (l *link) offerVersions(ctx context.Context) {
	for {
		active, changed := l.node.watchActive()
		if l.lacks(active) {
			l.offer(ctx, active)
		}
		select {
		case <-changed:
		case <-l.partnerBehind:
		case <-ctx.Done():
			return
		}
	}
}

// offer ignores failures: the next exchange detects that the partner is
// unreachable or still lacks the version.
func (l *link) offer(ctx context.Context, active Summary) {
	reply, err := control.Call(ctx, l.client, methodOffer, Offer{Summary: active})
	if err != nil || !reply.Want {
		return
	}
	update, ok := l.node.store.UpdateSince(reply.Held)
	if !ok {
		return
	}
	delivered, err := control.Call(ctx, l.client, methodDeliver, update)
	if err == nil {
		l.mu.Lock()
		l.partnerVersion = delivered.Held
		l.mu.Unlock()
	}
}

// newExchange returns the message for a peer.
func (n *Node) newExchange(to ID) Exchange {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	return Exchange{Held: n.core.ActiveSummary(), From: n.core.SelfReport(now), Others: n.core.ReportsFor(now, to)}
}

func (n *Node) recordReports(peer ID, from PeerReport, others []PeerReport) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.core.RecordReports(time.Now(), peer, from, others)
}

func (n *Node) partnerFailed(id ID, err error) {
	n.cfg.Log.Debug().Err(err).Str("peer", string(id)).Msg("partner failed")
	n.mu.Lock()
	n.core.PartnerFailed(time.Now(), id)
	n.mu.Unlock()
	n.wake()
}

// pull fetches a version that a peer offers, if it is needed. It returns
// whether the offered version or a higher one is active at the end.
func (n *Node) pull(ctx context.Context, m Member, offered Summary) bool {
	id := m.ID()
	for {
		switch decision := n.evaluateOffer(id, offered); decision.Action {
		case Pull:
			// A single attempt: the next exchange retries at its own pace.
			n.finishTransfer(id, offered, n.fetch(ctx, m))
			return n.store.Summary().Version >= offered.Version
		case Wait:
			if !clock.Sleep(ctx, decision.Wait) {
				return false
			}
		case Conflict:
			n.refuse(string(id), conflictError(offered))
			return false
		default:
			return n.store.Summary().Version >= offered.Version
		}
	}
}

// evaluateOffer asks the core what to do about an offer, and records the start
// of the transfer if the answer is Pull.
func (n *Node) evaluateOffer(id ID, offered Summary) Decision {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	decision := n.core.EvaluateOffer(now, id, offered)
	if decision.Action == Pull {
		n.core.BeginTransfer(now, offered.Version)
	}
	return decision
}

// finishTransfer records how a transfer from a peer ended. Offers of a peer
// whose claim the transfer disproved are ignored for a while; those of an
// unreachable peer aren't.
func (n *Node) finishTransfer(id ID, offered Summary, err error) {
	proved := n.store.Summary().Version >= offered.Version || err != nil && reasonOf(err) == ""
	if err != nil && !errors.Is(err, context.Canceled) {
		n.refuse(string(id), err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.core.EndTransfer(time.Now(), id, offered.Version, proved)
}

func (n *Node) fetch(ctx context.Context, m Member) error {
	client := n.pool.Client(control.Target{Address: m.Address, Peer: m.Peer})
	fetchSections := func(digests []digest) ([]string, error) {
		reply, err := control.Call(ctx, client, methodSections, SectionsRequest{Digests: digests})
		return reply.Sections, err
	}
	update, err := control.Call(ctx, client, methodFetch, FetchRequest{Held: n.store.Summary()})
	if err != nil {
		return err
	}
	err = n.applyUpdate(update, fetchSections)
	if !errors.Is(err, errUnknownBase) {
		return err
	}
	// No peer has a manifest of the zero digest, so the reply holds the
	// manifest in full.
	update, err = control.Call(ctx, client, methodFetch, FetchRequest{Held: Summary{Version: n.store.Summary().Version}})
	if err != nil {
		return err
	}
	err = n.applyUpdate(update, fetchSections)
	if errors.Is(err, errUnknownBase) {
		return errors.Wrap(ErrBadMessage, "a difference where the whole manifest was asked for")
	}
	return err
}
