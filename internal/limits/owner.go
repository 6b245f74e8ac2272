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
	requests *credit.Home
	tokens   *credit.Home
	permits  *credit.PermitOwner
}

func (h *ownedLimits) init() {
	for i := range h {
		h[i].teams = make(map[string]*teamOwner)
	}
}

// update adds, changes and removes owners. They are created with the bundle and
// not on the first request, so that the time in which a new owner grants nothing
// passes before they are needed.
func (h *ownedLimits) update(now time.Time, t *topology) {
	for i := range h {
		h[i].removeUnowned(t)
	}
	for team, limits := range t.teams {
		if t.owners[team] == t.self {
			h[shardOf(team)].update(now, t, team, limits)
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
	h := sh.teams[team]
	if h == nil {
		h = &teamOwner{}
		sh.teams[team] = h
	}
	h.requests = updateRate(now, t, h.requests, limits.RequestsPerSecond)
	h.tokens = updateRate(now, t, h.tokens, limits.TokensPerSecond)
	h.updatePermits(now, t, limits.Concurrency)
}

func updateRate(now time.Time, t *topology, h *credit.Home, perSecond float64) *credit.Home {
	switch {
	case perSecond <= 0:
		return nil
	case h == nil:
		return credit.NewHome(now, t.creditConfig(perSecond))
	}
	h.SetRate(now, perSecond)
	return h
}

func (h *teamOwner) updatePermits(now time.Time, t *topology, limit int) {
	switch {
	case limit == 0:
		h.permits = nil
	case h.permits == nil:
		h.permits = credit.NewPermitOwner(now, t.permitConfig(limit))
	default:
		h.permits.SetLimit(limit)
	}
}

// reachability is the number of routers that an owner reaches and of all
// routers.
type reachability struct{ reachable, total int }

// grant answers the requests of a holder. Teams whose limits this router doesn't
// own are left out, so that the holder continues as if the owner didn't answer.
func (h *ownedLimits) grant(now time.Time, holder string, requests LeaseRequests, r reachability) Grants {
	var out Grants
	for _, a := range requests.Teams {
		sh := &h[shardOf(a.Team)]
		if g, ok := sh.grant(now, holder, a, r); ok {
			out.Teams = append(out.Teams, g)
		}
	}
	return out
}

func (sh *ownerShard) grant(now time.Time, holder string, a TeamRequest, r reachability) (TeamGrant, bool) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	h := sh.teams[a.Team]
	if h == nil {
		return TeamGrant{}, false
	}
	g := TeamGrant{Team: a.Team}
	g.Requests = grantRate(now, h.requests, holder, a.Requests, r)
	g.Tokens = grantRate(now, h.tokens, holder, a.Tokens, r)
	if h.permits != nil && a.Permits != nil {
		h.permits.SetReach(r.reachable, r.total)
		grant := h.permits.Grant(now, a.Permits.toCredit(holder))
		g.Permits = &PermitGrant{Seq: grant.Seq, Quota: grant.Quota}
	}
	return g, true
}

func grantRate(now time.Time, h *credit.Home, holder string, a *RateRequest, r reachability) *RateGrant {
	if h == nil || a == nil {
		return nil
	}
	h.SetReach(now, r.reachable, r.total)
	grant := h.Ask(now, a.toCredit(holder))
	return &RateGrant{Seq: grant.Seq, Amount: grant.Amount}
}
