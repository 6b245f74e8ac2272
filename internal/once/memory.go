package once

import (
	"crypto/sha256"
	"time"
)

// keyDigest is the hash of a target, a team and a key.
type keyDigest [sha256.Size]byte

func digestOf(a Attempt) keyDigest {
	return sha256.Sum256([]byte(a.Target + separator + a.Team + separator + a.Key.Text))
}

// entry is the record of one key.
type entry struct {
	request string
	epoch   int
	state   State
	issued  int64 // Unix milliseconds
}

func (e *entry) sameAttempt(a Attempt) bool { return e.request == a.Request && e.epoch == a.Epoch }

// fences reports whether the attempt is the recorded one or an earlier one of the same request,
// which must not run again.
func (e *entry) fences(a Attempt) bool { return e.request == a.Request && a.Epoch <= e.epoch }

// keyStore holds keys until they expire.
type keyStore struct {
	entries map[keyDigest]*entry
	// bySecond indexes the entries by the Unix second of their issue time.
	bySecond map[int64][]keyDigest
	// sweptUntil is the Unix second before which entries have been dropped.
	sweptUntil int64
}

func newKeyStore() *keyStore {
	return &keyStore{entries: make(map[keyDigest]*entry), bySecond: make(map[int64][]keyDigest)}
}

func (m *keyStore) add(d keyDigest, e *entry) {
	if old := m.entries[d]; old != nil {
		*old = *e // its index entry stays valid, since the issue time is the same
		return
	}
	m.entries[d] = e
	second := floorSecond(e.issued)
	m.bySecond[second] = append(m.bySecond[second], d)
}

// sweep drops the entries issued before the given second, except for queued and running ones.
func (m *keyStore) sweep(before time.Time) {
	until := before.Unix()
	if until <= m.sweptUntil {
		return
	}
	for second, list := range m.bySecond {
		if second >= until {
			continue
		}
		delete(m.bySecond, second)
		m.dropFinished(list, until)
	}
	m.sweptUntil = until
}

// dropFinished drops entries except for queued and running ones, which it moves to the second
// until, to be checked again.
func (m *keyStore) dropFinished(list []keyDigest, until int64) {
	for _, d := range list {
		if e := m.entries[d]; e.state == StateQueued || e.state == StateRunning {
			m.bySecond[until] = append(m.bySecond[until], d)
			continue
		}
		delete(m.entries, d)
	}
}

func floorSecond(millis int64) int64 { return time.UnixMilli(millis).Unix() }
