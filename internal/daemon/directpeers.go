package daemon

import (
	"maps"
	"net"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"

	"coveferry/internal/age"
	"coveferry/internal/control"
	"coveferry/internal/endpointrate"
	"coveferry/internal/follow"
	"coveferry/internal/peers"
	"coveferry/internal/streamversion"
)

const (
	// peerPollInterval is the interval at which a reader is polled: a tenth of the shortest
	// known bound on configuration changes, at a cost of a few kilobytes a second.
	peerPollInterval = 250 * time.Millisecond
	// maxAgeWaits is the maximum age of another router's data, in waits of a watch call
	// (watchWait): a response reflects the time at which its call was sent, so without changes
	// a reader's data gets two waits old before the next call ends. When data is older than
	// that plus the slack of a call, other routers are asked and then the source itself.
	maxAgeWaits = 2
)

// maxPeerAge returns the maximum age of another router's data. It applies whether or not
// RevokeWithin is set.
func maxPeerAge(b DirectBounds) time.Duration {
	return maxAgeWaits*watchWait(b) + watchSlack
}

// newSource returns the source to follow: the configured one, shared with the other routers if
// they can reach this one.
func (d *directRouter) newSource() (follow.Source, error) {
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
		PollInterval:    peerPollInterval,
		MaxAge:          maxPeerAge(d.cfg.Bounds),
		OutageThreshold: sourceTiming(d.cfg.Bounds).OutageThreshold,
		Log:             d.log,
		Metrics:         d.reg,
	})
	d.peers.Register(d.control)
	d.share = endpointrate.Share{Self: d.cfg.VM, Domain: d.cfg.FailureDomain, Fleet: d.peers.Fleet}
	return d.peers, nil
}

const (
	// confirmationsPerSecond bounds the calls by which all routers together confirm their lists of endpoints
	// for streams that callers resume, to half of what the smallest source serves.
	confirmationsPerSecond = 1000
	// minConfirmInterval and maxConfirmInterval bound the time between two such calls of one router: callers
	// wait for them.
	minConfirmInterval = 50 * time.Millisecond
	maxConfirmInterval = 200 * time.Millisecond
)

// confirmInterval returns the least time between two confirmations by one of so many routers.
func confirmInterval(routers int) time.Duration {
	interval := time.Duration(routers) * time.Second / confirmationsPerSecond
	return min(max(interval, minConfirmInterval), maxConfirmInterval)
}

// newStreams returns the registry of where streams began, shared with the other routers if there are
// any.
func (d *directRouter) newStreams() *streamversion.Registry {
	cfg := streamversion.Config{
		ListAge:    func() age.Age { return d.follower.Age() },
		MaxListAge: maxPeerAge(d.cfg.Bounds),

		Changes:         d.cfg.Store.Changes,
		ConfirmInterval: func() time.Duration { return confirmInterval(d.fleetSize()) },
		LongestReturn:   d.cfg.LongestReturn,
		Metrics:         d.reg,
	}
	if d.peers != nil {
		cfg.Peers = d.peers
	}
	return streamversion.New(cfg)
}

// addPeers adds the actors that share the source's data with other routers.
func (d *directRouter) addPeers(g *run.Group, stopErr *error) {
	if d.peers == nil {
		return
	}
	g.Add(d.control.Run, func(error) { *stopErr = errors.CombineErrors(*stopErr, d.control.Stop()) })
	addLoop(g, d.peers.Run)
}

// sourceUnavailableFor returns how long this router has been unable to read the source itself.
// Callers are better served by routers that can, even though peers keep this router's data
// fresh.
func (d *directRouter) sourceUnavailableFor() time.Duration {
	if d.peers == nil {
		return 0
	}
	return d.peers.OriginUnavailableFor()
}

// fleetSize returns the number of routers known to this one, or an upper estimate if it knows
// no other.
func (d *directRouter) fleetSize() int {
	if d.peers == nil {
		return peers.AssumedFleetSize
	}
	others := d.peers.PeerCount()
	if others == 0 {
		return peers.AssumedFleetSize
	}
	return 1 + others
}

// endpointRateShare returns this router's share, in requests a second, of an endpoint's rate
// limit for all routers.
func (d *directRouter) endpointRateShare(now time.Time, b endpointrate.Bound) float64 {
	if d.peers == nil {
		return b.PerSecond / peers.AssumedFleetSize // no peers are known
	}
	return d.share.Rate(now, b)
}
