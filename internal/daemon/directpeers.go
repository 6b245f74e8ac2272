package daemon

import (
	"maps"
	"net"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"

	"coveferry/internal/control"
	"coveferry/internal/endpointrate"
	"coveferry/internal/follow"
	"coveferry/internal/peers"
)

const (
	// peerEvery is the time between two questions to a reader: a tenth of the
	// shortest bound on configurations that is known, at some kilobytes a
	// second.
	peerEvery = 250 * time.Millisecond
	// peerWaits is how many waits old the word of another router may be: a call
	// tells of the moment at which it was sent, so that in calm times what a reader
	// knows gets two waits old before the next one ends. Beyond that, and the slack
	// of a call, others are asked and then the source itself.
	peerWaits = 2
)

// peerAge is how old the word of another router may be. It holds whether keys have
// to be revoked in time or not.
func peerAge(b DirectBounds) time.Duration {
	return peerWaits*waitFor(b) + watchSlack
}

// startPeers returns the source to follow: that of the settings, shared with the
// other routers if they can reach this one.
func (d *directRouter) startPeers() (follow.Source, error) {
	reader := follow.Reader{Store: d.cfg.Store, CallTimeout: readTimeout}
	if d.cfg.Control == "" {
		return reader, nil
	}
	l, err := net.Listen("tcp", d.cfg.Control)
	if err != nil {
		return nil, errors.Wrap(err, "listen for other routers")
	}
	d.control = control.NewServer(control.ServerConfig{Listener: l, Log: d.log})
	d.peers = peers.New(peers.Config{
		Self: peers.Member{
			VM: d.cfg.VM, FailureDomain: d.cfg.FailureDomain, Address: d.cfg.Control,
			Cores: d.cfg.Cores, LinkMbps: d.cfg.LinkMbps,
		},
		FailureDomains:  slices.Sorted(maps.Keys(d.cfg.Regions)),
		Seeds:           d.cfg.Seeds,
		Origin:          reader,
		Pool:            control.NewPool(control.ClientConfig{Log: d.log}, 0),
		PollInterval:    peerEvery,
		MaxAge:          peerAge(d.cfg.Bounds),
		OutageThreshold: timing(d.cfg.Bounds).OutageThreshold,
		Log:             d.log,
		Metrics:         d.reg,
	})
	d.peers.Register(d.control)
	d.share = endpointrate.Share{Self: d.cfg.VM, Domain: d.cfg.FailureDomain, Fleet: d.peers.Fleet}
	return d.peers, nil
}

// addPeers adds what shares readings with other routers.
func (d *directRouter) addPeers(g *run.Group, failed *error) {
	if d.peers == nil {
		return
	}
	g.Add(d.control.Run, func(error) { *failed = errors.CombineErrors(*failed, d.control.Stop()) })
	addLoop(g, d.peers.Run)
}

// sourceLost is for how long this router has lost sight of the source. Callers
// are better served by routers that see it themselves, though others' word keeps
// this one's knowledge fresh.
func (d *directRouter) sourceLost() time.Duration {
	if d.peers == nil {
		return 0
	}
	return d.peers.OriginUnavailableFor()
}

// routers is how many routers there are, as far as this one has heard.
func (d *directRouter) routers() int {
	if d.peers == nil {
		return peers.AssumedFleetSize
	}
	others := d.peers.PeerCount()
	if others == 0 {
		return peers.AssumedFleetSize
	}
	return 1 + others
}

// part is this router's part, in requests a second, of what an endpoint takes from all routers.
func (d *directRouter) part(now time.Time, b endpointrate.Bound) float64 {
	if d.peers == nil {
		return b.PerSecond / peers.AssumedFleetSize // it hears of no other
	}
	return d.share.Rate(now, b)
}
