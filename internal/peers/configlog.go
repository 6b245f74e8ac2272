package peers

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"sync"

	"github.com/cockroachdb/errors"

	"coveferry/internal/route"
)

// maxPacked bounds the cached packed changes. Routers that have fallen behind usually lag by a
// few versions.
const maxPacked = 8

// maxConfigBytes bounds the unpacked size of a configuration from a peer: 60,000 routes.
const maxConfigBytes = 32 << 20

// packedChange is a change of the configuration as compressed JSON. Routes resemble each other:
// 1,500 of them compress to a tenth of their size or less. Uncompressed they take a third of a
// second on a link of 10 Mbit/s.
type packedChange []byte

func pack(ch route.Change) (packedChange, error) {
	var to bytes.Buffer
	w, err := flate.NewWriter(&to, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "peers: pack a configuration")
	}
	err = json.NewEncoder(w).Encode(ch)
	err = errors.CombineErrors(err, w.Close())
	return to.Bytes(), errors.Wrap(err, "peers: pack a configuration")
}

// apply returns the configuration that results from applying the change to base.
func (p packedChange) apply(base *route.Config) (*route.Config, error) {
	r := flate.NewReader(bytes.NewReader(p))
	var ch route.Change
	dec := json.NewDecoder(io.LimitReader(r, maxConfigBytes))
	if err := errors.CombineErrors(dec.Decode(&ch), r.Close()); err != nil {
		return nil, errors.Wrap(err, "peers: unpack a configuration")
	}
	return ch.Apply(base)
}

// configLog computes what changed in the configuration since a version. Each change is packed
// once and shared by all requests. It is safe for concurrent use.
type configLog struct {
	mu      sync.Mutex
	history route.History
	version uint64 // that the changes in packed lead to
	packed  map[uint64]packedChange
}

// since returns the change from a version to c; nil if that version is not older.
func (l *configLog) since(c *route.Config, version uint64) (packedChange, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.history.Record(c)
	if version >= c.Version {
		return nil, nil
	}
	if l.version != c.Version || len(l.packed) >= maxPacked {
		l.version, l.packed = c.Version, make(map[uint64]packedChange)
	}
	ch := l.history.ChangeSince(version)
	if known, ok := l.packed[ch.From]; ok {
		return known, nil
	}
	packed, err := pack(ch)
	if err == nil {
		l.packed[ch.From] = packed
	}
	return packed, err
}
