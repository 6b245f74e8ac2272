package wait

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"coveferry/internal/balance"
	"coveferry/internal/bundle"
	"coveferry/internal/waiting"
)

const (
	// capacityAge is how long a reading of the endpoints' state is used for each endpointsPerAge of
	// them. It bounds the time that reading takes to less than a hundredth of a core: an endpoint
	// takes below 1 µs.
	capacityAge     = 10 * time.Millisecond
	endpointsPerAge = 100
	// maxReportAge is the age above which a load report no longer shows that a slot is free:
	// twice the interval at which routers exchange reports.
	maxReportAge = 500 * time.Millisecond
	// recheckInterval is how often the endpoints' state is read while requests wait. Reports of
	// other routers may show a free slot although none of this router's requests ended.
	recheckInterval = 25 * time.Millisecond
)

// service is the state of one service. It is safe for concurrent use.
type service struct {
	filter *Filter
	name   string
	usedAt time.Time // guarded by filter.mu

	reading sync.Mutex // held while the endpoints' state is read; locked before mu

	mu          sync.Mutex
	state       *waiting.Service
	capacity    waiting.Capacity
	endpoints   []*bundle.Endpoint // that capacity was read of
	free        []float64          // free slots by endpoint
	readAgainAt time.Time          // when capacity is too old
	recheck     *time.Timer        // nil if nothing waits
}

// waiter is a request in the queue. verdict receives the reason for refusing it, empty if it may
// be sent.
type waiter struct {
	item    waiting.Item
	verdict chan Reason
}

// refresh reads the endpoints' state if the last reading is too old. It reads without s.mu: other
// requests use the last reading meanwhile, and only the first reading makes them wait for it.
func (s *service) refresh(now time.Time) {
	_, first, due := s.readingDue(now)
	switch {
	case !due:
		return
	case first:
		s.reading.Lock()
	case !s.reading.TryLock():
		return
	}
	defer s.reading.Unlock()
	rate, _, due := s.readingDue(now)
	if !due {
		return // another request has read it
	}
	endpoints, routers := s.filter.cfg.Endpoints(s.name), s.filter.cfg.FleetSize()
	capacity, free := readCapacity(now, s.filter.cfg.Pool, endpoints, rate*float64(routers-1))
	age := capacityAge * time.Duration(1+len(endpoints)/endpointsPerAge)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.capacity, s.readAgainAt = capacity, now.Add(age)
	s.endpoints, s.free = endpoints, free
	s.state.Resize(capacity.Slots, routers)
}

// readingDue reports whether the last reading is too old or this is the first one, and returns the
// rate of arrivals.
func (s *service) readingDue(now time.Time) (rate float64, first, due bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.ArrivalRate(now), s.readAgainAt.IsZero(), !now.Before(s.readAgainAt)
}

// active reports whether requests of the service may have to wait.
func (s *service) active(now time.Time) bool {
	s.refresh(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.capacity.Slots > 0 || s.state.Queue.Len() > 0
}

// sent records that a request is sent. s.mu is held.
func (s *service) sent(now time.Time) {
	s.state.Sent(now)
	s.capacity.Free = max(0, s.capacity.Free-1)
}

func (s *service) sendNow() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent(time.Now())
}

// sendOrAssess records a request as sent if it needn't wait.
func (s *service) sendOrAssess(need waiting.Need) waiting.Assessment {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.state.Arrived(now)
	a := s.state.Assess(now, need, s.capacity)
	if !a.MustWait {
		s.sent(now)
	}
	return a
}

func (s *service) assess(need waiting.Need) waiting.Assessment {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.AssessWaiting(time.Now(), need)
}

// wait queues a request until it may be sent, has to be refused or ctx ends.
func (s *service) wait(ctx context.Context, need waiting.Need, outlook waiting.Assessment, bytes int) (Reason, error) {
	w := &waiter{verdict: make(chan Reason, 1)}
	w.item = waiting.Item{Order: need.Order, LatestStart: outlook.LatestStart, Bytes: bytes, Value: w}
	s.push(w)
	tooLate := time.NewTimer(time.Until(outlook.LatestStart))
	defer tooLate.Stop()
	var verdict Reason
	select {
	case verdict = <-w.verdict:
	case <-tooLate.C:
		verdict = s.withdraw(w)
	case <-s.filter.cfg.Stopping:
		verdict = s.withdraw(w)
	case <-ctx.Done():
		verdict = s.withdraw(w)
	}
	reason, err := s.conclude(ctx, verdict)
	if verdict == "" && (reason != "" || err != nil) {
		s.end(waiting.Result{}, nil) // it was counted as sent
	}
	return reason, err
}

// withdraw takes a request out of the queue as late and returns its verdict. It may have got another
// one at the same moment.
func (s *service) withdraw(w *waiter) Reason {
	if s.leave(w) {
		return ReasonLate
	}
	return <-w.verdict
}

// conclude returns why a request isn't sent, the error of a caller that left, or neither if the
// request is to be sent.
func (s *service) conclude(ctx context.Context, verdict Reason) (Reason, error) {
	switch {
	case s.filter.stopping():
		return ReasonStopping, nil
	case errors.Is(ctx.Err(), context.Canceled):
		return "", ctx.Err()
	case ctx.Err() != nil && verdict == "":
		return ReasonLate, nil
	}
	return verdict, nil
}

func (s *service) push(w *waiter) {
	s.refresh(time.Now())
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, evicted := range s.state.Queue.Push(&w.item) {
		evicted.Value.(*waiter).verdict <- ReasonFull
	}
	s.sendWaiting(time.Now()) // a place may have become free since the request was assessed
}

// freeElsewhere returns the free slots of other endpoints than one that refused a request, which may
// state that it has some. s.mu is held.
func (s *service) freeElsewhere(refusing *bundle.Endpoint) int {
	free := 0.0
	for i, e := range s.endpoints {
		if refusing == nil || e.Name != refusing.Name {
			free += s.free[i]
		}
	}
	return min(s.capacity.Free, int(free))
}

// leave takes a request out of the queue and reports whether it was still there.
func (s *service) leave(w *waiter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Queue.Remove(&w.item)
}

// end records the end of an attempt at an endpoint, nil if there was none, and sends the next
// requests.
func (s *service) end(r waiting.Result, at *bundle.Endpoint) {
	now := time.Now()
	s.refresh(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.capacity
	if r.Full {
		c.Free = s.freeElsewhere(at)
	}
	s.state.Ended(now, r, c)
	s.sendWaiting(now)
}

// sendWaiting sends waiting requests while there is room, and refuses all at a stop. s.mu is
// held.
func (s *service) sendWaiting(now time.Time) {
	for s.filter.stopping() && s.state.Queue.Len() > 0 {
		s.state.Queue.Pop().Value.(*waiter).verdict <- ReasonStopping
	}
	for {
		next, late := s.state.Next(now, s.capacity)
		if next == nil {
			break
		}
		if late {
			next.Value.(*waiter).verdict <- ReasonLate
			continue
		}
		s.sent(now)
		next.Value.(*waiter).verdict <- ""
	}
	if s.state.Queue.Len() > 0 && s.recheck == nil {
		s.recheck = time.AfterFunc(recheckInterval, s.checkAgain)
	}
}

func (s *service) checkAgain() {
	now := time.Now()
	s.refresh(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recheck = nil
	s.sendWaiting(now)
}

func (s *service) refuse(need waiting.Need, random float64) waiting.Return {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Refuse(time.Now(), need, random)
}

func (s *service) remember(identity uint64, after time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.state.Promises.Remember(now, identity, now.Add(after))
}

func (s *service) recognizesReturns() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Promises.Remembered() > 0
}

func (s *service) returned(identity uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Promises.Returned(time.Now(), identity)
}

func (s *service) idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Inflight == 0 && s.state.Queue.Len() == 0
}

// readCapacity sums up what is known of the endpoints that may get requests. others is the rate at
// which other routers send requests to the service; they see the same free slots, so that a slot
// that was free some time ago isn't any more. The slots that an endpoint states whose refusals contradict
// its load don't count as free. If a usable endpoint states no slots, it isn't known
// whether there is capacity, and nothing waits.
func readCapacity(now time.Time, pool *balance.Pool, endpoints []*bundle.Endpoint, others float64) (c waiting.Capacity, free []float64) {
	total := 0.0
	free = make([]float64, len(endpoints))
	othersPerEndpoint := others / float64(max(len(endpoints), 1))
	for i, v := range pool.Views(now, endpoints) {
		if v.Weight <= 0 || v.Suspect || v.Load.Leaving || !pool.InService(v.Endpoint) {
			continue
		}
		if v.Load.Slots == 0 {
			return waiting.Capacity{}, free
		}
		c.Slots += v.Load.Slots
		if v.ReportedAt.IsZero() || now.Sub(v.ReportedAt) > maxReportAge {
			continue
		}
		queued := v.Load.TotalQueued()
		c.Reported = true
		c.Queued = c.Queued || queued > 0
		if !v.Full && !v.Distrusted {
			unreported := float64(v.OwnUnreported) + othersPerEndpoint*now.Sub(v.ReportedAt).Seconds()
			free[i] = max(0, float64(v.Load.Slots-v.Load.TotalRunning()-queued)-unreported)
			total += free[i]
		}
	}
	c.Free = int(total)
	return c, free
}
