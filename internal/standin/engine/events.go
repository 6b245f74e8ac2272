package engine

import (
	"math/rand/v2"
	"time"
)

// EventType is the type of a KV-cache event, as vLLM names them.
type EventType string

// The types of KV-cache events.
const (
	EventStored  EventType = "BlockStored"
	EventRemoved EventType = "BlockRemoved"
	EventCleared EventType = "AllBlocksCleared"
)

// Event reports blocks added to or removed from the prefix cache.
type Event struct {
	// Seq grows by one with each event, including those that are dropped. It
	// starts again at 1 after a crash.
	Seq         uint64    `json:"seq"`
	At          time.Time `json:"at"`
	Type        EventType `json:"type"`
	BlockHashes []uint64  `json:"block_hashes,omitempty"`
	BlockSize   int       `json:"block_size"`
}

// eventLimit is the number of latest events that are always kept for readers that
// lag behind.
const eventLimit = 4096

// eventLog holds events until they are due, and the latest of them for readers
// that lag behind.
type eventLog struct {
	lag     time.Duration
	loss    float64
	rng     *rand.Rand
	seq     uint64
	events  []Event
	changed chan struct{} // closed and replaced with each event
}

func newEventLog(cfg Config) *eventLog {
	return &eventLog{
		lag:     cfg.EventLag,
		loss:    cfg.EventLoss,
		rng:     rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		changed: make(chan struct{}),
	}
}

func (l *eventLog) add(now time.Time, kind EventType, hashes []uint64) {
	if len(hashes) == 0 && kind != EventCleared {
		return
	}
	l.seq++
	if l.rng.Float64() < l.loss {
		return
	}
	ev := Event{Seq: l.seq, At: now, Type: kind, BlockHashes: hashes, BlockSize: BlockTokens}
	l.events = append(l.events, ev)
	if len(l.events) > 2*eventLimit {
		l.events = append([]Event(nil), l.events[eventLimit:]...)
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// reset drops all events and restarts the sequence numbers, as a crash does.
func (l *eventLog) reset(now time.Time) {
	l.seq = 0
	l.events = nil
	l.add(now, EventCleared, nil)
}

// eventPage holds the events that are due and when to poll again.
type eventPage struct {
	events []Event
	// wait is the time until the next event is due; negative if none is.
	wait    time.Duration
	changed <-chan struct{}
}

// after returns the due events that follow seq. If seq is ahead of the engine,
// the engine has restarted since, and the reader starts from the first event.
func (l *eventLog) after(seq uint64, now time.Time) eventPage {
	if seq > l.seq {
		seq = 0
	}
	page := eventPage{wait: -1, changed: l.changed}
	for _, ev := range l.events {
		if ev.Seq <= seq {
			continue
		}
		if due := ev.At.Add(l.lag); due.After(now) {
			page.wait = due.Sub(now)
			break
		}
		page.events = append(page.events, ev)
	}
	return page
}
