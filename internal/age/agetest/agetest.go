// Package agetest holds bad input for tests of what decodes ages of messages.
package agetest

import "math"

// ImpossibleMillis are ages that no message can state in truth: in the future, or beyond what a
// time.Duration can hold.
var ImpossibleMillis = []int64{-1, -5_000, math.MinInt64, math.MaxInt64, math.MaxInt64/1_000_000 + 1}
