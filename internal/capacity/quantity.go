package capacity

import (
	"encoding/json"
	"math"
	"slices"
)

// Source is the name of an input: a figure of the size, a slope, or a setting.
type Source string

// Quantity is a number with the inputs that it was computed from. An unknown
// quantity has the value NaN.
type Quantity struct {
	Value   float64
	Sources []Source
}

// Known reports whether the value is known.
func (q Quantity) Known() bool { return !math.IsNaN(q.Value) }

// Times returns the product.
func (q Quantity) Times(r Quantity) Quantity { return q.combine(r, q.Value*r.Value) }

// Per returns the quotient.
func (q Quantity) Per(r Quantity) Quantity { return q.combine(r, q.Value/r.Value) }

// Plus returns the sum.
func (q Quantity) Plus(r Quantity) Quantity { return q.combine(r, q.Value+r.Value) }

// Scale multiplies by a constant, such as the number of seconds in a day.
func (q Quantity) Scale(k float64) Quantity { return Quantity{q.Value * k, q.Sources} }

// Offset adds a constant, such as 1 for the node itself.
func (q Quantity) Offset(k float64) Quantity { return Quantity{q.Value + k, q.Sources} }

// apply applies a function to the value.
func (q Quantity) apply(f func(float64) float64) Quantity { return Quantity{f(q.Value), q.Sources} }

func (q Quantity) combine(r Quantity, value float64) Quantity {
	sources := slices.Concat(q.Sources, r.Sources)
	slices.Sort(sources)
	return Quantity{value, slices.Compact(sources)}
}

// quantityJSON is the JSON encoding of a Quantity; JSON has no NaN.
type quantityJSON struct {
	Value   *float64 `json:"value"`
	Sources []Source `json:"sources,omitempty"`
}

// MarshalJSON writes an unknown value as null.
func (q Quantity) MarshalJSON() ([]byte, error) {
	out := quantityJSON{Sources: q.Sources}
	if q.Known() {
		out.Value = &q.Value
	}
	return json.Marshal(out)
}

// sum returns the sum of quantities; the sum of none is 0.
func sum(qs ...Quantity) Quantity {
	var total Quantity
	for _, q := range qs {
		total = total.Plus(q)
	}
	return total
}

// unknown returns an unknown quantity.
func unknown() Quantity { return Quantity{Value: math.NaN()} }
