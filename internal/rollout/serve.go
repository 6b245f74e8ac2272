package rollout

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"coveferry/internal/bundle"
	"coveferry/internal/control"
	"coveferry/internal/identity"
)

// Register adds the node's methods to the server of the control channel.
func (n *Node) Register(srv *control.Server) {
	control.Register(srv, methodExchange, n.serveExchange)
	control.Register(srv, methodOffer, n.serveOffer)
	control.Register(srv, methodDeliver, n.serveDeliver)
	control.Register(srv, methodFetch, n.serveFetch)
	control.Register(srv, methodSections, n.serveSections)
	control.Register(srv, MethodStatus, n.serveStatus)
}

// serveExchange replies when there is a higher version than the caller's, or
// when the caller's wait ends.
func (n *Node) serveExchange(ctx context.Context, peer identity.Peer, req Exchange) (ExchangeReply, error) {
	id := IDOf(peer)
	n.recordReports(id, req.From, req.Others)
	timer := time.NewTimer(time.Duration(req.WaitMillis) * time.Millisecond)
	defer timer.Stop()
	for waiting := true; waiting; {
		active, changed := n.watchActive()
		if active.Version > max(req.Held.Version, n.announcedVersion(id)) {
			break
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-ctx.Done():
			return ExchangeReply{}, ctx.Err()
		}
	}
	msg := n.newExchange(id)
	return ExchangeReply{Held: msg.Held, From: msg.From, Others: msg.Others}, nil
}

// recordAnnouncedVersion records the version that a listed peer announces. A
// false announcement affects only the sender: its exchange still ends with its
// wait.
func (n *Node) recordAnnouncedVersion(id ID, version uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, listed := n.core.membership.byID[id]; listed {
		n.announcedVersions[id] = version
	}
}

func (n *Node) announcedVersion(id ID) uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.announcedVersions[id]
}

func (n *Node) serveOffer(_ context.Context, peer identity.Peer, req Offer) (OfferReply, error) {
	id := IDOf(peer)
	n.recordAnnouncedVersion(id, req.Summary.Version)
	decision := n.evaluateOffer(id, req.Summary)
	if decision.Action == Conflict {
		n.refuse(string(id), conflictError(req.Summary))
	}
	return OfferReply{Want: decision.Action == Pull, Held: n.store.Summary()}, nil
}

// serveDeliver applies an update that the peer pushes after serveOffer accepted
// it. Missing parts are fetched from the peer, if its address is known.
func (n *Node) serveDeliver(ctx context.Context, peer identity.Peer, u Update) (DeliverReply, error) {
	id := IDOf(peer)
	err := n.applyUpdate(u, func(digests []digest) ([]string, error) {
		return nil, &bundle.MissingSectionError{Digests: digests}
	})
	if errors.Is(err, bundle.ErrMissingSection) || errors.Is(err, errUnknownBase) {
		if m, ok := n.member(id); ok {
			err = n.fetch(ctx, m)
		}
	}
	n.finishTransfer(id, u.Summary, err)
	return DeliverReply{Held: n.store.Summary()}, nil
}

func (n *Node) member(id ID) (Member, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	m, ok := n.core.membership.byID[id]
	return m, ok
}

func (n *Node) serveFetch(_ context.Context, _ identity.Peer, req FetchRequest) (Update, error) {
	u, ok := n.store.UpdateSince(req.Held)
	if !ok {
		return Update{}, &control.Error{Code: control.CodeUnavailable, Message: "no bundle in force yet"}
	}
	return u, nil
}

func (n *Node) serveSections(_ context.Context, _ identity.Peer, req SectionsRequest) (SectionsReply, error) {
	return SectionsReply{Sections: n.store.Sections(req.Digests)}, nil
}

func (n *Node) serveStatus(context.Context, identity.Peer, StatusRequest) (Status, error) {
	return n.Status(time.Now()), nil
}
