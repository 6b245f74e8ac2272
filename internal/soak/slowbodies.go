package soak

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// HasSlowBodies reports whether callers send some bodies slowly, keys move between teams and all
// routers are killed at once in the runs of a seed: every second block of 512000 seeds.
func HasSlowBodies(seed uint64) bool { return seed/512000%2 == 1 }

const (
	// slowBodyChance is the probability that a body is sent slowly, in up to longestBody.
	slowBodyChance = 0.5
	longestBody    = 3 * time.Second
	// meanKillAllGap is the mean time between two kills of all routers, and meanMoveGap that between
	// two moves of a key.
	meanKillAllGap = 6 * time.Second
	meanMoveGap    = 3 * time.Second
	// revokingOutage is how long the store answers nobody, from the start of the faults, while keys are
	// revoked that callers go on using.
	revokingOutage      = 8 * time.Second
	keysRevokedInOutage = 4
	// longestDown is how long all routers are down after a kill.
	longestDown = time.Second
	// heirTeam is the team that keys move to.
	heirTeam = "heir"
)

// slowBodies uses its own random source, like growth.
func slowBodies(seed uint64, end time.Duration) []Fault {
	rnd := rand.New(rand.NewPCG(seed, 9))
	plan := []Fault{
		{At: faultFreeStart, Kind: StoreFault, NetFault: NetFaultReset, Duration: min(revokingOutage, end-faultFreeStart)},
	}
	for range keysRevokedInOutage {
		plan = append(plan, Fault{At: faultFreeStart + unobservedRevokeDelay, Kind: KeyRevoked})
	}
	// Not before the bodies of the outage have come: a router that has just started has no state, and
	// so none that is outdated.
	for at := faultFreeStart + revokingOutage + longestBody; at < end; at += time.Duration(rnd.ExpFloat64() * float64(meanKillAllGap)) {
		plan = append(plan, Fault{At: at, Kind: RoutersKill, Duration: min(randomDuration(rnd, longestDown), end-at)})
	}
	for at := faultFreeStart; at < end; at += time.Duration(rnd.ExpFloat64() * float64(meanMoveGap)) {
		plan = append(plan, Fault{At: at, Kind: KeyMoved})
	}
	return plan
}

// slowBody is a body of which a half comes later than the rest.
type slowBody struct {
	rest  io.Reader
	half  int64
	pause time.Duration
}

// slowDown has the request's body sent slowly, in chunks.
func slowDown(req *http.Request, duration time.Duration) {
	req.Body = io.NopCloser(&slowBody{rest: req.Body, half: req.ContentLength / 2, pause: duration})
	req.ContentLength, req.GetBody = -1, nil
}

// Read implements io.Reader.
func (b *slowBody) Read(p []byte) (int, error) {
	if b.half > 0 {
		n, err := b.rest.Read(p[:min(int64(len(p)), b.half)])
		b.half -= int64(n)
		return n, err
	}
	time.Sleep(b.pause)
	b.pause = 0
	return b.rest.Read(p)
}

// Move is the move of a key to another team.
type Move struct {
	At   time.Time
	Team string
}

// move gives the key that is revoked next to the heir team and returns it, or "" if there is none.
func (k *keyring) move() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, key := range k.valid[1:] {
		if !k.moved[key] {
			k.moved[key] = true
			return key
		}
	}
	return ""
}

// moveKey moves a key to another team and records the time just before the store gets the change.
func (r *run) moveKey() {
	key := r.keys.move()
	if key == "" {
		return
	}
	r.mu.Lock()
	r.observed.Moved[key] = Move{At: time.Now(), Team: heirTeam}
	r.mu.Unlock()
	r.publish()
}

// killRouters kills all routers at once and starts them again together.
func (r *run) killRouters(ctx context.Context, f Fault) {
	var all sync.WaitGroup
	for _, p := range r.routers {
		all.Go(func() { r.killRouter(ctx, p, f.Duration) })
	}
	all.Wait()
}

// mayRunFor reports whether a request may run for a team: that which held its key when it was sent,
// at most as long ago as a revoked key may work, or that which held it while it was under way.
func (c *checker) mayRunFor(call Call, team string) bool {
	move, moved := c.observed.Moved[call.Key]
	if !moved || call.End.Before(move.At) {
		return team == call.Team
	}
	outdated := c.bounds.Revoke > 0 && call.Sent.Sub(move.At) > c.bounds.Revoke+c.bounds.Slack
	return team == move.Team || team == call.Team && !outdated
}
