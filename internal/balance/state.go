package balance

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"coveferry/internal/bundle"
	"coveferry/internal/load"
	"coveferry/internal/pace"
	"coveferry/internal/refusals"
	"coveferry/internal/throttle/window"
)

// shardCount is a power of two well above the number of cores of a router VM.
const shardCount = 32

// reportSmoothing is the weight of a new report in the moving averages.
const reportSmoothing = 0.1

// shard holds the endpoints that share a lock.
type shard struct {
	mu     sync.Mutex
	states map[string]*state
}

func (p *Pool) shard(endpoint string) *shard {
	return &p.shards[xxhash.Sum64String(endpoint)%shardCount]
}

// state returns the state of an endpoint and creates it if needed. The caller holds the lock.
func (sh *shard) state(endpoint string) *state {
	st, ok := sh.states[endpoint]
	if !ok {
		st = &state{}
		sh.states[endpoint] = st
	}
	return st
}

// state is the router's state of one endpoint.
type state struct {
	inflight int
	// unreportedSends are the send times, oldest first, of this router's requests that the last
	// report doesn't include.
	unreportedSends          []time.Time
	inflightByTier           [maxTiers]int // tracked requests by tier
	tightGapStreams          int           // running streams with a tight gap limit
	waitingSince             time.Time     // start of the current wait for a response while requests are inflight
	lastResponseAt           time.Time     // of any part of a response to this router
	foundUnresponsiveAt      time.Time     // when this router last found it unresponsive; zero if never
	peersFoundUnresponsiveAt time.Time     // when other routers last found it unresponsive and none has had a response since
	lostAnswerAt             time.Time     // when a request of this router last got no answer; zero if never
	peersLostAnswerAt        time.Time     // when other routers last reported the same; zero if never
	cachedParts              recentParts
	pendingPrefill           [maxTiers]int // prompt tokens sent, by tier, that may not be prefilled yet
	load                     load.Report
	reportedAt               time.Time
	reportFromPeer           bool // the last report was received from another router
	firstToken               time.Duration
	avgRunning               float64 // moving average of running requests
	avgDrainRate             float64 // moving average in requests a second
	leaving                  bool
	group                    string // endpoint group for outlier detection and speed estimates
	domain                   string
	health                   health
	// attempts holds this router's recent attempts, nil before the first. The endpoint is avoided
	// until avoidUntil because it fails for several routers.
	attempts *window.Ring
	// outputToken estimates the seconds per output token at this endpoint, and speeds holds the
	// estimates of its group.
	outputToken quantile
	speeds      *engineSpeeds
	pace        pace.Estimator // of the endpoint's stated percentages
	// paceCheckedAt is when this router last asked the endpoint for its pace.
	paceCheckedAt time.Time
	avoidUntil    time.Time
	// refusedAt is when the endpoint last refused a request of this router for lack of capacity,
	// and requestsAtRefusal the number of requests it had then.
	refusedAt         time.Time
	requestsAtRefusal int
	rateState         rateState
	backoff           *backoff  // nil if neither this router nor a peer was asked to back off
	acceptedSentAt    time.Time // when the latest accepted request was sent
	// restartedAt is when this router learned that the endpoint's process was replaced; zero if
	// it hasn't been.
	restartedAt time.Time
	servedAt    time.Time          // when it last served a request of this router or began to
	refusals    *refusals.Evidence // nil unless its refusals contradicted its load lately
}

func (st *state) fillView(c *bundle.Endpoint, v *View) {
	*v = View{
		Endpoint:         c.Name,
		FailureDomain:    c.FailureDomain,
		Version:          c.Version,
		Inflight:         st.inflight,
		PendingPrefill:   st.pendingPrefill,
		InflightByTier:   st.inflightByTier,
		TightGapStreams:  st.tightGapStreams,
		OwnUnreported:    len(st.unreportedSends),
		Load:             st.load,
		ReportedAt:       st.reportedAt,
		TimeToFirstToken: st.firstToken,
		SlotTime:         st.slotTime(),
	}
	if v.Load.Slots == 0 {
		v.Load.Slots = c.Slots
	}
}

func (st *state) recordSent(now time.Time) {
	if st.inflight == 0 {
		st.waitingSince = now
	}
	st.inflight++
	st.recordSend(now)
}

// recordReport records a load report and reports whether it changed the class of the endpoint's pace.
func (st *state) recordReport(now time.Time, r load.Report, hold time.Duration) (paceChanged bool) {
	stale := !st.reportedAt.IsZero() && r.Seq <= st.load.Seq
	if stale && now.Sub(st.reportedAt) < hold {
		return false
	}
	st.updateAverages(r)
	paceChanged = st.pace.Add(now, r.WorkPercent)
	st.health.recordSample(now)
	st.load = r
	st.reportedAt = now
	st.reportFromPeer = false
	st.unreportedSends = st.unreportedSends[:0]
	st.leaving = st.leaving || r.Leaving
	return paceChanged
}

func (st *state) recordDone(now time.Time, res Result, firstToken time.Duration, smoothing float64) {
	st.inflight = max(st.inflight-1, 0)
	st.unreportedSends = st.unreportedSends[max(0, len(st.unreportedSends)-st.inflight):]
	st.health.recordResult(res)
	st.recordResult(now, res)
	if firstToken <= 0 {
		return
	}
	st.health.recordSample(now)
	if st.firstToken == 0 {
		st.firstToken = firstToken
		return
	}
	st.firstToken += time.Duration(smoothing * float64(firstToken-st.firstToken))
}

// updateAverages averages the running requests and the drain rate. By Little's law their ratio is
// the time for which a request holds a slot, at any load.
func (st *state) updateAverages(r load.Report) {
	smoothing := reportSmoothing
	if st.reportedAt.IsZero() {
		smoothing = 1
	}
	st.avgRunning += smoothing * (float64(r.TotalRunning()) - st.avgRunning)
	st.avgDrainRate += smoothing * (r.DrainPerSecond - st.avgDrainRate)
}

func (st *state) slotTime() time.Duration {
	if st.avgDrainRate <= 0 {
		return 0
	}
	return time.Duration(st.avgRunning / st.avgDrainRate * float64(time.Second))
}

// fullRetention is how long an endpoint counts as full after it refused a request, unless a
// report shows fewer requests. After that time other routers have reported its load.
const fullRetention = 250 * time.Millisecond

// full reports whether the endpoint recently refused a request and has no fewer requests since.
func (st *state) full(now time.Time) bool {
	if st.refusedAt.IsZero() || now.Sub(st.refusedAt) > fullRetention {
		return false
	}
	requests := st.load.TotalRunning() + st.load.TotalQueued()
	return requests >= st.requestsAtRefusal
}
