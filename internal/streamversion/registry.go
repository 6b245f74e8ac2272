package streamversion

import (
	"cmp"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"coveferry/internal/age"
	"coveferry/internal/clock"
	"coveferry/internal/directory"
)

// Stream is a stream and where it began.
type Stream struct {
	ID             StreamID
	ServiceVersion ServiceVersion // that began it
}

// Query asks a router where a stream began.
type Query struct {
	// ID is that of the stream; 0 if the caller doesn't name it.
	ID      StreamID
	Service string
	// Window is the time in which the stream can have begun; 0 stands for Config.LongestReturn.
	Window time.Duration
	// Confirm has an answer tell what the list says only once that is known to be the newest as of the
	// question.
	Confirm bool
}

// Answer is a router's answer to a Query.
type Answer struct {
	// ServiceVersion is where the stream began, if Known.
	ServiceVersion ServiceVersion
	Known          bool
	// Only is the version of all endpoints that the service had in the window, if Single.
	Only   string
	Single bool
	// Confirmed reports that the list was known to be the newest as of the question.
	Confirmed bool
}

// Peers reaches the other routers.
type Peers interface {
	// TellStreams tells a few other routers where streams began.
	TellStreams(ctx context.Context, streams []Stream)
	// AskStream asks those routers that would have been told. It returns when one has known the
	// stream, all have answered, or ctx ends.
	AskStream(ctx context.Context, q Query) []Answer
	// TellInterval is how long to wait after so many streams were told until the next ones are. A
	// caller that comes back sooner may find that no other router knows its stream.
	TellInterval(streams int) time.Duration
}

const (
	// idleInterval is the time between two checks of the list's age without other routers.
	idleInterval = 250 * time.Millisecond
	// askTimeout bounds the time for which a resumed stream waits for the answers of other routers,
	// and inferredAskTimeout that where the version follows from the list.
	askTimeout         = 150 * time.Millisecond
	inferredAskTimeout = 30 * time.Millisecond
	// toldWithin is how long after its first event a stream is told, with some slack.
	toldWithin = 300 * time.Millisecond
	// settleTime is how long after its start a router may not know the others yet.
	settleTime = 3 * time.Second
	// defaultKeep is how long streams are kept before the first configuration.
	defaultKeep = time.Minute
	// keepFactor times the longest time that a route or a caller grants a request is how long streams
	// are kept: an attempt may take all of it before its caller comes back.
	keepFactor = 2
)

// Config configures a Registry.
type Config struct {
	// Peers reaches the other routers; nil if there are none.
	Peers Peers
	// ListAge returns how long ago the list of endpoints was known to be the newest. Above
	// MaxListAge nothing is inferred from it.
	ListAge    func() age.Age
	MaxListAge time.Duration
	// Changes returns at once the changes of the list that its source has accepted after a revision; nil
	// if there is no source to ask.
	Changes func(ctx context.Context, after directory.Revision) (directory.Reading, error)
	// ConfirmInterval returns the least time between two calls of Changes; nil for none.
	ConfirmInterval func() time.Duration
	// LongestReturn is the longest time after the beginning of a stream in which its caller may resume it;
	// 0 for DefaultLongestReturn.
	LongestReturn time.Duration
	// Metrics registers the registry's metrics; nil for none.
	Metrics prometheus.Registerer
}

// Registry knows where streams began: those of this router, those that other routers have told it,
// and, from the list of endpoints, those of services that had one version only. It is safe for
// concurrent use.
type Registry struct {
	cfg           Config
	own           table
	told          table
	versions      versionLog
	confirmations confirmations
	// granted is the longest time that the configuration grants a stream, and waited the longest that a
	// caller has said it waits; both time.Duration, 0 if unknown.
	granted, waited atomic.Int64
	startedAt       time.Time
	mu              sync.Mutex
	untold          []Stream
}

// New returns an empty registry.
func New(cfg Config) *Registry {
	cfg.LongestReturn = cmp.Or(cfg.LongestReturn, DefaultLongestReturn)
	r := &Registry{cfg: cfg, startedAt: time.Now()}
	r.versions.longestReturn = cfg.LongestReturn
	r.confirmations.total = newConfirmationCounter(cfg.Metrics)
	if cfg.Metrics != nil {
		cfg.Metrics.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "coveferry_known_streams",
			Help: "Streams of which this router knows the software version that began them.",
		}, func() float64 { return float64(r.own.len() + r.told.len()) }))
	}
	return r
}

// SetLongestTimeout sets the longest timeout of the routes whose streams may be resumed; 0 if unknown.
func (r *Registry) SetLongestTimeout(d time.Duration) { r.granted.Store(int64(d)) }

// RecordCallerTimeout records how long a caller waits in all. It may come back that long.
func (r *Registry) RecordCallerTimeout(d time.Duration) {
	for waited := r.waited.Load(); int64(d) > waited; waited = r.waited.Load() {
		if r.waited.CompareAndSwap(waited, int64(d)) {
			return
		}
	}
}

// keepFor returns for how long streams are kept.
func (r *Registry) keepFor() time.Duration {
	longest := time.Duration(max(r.granted.Load(), r.waited.Load()))
	if longest == 0 {
		return defaultKeep
	}
	return min(keepFactor*longest, r.cfg.LongestReturn)
}

// settledIn returns how long it takes until all other routers can be asked; 0 if they can be.
func (r *Registry) settledIn(now time.Time) time.Duration {
	return max(0, settleTime-now.Sub(r.startedAt))
}

// UpdateList records a new list of endpoints. Streams of a service that has got a second version are
// told to other routers, since these can no longer infer the version.
func (r *Registry) UpdateList(now time.Time, list *directory.Directory) {
	r.tellStreamsOf(r.versions.update(now, list))
}

// RecordVersions records the versions of entries that aren't in the latest list: they come in a later one, or
// were in none that this router got.
func (r *Registry) RecordVersions(now time.Time, entries []directory.Entry) {
	r.tellStreamsOf(r.versions.record(now, entries))
}

// tellStreamsOf has the open streams of services told.
func (r *Registry) tellStreamsOf(services []string) {
	for _, service := range services {
		r.tellLater(r.own.list(service)...)
	}
}

// Begin records where a stream of this router began, and has other routers told if they can't infer it.
func (r *Registry) Begin(now time.Time, id StreamID, o ServiceVersion) {
	r.own.put(now, r.keepFor(), id, o)
	if _, single := r.versions.only(now, o.Service, r.cfg.LongestReturn); !single {
		r.tellLater(Stream{ID: id, ServiceVersion: o})
	}
}

// End forgets a stream that its caller has received to its end.
func (r *Registry) End(id StreamID) { r.own.remove(id) }

// Record records what another router tells of a stream.
func (r *Registry) Record(now time.Time, s Stream) {
	r.told.put(now, r.keepFor(), s.ID, s.ServiceVersion)
}

func (r *Registry) tellLater(streams ...Stream) {
	if r.cfg.Peers == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.untold = append(r.untold, streams...)
}

// Run tells other routers of streams until ctx ends. A router that doesn't answer delays only what is
// told together.
func (r *Registry) Run(ctx context.Context) {
	var calls sync.WaitGroup
	defer calls.Wait()
	told := 0
	for clock.Sleep(ctx, r.tellInterval(told)) {
		r.checkListAge(time.Now())
		streams := r.takeUntold()
		told = len(streams)
		if told > 0 {
			calls.Go(func() { r.cfg.Peers.TellStreams(ctx, streams) })
		}
	}
}

func (r *Registry) tellInterval(told int) time.Duration {
	if r.cfg.Peers == nil {
		return idleInterval
	}
	return r.cfg.Peers.TellInterval(told)
}

// checkListAge has all streams told when the list is no longer up to date: what the versions were
// can't be inferred any more.
func (r *Registry) checkListAge(now time.Time) {
	if !r.cfg.ListAge().Exceeds(r.cfg.MaxListAge) {
		r.versions.regained()
		return
	}
	if r.versions.lost(now) {
		r.tellLater(r.own.list("")...)
	}
}

func (r *Registry) takeUntold() []Stream {
	r.mu.Lock()
	defer r.mu.Unlock()
	streams := r.untold
	r.untold = nil
	return streams
}
