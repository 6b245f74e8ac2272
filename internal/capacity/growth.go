package capacity

import (
	"cmp"
	"math"
	"slices"

	"github.com/cockroachdb/errors"
)

// BreakRow holds the growth factor of the fleet at which a usage reaches its
// allowance.
type BreakRow struct {
	Name string `json:"name"`
	Plan Plan   `json:"plan"`
	// At is the growth factor; below 1 the usage is already over its allowance.
	At Quantity `json:"at"`
	// Now, AtTwice and AtTen are the shares at one, two and ten times the size.
	Now     Share `json:"now"`
	AtTwice Share `json:"at_twice"`
	AtTen   Share `json:"at_ten"`
}

// The growth factors of the report, and the range of the search.
const (
	twice     = 2
	tenfold   = 10
	minFactor = 1.0 / 1024
	maxFactor = tenfold
	// searchSteps bisections determine the factor to less than 0.1%.
	searchSteps   = 14
	currentFactor = 1
	// roundingSlack is the tolerance within which a search result counts as
	// minFactor, the lower end of the range.
	roundingSlack = 1.01
)

// limitKey identifies a usage with an allowance.
type limitKey struct {
	name string
	plan Plan
}

// findBreaks returns the usages that exceed their allowance at ten times the size,
// sorted by the factor at which they reach it.
func findBreaks(in Inputs) ([]BreakRow, error) {
	s := &search{inputs: in, cache: make(map[float64]limitShares)}
	now := s.sharesAt(currentFactor)
	two := s.sharesAt(twice)
	var out []BreakRow
	for key, share := range s.sharesAt(tenfold) {
		if share.Verdict() != VerdictOver {
			continue
		}
		out = append(out, BreakRow{
			Name: key.name, Plan: key.plan, Now: now[key], AtTwice: two[key], AtTen: share,
			At: Quantity{s.breakingPoint(key), share.Ratio.Sources},
		})
	}
	slices.SortFunc(out, compareBreaks)
	return out, s.err
}

func compareBreaks(a, b BreakRow) int {
	return cmp.Or(cmp.Compare(a.At.Value, b.At.Value), cmp.Compare(a.Name, b.Name), cmp.Compare(a.Plan, b.Plan))
}

// limitShares holds the share of every total and of every limit of the service.
type limitShares map[limitKey]Share

// search computes the shares at several sizes and caches them.
type search struct {
	inputs Inputs
	cache  map[float64]limitShares
	err    error
}

func (s *search) sharesAt(factor float64) limitShares {
	if found, ok := s.cache[factor]; ok {
		return found
	}
	in := s.inputs
	in.Size = in.Size.Grown(factor)
	r, err := evaluate(in)
	s.err = errors.CombineErrors(s.err, err)
	out := make(limitShares)
	for _, t := range r.Totals {
		out[limitKey{"total: " + string(t.Role) + ", " + string(t.Resource), t.Plan}] = t.Share
	}
	for _, row := range r.Service {
		out[limitKey{row.Item, row.Plan}] = row.Share
	}
	s.cache[factor] = out
	return out
}

// breakingPoint returns the factor at which a share reaches 1, found by bisection.
func (s *search) breakingPoint(key limitKey) float64 {
	low, high := minFactor, float64(maxFactor)
	for range searchSteps {
		middle := math.Sqrt(low * high)
		if s.sharesAt(middle)[key].Ratio.Value > 1 {
			high = middle
		} else {
			low = middle
		}
	}
	return high
}
