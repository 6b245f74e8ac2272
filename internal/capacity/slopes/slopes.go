// Package slopes measures costs as a function of size: memory per entry, CPU
// seconds per message, bytes on the wire. Each slope is that of a least-squares
// line through at least four sizes, measured several times to determine its
// residual and its spread.
//
// Messages are sent over loopback sockets. Memory is the live heap and the
// goroutines' stacks after garbage collection, without the kernel's socket
// buffers. CPU time is that of the whole process, including the garbage
// collector, so nothing else should run in the process at the same time.
package slopes

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"

	"coveferry/internal/capacity"
)

// DefaultRepeats is the default of Options.Repeats.
const DefaultRepeats = 3

// ErrMeasure marks the error of a failed measurement.
var ErrMeasure = errors.New("measurement failed")

// Options configures Measure.
type Options struct {
	// Repeats is the number of measurements of each line; 0 means
	// DefaultRepeats.
	Repeats int
	// Only selects probes by name; empty means all.
	Only []string
	// Shrink divides all sizes, for quick trials of the probes.
	Shrink int
	// Progress, if not nil, is called with the name of each probe before it
	// starts.
	Progress func(probe string)
}

// probe measures one or more series at several sizes.
type probe struct {
	name   string
	sizes  []int
	series []capacity.Slope // without values
	// measure returns one reading for each of the series at size n.
	measure func(ctx context.Context, n int) ([]float64, error)
}

// Measure runs the probes sequentially and returns their slopes. Errors are
// marked ErrMeasure.
func Measure(ctx context.Context, o Options) ([]capacity.Slope, error) {
	o = o.withDefaults()
	var out []capacity.Slope
	for _, p := range probes() {
		if len(o.Only) > 0 && !slices.Contains(o.Only, p.name) {
			continue
		}
		if o.Progress != nil {
			o.Progress(p.name)
		}
		slopes, err := p.run(ctx, o)
		if err != nil {
			return nil, errors.Mark(errors.Wrapf(err, "probe %s", p.name), ErrMeasure)
		}
		out = append(out, slopes...)
	}
	return out, nil
}

// Probes returns the names of the probes.
func Probes() []string {
	var names []string
	for _, p := range probes() {
		names = append(names, p.name)
	}
	return names
}

func probes() []probe {
	return slices.Concat(
		bundleProbes(), sectionProbes(), balanceProbes(), schedProbes(), reportProbes(),
		rpcProbes(), connProbes(), relayProbes(), handshakeProbes(),
		watchProbes(), peerProbes(), keyProbes(), memberProbes(), stateProbes(), heapProbes(),
	)
}

func (o Options) withDefaults() Options {
	if o.Repeats <= 0 {
		o.Repeats = DefaultRepeats
	}
	if o.Shrink <= 0 {
		o.Shrink = 1
	}
	return o
}

// run measures a probe's series several times and fits their lines.
func (p probe) run(ctx context.Context, o Options) ([]capacity.Slope, error) {
	sizes := shrinkSizes(p.sizes, o.Shrink)
	lines := make([][]Line, len(p.series))
	for range o.Repeats {
		points, err := p.points(ctx, sizes)
		if err != nil {
			return nil, err
		}
		for i := range p.series {
			lines[i] = append(lines[i], Fit(sizes, points[i]))
		}
	}
	out := slices.Clone(p.series)
	for i := range out {
		out[i] = summarize(out[i], sizes, lines[i])
	}
	return out, nil
}

// points returns the readings of each series at every size.
func (p probe) points(ctx context.Context, sizes []int) ([][]float64, error) {
	points := make([][]float64, len(p.series))
	for _, n := range sizes {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		readings, err := runAndSettle(func() ([]float64, error) { return p.measure(ctx, n) })
		if err != nil {
			return nil, errors.Wrapf(err, "size %d", n)
		}
		for i, y := range readings {
			points[i] = append(points[i], y)
		}
	}
	return points, nil
}

// shrinkSizes divides the sizes but keeps them distinct.
func shrinkSizes(sizes []int, by int) []int {
	out := make([]int, len(sizes))
	for i, n := range sizes {
		out[i] = max(n/by, i+1)
	}
	return out
}
