package limits

import (
	"sync"
	"time"

	"coveferry/internal/bundle"
	"coveferry/internal/credit"
)

// ownedLimits holds the limits that this router owns.
type ownedLimits [shardCount]ownerShard

type ownerShard struct {
	mu    sync.Mutex
	teams map[string]*teamOwner
}

// teamOwner issues the credits and permits of one team. A limit that isn't set
// is nil.
type teamOwner struct {
	requests *credit.Owner
	tokens   *credit.Owner
	permits  *credit.PermitOwner
}

func (o *ownedLimits) init() {
	for i := range o {
		o[i].teams = make(map[string]*teamOwner)
	}
}

// update adds, changes and removes owners. They are created with the bundle and
// not on the first request, so that the time in which a new owner grants nothing
// passes before they are needed.
func (o *ownedLimits) update(now time.Time, t *topology) {
	for i := range o {
		o[i].removeUnowned(t)
	}
	for team, limits := range t.teams {
		if t.owners[team] == t.self {
			o[shardOf(team)].update(now, t, team, limits)
		}
	}
}

func (sh *ownerShard) removeUnowned(t *topology) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for team := range sh.teams {
		if t.owners[team] != t.self {
			delete(sh.teams, team)
		}
	}
}

func (sh *ownerShard) update(now time.Time, t *topology, team string, limits bundle.TeamLimits) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	o := sh.teams[team]
	if o == nil {
		o = &teamOwner{}
		sh.teams[team] = o
	}
	o.requests = updateRate(now, t, o.requests, limits.RequestsPerSecond)
	o.tokens = updateRate(now, t, o.tokens, limits.TokensPerSecond)
	o.updatePermits(now, t, limits.Concurrency)
}

func updateRate(now time.Time, t *topology, o *credit.Owner, perSecond float64) *credit.Owner {
	switch {
	case perSecond <= 0:
		return nil
	case o == nil:
		return credit.NewOwner(now, t.creditConfig(perSecond))
	}
	o.SetRate(now, perSecond)
	return o
}

func (o *teamOwner) updatePermits(now time.Time, t *topology, limit int) {
	switch {
	case limit == 0:
		o.permits = nil
	case o.permits == nil:
		o.permits = credit.NewPermitOwner(now, t.permitConfig(limit))
	default:
		o.permits.SetLimit(limit)
	}
}

// reachability is the number of routers that an owner reaches and of all
// routers.
type reachability struct{ reachable, total int }

// grant answers the requests of a holder. Teams whose limits this router doesn't
// own are left out, so that the holder continues as if the owner didn't answer.
func (o *ownedLimits) grant(now time.Time, holder string, requests LeaseRequests, r reachability) Grants {
	var out Grants
	for _, req := range requests.Teams {
		sh := &o[shardOf(req.Team)]
		if g, ok := sh.grant(now, holder, req, r); ok {
			out.Teams = append(out.Teams, g)
		}
	}
	return out
}

func (sh *ownerShard) grant(now time.Time, holder string, req TeamRequest, r reachability) (TeamGrant, bool) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	o := sh.teams[req.Team]
	if o == nil {
		return TeamGrant{}, false
	}
	g := TeamGrant{Team: req.Team}
	g.Requests = grantRate(now, o.requests, holder, req.Requests, r)
	g.Tokens = grantRate(now, o.tokens, holder, req.Tokens, r)
	if o.permits != nil && req.Permits != nil {
		o.permits.SetReachable(r.reachable, r.total)
		grant := o.permits.Grant(now, req.Permits.toCredit(holder))
		g.Permits = &PermitGrant{Seq: grant.Seq, Quota: grant.Quota}
	}
	return g, true
}

func grantRate(now time.Time, o *credit.Owner, holder string, req *RateRequest, r reachability) *RateGrant {
	if o == nil || req == nil {
		return nil
	}
	o.SetReachable(now, r.reachable, r.total)
	grant := o.Grant(now, req.toCredit(holder))
	return &RateGrant{Seq: grant.Seq, Amount: grant.Amount}
}
