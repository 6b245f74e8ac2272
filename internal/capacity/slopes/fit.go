package slopes

import (
	"cmp"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"

	"coveferry/internal/capacity"
)

// Line is the fitted line y = Intercept + Slope*x.
type Line struct {
	Slope     float64
	Intercept float64
	// Residual is the root mean square distance of the points from the line,
	// divided by the mean of y; 0 if that mean is 0.
	Residual float64
}

// Fit returns the least-squares line through the points. The slices must have the
// same length and contain at least two different x.
func Fit(x []int, y []float64) Line {
	xs := make([]float64, len(x))
	for i, n := range x {
		xs[i] = float64(n)
	}
	intercept, slope := stat.LinearRegression(xs, y, nil, false)
	return Line{Slope: slope, Intercept: intercept, Residual: residual(xs, y, intercept, slope)}
}

func residual(xs, y []float64, intercept, slope float64) float64 {
	mean := stat.Mean(y, nil)
	if mean == 0 {
		return 0
	}
	var squares float64
	for i, x := range xs {
		deviation := y[i] - intercept - slope*x
		squares += deviation * deviation
	}
	return math.Sqrt(squares/float64(len(y))) / math.Abs(mean)
}

// summarize completes a slope from the lines of repeated runs. All its figures
// come from the line with the median slope, so that they are consistent.
func summarize(s capacity.Slope, sizes []int, lines []Line) capacity.Slope {
	sorted := slices.Clone(lines)
	slices.SortFunc(sorted, func(a, b Line) int {
		return cmp.Compare(a.Slope, b.Slope)
	})
	middle := sorted[len(sorted)/2]
	s.Value = middle.Slope
	s.Intercept = middle.Intercept
	s.Residual = middle.Residual
	s.Sizes = slices.Clone(sizes)
	s.Spread = capacity.Spread{Min: sorted[0].Slope, Max: sorted[len(sorted)-1].Slope, Runs: len(lines)}
	return s
}
