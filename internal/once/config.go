package once

import "time"

// Config configures a KeyRegistry.
type Config struct {
	// Self is the endpoint that the agent serves. Its address is taken from the list.
	Self Member
	// Retention is how long after its issue a key may be used and is remembered.
	Retention time.Duration
	// MaxClockSkew is the maximum difference between the clocks of two machines.
	MaxClockSkew time.Duration
	// SettleTime is how long an agent without knowledge of earlier lists waits for agents that
	// may still use one. It assumes:
	//   - An endpoint removed from a list stays off for SettleTime.
	//   - Within SettleTime, not counting its pauses, an agent whose endpoint was removed holds
	//     a later list, unless its VM is gone.
	//   - Likewise, an agent that has started holds the list that was the latest at its start.
	SettleTime time.Duration
	// MaxPause is the maximum time between two calls that pass in the time. After a longer gap
	// the agent drops its claims.
	MaxPause time.Duration
	// ReplyTimeout is how long after a query its reply is accepted.
	ReplyTimeout time.Duration
	// QueryInterval is the time between two rounds of queries to the peers.
	QueryInterval time.Duration
	// Bootstrap says that no list was in force before the first one, for example because the
	// whole fleet starts at once. The first lists are then claimed immediately.
	Bootstrap bool
	// MaxKeys bounds the number of remembered keys. When it is reached, new keys are refused;
	// none is forgotten early.
	MaxKeys int
}

// DefaultConfig returns the values derived in docs/design/0006.
func DefaultConfig(self Member) Config {
	return Config{
		Self:          self,
		Retention:     15 * time.Minute,
		MaxClockSkew:  2 * time.Second,
		SettleTime:    2 * time.Minute,
		MaxPause:      5 * time.Second,
		ReplyTimeout:  5 * time.Second,
		QueryInterval: time.Second,
		MaxKeys:       1 << 16,
	}
}

// clockMargin is the minimum time from a claim to the issue time of a key that is accepted by
// it. The key's time may be MaxClockSkew ahead of the clock of the agent that accepted it
// before, and that clock MaxClockSkew ahead of this one.
func (c Config) clockMargin() time.Duration { return 2 * c.MaxClockSkew }
