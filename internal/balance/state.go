package balance

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"coveferry/internal/bundle"
	"coveferry/internal/load"
	"coveferry/internal/throttle/window"
)

// shardCount is a power of two well above the number of cores of an entry VM.
const shardCount = 32

// reportShare is the weight of a new report in the smoothed figures.
const reportShare = 0.1

// shard is a part of the endpoints under one lock.
type shard struct {
	mu     sync.Mutex
	states map[string]*state
}

func (p *Pool) shard(endpoint string) *shard {
	return &p.shards[xxhash.Sum64String(endpoint)%shardCount]
}

// state returns the state of an endpoint, a new one if it wasn't known. The
// caller holds the lock.
func (sh *shard) state(endpoint string) *state {
	st, ok := sh.states[endpoint]
	if !ok {
		st = &state{}
		sh.states[endpoint] = st
	}
	return st
}

// state is what the router knows of one endpoint.
type state struct {
	inflight int
	// sends are when this router's requests were sent that the last report
	// lacks, the oldest first.
	sends      []time.Time
	open       [maxRanks]int // requests whose work is known, of each tier
	tight      int           // streams with a tight gap that run
	quietSince time.Time     // nothing was heard since, while requests are open
	heardAt    time.Time     // of a part of an answer to this router
	silentAt   time.Time     // this router found it silent last; zero if never
	toldAt     time.Time     // others found it silent last, and nobody has heard of it since
	recent     recentParts
	prefill    [maxRanks]int // tokens of prompts sent that aren't known to be read
	load       load.Report
	reportedAt time.Time
	heard      bool // the last report came to another router
	firstToken time.Duration
	running    float64 // smoothed over the reports
	drain      float64 // smoothed, requests a second
	leaving    bool
	group      string // of the endpoints that it is compared with
	domain     string // the failure domain
	health     health
	// attempts are this router's of late, nil before the first; avoidUntil is
	// until when the endpoint is avoided because it fails for several routers.
	attempts *window.Ring
	// token is the time between two tokens of streams there, and engines what is
	// known of all endpoints that this one is compared with.
	token      quantile
	engines    *engineSpeeds
	avoidUntil time.Time
	// refusedAt is when the endpoint last refused a request of this router for want of
	// room, and refusedWith how many requests it then had.
	refusedAt   time.Time
	refusedWith int
	bound       bound
	// restartedAt is when this router heard that the process took another one's place;
	// zero if it is the first that is known.
	restartedAt time.Time
}

func (st *state) view(c *bundle.Endpoint, v *View) {
	*v = View{
		Endpoint:      c.Name,
		FailureDomain: c.FailureDomain,
		Inflight:      st.inflight,
		Prefill:       st.prefill,
		Open:          st.open,
		Tight:         st.tight,
		SinceReport:   len(st.sends),
		Load:          st.load,
		ReportedAt:    st.reportedAt,
		FirstToken:    st.firstToken,
		Service:       st.service(),
	}
	if v.Load.Slots == 0 {
		v.Load.Slots = c.Slots
	}
}

func (st *state) sent(now time.Time) {
	if st.inflight == 0 {
		st.quietSince = now
	}
	st.inflight++
	st.noteSend(now)
}

func (st *state) report(now time.Time, r load.Report, hold time.Duration) {
	stale := !st.reportedAt.IsZero() && r.Seq <= st.load.Seq
	if stale && now.Sub(st.reportedAt) < hold {
		return
	}
	st.smooth(r)
	st.health.sample(now)
	st.load = r
	st.reportedAt = now
	st.heard = false
	st.sends = st.sends[:0]
	st.leaving = st.leaving || r.Leaving
}

func (st *state) done(now time.Time, res Result, firstToken time.Duration, share float64) {
	st.inflight = max(st.inflight-1, 0)
	st.sends = st.sends[max(0, len(st.sends)-st.inflight):]
	st.health.result(res)
	st.noteResult(now, res)
	if firstToken <= 0 {
		return
	}
	st.health.sample(now)
	if st.firstToken == 0 {
		st.firstToken = firstToken
		return
	}
	st.firstToken += time.Duration(share * float64(firstToken-st.firstToken))
}

// smooth follows running requests and drain rate, whose ratio is by Little's
// law the time for which a request holds a slot, at any load.
func (st *state) smooth(r load.Report) {
	share := reportShare
	if st.reportedAt.IsZero() {
		share = 1
	}
	st.running += share * (float64(r.TotalRunning()) - st.running)
	st.drain += share * (r.DrainPerSecond - st.drain)
}

func (st *state) service() time.Duration {
	if st.drain <= 0 {
		return 0
	}
	return time.Duration(st.running / st.drain * float64(time.Second))
}

// fullFor is how long an endpoint that had no room counts as full, unless a report of it
// tells otherwise: by then other routers have told of its load.
const fullFor = 250 * time.Millisecond

// full says whether the endpoint had no room just now.
func (st *state) full(now time.Time) bool {
	if st.refusedAt.IsZero() || now.Sub(st.refusedAt) > fullFor {
		return false
	}
	has := st.load.TotalRunning() + st.load.TotalQueued()
	return has >= st.refusedWith
}
