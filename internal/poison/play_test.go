package poison

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	playStep = 10 * time.Millisecond
	// playExchange is the time between two exchanges of a router with the reader that passes
	// all updates on.
	playExchange = 250 * time.Millisecond
	playWindow   = time.Second
	// playRestart is the time from an endpoint's crash to its replacement.
	playRestart = 4 * time.Second
	// playCrashDelay is the time from the start of a request to the crash that it causes.
	playCrashDelay = 300 * time.Millisecond
	// playPrefill is the time from the start of a sound request to its first event.
	playPrefill = 150 * time.Millisecond
	// playDrain is longer than any request.
	playDrain = 10 * time.Second
	// playCheckDelay is the time from a broken connection to the check of the endpoint's health.
	playCheckDelay = 600 * time.Millisecond
	// lossesBeforeBound and timeToKnow bound when all routers must know a part.
	lossesBeforeBound = 5
	timeToKnow        = 3 * time.Second
	deadlyPart        = 0xdead
	// maxRefusedShare is the share of sound requests that may be refused while endpoints reset
	// connections.
	maxRefusedShare = 0.05
)

// play is a fleet whose requests share parts of their prompts, without a network.
type play struct {
	rnd       *rand.Rand
	now       time.Time
	tables    []*Table
	endpoints []*playEndpoint
	nextID    int
	// decoys is the number of sound parts that all deadly requests hold and no others do.
	decoys int

	crashedAt              []time.Time
	deadlySentAt           []time.Time
	soundSent, soundServed int
	soundRefused           int
	quarantinedParts       map[uint64]bool
}

type playEndpoint struct {
	name    string
	upAt    time.Time
	running []playRequest
	// resets is the share of requests whose connections it resets while it stays alive.
	resets float64
	// checks are the health checks under way.
	checks []playCheck
}

// playCheck is a router's health check of an endpoint that broke a connection.
type playCheck struct {
	router         int
	sent, answered time.Time
}

type playRequest struct {
	router int
	req    Request
	sent   time.Time
	ends   time.Time
	deadly bool
}

func newPlay(seed uint64, routers int) *play {
	p := &play{rnd: rand.New(rand.NewPCG(seed, uint64(routers))), now: time.Unix(1000, 0), quarantinedParts: make(map[uint64]bool)}
	for i := range routers {
		p.tables = append(p.tables, NewTable(Config{
			Router: fmt.Sprint("r", i), FleetSize: func() int { return routers }, Clock: func() time.Time { return p.now },
			OnEvent: func(e Event) {
				if e.Quarantined && e.Part != 0 {
					p.quarantinedParts[e.Part] = true
				}
				if e.Quarantined && e.Local {
					p.checkAtOnce(i, e.Endpoints)
				}
			},
		}))
	}
	for i := range max(12, 2*routers) {
		p.endpoints = append(p.endpoints, &playEndpoint{name: fmt.Sprint("e", i)})
	}
	return p
}

// run plays a time with requests a second of each kind, over the whole fleet.
func (p *play) run(length time.Duration, sound, deadly float64) {
	for end := p.now.Add(length); p.now.Before(end); p.now = p.now.Add(playStep) {
		for range p.arrivals(sound) {
			p.send(false)
		}
		for range p.arrivals(deadly) {
			p.send(true)
		}
		for _, e := range p.endpoints {
			p.advance(e)
			p.answerChecks(e)
		}
		p.exchange()
	}
}

func (p *play) arrivals(perSecond float64) int {
	mean := perSecond * playStep.Seconds()
	n := int(mean)
	if p.rnd.Float64() < mean-float64(n) {
		n++
	}
	return n
}

// parts returns the shared parts of a request: one of four first parts, one of 200 sessions.
func (p *play) parts(deadly bool) []uint64 {
	parts := []uint64{1 + p.rnd.Uint64N(4), 100 + p.rnd.Uint64N(200)}
	if !deadly {
		return parts
	}
	for i := range p.decoys {
		parts = append(parts, 1000+uint64(i))
	}
	return append(parts, deadlyPart)
}

func (p *play) send(deadly bool) {
	p.nextID++
	r := playRequest{
		router: p.rnd.IntN(len(p.tables)), sent: p.now, deadly: deadly,
		req: Request{Service: "s", Content: Identity(p.nextID), Parts: p.parts(deadly)},
	}
	if !deadly {
		p.soundSent++
	}
	if p.tables[r.router].Check(r.req).Refused {
		if !deadly {
			p.soundRefused++
		}
		return
	}
	e := p.pick()
	if e == nil {
		return
	}
	if p.rnd.Float64() < e.resets {
		p.reset(e, r)
		return
	}
	r.ends = p.now.Add(200*time.Millisecond + time.Duration(p.rnd.ExpFloat64()*float64(500*time.Millisecond)))
	if deadly {
		r.ends = p.now.Add(playCrashDelay)
		p.deadlySentAt = append(p.deadlySentAt, p.now)
	}
	e.running = append(e.running, r)
}

// checkAtOnce has a router check the health of endpoints that seem to have crashed under a request.
func (p *play) checkAtOnce(router int, names []string) {
	for _, e := range p.endpoints {
		if slices.Contains(names, e.name) && !p.now.Before(e.upAt) {
			e.checks = append(e.checks, playCheck{router: router, sent: p.now.Add(playStep), answered: p.now.Add(2 * playStep)})
		}
	}
}

// reset breaks the connection of a request, whose router then checks the endpoint's health.
func (p *play) reset(e *playEndpoint, r playRequest) {
	p.tables[r.router].RecordLoss(r.req, Loss{Endpoint: e.name, Sent: r.sent, At: p.now.Add(playStep), Early: true})
	sent := p.now.Add(playCheckDelay)
	e.checks = append(e.checks, playCheck{router: r.router, sent: sent, answered: sent.Add(playStep)})
}

// answerChecks has an endpoint answer the health checks that are due.
func (p *play) answerChecks(e *playEndpoint) {
	e.checks = slices.DeleteFunc(e.checks, func(c playCheck) bool {
		if p.now.Before(c.answered) {
			return false
		}
		p.tables[c.router].RecordResponse(e.name, c.sent)
		return true
	})
}

// pick returns an endpoint that is up, nil if there is none.
func (p *play) pick() *playEndpoint {
	for range 20 {
		if e := p.endpoints[p.rnd.IntN(len(p.endpoints))]; !p.now.Before(e.upAt) {
			return e
		}
	}
	return nil
}

// advance ends what is due at an endpoint.
func (p *play) advance(e *playEndpoint) {
	left := e.running[:0]
	for i, r := range e.running {
		switch {
		case p.now.Before(r.ends):
			left = append(left, r)
		case r.deadly:
			p.crash(e, append(left, e.running[i:]...))
			return
		default:
			p.soundServed++
			p.tables[r.router].RecordCompletion(r.req)
			p.tables[r.router].RecordResponse(e.name, r.sent)
		}
	}
	e.running = left
}

// crash ends an endpoint with all that runs there.
func (p *play) crash(e *playEndpoint, running []playRequest) {
	p.crashedAt = append(p.crashedAt, p.now)
	for _, r := range running {
		streamed := max(0, p.now.Sub(r.sent)-playPrefill)
		if r.deadly {
			streamed = 0
		}
		p.tables[r.router].RecordLoss(r.req, Loss{Endpoint: e.name, Sent: r.sent, At: p.now, Early: streamed == 0, Streamed: streamed})
	}
	e.running = nil
	p.nextID++
	e.name, e.upAt = fmt.Sprint("e", p.nextID), p.now.Add(playRestart)
}

// exchange has the routers that are due exchange updates with the first one, the reader.
func (p *play) exchange() {
	slots := int(playExchange / playStep)
	slot := int(p.now.UnixNano()/int64(playStep)) % slots
	for i := 1; i < len(p.tables); i++ {
		if i%slots != slot {
			continue
		}
		reader, router := p.tables[0], p.tables[i]
		reader.Apply(p.now, router.UpdateFor(reader.UpdateFor(0, 0).Digest(), playWindow))
		router.Apply(p.now, reader.UpdateFor(router.UpdateFor(0, 0).Digest(), playWindow))
	}
}

// deadlyAfterBound returns the number of deadly requests that reached endpoints although all
// routers had the time to know.
func (p *play) deadlyAfterBound() int {
	if len(p.crashedAt) < lossesBeforeBound {
		return 0
	}
	bound := p.crashedAt[lossesBeforeBound-1].Add(timeToKnow)
	n := 0
	for _, at := range p.deadlySentAt {
		if at.After(bound) {
			n++
		}
	}
	return n
}

// restart forgets what was counted of sound requests, and ends those that are running.
func (p *play) restart() {
	p.run(playDrain, 0, 0)
	p.soundSent, p.soundServed, p.soundRefused = 0, 0, 0
}

func (p *play) soundShare() float64 { return float64(p.soundServed) / float64(p.soundSent) }

// Guards against requests that share one part of their prompts and crash all endpoints that run them.
func TestPartThatCrashesEndpointsIsKnownToTheFleet(t *testing.T) {
	for _, c := range []struct {
		routers, decoys int
		deadly          float64 // requests a second
	}{
		{3, 0, 2}, {3, 1, 2}, {3, 4, 2}, {3, 11, 2}, {3, 0, 20},
		{12, 0, 2}, {12, 11, 20},
		{31, 0, 2}, {31, 1, 2}, {31, 4, 2}, {31, 11, 2}, {31, 0, 20},
		{103, 0, 2}, {103, 11, 20},
	} {
		testPartOfFleet(t, c.routers, c.decoys, c.deadly)
	}
}

func testPartOfFleet(t *testing.T, routers, decoys int, deadly float64) {
	g := NewWithT(t)
	p := newPlay(1, routers)
	p.decoys = decoys
	sound := 10 * float64(routers)
	p.run(time.Second, sound, 0)
	p.run(10*time.Second, sound, deadly)
	refusedMeanwhile := p.soundRefused
	p.restart()
	p.run(30*time.Second, sound, deadly)
	p.run(playDrain, 0, 0)
	t.Logf("%d routers, %d decoys, %g deadly a second: %d endpoints lost, %d deadly requests after the bound, sound ones refused %d, then %d, served then %.3f",
		routers, decoys, deadly, len(p.crashedAt), p.deadlyAfterBound(), refusedMeanwhile, p.soundRefused, p.soundShare())
	g.Expect(p.deadlyAfterBound()).To(BeZero())
	g.Expect(p.soundRefused).To(BeZero())
	g.Expect(p.soundShare()).To(BeNumerically(">=", 0.95))
}

// Guards against holding back what all requests share where endpoints crash for other reasons.
func TestPartsAreNotQuarantinedWhereEndpointsCrashByThemselves(t *testing.T) {
	for routers, seeds := range map[int]uint64{3: 5, 12: 5, 31: 5, 103: 2} {
		for seed := range seeds {
			g := NewWithT(t)
			p := newPlay(seed, routers)
			for i := range 20 {
				p.run(2*time.Second, 10*float64(routers), 0)
				lost := 1
				if i%5 == 4 {
					lost = len(p.endpoints) / 3 // a failure domain
				}
				p.rnd.Shuffle(len(p.endpoints), func(i, j int) { p.endpoints[i], p.endpoints[j] = p.endpoints[j], p.endpoints[i] })
				for _, e := range p.endpoints[:lost] {
					p.crash(e, e.running)
				}
			}
			t.Logf("%d routers, seed %d: %d endpoints lost, %d parts quarantined, %d of %d requests refused",
				routers, seed, len(p.crashedAt), len(p.quarantinedParts), p.soundRefused, p.soundSent)
			g.Expect(p.quarantinedParts).To(BeEmpty())
			g.Expect(p.soundRefused).To(BeZero())
		}
	}
}

// Guards against holding back what all requests share while endpoints reset most connections and stay
// alive.
func TestPartsAreNotQuarantinedWhereEndpointsResetConnections(t *testing.T) {
	for _, routers := range []int{3, 12, 31, 103} {
		for _, share := range []float64{0.3, 0.9} {
			t.Run(fmt.Sprintf("%d routers, %g", routers, share), func(t *testing.T) { testResettingEndpoints(t, routers, share) })
		}
	}
}

func testResettingEndpoints(t *testing.T, routers int, share float64) {
	g := NewWithT(t)
	p := newPlay(1, routers)
	sound := 10 * float64(routers)
	p.run(5*time.Second, sound, 0)
	for _, e := range p.endpoints[:len(p.endpoints)*7/10] {
		e.resets = share
	}
	p.run(10*time.Second, sound, 0)
	refused, sent := p.soundRefused, p.soundSent
	for _, e := range p.endpoints {
		e.resets = 0
	}
	p.run(time.Second, sound, 0)
	refusedSoonAfter := p.soundRefused - refused
	p.run(10*time.Second, sound, 0)
	refusedLater := p.soundRefused - refused - refusedSoonAfter
	t.Logf("%d of %d refused, %d in the second after it, %d later", refused, sent, refusedSoonAfter, refusedLater)
	g.Expect(refused).To(BeNumerically("<=", maxRefusedShare*float64(sent)))
	g.Expect(refusedLater).To(BeZero())
}
