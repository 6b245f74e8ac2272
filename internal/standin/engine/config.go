package engine

import "time"

// Config describes one engine. Durations apply at speed 1.
type Config struct {
	// Models are served from the start; empty means DefaultModel alone.
	Models []string
	// Slots is the maximum number of running sequences; 0 means 8.
	Slots int
	// TokenTime is the time a decode step takes for one running sequence;
	// 0 means 20 ms.
	TokenTime time.Duration
	// BatchSlope is the time that each further running sequence adds to a step.
	BatchSlope time.Duration
	// PrefillPerToken is the time that each prefilled token adds to a step.
	PrefillPerToken time.Duration
	// PrefillChunk bounds the tokens prefilled in one step; 0 means 512.
	PrefillChunk int
	// StreamInterval is how many tokens a stream sends in one write after its
	// first token; 0 means 1. It is vLLM's option of that name and avoids a
	// write per token.
	StreamInterval int
	// PrefixCacheTokens bounds the prefix cache; 0 means no cache.
	PrefixCacheTokens int
	// KVTokens bounds the tokens of all running sequences together, their
	// prompts included; 0 means 8,192 a slot.
	KVTokens int
	// KVBytesPerToken is the size of an exported KV cache; 0 means 64.
	KVBytesPerToken int
	// MaxModelLen bounds prompt and answer of one request in tokens; it is
	// KVTokens at most, and 0 means that.
	MaxModelLen int
	// LoadLag is the age of the load that /load reports.
	LoadLag time.Duration
	// EventLag is the age at which a KV-cache event is published.
	EventLag time.Duration
	// EventLoss is the fraction of KV-cache events that are never published.
	EventLoss float64
	// LoadTime is how long an order to load a model or an adapter takes.
	LoadTime time.Duration
	// Seed selects which events are dropped. It doesn't affect answers.
	Seed uint64
	// Speed divides the time that a step takes; 0 means 1.
	Speed float64
	// Priorities enables priority scheduling; without it requests run in
	// order of arrival, regardless of their priority.
	Priorities bool
	// Fenced makes the engine reject orders with an outdated fencing number.
	Fenced bool
	// RecordLimit bounds the number of recorded runs; 0 means 1,000,000.
	RecordLimit int
}

// DefaultModel is the model of an engine whose Config names none.
const DefaultModel = "stand-in"

const (
	defaultSlots        = 8
	defaultTokenTime    = 20 * time.Millisecond
	defaultPrefillChunk = 512
	defaultKVPerSlot    = 8192
	defaultKVBytes      = 64
	defaultRecordLimit  = 1_000_000
)

func (c Config) withDefaults() Config {
	if len(c.Models) == 0 {
		c.Models = []string{DefaultModel}
	}
	setDefault(&c.Slots, defaultSlots)
	setDefault(&c.TokenTime, defaultTokenTime)
	setDefault(&c.PrefillChunk, defaultPrefillChunk)
	setDefault(&c.StreamInterval, 1)
	setDefault(&c.KVTokens, c.Slots*defaultKVPerSlot)
	setDefault(&c.KVBytesPerToken, defaultKVBytes)
	setDefault(&c.MaxModelLen, c.KVTokens)
	c.MaxModelLen = min(c.MaxModelLen, c.KVTokens) // a single request always fits into KV memory
	setDefault(&c.Speed, 1)
	setDefault(&c.RecordLimit, defaultRecordLimit)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
