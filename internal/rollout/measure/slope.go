package measure

import "gonum.org/v1/gonum/stat"

// Slope is a least-squares line of one metric against the number of nodes.
type Slope struct {
	Mode      Mode    `json:"mode"`
	Figure    string  `json:"figure"`
	Intercept float64 `json:"intercept"`
	PerNode   float64 `json:"per_node"`
}

// fittedMetric is a metric that Slopes fits.
type fittedMetric struct {
	name string
	of   func(Point) float64
}

var fittedMetrics = []fittedMetric{
	{"calls/s at the service", func(p Point) float64 { return p.CallsPerSecond }},
	{"bytes/s a node", func(p Point) float64 { return p.BytesPerSecond }},
	{"part of a core a node", func(p Point) float64 { return p.CPUShare }},
	{"p99 seconds until in force", func(p Point) float64 { return p.InForce.P99 }},
}

// Slopes fits each metric in each mode that has at least two points.
func Slopes(points []Point) []Slope {
	out := []Slope{}
	for _, mode := range []Mode{ModePeers, ModeWatch} {
		var nodes []float64
		var matching []Point
		for _, p := range points {
			if p.Mode == mode {
				nodes, matching = append(nodes, float64(p.Nodes)), append(matching, p)
			}
		}
		if len(matching) < 2 {
			continue
		}
		for _, f := range fittedMetrics {
			values := make([]float64, len(matching))
			for i, p := range matching {
				values[i] = f.of(p)
			}
			a, b := stat.LinearRegression(nodes, values, nil, false)
			out = append(out, Slope{Mode: mode, Figure: f.name, Intercept: a, PerNode: b})
		}
	}
	return out
}
