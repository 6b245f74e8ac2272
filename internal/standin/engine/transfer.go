package engine

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"

	"github.com/cespare/xxhash/v2"
)

// kvState is the content of an exported KV cache.
type kvState struct {
	RequestID string
	Model     string
	// Context is the hash of the request's text at the export; if Complete, the
	// cache covers all of it.
	Context  uint64
	Complete bool
	Tokens   int
	Blocks   []uint64
	// Cache has the size of the cache's content.
	Cache []byte
}

// importLimit bounds the imported caches that haven't been used yet.
const importLimit = 256

// exported is the result of an export.
type exported struct {
	blob     []byte
	tokens   int
	produced int
}

// export encodes the KV cache of a running sequence, and ends its run unless
// keep is set.
func (e *Engine) export(id string, keep bool) (exported, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.findRunning(id)
	if s == nil {
		return exported{}, notFound("no request %q is running", id)
	}
	state := e.kvState(s)
	blob, err := encodeKV(state)
	if err != nil {
		return exported{}, err
	}
	if !keep {
		e.finishNow(s, EndExported)
	}
	return exported{blob: blob, tokens: state.Tokens, produced: s.produced}, nil
}

func (e *Engine) kvState(s *sequence) kvState {
	text := s.text()
	tokens := s.contextTokens() - s.pending
	blocks := BlockHashes(s.req.model, text)
	return kvState{
		RequestID: s.req.id,
		Model:     s.req.model,
		Context:   xxhash.Sum64String(text),
		Complete:  s.pending == 0,
		Tokens:    tokens,
		Blocks:    blocks[:min(len(blocks), tokens/BlockTokens)],
		Cache:     make([]byte, tokens*e.cfg.KVBytesPerToken),
	}
}

// encodeKV returns the encoded state followed by its checksum.
func encodeKV(state kvState) ([]byte, error) {
	var buf bytes.Buffer
	if err := gob.NewEncoder(&buf).Encode(state); err != nil {
		return nil, err
	}
	return binary.LittleEndian.AppendUint64(buf.Bytes(), xxhash.Sum64(buf.Bytes())), nil
}

const checksumBytes = 8

func decodeKV(blob []byte) (kvState, error) {
	var state kvState
	end := len(blob) - checksumBytes
	if end < 0 || xxhash.Sum64(blob[:end]) != binary.LittleEndian.Uint64(blob[end:]) {
		return state, badRequest("the KV cache is damaged")
	}
	if err := gob.NewDecoder(bytes.NewReader(blob[:end])).Decode(&state); err != nil {
		return state, badRequest("the KV cache can't be decoded: %v", err)
	}
	state.Cache = nil
	return state, nil
}

// importKV stores a cache for the request with this id or, if id is empty, for
// the one that it was exported from.
func (e *Engine) importKV(blob []byte, id string) (kvState, error) {
	state, err := decodeKV(blob)
	if err != nil {
		return state, err
	}
	if id != "" {
		state.RequestID = id
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.serves(state.Model) {
		return state, notFound("The model `%s` does not exist.", state.Model)
	}
	e.imports.Add(state.RequestID, state)
	return state, nil
}

// consumeImport removes the import for the sequence's request and returns the
// number of tokens of the sequence's context that it covers.
func (e *Engine) consumeImport(s *sequence, blocks []uint64) int {
	state, ok := e.imports.Get(s.req.id)
	if !ok || state.Model != s.req.model {
		return 0
	}
	e.imports.Remove(s.req.id)
	if state.Complete && state.Context == xxhash.Sum64String(s.text()) {
		return state.Tokens
	}
	return commonBlocks(blocks, state.Blocks) * BlockTokens
}

func commonBlocks(a, b []uint64) int {
	n := 0
	for n < min(len(a), len(b)) && a[n] == b[n] {
		n++
	}
	return n
}
