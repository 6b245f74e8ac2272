package rollout

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"coveferry/internal/clock"
	"coveferry/internal/control"
)

// minPace is the shortest time between two exchanges over a link, whatever the
// partner answers.
const minPace = 100 * time.Millisecond

// link keeps up with one partner: it hears of the partner's news by an
// exchange that waits for them, and tells the partner of this process's.
type link struct {
	node   *Node
	member Member
	id     ID
	client *control.Client
	// behind wakes the teller when the partner turns out to lack a version.
	behind chan struct{}

	mu    sync.Mutex
	known Summary // what the partner has
}

func newLink(n *Node, m Member) *link {
	return &link{
		node: n, member: m, id: m.ID(),
		client: n.pool.Client(control.Target{Address: m.Address, Peer: m.Peer}),
		behind: make(chan struct{}, 1),
	}
}

// run ends with ctx, when the partner is no longer one.
func (l *link) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var teller sync.WaitGroup
	teller.Go(func() { l.tell(ctx) })
	defer teller.Wait()
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
			clock.Sleep(ctx, minPace-time.Since(began))
		}
	}
}

// exchange tells and hears, and takes up what it heard.
func (l *link) exchange(ctx context.Context, wait time.Duration) error {
	req := l.node.compose(l.id)
	req.WaitMillis = wait.Milliseconds()
	news, err := control.Call(ctx, l.client, methodExchange, req)
	if err != nil {
		return err
	}
	if err := news.Check(); err != nil {
		return err
	}
	l.node.heard(l.id, news.From, news.Others)
	l.note(news.Held)
	offered := news.Held
	if l.node.pull(ctx, l.member, offered) {
		return nil
	}
	if offered.Version > l.node.store.Summary().Version {
		clock.Sleep(ctx, l.node.tuning.Heartbeat) // it couldn't be had; asking at once would not help
	}
	return nil
}

// note keeps what the partner has, and wakes the teller if that is too little.
func (l *link) note(s Summary) {
	l.mu.Lock()
	l.known = s
	l.mu.Unlock()
	if s.Version < l.node.store.Summary().Version {
		select {
		case l.behind <- struct{}{}:
		default: // it is awake already
		}
	}
}

func (l *link) lacks(s Summary) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.known.Version < s.Version
}

// tell offers each new version to the partner, unless it has it.
func (l *link) tell(ctx context.Context) {
	for {
		held, changed := l.node.next()
		if l.lacks(held) {
			l.offer(ctx, held)
		}
		select {
		case <-changed:
		case <-l.behind:
		case <-ctx.Done():
			return
		}
	}
}

// offer's failures are left to the exchange, which notices that the partner is
// gone, or that it still lacks the version.
func (l *link) offer(ctx context.Context, held Summary) {
	reply, err := control.Call(ctx, l.client, methodOffer, Offer{Summary: held})
	if err != nil || !reply.Want {
		return
	}
	update, ok := l.node.store.Since(reply.Held)
	if !ok {
		return
	}
	delivered, err := control.Call(ctx, l.client, methodDeliver, update)
	if err == nil {
		l.mu.Lock()
		l.known = delivered.Held
		l.mu.Unlock()
	}
}

// compose makes the message that goes to a peer.
func (n *Node) compose(to ID) Exchange {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	return Exchange{Held: n.core.Held(), From: n.core.Self(now), Others: n.core.Tell(now, to)}
}

func (n *Node) heard(peer ID, from Sighting, others []Sighting) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.core.Heard(time.Now(), peer, from, others)
}

func (n *Node) partnerFailed(id ID, err error) {
	n.cfg.Log.Debug().Err(err).Str("peer", string(id)).Msg("partner failed")
	n.mu.Lock()
	n.core.Failed(time.Now(), id)
	n.mu.Unlock()
	n.wake()
}

// pull fetches a version that a peer offers, if it is of use. It returns
// whether the peer's version, or a higher one, is in force in the end.
func (n *Node) pull(ctx context.Context, m Member, offered Summary) bool {
	id := m.ID()
	for {
		switch advice := n.judge(id, offered); advice.Action {
		case Take:
			// Only once: what doesn't work now is tried again with the next
			// exchange, at its pace.
			n.finish(id, offered, n.fetch(ctx, m))
			return n.store.Summary().Version >= offered.Version
		case Wait:
			if !clock.Sleep(ctx, advice.Wait) {
				return false
			}
		case Clash:
			n.refuse(string(id), clashError(offered))
			return false
		default:
			return n.store.Summary().Version >= offered.Version
		}
	}
}

// judge asks the core what to do about an offer, and notes that a transfer
// begins if it is to be taken.
func (n *Node) judge(id ID, offered Summary) Advice {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	advice := n.core.Judge(now, id, offered)
	if advice.Action == Take {
		n.core.Begin(now, offered.Version)
	}
	return advice
}

// finish notes how a transfer from a peer ended. A peer whose claim the
// transfer disproved isn't asked again for a while; one that couldn't be
// reached may be.
func (n *Node) finish(id ID, offered Summary, err error) {
	proved := n.store.Summary().Version >= offered.Version || err != nil && reasonOf(err) == ""
	if err != nil && !errors.Is(err, context.Canceled) {
		n.refuse(string(id), err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.core.End(time.Now(), id, offered.Version, proved)
}

func (n *Node) fetch(ctx context.Context, m Member) error {
	client := n.pool.Client(control.Target{Address: m.Address, Peer: m.Peer})
	ask := func(digests []digest) ([]string, error) {
		reply, err := control.Call(ctx, client, methodSections, SectionsRequest{Digests: digests})
		return reply.Sections, err
	}
	update, err := control.Call(ctx, client, methodFetch, Fetch{Held: n.store.Summary()})
	if err != nil {
		return err
	}
	err = n.take(update, ask)
	if !errors.Is(err, errUnknownBase) {
		return err
	}
	// A summary that is no peer's brings the manifest in full.
	update, err = control.Call(ctx, client, methodFetch, Fetch{Held: Summary{Version: n.store.Summary().Version}})
	if err != nil {
		return err
	}
	err = n.take(update, ask)
	if errors.Is(err, errUnknownBase) {
		return errors.Wrap(ErrBadMessage, "a difference where the whole manifest was asked for")
	}
	return err
}
