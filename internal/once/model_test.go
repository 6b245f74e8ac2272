package once

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

const simTarget = "model"

// Small time limits, so that a short simulation reaches the edge cases.
const (
	simSkew      = time.Second
	simRetention = 30 * time.Second
	simSettle    = 15 * time.Second
	simPause     = 3 * time.Second
)

// publishedList is a version of the list with its publication time.
type publishedList struct {
	view        View
	publishedAt time.Time
}

// host is an agent process on its VM with its own clock. Only the KeyRegistry's decisions prevent
// it from running a key.
type host struct {
	self        Member
	offset      time.Duration
	registry    *KeyRegistry
	version     int // index into simulation.lists
	paused      bool
	dead        bool
	partitioned bool // from all other hosts, but not from callers
	// timeOffList is how long the process has run since it was removed from the list.
	timeOffList time.Duration
	// startVersion is the latest version when the process started, and timeBehind how long it
	// has run since then with an older one.
	startVersion    int
	timeBehind      time.Duration
	queue           []Attempt
	running         []Attempt
	startedRequests []string // request IDs
}

// message is in flight and may be lost, duplicated or delayed.
type message struct {
	to      Member
	attempt *Attempt
	query   *OutgoingQuery
	reply   *ListReply
}

// simulation runs agents, routers and the network in virtual time.
type simulation struct {
	rnd           *rand.Rand
	now           time.Time
	disabledRules map[rule]bool
	lists         []publishedList
	hosts         []*host
	routers       [2]int // index of the list that each router holds
	messages      []message
	keys          []Key
	runs          map[string]int
	refused       map[Reason]int
	violation     string // the first key that ran twice
	lastID        int
	lastHost      int
}

func newSimulation(seed uint64, off map[rule]bool) *simulation {
	m := &simulation{
		rnd: rand.New(rand.NewPCG(seed, 0)), disabledRules: off, now: time.UnixMilli(1_800_000_000_000),
		runs: make(map[string]int), refused: make(map[Reason]int),
	}
	for range 3 {
		m.addHost()
	}
	m.publish(m.hosts[:2])
	for _, h := range m.hosts {
		m.start(h, 0)
	}
	return m
}

func (m *simulation) addHost() {
	m.lastHost++
	m.hosts = append(m.hosts, &host{
		self:   Member{Name: fmt.Sprint("e", m.lastHost), VM: "vm"},
		offset: m.randomDuration(0, simSkew),
		dead:   true,
	})
}

func (m *simulation) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(m.rnd.Int64N(int64(high-low)/int64(time.Millisecond)+1))*time.Millisecond
}

func (m *simulation) publish(hosts []*host) {
	members := make([]Member, len(hosts))
	for i, h := range hosts {
		members[i] = h.self
	}
	view := View{Version: uint64(len(m.lists) + 1), Issued: m.now, Lists: map[string]*List{simTarget: NewList(members)}}
	m.lists = append(m.lists, publishedList{view: view, publishedAt: m.now})
}

func (m *simulation) latest() *List { return m.lists[len(m.lists)-1].view.Lists[simTarget] }

// start starts a process with an empty KeyRegistry, which may read a stale version of the list.
func (m *simulation) start(h *host, version int) {
	cfg := Config{
		Self: h.self, Retention: simRetention, MaxClockSkew: simSkew, SettleTime: simSettle, MaxPause: simPause,
		ReplyTimeout: simPause, QueryInterval: time.Second, MaxKeys: 100,
	}
	*h = host{self: h.self, offset: h.offset, version: version, timeOffList: h.timeOffList, partitioned: h.partitioned, startVersion: len(m.lists) - 1}
	h.registry = New(cfg, m.clock(h))
	h.registry.disabledRules = m.disabledRules
	h.registry.SetView(m.clock(h), m.lists[version].view)
}

func (m *simulation) clock(h *host) time.Time { return m.now.Add(h.offset) }
func (m *simulation) randomInt(n int) int     { return m.rnd.IntN(n) }

func (m *simulation) randomHost() *host { return m.hosts[m.randomInt(len(m.hosts))] }

// wait advances the time. It maintains what Config.SettleTime assumes: a host that is not on
// the latest list, or that has started, stops after running for simSettle with an older list.
func (m *simulation) wait(d time.Duration) {
	for step := time.Second; d > 0; d -= step {
		step = min(step, d)
		m.now = m.now.Add(step)
		for _, h := range m.hosts {
			m.tick(h, step)
		}
		m.deliverQueries()
	}
}

func (m *simulation) tick(h *host, step time.Duration) {
	if h.dead || h.paused {
		return
	}
	if m.latest().has(h.self) || h.version == len(m.lists)-1 {
		h.timeOffList = 0
	} else {
		h.timeOffList += step
	}
	if h.version < h.startVersion {
		h.timeBehind += step
	}
	if max(h.timeOffList, h.timeBehind) >= simSettle-time.Second {
		h.dead = true
		return
	}
	h.registry.Tick(m.clock(h))
	for _, q := range h.registry.PendingQueries(m.clock(h)) {
		m.messages = append(m.messages, message{to: q.To, query: &q})
	}
}

func (m *simulation) find(id Member) *host {
	for _, h := range m.hosts {
		if h.self.id() == id.id() && !h.dead && !h.paused {
			return h
		}
	}
	return nil
}

// changeList publishes a list with random additions and removals. An endpoint that was removed
// stays off for simSettle.
func (m *simulation) changeList() {
	var members []*host
	for _, h := range m.hosts {
		in := m.latest().has(h.self)
		if m.randomInt(3) == 0 {
			in = !in && !m.listedRecently(h)
		}
		if in {
			members = append(members, h)
		}
	}
	if len(members) > 0 {
		m.publish(members)
	}
}

func (m *simulation) listedRecently(h *host) bool {
	for i, l := range m.lists {
		last := i == len(m.lists)-1
		if l.view.Lists[simTarget].has(h.self) && (last || m.now.Sub(m.lists[i+1].publishedAt) < simSettle) {
			return true
		}
	}
	return false
}

func (m *simulation) adopt() {
	h := m.randomHost()
	if h.dead || h.paused {
		return
	}
	h.version += m.randomInt(len(m.lists) - h.version)
	h.registry.SetView(m.clock(h), m.lists[h.version].view)
}

func (m *simulation) adoptRouter() {
	r := m.randomInt(len(m.routers))
	m.routers[r] += m.randomInt(len(m.lists) - m.routers[r])
}

func (m *simulation) restart() { m.start(m.randomHost(), m.randomInt(len(m.lists))) }

func (m *simulation) kill() { m.randomHost().dead = true }

func (m *simulation) pause() {
	h := m.randomHost()
	h.paused = !h.paused
}

// send sends a request from a random router with a new or recently used key.
func (m *simulation) send() {
	if len(m.keys) == 0 || m.randomInt(2) == 0 {
		m.keys = append(m.keys, m.newKey())
	}
	key := m.keys[max(0, len(m.keys)-4):][m.randomInt(min(4, len(m.keys)))]
	m.lastID++
	u := Attempt{Target: simTarget, Team: "team", Key: key, Request: fmt.Sprint("r", m.lastID), Epoch: 1}
	m.route(u, m.randomInt(len(m.routers)))
}

func (m *simulation) route(u Attempt, router int) {
	list := m.lists[m.routers[router]].view.Lists[simTarget]
	to := Member{Name: list.Home(u.Team, u.Key.Text), VM: "vm"}
	m.messages = append(m.messages, message{to: to, attempt: &u})
}

// newKey returns a key with a random issue time, possibly far in the past or future.
func (m *simulation) newKey() Key {
	age := m.randomDuration(-simSkew, simSkew)
	if m.randomInt(8) == 0 {
		age = m.randomDuration(-simRetention, simRetention)
	}
	return Key{Text: fmt.Sprint("k", len(m.keys)), Issued: m.now.Add(-age)}
}

// deliver delivers a random message, which may be delivered again later.
func (m *simulation) deliver() {
	if len(m.messages) == 0 {
		return
	}
	i := m.randomInt(len(m.messages))
	msg := m.messages[i]
	if m.randomInt(4) > 0 {
		m.messages = append(m.messages[:i:i], m.messages[i+1:]...)
	}
	m.handle(msg)
}

func (m *simulation) handle(msg message) {
	h := m.find(msg.to)
	switch {
	case h == nil: // lost
	case msg.attempt != nil:
		v := h.registry.Admit(m.clock(h), *msg.attempt)
		m.refused[v.Refused]++
		if v.Refused == "" {
			h.queue = append(h.queue, *msg.attempt)
		}
	case msg.reply != nil:
		h.registry.HandleReply(m.clock(h), *msg.query, *msg.reply)
	default:
		answer := h.registry.HandleQuery(m.clock(h), msg.query.ListQuery)
		m.messages = append(m.messages, message{to: msg.query.From, query: msg.query, reply: &answer})
	}
}

// deliverQueries delivers most queries and replies, except to and from partitioned hosts. Some
// stay in flight.
func (m *simulation) deliverQueries() {
	for range 2 { // a query, then its reply
		pending := m.messages
		m.messages = nil
		for _, msg := range pending {
			if m.delayed(msg) {
				m.messages = append(m.messages, msg)
				continue
			}
			m.handle(msg)
		}
	}
	// The network doesn't hold messages forever.
	m.messages = m.messages[max(0, len(m.messages)-12):]
}

func (m *simulation) delayed(msg message) bool {
	if msg.attempt != nil {
		return true // requests are delivered by a step of their own
	}
	from, to := m.find(msg.query.From), m.find(msg.query.To)
	return from == nil || to == nil || from.partitioned || to.partitioned || m.randomInt(8) == 0
}

// run starts or ends a request at a random host.
func (m *simulation) run() {
	h := m.randomHost()
	if h.dead || h.paused {
		return
	}
	if len(h.running) > 0 && m.randomInt(2) == 0 {
		m.end(h)
		return
	}
	if len(h.queue) == 0 {
		return
	}
	u := h.queue[0]
	if m.randomInt(4) > 0 { // simulates a queue that may start a request twice
		h.queue = h.queue[1:]
	}
	begun := slices.Contains(h.startedRequests, u.Request)
	if !begun && m.randomInt(5) == 0 {
		h.registry.End(u, StateNotRun)
		return
	}
	if !h.registry.Begin(m.clock(h), u) {
		return
	}
	h.startedRequests = append(h.startedRequests, u.Request)
	h.running = append(h.running, u)
	m.runs[u.Key.Text]++
	if m.runs[u.Key.Text] > 1 && m.violation == "" {
		m.violation = fmt.Sprintf("key %s ran twice, the second time at %s as %s", u.Key.Text, h.self.Name, u.Request)
	}
}

func (m *simulation) end(h *host) {
	u := h.running[0]
	h.running = h.running[1:]
	states := []State{StateComplete, StateBroken, StateUnknown}
	h.registry.End(u, states[m.randomInt(len(states))])
}
