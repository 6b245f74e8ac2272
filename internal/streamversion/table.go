// Package streamversion remembers at which software version streams began, so that a caller that
// resumes a stream at any router gets the rest of it from an endpoint of the same version.
package streamversion

import (
	"sync"
	"time"
	"unique"

	"github.com/cespare/xxhash/v2"
)

// StreamID identifies a stream: a hash of the caller's ID of the request that brought its first event.
type StreamID uint64

// IDOf returns the ID of the stream that began with a request.
func IDOf(requestID string) StreamID { return StreamID(xxhash.Sum64String(requestID)) }

// ServiceVersion is a software version of a service, at which a stream began.
type ServiceVersion struct{ Service, Version string }

const (
	// tableShards is a power of two well above the number of cores of a router VM.
	tableShards = 32
	// maxPerShard bounds the streams in half a shard: 131,072 in a whole table.
	maxPerShard = 2048
)

// table holds where streams began. It forgets a stream after one to two times the period for which
// streams are kept, earlier if it is full. It is safe for concurrent use.
type table struct{ shards [tableShards]tableShard }

// tableShard has two generations. The older one is dropped as a whole when the recent one is full
// or as old as streams are kept.
type tableShard struct {
	mu            sync.Mutex
	recent, older map[StreamID]tableEntry
	recentSince   time.Time
}

// tableEntry is where a stream began and when it was recorded.
type tableEntry struct {
	began unique.Handle[ServiceVersion]
	at    time.Time
}

func (t *table) shard(id StreamID) *tableShard { return &t.shards[id%tableShards] }

func (t *table) put(now time.Time, keep time.Duration, id StreamID, o ServiceVersion) {
	sh := t.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.rotate(now, keep)
	if len(sh.recent) >= maxPerShard {
		sh.older, sh.recent, sh.recentSince = sh.recent, nil, now
	}
	if sh.recent == nil {
		sh.recent = make(map[StreamID]tableEntry)
	}
	sh.recent[id] = tableEntry{began: unique.Make(o), at: now}
	delete(sh.older, id)
}

// get returns where a stream began and how long ago it was recorded.
func (t *table) get(now time.Time, keep time.Duration, id StreamID) (o ServiceVersion, age time.Duration, ok bool) {
	sh := t.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.rotate(now, keep)
	e, ok := sh.recent[id]
	if !ok {
		e, ok = sh.older[id]
	}
	if !ok {
		return ServiceVersion{}, 0, false
	}
	return e.began.Value(), now.Sub(e.at), true
}

func (t *table) remove(id StreamID) {
	sh := t.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	delete(sh.recent, id)
	delete(sh.older, id)
}

// list returns the streams that began at a service; an empty name stands for all.
func (t *table) list(service string) []Stream {
	var streams []Stream
	for i := range t.shards {
		streams = t.shards[i].appendTo(streams, service)
	}
	return streams
}

func (sh *tableShard) appendTo(streams []Stream, service string) []Stream {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for _, generation := range []map[StreamID]tableEntry{sh.older, sh.recent} {
		for id, e := range generation {
			if o := e.began.Value(); service == "" || o.Service == service {
				streams = append(streams, Stream{ID: id, ServiceVersion: o})
			}
		}
	}
	return streams
}

func (t *table) len() int {
	n := 0
	for i := range t.shards {
		sh := &t.shards[i]
		sh.mu.Lock()
		n += len(sh.recent) + len(sh.older)
		sh.mu.Unlock()
	}
	return n
}

// rotate starts a new generation if the recent one is as old as streams are kept.
func (sh *tableShard) rotate(now time.Time, keep time.Duration) {
	age := now.Sub(sh.recentSince)
	switch {
	case age >= 2*keep:
		sh.older, sh.recent, sh.recentSince = nil, nil, now
	case age >= keep:
		sh.older, sh.recent, sh.recentSince = sh.recent, nil, now
	}
}
