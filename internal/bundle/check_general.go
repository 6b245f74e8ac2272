package bundle

import (
	"time"

	"coveferry/internal/jsonc"
	"coveferry/internal/load"
	"coveferry/internal/units"
)

// Bounds on the limits of a bundle. They catch typing errors, such as "4GiB" for
// "4MiB", and are no advice on suitable values.
const (
	MinRequestBytes = units.Bytes(1 << 10)
	MaxRequestBytes = units.Bytes(64 << 20)
	MaxQueueEntries = 1_000_000
	MaxQueueBytes   = units.Bytes(16 << 30)
	MaxDeadline     = 24 * time.Hour
)

func checkFormat(b *Bundle, f *Findings) {
	if b.Format != Format {
		f.errorf("format", "%d is not a format that this program reads; it reads %d", b.Format, Format)
	}
}

func checkVersion(b *Bundle, f *Findings) {
	if b.Version == 0 {
		f.errorf("version", "must be at least 1, and higher than the version in force")
	}
}

func checkValidity(b *Bundle, f *Findings) {
	if b.Issued.IsZero() || b.Expires.IsZero() {
		f.errorf("expires", "issued and expires must both be set")
		return
	}
	if !b.Expires.After(b.Issued) {
		f.errorf("expires", "%s is not after issued, %s", b.Expires.Format(time.RFC3339), b.Issued.Format(time.RFC3339))
	}
}

func checkTierCount(b *Bundle, f *Findings) {
	if len(b.Tiers) == 0 {
		f.errorf("tiers", "must hold at least one tier")
	}
	if len(b.Tiers) > load.MaxTiers {
		f.errorf("tiers", "holds %d tiers; at most %d are allowed", len(b.Tiers), load.MaxTiers)
	}
}

func checkClassTargets(b *Bundle, f *Findings) {
	if len(b.Classes) == 0 {
		f.errorf("classes", "must hold at least one class")
	}
	for i := range b.Classes {
		c, path := &b.Classes[i], jsonc.IndexPath("classes", i)
		if c.FirstToken <= 0 {
			f.errorf(jsonc.KeyPath(path, "first_token"), "%s must be above 0", c.FirstToken.Std())
		}
		if c.BetweenTokens < 0 {
			f.errorf(jsonc.KeyPath(path, "between_tokens"), "%s must not be below 0", c.BetweenTokens.Std())
		}
		if c.Objective < 0 || c.Objective >= 1 {
			f.errorf(jsonc.KeyPath(path, "objective"), "%v must be at least 0 and below 1, such as 0.95", c.Objective)
		}
	}
}

func checkDeadlines(b *Bundle, f *Findings) {
	for i := range b.Classes {
		c, path := &b.Classes[i], jsonc.KeyPath(jsonc.IndexPath("classes", i), "deadline")
		switch {
		case c.Deadline <= 0:
			f.errorf(path, "%s must be above 0", c.Deadline.Std())
		case c.Deadline.Std() > MaxDeadline:
			f.errorf(path, "%s is above the maximum, %s", c.Deadline.Std(), MaxDeadline)
		case c.Deadline < c.FirstToken:
			f.errorf(path, "%s is shorter than first_token, %s", c.Deadline.Std(), c.FirstToken.Std())
		}
	}
}

func checkLimits(b *Bundle, f *Findings) {
	l := &b.Limits
	if l.RequestBytes < MinRequestBytes || l.RequestBytes > MaxRequestBytes {
		f.errorf("limits.request_bytes", "%s is outside %s to %s", size(l.RequestBytes), size(MinRequestBytes), size(MaxRequestBytes))
	}
	if l.QueueEntries < 1 || l.QueueEntries > MaxQueueEntries {
		f.errorf("limits.queue_entries", "%d is outside 1 to %d", l.QueueEntries, MaxQueueEntries)
	}
	if l.QueueBytes < 1 || l.QueueBytes > MaxQueueBytes {
		f.errorf("limits.queue_bytes", "%s is outside 1B to %s", size(l.QueueBytes), size(MaxQueueBytes))
	}
}

// checkQueueHoldsRequest checks that the largest allowed request fits into an empty
// queue; otherwise it would always be rejected.
func checkQueueHoldsRequest(b *Bundle, f *Findings) {
	if b.Limits.QueueBytes > 0 && b.Limits.QueueBytes < b.Limits.RequestBytes {
		f.errorf("limits.queue_bytes", "%s is below request_bytes, %s", size(b.Limits.QueueBytes), size(b.Limits.RequestBytes))
	}
}

func size(b units.Bytes) string {
	text, _ := b.MarshalText() // never returns an error
	return string(text)
}
