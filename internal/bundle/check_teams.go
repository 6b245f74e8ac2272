package bundle

import (
	"math"
	"regexp"

	"coveferry/internal/jsonc"
)

// MaxTeamRate and MaxTeamConcurrency bound a team's limits. Like the other bounds
// they only catch typing errors.
const (
	MaxTeamRate        = 1e9
	MaxTeamConcurrency = 10_000_000
)

var keyHash = regexp.MustCompile(`^sha256:[0-9a-f]{64}$`)

func checkTeamGrants(b *Bundle, f *Findings) {
	for i := range b.Teams {
		path := jsonc.KeyPath(jsonc.IndexPath("teams", i), "grants")
		if len(b.Teams[i].Grants) == 0 {
			f.errorf(path, "must hold at least one grant; the first is the team's default class")
		}
		seen := make(nameSet)
		for j, g := range b.Teams[i].Grants {
			if seen.has(g.Class) {
				f.errorf(jsonc.KeyPath(jsonc.IndexPath(path, j), "class"), "class %q is already granted to team %q", g.Class, b.Teams[i].Name)
			}
			seen[g.Class] = struct{}{}
		}
	}
}

func checkGrantedClasses(b *Bundle, f *Findings) {
	known := setOf(namesOf(b.Classes, func(c *Class) string { return c.Name }))
	eachGrant(b, func(path string, g Grant) {
		if !known.has(g.Class) {
			f.errorf(jsonc.KeyPath(path, "class"), "%q is not in classes", g.Class)
		}
	})
}

func checkGrantedTiers(b *Bundle, f *Findings) {
	known := setOf(namesOf(b.Tiers, func(t *Tier) string { return t.Name }))
	eachGrant(b, func(path string, g Grant) {
		if !known.has(g.Tier) {
			f.errorf(jsonc.KeyPath(path, "tier"), "%q is not in tiers", g.Tier)
		}
	})
}

func eachGrant(b *Bundle, do func(path string, g Grant)) {
	for i := range b.Teams {
		list := jsonc.KeyPath(jsonc.IndexPath("teams", i), "grants")
		for j, g := range b.Teams[i].Grants {
			do(jsonc.IndexPath(list, j), g)
		}
	}
}

func checkTeamKeys(b *Bundle, f *Findings) {
	for i := range b.Teams {
		path := jsonc.KeyPath(jsonc.IndexPath("teams", i), "key_hashes")
		if len(b.Teams[i].KeyHashes) == 0 {
			f.warnf(path, "team %q has no key, so nobody can call in its name", b.Teams[i].Name)
		}
		for j, hash := range b.Teams[i].KeyHashes {
			if !keyHash.MatchString(hash) {
				// The value isn't included, as it may be a key in plain text.
				f.errorf(jsonc.IndexPath(path, j), "is not a key hash; write \"sha256:\" and 64 lower-case hexadecimal digits")
			}
		}
	}
}

func checkSharedKeys(b *Bundle, f *Findings) {
	owner := make(map[string]int)
	for i := range b.Teams {
		path := jsonc.KeyPath(jsonc.IndexPath("teams", i), "key_hashes")
		for j, hash := range b.Teams[i].KeyHashes {
			if first, dup := owner[hash]; dup {
				f.errorf(jsonc.IndexPath(path, j), "is already a key hash of %s", jsonc.IndexPath("teams", first))
				continue
			}
			owner[hash] = i
		}
	}
}

func checkTeamLimits(b *Bundle, f *Findings) {
	for i := range b.Teams {
		l, path := &b.Teams[i].Limits, jsonc.KeyPath(jsonc.IndexPath("teams", i), "limits")
		checkRate(jsonc.KeyPath(path, "requests_per_second"), l.RequestsPerSecond, f)
		checkRate(jsonc.KeyPath(path, "tokens_per_second"), l.TokensPerSecond, f)
		if l.Concurrency < 0 || l.Concurrency > MaxTeamConcurrency {
			f.errorf(jsonc.KeyPath(path, "concurrency"), "%d is outside 1 to %d; leave it out for no limit", l.Concurrency, MaxTeamConcurrency)
		}
	}
}

func checkRate(path string, rate float64, f *Findings) {
	if math.IsNaN(rate) || rate < 0 || rate > MaxTeamRate {
		f.errorf(path, "%g is not above 0 and at most %g; leave it out for no limit", rate, MaxTeamRate)
	}
}
