package engine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// BlockTokens is the number of tokens in one block of the prefix cache.
const BlockTokens = 16

const blockBytes = BlockTokens * bytesPerToken

// BlockHashes returns the hashes of the complete blocks of a prompt for a model.
// Each hash covers the prompt up to the end of its block.
func BlockHashes(model, prompt string) []uint64 {
	hashes := make([]uint64, 0, len(prompt)/blockBytes)
	var parent [8]byte
	binary.LittleEndian.PutUint64(parent[:], xxhash.Sum64String(model))
	d := xxhash.New()
	for ; len(prompt) >= blockBytes; prompt = prompt[blockBytes:] {
		d.Reset()
		_, _ = d.Write(parent[:])
		_, _ = d.WriteString(prompt[:blockBytes])
		hash := d.Sum64()
		binary.LittleEndian.PutUint64(parent[:], hash)
		hashes = append(hashes, hash)
	}
	return hashes
}

// prefixCache holds the most recently used blocks. A nil cache holds none.
type prefixCache struct {
	size   int // in blocks
	blocks *simplelru.LRU[uint64, struct{}]
	// evicted collects the blocks evicted by the current call of add.
	evicted []uint64
}

func newPrefixCache(tokens int) *prefixCache {
	if tokens < BlockTokens {
		return nil
	}
	c := &prefixCache{size: tokens / BlockTokens}
	// NewLRU fails only if the size isn't positive.
	c.blocks, _ = simplelru.NewLRU(c.size, func(hash uint64, _ struct{}) {
		c.evicted = append(c.evicted, hash)
	})
	return c
}

// match returns how many leading blocks are in the cache.
func (c *prefixCache) match(hashes []uint64) int {
	if c == nil {
		return 0
	}
	for i, hash := range hashes {
		if !c.blocks.Contains(hash) {
			return i
		}
	}
	return len(hashes)
}

// cacheChange holds the blocks stored and evicted by a call of add.
type cacheChange struct {
	stored  []uint64
	removed []uint64
}

// add stores the blocks of one prompt, the last one first, so that the end of a
// prompt is evicted before its beginning: later blocks are useless without the
// earlier ones.
func (c *prefixCache) add(hashes []uint64) cacheChange {
	if c == nil {
		return cacheChange{}
	}
	hashes = hashes[:min(len(hashes), c.size)]
	c.evicted = nil
	var stored []uint64
	for i := len(hashes) - 1; i >= 0; i-- {
		if _, ok := c.blocks.Get(hashes[i]); ok {
			continue
		}
		c.blocks.Add(hashes[i], struct{}{})
		stored = append(stored, hashes[i])
	}
	return cacheChange{stored: stored, removed: c.evicted}
}
