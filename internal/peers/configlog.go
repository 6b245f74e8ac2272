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

// maxPacked bounds the changes that are kept ready to be told: routers that fell
// behind do so by a few versions.
const maxPacked = 8

// maxConfigBytes bounds a configuration as one router tells it to another, after
// it is unpacked: 60,000 routes.
const maxConfigBytes = 32 << 20

// packedChange is a change of the configuration, as compressed JSON. Routes are
// much alike: 1,500 of them take a tenth of the bytes or less, and links of
// 10 Mbit/s take a third of a second for them as they are.
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

// apply returns the configuration that the change turns base into.
func (p packedChange) apply(base *route.Config) (*route.Config, error) {
	r := flate.NewReader(bytes.NewReader(p))
	var ch route.Change
	dec := json.NewDecoder(io.LimitReader(r, maxConfigBytes))
	if err := errors.CombineErrors(dec.Decode(&ch), r.Close()); err != nil {
		return nil, errors.Wrap(err, "peers: unpack a configuration")
	}
	return ch.Apply(base)
}

// configlog tells what changed in the configuration since a version. What it tells
// is packed once for all who ask. It is safe for concurrent use.
type configlog struct {
	mu      sync.Mutex
	history route.History
	version uint64 // for which packed holds
	packed  map[uint64]packedChange
}

// since returns what turns the configuration of a version into this one; nil if it
// is no older.
func (l *configlog) since(c *route.Config, version uint64) (packedChange, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.history.Show(c)
	if version >= c.Version {
		return nil, nil
	}
	if l.version != c.Version || len(l.packed) >= maxPacked {
		l.version, l.packed = c.Version, make(map[uint64]packedChange)
	}
	ch := l.history.Since(version)
	if known, ok := l.packed[ch.From]; ok {
		return known, nil
	}
	packed, err := pack(ch)
	if err == nil {
		l.packed[ch.From] = packed
	}
	return packed, err
}
